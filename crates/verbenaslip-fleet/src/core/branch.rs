//! How a core that does not lead serves the entries that report to it.
//!
//! It tells them what it hears from the leader, and passes on what they report: all of it in one report of its own, so
//! that the leader has as much to do however many entries there are.

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

/// How long after the leader was heard a core still serves its entries: longer than it takes to elect another one, and
/// shorter than the time after which a core that is cut off must not be followed any more.
const OUT_OF_TOUCH: Duration = Duration::from_millis(1_500);

/// How long what entries ask for or confirm is gathered: most of what belongs together comes within a few milliseconds.
const GATHER: Duration = Duration::from_millis(5);

/// How long the answer to a loan that was passed on is awaited; an entry waits for less.
const LOAN: Duration = Duration::from_secs(1);

/// Keeps what is on its way between the leader and the entries below a core.
#[derive(Debug, Default)]
pub(crate) struct Branch {
    /// Limits that entries have learnt from upstreams.
    limits: BTreeMap<Run, Limit>,
    /// Upstreams that have said to an entry that they go.
    leaving: BTreeSet<Run>,
    refunds: BTreeMap<Team, f64>,
    rollouts: BTreeMap<SocketAddr, RelayedReport>,
    /// Loans that are passed on with the next message to the leader.
    asked: Vec<LoanRequest>,
    /// Loans that were passed on, by the name that they have here.
    borrowed: BTreeMap<u64, Borrowed>,
    /// What the leader waits for until all entries have it.
    awaited: Progress,
    /// What it was told of that.
    told: Progress,
    /// When it is told next.
    due: Option<Duration>,
}

/// Remembers whose a loan is.
#[derive(Debug)]
struct Borrowed {
    entry: SocketAddr,
    id: u64,
    at: Duration,
}

/// Holds the upstreams as a core was told of them.
struct Replica<'a> {
    view: &'a View,
    history: &'a History,
}

impl ChangeSource for Replica<'_> {
    fn last_change(&self) -> u64 {
        self.view.version.change
    }

    fn has_changes_since(&self, change: u64) -> bool {
        change >= self.history.floor()
    }

    fn changes_since(&self, change: u64) -> Option<Vec<Record>> {
        let newer = |upstream: &Upstream| self.history.change(upstream) > change;
        let there = self.view.upstreams.iter().filter(|(upstream, _)| newer(upstream));
        let gone = self.history.removed().filter(|(removed, _)| *removed > change);
        let records = there.map(|(_, record)| record).chain(gone.map(|(_, record)| record));
        self.has_changes_since(change).then(|| records.cloned().collect())
    }

    fn all(&self) -> Vec<Record> {
        self.view.upstreams.values().cloned().collect()
    }
}

impl Branch {
    /// Returns when something is due.
    pub(crate) fn wake(&self) -> Duration {
        self.due.unwrap_or(Duration::MAX)
    }

    fn soon(&mut self, now: Duration) {
        self.due.get_or_insert(now + GATHER);
    }

    /// Takes from an entry's report what is passed on.
    fn take(&mut self, heartbeat: &mut Heartbeat) {
        for Observation { run, limit } in std::mem::take(&mut heartbeat.limits) {
            let known = self.limits.entry(run).or_insert(limit);
            if limit.reported_at_ms > known.reported_at_ms {
                *known = limit;
            }
        }
        self.leaving.extend(std::mem::take(&mut heartbeat.departing));
        for Refund { team, units } in std::mem::take(&mut heartbeat.refunds) {
            *self.refunds.entry(team).or_default() += units;
        }
        let reports = std::mem::take(&mut heartbeat.rollouts);
        if !reports.is_empty() {
            let (address, incarnation) = (heartbeat.peer.address, heartbeat.peer.incarnation);
            let origin = EntryRun { address, incarnation };
            let report = RelayedReport { origin, sequence: heartbeat.sequence, reports };
            self.rollouts.insert(address, report);
        }
    }
}

impl Core {
    /// Takes the report of an entry that reports to this core, and answers it.
    pub(crate) fn take_below(&mut self, mut heartbeat: Heartbeat) {
        let to = heartbeat.peer.address;
        let term = self.link.view().version.term;
        self.branch.take(&mut heartbeat);
        let zone = heartbeat.peer.zone.clone();
        self.hub.handle_heartbeat(self.now, term, self.link.number(), heartbeat);
        self.confirm_soon();
        let Some(update) =
            self.with_branch(|hub, source, round| hub.heartbeat_answer(to, source, round))
        else {
            return;
        };
        self.send(to, Frame::Update(Box::new(update)));
        let Version { change, .. } = self.link.view().version;
        if self.hub.is_behind(to, change, self.revision()) {
            self.push_soon();
        }
        let core = parent::choose(self.link.sites(), to, &zone);
        if let Some(core) = core.filter(|core| *core != self.link.own().address) {
            self.send(to, Frame::ReportTo { core });
        }
    }

    /// Tells whether this core serves entries that report to it.
    pub(crate) fn serves_entries(&self) -> bool {
        let heard = self.link.view().leader_heard_at;
        let lately = heard.is_some_and(|heard| self.now.saturating_sub(heard) <= OUT_OF_TOUCH);
        lately && !self.is_leading() && !self.stopping
    }

    /// Takes an update of the leader.
    pub(crate) fn updated(&mut self, update: Update) {
        let (before, whole, urgent) =
            (self.link.view().version, update.base.is_none(), update.ack_requested);
        self.link.handle_update(self.now, update);
        let stamp = self.link.view().version;
        if stamp.term != before.term {
            self.hub.continue_from(if whole { Version::default() } else { before });
            // Another leader counts changes in its own way.
            (self.branch.awaited, self.branch.told) = (Progress::default(), Progress::default());
        }
        if urgent {
            self.branch.awaited = self.own_knowledge();
            self.confirm_soon();
        }
        if urgent && stamp != before {
            self.push_at = self.push_at.min(self.now);
        } else if stamp != before {
            self.push_soon();
        }
    }

    /// Tells entries what they lack, between their reports.
    pub(crate) fn push_below(&mut self) {
        let stamp = self.link.view().version;
        let behind = self.hub.lagging_subscribers(self.now, stamp.change, self.revision());
        if behind.is_empty() {
            self.push_at = Duration::MAX;
            return;
        }
        self.push_at = self.now + self.push_pause();
        let now = self.now;
        let pushes =
            self.with_branch(|hub, source, _| Some(hub.push_updates(now, &behind, source)));
        for PendingPush { to, update } in pushes.unwrap_or_default() {
            self.out.push(Output::Multicast { to, frame: Frame::Update(Box::new(update)) });
        }
    }

    /// Returns the revision of the newest route table that is in force.
    pub(crate) fn revision(&self) -> u64 {
        self.sheet().map_or(0, |sheet| sheet.revision)
    }

    /// Returns the newest route table: the leader may tell of it before the log does, or after.
    pub(crate) fn sheet(&self) -> Option<Arc<RouteTable>> {
        let told = self.link.view().routes.as_ref().map(|routes| routes.route_table().clone());
        let logged = self.ledger.current_table().map(|edition| edition.table.clone());
        told.into_iter().chain(logged).max_by_key(|sheet| sheet.revision)
    }

    /// Returns what this core has itself.
    fn own_knowledge(&self) -> Progress {
        Progress { change: self.link.view().version.change, revision: self.revision() }
    }

    /// Returns what this core and all entries have that report to it and answer.
    fn covered(&self) -> Progress {
        self.own_knowledge().min(self.hub.acknowledged_by_all(self.now))
    }

    /// Has the leader told soon that all entries have what it waits for, if they do.
    pub(crate) fn confirm_soon(&mut self) {
        if self.branch.awaited.exceeds(&self.branch.told) && !self.is_leading() {
            self.branch.soon(self.now);
        }
    }

    /// Looks whether entries have fallen silent, and numbers the others.
    pub(crate) fn tend_branch(&mut self) {
        let first = self.link.view().time_slot.map_or(0, |turn| turn.index);
        self.hub.assign_time_slots(self.now, first);
        self.confirm_soon();
        let now = self.now;
        self.branch.borrowed.retain(|_, loan| now.saturating_sub(loan.at) <= LOAN);
    }

    /// Passes on what was gathered.
    pub(crate) fn pass_on(&mut self) {
        if self.now < self.branch.wake() {
            return;
        }
        self.branch.due = None;
        // Passed on later, they would be lent when nobody waits any more.
        let loans = std::mem::take(&mut self.branch.asked);
        let Some(leader) = self.leader() else { return };
        let from = self.link.own().address;
        if !loans.is_empty() {
            self.send(leader, Frame::RequestLoans { from, requests: loans });
        }
        let covered = self.covered();
        if self.branch.awaited.exceeds(&self.branch.told) && covered.exceeds(&self.branch.told) {
            self.branch.told = covered;
            let Version { term, .. } = self.link.view().version;
            let stamp = Version { term, change: covered.change };
            self.send(
                leader,
                Frame::Acknowledged { address: from, version: stamp, revision: covered.revision },
            );
        }
    }

    /// Passes on what entries ask for of teams' limits.
    pub(crate) fn pass_loans(&mut self, entry: SocketAddr, loans: Vec<LoanRequest>) {
        for LoanRequest { id, team, required: need, prefetch: ahead } in loans {
            let own = self.token();
            self.branch.borrowed.insert(own, Borrowed { entry, id, at: self.now });
            self.branch.asked.push(LoanRequest { id: own, team, required: need, prefetch: ahead });
        }
        self.branch.soon(self.now);
    }

    /// Passes on what the leader has lent to entries.
    pub(crate) fn pass_lent(&mut self, lent: Vec<LoanGrant>) {
        let mut by_entry: BTreeMap<SocketAddr, Vec<LoanGrant>> = BTreeMap::new();
        for lent in lent {
            if let Some(Borrowed { entry, id, .. }) = self.branch.borrowed.remove(&lent.id) {
                by_entry.entry(entry).or_default().push(LoanGrant { id, ..lent });
            }
        }
        for (entry, lent) in by_entry {
            self.send(entry, Frame::GrantLoans(lent));
        }
    }

    /// Makes this core's report to the leader.
    pub(crate) fn report(&mut self) -> Report {
        let known = self.link.told(self.now);
        let marks = self.voucher.take_marks(self.now);
        let covered = self.covered();
        let Version { term, .. } = self.link.view().version;
        let stamp = Version { term, change: covered.change };
        let rollouts = std::mem::take(&mut self.branch.rollouts).into_values().collect();
        let mut below = self.hub.aggregate(self.now, known, stamp, covered.revision, rollouts);
        if self.link.lists() {
            below.entry_addresses = self.hub.reachable_entries(self.now);
        }
        let limits = std::mem::take(&mut self.branch.limits).into_iter();
        let refunds = std::mem::take(&mut self.branch.refunds).into_iter();
        Report {
            marks,
            engine_work: self.hub.worked(),
            limits: limits.map(|(run, limit)| Observation { run, limit }).collect(),
            departing: std::mem::take(&mut self.branch.leaving).into_iter().collect(),
            refunds: refunds.map(|(team, units)| Refund { team, units }).collect(),
            aggregate: Some(below),
            counted_until: self.hub.counted_until(self.now),
            ..Report::default()
        }
    }

    /// Returns the leader as this core knows it.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        self.replica.leader().and_then(address_of).or_else(|| self.link.leader(self.now))
    }

    /// Sends the entries that report here to the leader, which sends them to other cores.
    pub(crate) fn send_away(&mut self) {
        let frame = self.elsewhere();
        let entries = self.hub.reachable_entries(self.now);
        self.out.push(Output::Multicast { to: entries, frame });
        self.hub.release_subscribers();
    }

    /// Says who is reported to instead of this core.
    pub(crate) fn elsewhere(&self) -> Frame {
        let (from, cores) = (self.link.own().address, self.link.cores());
        Frame::Redirect { from, leader: self.leader(), cores }
    }

    /// Has the hub tell from what this core was told; none where it knows of no change that others are known since.
    fn with_branch<T>(
        &mut self,
        tell: impl FnOnce(&mut Hub, &UpdateSource<'_>, FleetStatus) -> Option<T>,
    ) -> Option<T> {
        let (from, sheet) = (self.link.own().address, self.sheet());
        let round = self.round_below();
        let urgent = self.branch.awaited.exceeds(&self.covered());
        let unix = self.link.unix(self.now);
        let (link, hub): (&Link, &mut Hub) = (&self.link, &mut self.hub);
        let view = link.view();
        let source = UpdateSource {
            from,
            leader: link.leading().unwrap_or(from),
            leader_contact_age: view
                .leader_heard_at
                .map_or(Duration::MAX, |heard| self.now.saturating_sub(heard)),
            term: view.version.term,
            records: &Replica { view, history: link.history()? },
            route_table: sheet.as_ref(),
            blocklist: &view.blocklist,
            rollout_plans: &view.rollout_plans,
            limits: &view.limits,
            changes: link.changes(),
            ack_requested: urgent,
            unix_ms: unix,
        };
        tell(hub, &source, round)
    }

    /// Says how the fleet stands, as this core was told.
    fn round_below(&self) -> FleetStatus {
        let view = self.link.view();
        let all = view.time_slot.map(|turn| TimeSlot { index: 0, ..turn });
        FleetStatus {
            cores: self.link.cores(),
            parent_cores: Vec::new(),
            incarnation: self.link.own().incarnation,
            sequence: 0,
            entry_count: view.entry_count,
            plans_change: self.link.changes().plans,
            plans_age: view.plans_confirmed_at.map(|at| self.now.saturating_sub(at)),
            time_slot: all,
            list_entries: false,
        }
    }
}
