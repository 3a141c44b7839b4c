//! State that the control thread and the traffic thread share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use serde_json::json;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, oneshot};
use verbenaslip_base::hash;
use verbenaslip_base::name::Team;
use verbenaslip_fleet::crash_report::{ObservedAnswer, ObservedCrash};
use verbenaslip_fleet::limit::{self, Limit, Limits};
use verbenaslip_fleet::link::Report;
use verbenaslip_fleet::load::WorkReport;
use verbenaslip_fleet::measurement::{RunKey, Totals};
use verbenaslip_fleet::origin::{Finding, Origin, Stream};
use verbenaslip_fleet::quota::{LoanGrant, LoanRequest, Refund};
use verbenaslip_fleet::registry::{Record, Run, Status};
use verbenaslip_fleet::usage::{self, UsageCounter};
use verbenaslip_fleet::view::View;

use crate::event_log::{self, Kind};
use crate::monotonic;
use crate::policy::demand::Demand;
use crate::policy::versions::Versions;

/// The entry asks for another number of time slots under upstreams' rate limits.
const SLOTS_WANTED: Kind = Kind { number: 959, name: "slots_wanted" };

/// Sums by service.
type ServiceTotals = BTreeMap<Arc<str>, f64>;

/// Hands the view of the fleet to the traffic thread and collects its counts for the control
/// thread.
#[derive(Debug, Default)]
pub struct SharedState {
    view: Mutex<Arc<View>>,
    usage: Mutex<UsageCounter>,
    loans: Mutex<LoanQueue>,
    refunds: Mutex<BTreeMap<Team, f64>>,
    loan_requested: Notify,
    /// Engine time that requests have asked for since the start, in milliseconds by service.
    engine_ms: Mutex<ServiceTotals>,
    /// What this instance has measured at upstreams, as totals.
    measurements: Mutex<BTreeMap<RunKey, Totals>>,
    /// Requests that arrived since the last report.
    arrivals: AtomicU64,
    demand: Mutex<Demand>,
    observations: Mutex<Observations>,
    versions: Mutex<Versions>,
    /// Rate limits of upstreams that this instance has learnt.
    limits: Mutex<Limits>,
    /// Upstreams that have announced their departure in an answer.
    departures: Mutex<BTreeSet<Run>>,
    observation_added: Notify,
    origins: Mutex<OriginQueue>,
    origin_added: Notify,
    origins_sent: Notify,
    is_draining_flag: AtomicBool,
    draining_started: Notify,
    /// Whether this instance has lost a path to upstreams.
    has_cut_path: AtomicBool,
    paths_changed: Notify,
    stopped_admitting: AtomicBool,
    admission_stopped: Notify,
    view_updated: Notify,
}

impl SharedState {
    /// Returns the newest view.
    pub fn view(&self) -> Arc<View> {
        lock(&self.view).clone()
    }

    /// Replaces the view.
    pub fn set_view(&self, view: View) {
        *lock(&self.view) = Arc::new(view);
        self.view_updated.notify_waiters();
    }

    /// Returns once a route table is known.
    pub async fn wait_for_routes(&self) {
        loop {
            let shown = self.view_updated.notified();
            tokio::pin!(shown);
            shown.as_mut().enable();
            if self.view().routes.is_some() {
                return;
            }
            shown.await;
        }
    }

    /// Counts a request that an upstream started to run; `unix` is the time of day in
    /// milliseconds.
    pub fn count_request(&self, team: &Team, unix: u64, window: Duration) {
        lock(&self.usage).count(usage::window_at(unix, window), team);
    }

    /// Replaces the totals measured at one run.
    pub fn set_measurement(&self, totals: Totals) {
        lock(&self.measurements).insert(totals.key, totals);
    }

    /// Forgets the totals of a run that has ended.
    pub fn forget_measurement(&self, key: RunKey) {
        lock(&self.measurements).remove(&key);
    }

    /// Requests a loan of a team's limit from the leader: `required` units for one request and
    /// `prefetch` units for those expected next.
    pub fn request_loan(
        &self,
        team: &Team,
        required: f64,
        prefetch: f64,
    ) -> oneshot::Receiver<LoanGrant> {
        let (sender, answered) = oneshot::channel();
        let mut loans = lock(&self.loans);
        loans.last_id += 1;
        let id = loans.last_id;
        let requested_at = monotonic::now();
        loans.waiters.insert(id, LoanWaiter { team: team.clone(), sender, requested_at });
        loans.unsent.push(LoanRequest { id, team: team.clone(), required, prefetch });
        drop(loans);
        self.loan_requested.notify_one();
        answered
    }

    /// Returns once there are loan requests to send to the leader.
    pub async fn wait_for_loan_requests(&self) {
        self.loan_requested.notified().await;
    }

    /// Takes the loan requests that have not been sent yet.
    pub fn take_loan_requests(&self) -> Vec<LoanRequest> {
        let mut loans = lock(&self.loans);
        let now = monotonic::now();
        loans.waiters.retain(|_, it| now.saturating_sub(it.requested_at) <= LOAN_ANSWER_TIMEOUT);
        std::mem::take(&mut loans.unsent)
    }

    /// Passes the leader's grants to the requests that wait for them.
    ///
    /// A grant whose request no longer waits is refunded.
    pub fn deliver_loan_grants(&self, grant: Vec<LoanGrant>) {
        for grant in grant {
            let waiting = lock(&self.loans).waiters.remove(&grant.id);
            let Some(LoanWaiter { team, sender, .. }) = waiting else { continue };
            if let Err(LoanGrant { units, .. }) = sender.send(grant) {
                self.refund(Refund { team, units });
            }
        }
    }

    /// Returns units to the leader with the next report.
    pub fn refund(&self, refund: Refund) {
        *lock(&self.refunds).entry(refund.team).or_default() += refund.units;
    }

    fn take_refunds(&self) -> Vec<Refund> {
        let refunds = std::mem::take(&mut *lock(&self.refunds)).into_iter();
        refunds.map(|(team, units)| Refund { team, units }).collect()
    }

    /// Adds the engine time that a request asks for, in milliseconds.
    pub fn add_engine_time(&self, service: &Arc<str>, millis: f64) {
        *lock(&self.engine_ms).entry(service.clone()).or_default() += millis;
    }

    /// Returns the versions of services that take requests, with the counts of each.
    pub fn versions(&self) -> MutexGuard<'_, Versions> {
        lock(&self.versions)
    }

    /// Records the rate limit of an upstream, or that the limit has ended.
    pub fn set_limit(&self, run: &Run, limit: Limit) {
        lock(&self.limits).insert(run.clone(), limit);
    }

    /// Records that an upstream has announced its departure in an answer.
    pub fn add_departure(&self, run: &Run) {
        lock(&self.departures).insert(run.clone());
    }

    /// Returns the recorded departures of which the leader is not known to have heard.
    fn unshared_departures(&self) -> Vec<Run> {
        let view = self.view();
        let mut leaving = lock(&self.departures);
        leaving.retain(|run| {
            let ready = |it: &Record| matches!(it.status, Status::Ready | Status::Silent);
            view.record(run).is_some_and(ready)
        });
        leaving.iter().take(MAX_REPORTED).cloned().collect()
    }

    /// Returns the recorded limits of which the leader is not known to have heard.
    fn unshared_limits(&self) -> Vec<limit::Observation> {
        let view = self.view();
        let mut limits = lock(&self.limits);
        limits.retain(|run, _| view.record(run).is_some());
        let news = limits.iter().filter(|(run, limit)| limit.supersedes(view.limits.get(run)));
        let news = news.map(|(run, limit)| limit::Observation { run: run.clone(), limit: *limit });
        news.take(MAX_REPORTED).collect()
    }

    /// Records requests during which an upstream crashed.
    pub fn add_crashes(&self, crashes: impl IntoIterator<Item = ObservedCrash>) {
        lock(&self.observations).crashes.extend(crashes);
        self.observation_added.notify_one();
    }

    /// Records an answer to a request that is suspected or quarantined.
    pub fn add_answer(&self, answered: ObservedAnswer) {
        lock(&self.observations).answers.push(answered);
        self.observation_added.notify_one();
    }

    /// Returns once there are observations for the leader.
    pub async fn wait_for_observations(&self) {
        self.observation_added.notified().await;
    }

    /// Takes the observations made since the last call.
    pub fn take_observations(&self) -> Observations {
        std::mem::take(&mut *lock(&self.observations))
    }

    /// Adds the origin of a stream that cores are to remember; returns its number.
    pub fn add_origin(&self, origin: Origin) -> u64 {
        let mut origins = lock(&self.origins);
        if origins.unsent.len() < MAX_UNSENT_ORIGINS {
            origins.unsent.push(origin);
        }
        origins.last_number += 1;
        let number = origins.last_number;
        drop(origins);
        self.origin_added.notify_one();
        number
    }

    /// Returns once the origin with this number has been sent to cores, and has it sent at once.
    pub async fn wait_until_origin_sent(&self, number: u64) {
        loop {
            let sent = self.origins_sent.notified();
            tokio::pin!(sent);
            sent.as_mut().enable();
            {
                let mut origins = lock(&self.origins);
                if origins.last_sent >= number {
                    return;
                }
                origins.is_urgent = true;
            }
            self.origin_added.notify_one();
            sent.await;
        }
    }

    /// Returns whether a request waits until the origins have been sent.
    pub fn origins_are_urgent(&self) -> bool {
        lock(&self.origins).is_urgent
    }

    /// Asks all cores for the origin of a stream; the receiver gets what each of them finds, more
    /// than once if others ask for the same stream.
    pub fn find_origin(&self, stream: Stream) -> UnboundedReceiver<CoreFinding> {
        let (sender, findings) = mpsc::unbounded_channel();
        let mut origins = lock(&self.origins);
        origins.waiters.retain(|waiter| !waiter.findings.is_closed());
        origins.waiters.push(OriginWaiter { stream, findings: sender });
        origins.wanted.push(stream);
        drop(origins);
        self.origin_added.notify_one();
        findings
    }

    /// Returns once there are origins for cores, or questions for origins.
    pub async fn wait_for_origins(&self) {
        self.origin_added.notified().await;
    }

    /// Takes the origins that cores have not been told of; they count as sent.
    pub fn take_origins(&self) -> Vec<Origin> {
        let mut origins = lock(&self.origins);
        origins.last_sent = origins.last_number;
        origins.is_urgent = false;
        let unsent = std::mem::take(&mut origins.unsent);
        drop(origins);
        self.origins_sent.notify_waiters();
        unsent
    }

    /// Takes the streams for whose origins cores have not been asked.
    pub fn take_wanted_streams(&self) -> Vec<Stream> {
        std::mem::take(&mut lock(&self.origins).wanted)
    }

    /// Passes on what a core has found; `copied` names the streams that it knows from other cores.
    pub fn deliver_findings(&self, core: SocketAddr, findings: &[Finding], copied: &[Stream]) {
        let origins = lock(&self.origins);
        for finding in findings {
            let waiters = origins.waiters.iter().filter(|it| it.stream == finding.stream);
            let is_copy = copied.contains(&finding.stream);
            // A request that has found its origin no longer waits.
            for waiter in waiters {
                let _ = waiter.findings.send(CoreFinding { core, finding: *finding, is_copy });
            }
        }
    }

    /// Builds the next report.
    pub fn take_report(&self) -> Report {
        let refunds = self.take_refunds();
        let engine_work = lock(&self.engine_ms);
        let engine_work = engine_work
            .iter()
            .map(|(service, total)| WorkReport { service: service.clone(), total_ms: *total })
            .collect();
        let rollouts = self.versions().report(monotonic::now());
        let limits = self.unshared_limits();
        let counts = lock(&self.usage).counts();
        let departing = self.unshared_departures();
        let measurements = lock(&self.measurements).values().copied().collect();
        let slots = self.wanted_slots();
        Report {
            counts,
            refunds,
            engine_work,
            rollouts,
            limits,
            departing,
            measurements,
            slots,
            ..Report::default()
        }
    }

    /// Counts a request that a caller has sent.
    pub(crate) fn count_arrival(&self) {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the number of time slots to ask for under upstreams' rate limits.
    fn wanted_slots(&self) -> u32 {
        let (now, arrivals) = (monotonic::now(), self.arrivals.swap(0, Ordering::Relaxed));
        let mut demand = lock(&self.demand);
        let before = demand.slots();
        demand.record(now, arrivals);
        let slots = demand.slots();
        if slots != before {
            let (present, usual) = demand.rates();
            let fields = [
                ("slots", json!(slots)),
                ("per_second", json!(present.round())),
                ("usual_per_second", json!(usual.round())),
            ];
            event_log::emit(SLOTS_WANTED, fields);
        }
        slots
    }

    /// Starts the planned stop: readiness probes fail from now on, so that no new connections
    /// arrive.
    pub fn start_draining(&self) {
        self.is_draining_flag.store(true, Ordering::Relaxed);
        self.draining_started.notify_waiters();
    }

    /// Returns once the planned stop has begun.
    pub async fn wait_until_draining(&self) {
        let started = self.draining_started.notified();
        if !self.is_draining() {
            started.await;
        }
    }

    /// Sets whether this instance has lost a path to upstreams.
    pub fn set_cut_path(&self, has_cut_path: bool) {
        if self.has_cut_path.swap(has_cut_path, Ordering::Relaxed) != has_cut_path {
            self.paths_changed.notify_one();
        }
    }

    /// Returns whether this instance can open connections to upstreams for others.
    pub fn carries(&self) -> bool {
        !self.is_draining() && !self.has_cut_path.load(Ordering::Relaxed)
    }

    /// Returns once a path has been lost or found again.
    pub async fn wait_for_path_change(&self) {
        self.paths_changed.notified().await;
    }

    /// Returns whether the planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.is_draining_flag.load(Ordering::Relaxed)
    }

    /// Stops admitting new requests during a planned stop.
    ///
    /// Without this, a request on an open connection would be admitted until the very end and cut
    /// off when the process ends. A request that is refused as not run is answered by another
    /// instance.
    pub fn stop_admitting(&self) {
        self.stopped_admitting.store(true, Ordering::SeqCst);
        self.admission_stopped.notify_waiters();
    }

    /// Returns whether new requests are refused.
    pub fn has_stopped_admitting(&self) -> bool {
        self.stopped_admitting.load(Ordering::SeqCst)
    }

    /// Returns once new requests are refused.
    pub async fn wait_until_admission_stops(&self) {
        let closed = self.admission_stopped.notified();
        if !self.has_stopped_admitting() {
            closed.await;
        }
    }

    /// Returns whether new callers may connect: a route table is known and no stop has begun.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && lock(&self.view).routes.is_some()
    }
}

/// Holds observations about poison requests for the leader.
#[derive(Debug, Default)]
pub struct Observations {
    /// Requests during which an upstream crashed.
    pub crashes: Vec<ObservedCrash>,
    /// Answers to requests that are suspected or quarantined.
    pub answers: Vec<ObservedAnswer>,
}

/// Limit on the rate limits, and on the departures, in one report; the others wait for the next
/// report.
const MAX_REPORTED: usize = 32;

/// Limit on the origins that wait for the control thread; thousands arrive only while it is stuck.
const MAX_UNSENT_ORIGINS: usize = 4_096;

/// Holds the origins of streams for cores, and the requests that wait for the findings of cores.
#[derive(Debug, Default)]
struct OriginQueue {
    unsent: Vec<Origin>,
    /// Number of the last origin that was added.
    last_number: u64,
    /// Number of the last origin that was sent.
    last_sent: u64,
    is_urgent: bool,
    wanted: Vec<Stream>,
    waiters: Vec<OriginWaiter>,
}

/// Waits for what cores know of a stream.
#[derive(Debug)]
struct OriginWaiter {
    stream: Stream,
    findings: UnboundedSender<CoreFinding>,
}

/// Contains what one core knows of a stream.
#[derive(Clone, Copy, Debug)]
pub struct CoreFinding {
    /// The core.
    pub core: SocketAddr,
    /// What it knows.
    pub finding: Finding,
    /// Whether it knows that from another core.
    pub is_copy: bool,
}

/// Holds loan requests and the requests that wait for their grants.
#[derive(Debug)]
struct LoanQueue {
    last_id: u64,
    unsent: Vec<LoanRequest>,
    waiters: BTreeMap<u64, LoanWaiter>,
}

impl Default for LoanQueue {
    fn default() -> Self {
        let last_id = hash::number_base(hash::unpredictable());
        Self { last_id, unsent: Vec::new(), waiters: BTreeMap::new() }
    }
}

/// Time after which a loan request no longer waits for its grant; a later grant is refunded.
const LOAN_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Waits for the grant of one loan request.
#[derive(Debug)]
struct LoanWaiter {
    team: Team,
    sender: oneshot::Sender<LoanGrant>,
    requested_at: Duration,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
