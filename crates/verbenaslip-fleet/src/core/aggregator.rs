//! A core that does not lead, as the parent core of entries.
//!
//! The core forwards the leader's updates to its entries and sends their reports as one aggregate
//! in its own heartbeat, so that the leader's load does not depend on the number of entries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{Team, Upstream};

use crate::core::{Core, Output, address_of};
use crate::frame::{FleetStatus, Frame, Heartbeat, RelayedReport, Update};
use crate::history::History;
use crate::hub::{ChangeSource, Hub, PendingPush, Progress, UpdateSource};
use crate::limit::{Limit, Observation, TimeSlot};
use crate::link::{Link, Report};
use crate::parent;
use crate::quota::{LoanGrant, LoanRequest, Refund};
use crate::route_table::RouteTable;
use crate::upstream::{Record, Run};
use crate::usage::EntryRun;
use crate::view::{Version, View};

/// How long a core still serves its entries after it last heard the leader. Longer than an election
/// takes, and shorter than the time after which entries must stop following a core that is cut off.
const MAX_LEADER_SILENCE: Duration = Duration::from_millis(1_500);

/// How long loan requests and acknowledgements are batched; related ones usually arrive within a
/// few milliseconds.
const BATCHING_DELAY: Duration = Duration::from_millis(5);

/// How long the core waits for the answer to a forwarded loan request; entries wait for a shorter
/// time.
const LOAN_TIMEOUT: Duration = Duration::from_secs(1);

/// Collects messages in transit between the leader and the entries of a parent core.
#[derive(Debug, Default)]
pub(crate) struct Aggregator {
    /// Rate limits that entries have observed at upstreams.
    limits: BTreeMap<Run, Limit>,
    /// Runs that have announced their departure in an answer to an entry.
    departing: BTreeSet<Run>,
    refunds: BTreeMap<Team, f64>,
    rollout_reports: BTreeMap<SocketAddr, RelayedReport>,
    /// Loan requests that the next message to the leader will contain.
    queued_loan_requests: Vec<LoanRequest>,
    /// Forwarded loan requests, by the identifier under which this core forwarded them.
    pending_loans: BTreeMap<u64, PendingLoan>,
    /// Progress that the leader waits for all entries to acknowledge.
    awaited_progress: Progress,
    /// Progress last acknowledged to the leader.
    acknowledged_progress: Progress,
    /// When the queued messages are sent to the leader.
    next_flush: Option<Duration>,
}

/// Records which entry sent a forwarded loan request.
#[derive(Debug)]
struct PendingLoan {
    entry: SocketAddr,
    entry_request_id: u64,
    requested_at: Duration,
}

/// Presents this core's view of the upstreams as a source of changes.
struct FollowerRecords<'a> {
    view: &'a View,
    history: &'a History,
}

impl ChangeSource for FollowerRecords<'_> {
    fn last_change(&self) -> u64 {
        self.view.version.change
    }

    fn has_changes_since(&self, change: u64) -> bool {
        change >= self.history.floor()
    }

    fn changes_since(&self, change: u64) -> Option<Vec<Record>> {
        let is_newer = |upstream: &Upstream| self.history.change(upstream) > change;
        let present = self.view.upstreams.iter().filter(|(upstream, _)| is_newer(upstream));
        let removed = self.history.removed().filter(|(change_number, _)| *change_number > change);
        let records = present.map(|(_, record)| record).chain(removed.map(|(_, record)| record));
        self.has_changes_since(change).then(|| records.cloned().collect())
    }

    fn all(&self) -> Vec<Record> {
        self.view.upstreams.values().cloned().collect()
    }
}

impl Aggregator {
    /// Returns when queued messages are due, or [`Duration::MAX`] if there are none.
    pub(crate) fn next_wakeup(&self) -> Duration {
        self.next_flush.unwrap_or(Duration::MAX)
    }

    fn schedule_flush(&mut self, now: Duration) {
        self.next_flush.get_or_insert(now + BATCHING_DELAY);
    }

    /// Collects the parts of an entry's heartbeat that this core forwards to the leader.
    fn add_report(&mut self, heartbeat: &mut Heartbeat) {
        for Observation { run, limit } in std::mem::take(&mut heartbeat.limits) {
            let known = self.limits.entry(run).or_insert(limit);
            if limit.reported_at_ms > known.reported_at_ms {
                *known = limit;
            }
        }
        self.departing.extend(std::mem::take(&mut heartbeat.departing));
        for Refund { team, units } in std::mem::take(&mut heartbeat.refunds) {
            *self.refunds.entry(team).or_default() += units;
        }
        let reports = std::mem::take(&mut heartbeat.rollouts);
        if !reports.is_empty() {
            let (address, incarnation) = (heartbeat.peer.address, heartbeat.peer.incarnation);
            let origin = EntryRun { address, incarnation };
            let report = RelayedReport { origin, sequence: heartbeat.sequence, reports };
            self.rollout_reports.insert(address, report);
        }
    }
}

impl Core {
    /// Handles the heartbeat of an entry that reports to this core, and answers it.
    pub(crate) fn handle_entry_heartbeat(&mut self, mut heartbeat: Heartbeat) {
        let to = heartbeat.peer.address;
        let term = self.link.view().version.term;
        self.aggregator.add_report(&mut heartbeat);
        self.record_measurements(&heartbeat);
        let zone = heartbeat.peer.zone.clone();
        self.hub.handle_heartbeat(self.now, term, self.link.last_sequence(), heartbeat);
        self.schedule_acknowledgement();
        let Some(mut update) = self
            .with_follower_source(|hub, source, status| hub.heartbeat_answer(to, source, status))
        else {
            return;
        };
        update.extension.0.figures = self.answer_figures(to);
        self.send(to, Frame::Update(Box::new(update)));
        let Version { change, .. } = self.link.view().version;
        if self.hub.is_behind(to, change, self.newest_revision()) {
            self.schedule_push();
        }
        let core = parent::choose(self.link.parent_cores(), to, &zone);
        if let Some(core) = core.filter(|core| *core != self.link.local_peer().address) {
            self.send(to, Frame::ReportTo { core });
        }
    }

    /// Returns whether this core serves entries: it has recently heard the leader, does not lead
    /// itself and is not shutting down.
    pub(crate) fn serves_entries(&self) -> bool {
        let heard = self.link.view().leader_heard_at;
        let is_connected =
            heard.is_some_and(|heard| self.now.saturating_sub(heard) <= MAX_LEADER_SILENCE);
        is_connected && !self.is_leading() && !self.stopping
    }

    /// Handles an update from the leader.
    pub(crate) fn handle_update(&mut self, update: Update) {
        let (previous, is_full_list, ack_requested) =
            (self.link.view().version, update.base.is_none(), update.ack_requested);
        self.link.handle_update(self.now, update);
        let version = self.link.view().version;
        if version.term != previous.term {
            self.hub.continue_from(if is_full_list { Version::default() } else { previous });
            // Changes are numbered per leader, so progress under the previous leader is not
            // comparable.
            (self.aggregator.awaited_progress, self.aggregator.acknowledged_progress) =
                (Progress::default(), Progress::default());
        }
        if ack_requested {
            self.aggregator.awaited_progress = self.own_progress();
            self.schedule_acknowledgement();
        }
        if ack_requested && version != previous {
            self.next_push = self.next_push.min(self.now);
        } else if version != previous {
            self.schedule_push();
        }
    }

    /// Sends entries the changes they lack, without waiting for their heartbeats.
    pub(crate) fn push_to_entries(&mut self) {
        let version = self.link.view().version;
        let lagging =
            self.hub.lagging_subscribers(self.now, version.change, self.newest_revision());
        if lagging.is_empty() {
            self.next_push = Duration::MAX;
            return;
        }
        self.next_push = self.now + self.push_interval();
        let now = self.now;
        let pushes = self
            .with_follower_source(|hub, source, _| Some(hub.push_updates(now, &lagging, source)));
        for PendingPush { to, update } in pushes.unwrap_or_default() {
            self.outputs.push(Output::Multicast { to, frame: Frame::Update(Box::new(update)) });
        }
    }

    /// Returns the revision of the newest known route table, or zero if there is none.
    pub(crate) fn newest_revision(&self) -> u64 {
        self.newest_route_table().map_or(0, |route_table| route_table.revision)
    }

    /// Returns the newest known route table, which may have arrived first from the leader's update
    /// or from the log.
    pub(crate) fn newest_route_table(&self) -> Option<Arc<RouteTable>> {
        let received = self.link.view().routes.as_ref().map(|routes| routes.route_table().clone());
        let committed = self.replicated_state.current_table().map(|current| current.table.clone());
        received.into_iter().chain(committed).max_by_key(|route_table| route_table.revision)
    }

    /// Returns the progress of this core itself.
    fn own_progress(&self) -> Progress {
        Progress { change: self.link.view().version.change, revision: self.newest_revision() }
    }

    /// Returns the progress that this core and all reachable entries below it have.
    fn aggregate_progress(&self) -> Progress {
        self.own_progress().min(self.hub.acknowledged_by_all(self.now))
    }

    /// Schedules an acknowledgement to the leader if the leader waits for progress that has not
    /// been acknowledged yet.
    pub(crate) fn schedule_acknowledgement(&mut self) {
        if self.aggregator.awaited_progress.exceeds(&self.aggregator.acknowledged_progress)
            && !self.is_leading()
        {
            self.aggregator.schedule_flush(self.now);
        }
    }

    /// Reassigns time slots to the reachable entries, checks pending acknowledgements and drops
    /// expired loans.
    pub(crate) fn maintain_aggregator(&mut self) {
        let first = self.link.view().time_slot.map_or(0, |slot| slot.index);
        self.hub.assign_time_slots(self.now, first);
        self.schedule_acknowledgement();
        let now = self.now;
        self.aggregator
            .pending_loans
            .retain(|_, loan| now.saturating_sub(loan.requested_at) <= LOAN_TIMEOUT);
    }

    /// Sends the batched loan requests and acknowledgements to the leader.
    pub(crate) fn flush_to_leader(&mut self) {
        if self.now < self.aggregator.next_wakeup() {
            return;
        }
        self.aggregator.next_flush = None;
        // Without a known leader the requests are dropped: loans granted later would find nobody
        // waiting.
        let requests = std::mem::take(&mut self.aggregator.queued_loan_requests);
        let Some(leader) = self.known_leader() else { return };
        let from = self.link.local_peer().address;
        if !requests.is_empty() {
            self.send(leader, Frame::RequestLoans { from, requests });
        }
        let progress = self.aggregate_progress();
        if self.aggregator.awaited_progress.exceeds(&self.aggregator.acknowledged_progress)
            && progress.exceeds(&self.aggregator.acknowledged_progress)
        {
            self.aggregator.acknowledged_progress = progress;
            let Version { term, .. } = self.link.view().version;
            let version = Version { term, change: progress.change };
            self.send(
                leader,
                Frame::Acknowledged { address: from, version, revision: progress.revision },
            );
        }
    }

    /// Forwards the loan requests of an entry to the leader.
    pub(crate) fn forward_loan_requests(&mut self, entry: SocketAddr, requests: Vec<LoanRequest>) {
        for LoanRequest { id, team, required, prefetch } in requests {
            let token = self.next_token();
            self.aggregator
                .pending_loans
                .insert(token, PendingLoan { entry, entry_request_id: id, requested_at: self.now });
            self.aggregator.queued_loan_requests.push(LoanRequest {
                id: token,
                team,
                required,
                prefetch,
            });
        }
        self.aggregator.schedule_flush(self.now);
    }

    /// Forwards the leader's loan grants to the entries that requested them.
    pub(crate) fn forward_loan_grants(&mut self, grants: Vec<LoanGrant>) {
        let mut by_entry: BTreeMap<SocketAddr, Vec<LoanGrant>> = BTreeMap::new();
        for grant in grants {
            if let Some(PendingLoan { entry, entry_request_id: id, .. }) =
                self.aggregator.pending_loans.remove(&grant.id)
            {
                by_entry.entry(entry).or_default().push(LoanGrant { id, ..grant });
            }
        }
        for (entry, grants) in by_entry {
            self.send(entry, Frame::GrantLoans(grants));
        }
    }

    /// Builds this core's report to the leader.
    pub(crate) fn build_report(&mut self) -> Report {
        let acknowledged = self.link.acknowledged_sequence(self.now);
        let marks = self.voucher.take_marks(self.now);
        let progress = self.aggregate_progress();
        let Version { term, .. } = self.link.view().version;
        let version = Version { term, change: progress.change };
        let rollouts = std::mem::take(&mut self.aggregator.rollout_reports).into_values().collect();
        let mut aggregate =
            self.hub.aggregate(self.now, acknowledged, version, progress.revision, rollouts);
        if self.link.entry_list_requested() {
            aggregate.entry_addresses = self.hub.reachable_entries(self.now);
        }
        let limits = std::mem::take(&mut self.aggregator.limits).into_iter();
        let refunds = std::mem::take(&mut self.aggregator.refunds).into_iter();
        Report {
            marks,
            engine_work: self.hub.work_totals(),
            limits: limits.map(|(run, limit)| Observation { run, limit }).collect(),
            departing: std::mem::take(&mut self.aggregator.departing).into_iter().collect(),
            refunds: refunds.map(|(team, units)| Refund { team, units }).collect(),
            aggregate: Some(aggregate),
            counted_until: self.hub.counted_until(self.now),
            measurements: self.hub.measured_totals(self.now),
            is_stopping: self.stopping,
            ..Report::default()
        }
    }

    /// Returns the leader as known from the log or, failing that, from recent contact.
    pub(crate) fn known_leader(&self) -> Option<SocketAddr> {
        self.replica.leader().and_then(address_of).or_else(|| self.link.leader(self.now))
    }

    /// Redirects all entries that report here to the leader, which assigns them to other cores.
    pub(crate) fn redirect_entries(&mut self) {
        let frame = self.redirect_frame();
        let entries = self.hub.reachable_entries(self.now);
        self.outputs.push(Output::Multicast { to: entries, frame });
        self.hub.release_subscribers();
    }

    /// Builds the frame that redirects an instance from this core to the leader.
    pub(crate) fn redirect_frame(&self) -> Frame {
        let (from, cores) = (self.link.local_peer().address, self.link.cores());
        Frame::Redirect { from, leader: self.known_leader(), cores }
    }

    /// Calls `build` with the hub and this core's view as the source of updates; returns `None`
    /// without a change history.
    fn with_follower_source<T>(
        &mut self,
        build: impl FnOnce(&mut Hub, &UpdateSource<'_>, FleetStatus) -> Option<T>,
    ) -> Option<T> {
        let (from, route_table) = (self.link.local_peer().address, self.newest_route_table());
        let status = self.follower_fleet_status();
        let ack_requested = self.aggregator.awaited_progress.exceeds(&self.aggregate_progress());
        let unix_ms = self.link.agreed_unix_ms(self.now);
        let (link, hub): (&Link, &mut Hub) = (&self.link, &mut self.hub);
        let view = link.view();
        let source = UpdateSource {
            from,
            leader: link.last_leader().unwrap_or(from),
            leader_contact_age: view
                .leader_heard_at
                .map_or(Duration::MAX, |heard| self.now.saturating_sub(heard)),
            term: view.version.term,
            records: &FollowerRecords { view, history: link.history()? },
            route_table: route_table.as_ref(),
            blocklist: &view.blocklist,
            rollout_plans: &view.rollout_plans,
            limits: &view.limits,
            version_history: &view.version_history,
            changes: link.change_numbers(),
            ack_requested,
            unix_ms,
        };
        build(hub, &source, status)
    }

    /// Builds the fleet status for entries from what the leader has sent.
    fn follower_fleet_status(&self) -> FleetStatus {
        let view = self.link.view();
        let time_slot = view.time_slot.map(|slot| TimeSlot { index: 0, ..slot });
        FleetStatus {
            cores: self.link.cores(),
            parent_cores: Vec::new(),
            incarnation: self.link.local_peer().incarnation,
            sequence: 0,
            entry_count: view.entry_count,
            plans_change: self.link.change_numbers().plans,
            plans_age: view
                .plans_confirmed_at
                .map(|confirmed_at| self.now.saturating_sub(confirmed_at)),
            time_slot,
            list_entries: false,
        }
    }
}
