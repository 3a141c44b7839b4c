//! State that all requests of an instance share.

mod quarantine;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use verbenaslip_base::hash;
use verbenaslip_fleet::gateway::Gateway;
use verbenaslip_fleet::limit::Observation;
use verbenaslip_fleet::measurement::RunKey;
use verbenaslip_fleet::origin::Origins;
use verbenaslip_fleet::registry::{Announcement, Record, Run};
use verbenaslip_fleet::view::View;

use crate::dialect::{Dialect, ResponseInfo};
use crate::forward::admission::AdmittedRequest;
use crate::forward::crash::Signal;
use crate::forward::event_memory::EventMemory;
use crate::forward::path_log;
use crate::forward::place::HeldCount;
use crate::forward::pool::Pool;
use crate::forward::queue::Queue;
use crate::forward::upstream_log;
use crate::http::Connection;
use crate::monotonic;
use crate::policy::allowance::Allowances;
use crate::policy::body_memory::BodyMemory;
use crate::policy::builds::Builds;
use crate::policy::gateways::Gateways;
use crate::policy::overload::Overload;
use crate::policy::pace::Pace;
use crate::policy::path::{Change as PathChange, Fault, Group, Paths};
use crate::policy::placement::{Choice, Ending, Placement, Query};
use crate::policy::quarantine::Quarantine;
use crate::policy::restriction::Change;
use crate::policy::retry::RetryBudget;
use crate::policy::returning::ReturningCallers;
use crate::policy::switching::{self, Reason, SlowRequest};
use crate::policy::versions::Tracks;
use crate::server::Config;
use crate::shared::SharedState;

/// Holds the state that all requests share; only the traffic thread uses it.
pub struct Context {
    /// State shared with the control thread.
    pub shared: Arc<SharedState>,
    /// The deployment's header names.
    pub dialect: Arc<dyn Dialect>,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// When this instance started.
    pub(crate) started_at: Instant,
    pub(crate) placement: RefCell<Placement>,
    pub(crate) allowances: RefCell<Allowances>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) queue: RefCell<Queue>,
    pub(crate) held_count: HeldCount,
    pub(crate) returning_callers: RefCell<ReturningCallers>,
    pub(crate) quarantine: RefCell<Quarantine>,
    pub(crate) overload: RefCell<Overload>,
    pub(crate) body_memory: RefCell<BodyMemory>,
    pub(crate) event_memory: EventMemory,
    pub(crate) random_state: Cell<u64>,
    pub(crate) builds: RefCell<Builds>,
    /// Versions at which streams began at this entry.
    pub(crate) origins: RefCell<Origins>,
    pub(crate) paths: RefCell<Paths>,
    pub(crate) gateways: RefCell<Gateways>,
    /// The list from which `gateways` was last updated.
    known_gateways: RefCell<Arc<[Gateway]>>,
    /// Notified when a path may need a probe.
    pub(crate) paths_suspected: Notify,
    /// Notified when open connections may hang.
    pub(crate) connections_hang: Notify,
    crash_signals: UnboundedSender<Signal>,
}

impl Context {
    /// Creates the state without any requests.
    pub(crate) fn new(config: &Config, crash_signals: UnboundedSender<Signal>) -> Self {
        let placement = Placement::new(config.zone.clone()).with_sharing(config.sharing);
        Self {
            shared: config.shared.clone(),
            dialect: config.dialect.clone(),
            usage_window: config.usage_window,
            started_at: Instant::now(),
            placement: RefCell::new(placement),
            allowances: RefCell::new(Allowances::new(monotonic::now())),
            retry_budget: RefCell::new(RetryBudget::new(config.retry_bounds)),
            pool: RefCell::new(Pool::default()),
            queue: RefCell::new(Queue::default()),
            held_count: HeldCount::default(),
            returning_callers: RefCell::new(ReturningCallers::default()),
            quarantine: RefCell::new(Quarantine::default()),
            overload: RefCell::default(),
            body_memory: RefCell::new(BodyMemory::new(config.memory_bytes)),
            event_memory: EventMemory::new(config.memory_bytes),
            random_state: Cell::new(monotonic::unix_ms()),
            builds: RefCell::default(),
            origins: RefCell::new(Origins::new(monotonic::now())),
            paths: RefCell::new(Paths::default()),
            gateways: RefCell::new(Gateways::default()),
            known_gateways: RefCell::default(),
            paths_suspected: Notify::new(),
            connections_hang: Notify::new(),
            crash_signals,
        }
    }

    /// Returns the newest view after the parts that depend on it have been updated.
    pub(crate) fn refresh_view(&self) -> Arc<View> {
        let view = self.shared.view();
        let removed_runs = self.placement.borrow_mut().update(&view);
        if !removed_runs.is_empty() {
            // A different run may use the address now, so the connections of the old run are of no
            // use.
            self.pool.borrow_mut().remove_runs(&removed_runs);
            self.forget_paths(&view, &removed_runs);
            removed_runs.iter().for_each(|it| self.shared.forget_measurement(RunKey::of(it)));
        }
        let limits = self.placement.borrow_mut().update_limits(monotonic::now(), &view);
        for Observation { run, limit } in limits {
            upstream_log::log_limit(&run, limit, None);
            self.shared.set_limit(&run, limit);
        }
        self.shared.versions().update(&view);
        if !Arc::ptr_eq(&self.known_gateways.borrow(), &view.gateways) {
            self.gateways.borrow_mut().update(&view.gateways);
            *self.known_gateways.borrow_mut() = view.gateways.clone();
        }
        self.builds.borrow_mut().update(&view);
        let answers = self.quarantine.borrow_mut().update(monotonic::now(), &view.blocklist);
        answers.into_iter().for_each(|it| self.shared.add_answer(it));
        view
    }

    fn forget_paths(&self, view: &View, removed_runs: &[Run]) {
        let is_in_use =
            |group: &Group| view.upstreams.values().any(|it| Self::group_of(it) == *group);
        self.paths.borrow_mut().forget(removed_runs, is_in_use);
        self.share_cut_paths();
    }

    /// Hands the control thread whether other entries can open connections through this one.
    fn share_cut_paths(&self) {
        let cut_count = self.paths.borrow().cut_count();
        metrics::gauge!("verbenaslip_paths_cut").set(u32::try_from(cut_count).unwrap_or(u32::MAX));
        self.shared.set_cut_path(cut_count > 0);
    }

    /// Returns the path that an upstream shares with others.
    pub(crate) fn group_of(record: &Record) -> Group {
        let Announcement { service, zone, .. } = &record.announcement;
        Group { service: service.clone(), zone: zone.clone() }
    }

    /// Returns whether any gateway is known.
    pub(crate) fn has_gateways(&self) -> bool {
        !self.known_gateways.borrow().is_empty()
    }

    /// Returns whether a new connection to a run should be direct.
    pub(crate) fn prefers_direct(&self, group: &Group, run: &Run) -> bool {
        let fraction = self.random_fraction();
        let prefers_direct = self.paths.borrow_mut().prefers_direct(group, run, fraction);
        if !prefers_direct {
            // The use of a run that cannot be reached has it probed.
            self.paths_suspected.notify_one();
        }
        prefers_direct
    }

    /// Chooses a gateway other than those in `tried`.
    pub(crate) fn choose_gateway(&self, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let fraction = self.random_fraction();
        let placement = self.placement.borrow();
        self.gateways.borrow_mut().choose(monotonic::now(), placement.zone(), tried, fraction)
    }

    /// Returns the path to a run, if the run is known.
    pub(crate) fn path_group(&self, run: &Run) -> Option<Group> {
        self.shared.view().record(run).map(Self::group_of)
    }

    /// Returns whether an open connection to a run may be used: a direct one unless it may hang, and
    /// one through a gateway only while the run may not be reached directly.
    pub(crate) fn trusts_connection(&self, run: &Run, connection: &Connection) -> bool {
        let Some(group) = self.path_group(run) else { return true };
        let paths = self.paths.borrow();
        match connection.gateway() {
            Some(_) => paths.is_impaired(&group) || !paths.may_reach(&group, run),
            None => paths.trusts_open_connections(&group),
        }
    }

    /// Returns whether a request that was sent through `gateway`, or directly, lacked a whole path, so
    /// that its failure or latency says nothing about the upstream.
    pub(crate) fn lacks_path(&self, gateway: Option<SocketAddr>, run: &Run) -> bool {
        gateway.is_none()
            && self.path_group(run).is_some_and(|group| self.paths.borrow().is_impaired(&group))
    }

    /// Returns whether open direct connections to a run may hang.
    pub(crate) fn may_hang(&self, run: &Run) -> bool {
        let group = self.path_group(run);
        group.is_some_and(|group| !self.paths.borrow().trusts_open_connections(&group))
    }

    /// Records an answer that has arrived directly.
    pub(crate) fn record_heard(&self, run: &Run) {
        if let Some(group) = self.path_group(run) {
            self.paths.borrow_mut().record_heard(monotonic::now(), &group);
        }
    }

    /// Records that a request has been unanswered on a direct connection for some time.
    pub(crate) fn record_silence(&self, run: &Run, silence: Duration) {
        let Some(group) = self.path_group(run).filter(|_| self.has_gateways()) else { return };
        if self.paths.borrow_mut().record_silence(monotonic::now(), &group, silence) {
            self.paths_suspected.notify_one();
        }
    }

    /// Records a direct connection that has opened.
    pub(crate) fn record_direct(&self, group: &Group, run: &Run, connect_time: Duration) {
        let now = monotonic::now();
        let change = self.paths.borrow_mut().record_direct(now, group, run, connect_time);
        self.handle_path_change(group, change, None);
    }

    /// Records that only a gateway could open a connection.
    pub(crate) fn record_bypassed(&self, group: &Group, run: &Run, fault: Fault) {
        let now = monotonic::now();
        let change = self.paths.borrow_mut().record_bypassed(now, group, run, fault);
        self.paths_suspected.notify_one();
        if fault == Fault::Hung {
            self.connections_hang.notify_waiters();
        }
        self.handle_path_change(group, change, Some(fault));
    }

    fn handle_path_change(&self, group: &Group, change: Option<PathChange>, fault: Option<Fault>) {
        let Some(change) = change else { return };
        path_log::log_change(group, change, fault, self.known_gateways.borrow().len());
        self.share_cut_paths();
        if change == PathChange::Cut {
            // Failures that the cut has caused say nothing about the upstreams.
            self.placement.borrow_mut().forgive_failures(&group.service, &group.zone);
        }
    }

    /// Returns a random number between zero and one.
    pub(crate) fn random_fraction(&self) -> f64 {
        let step = u32::try_from(self.next_random() >> 32).unwrap_or(u32::MAX);
        f64::from(step) / f64::from(u32::MAX)
    }

    /// Returns the software version at which all streams of a service are, if there is only one.
    pub(crate) fn settled_version(&self, service: &str) -> Option<Arc<str>> {
        self.builds.borrow().settled(monotonic::now(), service)
    }

    /// Returns the software version at which a stream may begin while cores are out of reach, if
    /// other entries take those that were not recorded for streams of one version.
    pub(crate) fn unrecorded_version(&self, service: &str, max_age: Duration) -> Option<Arc<str>> {
        self.builds.borrow().without_cores(monotonic::now(), service, max_age)
    }

    /// Chooses the versions that may take a request; `continues` tells whether its answer has begun.
    pub(crate) fn choose_tracks(
        &self,
        request: &AdmittedRequest<'_>,
        is_retry: bool,
        continues: bool,
    ) -> Tracks {
        let random_fraction = self.random_fraction();
        let versions = self.shared.versions();
        if continues {
            return versions.continuing_tracks(monotonic::now(), &request.service);
        }
        versions.choose_tracks(
            monotonic::now(),
            &request.service,
            &request.route.name,
            is_retry,
            random_fraction,
        )
    }

    /// Counts a request that is sent to an upstream.
    pub(crate) fn record_sent(&self, request: &AdmittedRequest<'_>, choice: &mut Choice) {
        let (now, route) = (monotonic::now(), &request.route.name);
        let mut versions = self.shared.versions();
        choice.ticket =
            versions.record_sent(now, &request.service, route, choice.cohort, choice.upstream_hash);
        drop(versions);
        self.share_measurement(choice);
    }

    /// Hands this entry's totals at an upstream to the control thread, which reports them.
    fn share_measurement(&self, choice: &Choice) {
        if let Some(totals) = self.placement.borrow().measurement(choice) {
            self.shared.set_measurement(totals);
        }
    }

    /// Records the pace of a stream.
    pub(crate) fn record_pace(&self, choice: &Choice, pace: Pace) {
        self.placement.borrow_mut().record_pace(choice, pace);
    }

    /// Records the time to the first event of a request.
    pub(crate) fn record_first_event(&self, choice: &Choice, latency: Duration) {
        self.placement.borrow_mut().record_first_event(monotonic::now(), choice, latency);
        self.share_measurement(choice);
        if let Some(ticket) = choice.ticket {
            self.shared.versions().record_first_event(choice.service(), ticket, latency);
        }
    }

    /// Handles what an upstream asks for in the head of its answer; `sent_at` is when the request
    /// was sent.
    pub(crate) fn handle_response_info(
        &self,
        request: &AdmittedRequest<'_>,
        choice: &Choice,
        sent_at: Instant,
        info: &ResponseInfo,
    ) {
        if info.other_run {
            return;
        }
        let now = monotonic::now();
        let sent_at = now.saturating_sub(sent_at.elapsed());
        let changes = self.placement.borrow_mut().handle_response_info(now, choice, sent_at, info);
        for change in changes {
            match change {
                Change::RateLimit(limit) => {
                    upstream_log::log_limit(&choice.run, limit, Some(&request.info.id));
                    self.shared.set_limit(&choice.run, limit);
                }
                Change::Brittle(limit) => upstream_log::log_brittle(
                    choice.service(),
                    &choice.run,
                    limit,
                    &request.info.id,
                ),
                Change::Leaving => {
                    upstream_log::log_departure(&choice.run, &request.info.id);
                    self.shared.add_departure(&choice.run);
                }
                Change::Cooldown(cooldown) => {
                    upstream_log::log_cooldown(&choice.run, cooldown, &request.info.id)
                }
            }
        }
    }

    /// Records the end of a request at an upstream.
    pub(crate) fn record_end(&self, choice: &Choice, ending: Ending, duration: Option<Duration>) {
        let now = monotonic::now();
        self.placement.borrow_mut().record_end(now, choice, ending, duration);
        self.share_measurement(choice);
        if let Some(ticket) = choice.ticket {
            self.shared.versions().record_end(now, choice.service(), ticket, ending);
        }
    }

    /// Spends one retry of the service's retry budget; returns whether the budget allows it.
    pub(crate) fn spend_retry(&self, request: &AdmittedRequest<'_>) -> bool {
        self.retry_budget.borrow_mut().try_spend(&request.service, request.entries)
    }

    /// Returns whether a request may switch from an unresponsive upstream to another one, and
    /// spends a retry for that.
    pub(crate) fn may_switch(
        &self,
        reason: Reason,
        request: &AdmittedRequest<'_>,
        choice: &Choice,
        (version, tried_runs): (Option<&str>, &[Run]),
        retry_paid: &mut bool,
    ) -> bool {
        // The other upstream may have left since this request arrived.
        self.refresh_view();
        let may_switch = match reason {
            Reason::Silent => self.may_leave_silent(request, version, tried_runs, retry_paid),
            Reason::Slow => self.may_leave_slow(request, choice, (version, tried_runs), retry_paid),
        };
        if may_switch {
            let reason = reason.name();
            metrics::counter!("verbenaslip_switches_total", "reason" => reason).increment(1);
        }
        may_switch
    }

    /// Returns whether a request may leave an upstream that was silent up to the silence limit.
    ///
    /// Without another upstream the request stays: the upstream may only be slow, such as an
    /// engine that is out of memory and pauses for seconds, and leaving would cut off the caller's
    /// answer.
    fn may_leave_silent(
        &self,
        request: &AdmittedRequest<'_>,
        version: Option<&str>,
        tried_runs: &[Run],
        retry_paid: &mut bool,
    ) -> bool {
        let (now, placement) = (monotonic::now(), self.placement.borrow());
        let has_alternative = placement.has_alternative(now, &request.service, version, tried_runs);
        drop(placement);
        *retry_paid = *retry_paid || (has_alternative && self.spend_retry(request));
        *retry_paid && has_alternative
    }

    /// Returns when an upstream counts as slow to a request that was sent to it; `None` if it was
    /// not chosen by the measurements of all entries, or if that time has passed.
    ///
    /// A caller that has retried gets its answer after its objective in any case, so its request
    /// waits up to the silence limit.
    pub(crate) fn slow_at(
        &self,
        request: &AdmittedRequest<'_>,
        choice: &Choice,
        sent_at: Instant,
    ) -> Option<Instant> {
        let slots = self.shared.view().record(&choice.run)?.announcement.slots;
        let may_leave = request.route.kind.may_repeat()
            && !request.returning
            && choice.figures.is_some()
            && self.placement.borrow().shares_measurements(slots);
        let timeout = switching::failover_timeout(choice.expected_ms + choice.lag_ms);
        let slow_at = sent_at.checked_add(timeout.filter(|_| may_leave)?)?;
        (slow_at > Instant::now()).then_some(slow_at)
    }

    /// Returns whether a request may leave an upstream that is slow, by the measurements of all
    /// entries, and counts the upstream as slow then.
    fn may_leave_slow(
        &self,
        request: &AdmittedRequest<'_>,
        choice: &Choice,
        (version, tried_runs): (Option<&str>, &[Run]),
        retry_paid: &mut bool,
    ) -> bool {
        let now = monotonic::now();
        let remaining = request.deadline.saturating_duration_since(Instant::now());
        let query = Query {
            // The attempt at the slow upstream is among the tried runs.
            has_spare_attempt: tried_runs.len() + 1 < request.route.max_attempts as usize,
            may_have_run: true,
            tracks: self.choose_tracks(request, true, version.is_some()),
            version,
            ..request.query(tried_runs, remaining)
        };
        let slow_request = {
            let placement = self.placement.borrow();
            SlowRequest {
                elapsed: request.received_at.elapsed(),
                objective: request.route.objective,
                remaining,
                expected_elsewhere_ms: placement.best_expected_ms(now, &query),
                median_wait_ms: placement.median_wait_ms(now, &request.service),
            }
        };
        if !slow_request.should_leave() {
            return false;
        }
        *retry_paid = *retry_paid
            || self.retry_budget.borrow_mut().try_spend_early(&request.service, request.entries);
        if *retry_paid {
            self.placement.borrow_mut().penalize(now, choice, switching::SLOW_PERIOD);
        }
        *retry_paid
    }

    /// Returns a number that differs on each call (the SplitMix64 sequence).
    pub(crate) fn next_random(&self) -> u64 {
        let next = self.random_state.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.random_state.set(next);
        hash::mix(next)
    }
}
