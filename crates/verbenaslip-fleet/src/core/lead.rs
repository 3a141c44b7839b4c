//! What a core does while it leads.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::Instance;
use verbenaslip_replica::config::Change;
use verbenaslip_replica::voter::Voter;

use crate::clock;
use crate::core::{Core, Output, address_of};
use crate::frame::{FleetStatus, Frame, Heartbeat};
use crate::hub::{Hub, PendingPush, UpdateSource};
use crate::limit::TimeSlot;
use crate::parent::{self, MAX_DIRECT_ENTRIES};
use crate::quota::LoanRequest;
use crate::registry::{Change as RegistryChange, Record, Run, Status};
use crate::replicated_state::Command;
use crate::view::Version;
use crate::voucher::RenewalMark;

/// After this absence a voter is replaced by a core that has none. Killed machines are back within
/// a few seconds; a replacement costs a copy of the log and is of use only for good.
const ABSENCE: Duration = Duration::from_secs(6);

/// How long a new leader waits before it takes the instances that have reported to it for all there
/// are: they look for a new leader after three missed beats.
pub(super) const GATHER: Duration = Duration::from_millis(700);

/// Between two pushes of changes: short beside the time in which an upstream's leaving must be
/// known, long beside the time that a push to all instances takes.
const PUSH: Duration = Duration::from_millis(40);

/// The same for each instance of a large fleet, so that pushes take a third of a small core's time at most.
const PUSH_EACH: Duration = Duration::from_micros(400);

/// How long an instance that has nothing yet waits for others like it: its callers wait as well.
const WELCOME: Duration = Duration::from_millis(30);

/// Upstreams that fall silent at the same moment and are told of by a line each: a core that is lost takes hundreds.
const LISTED: usize = 64;

impl Core {
    /// Returns when the instances that report to this leader are all there are.
    pub(crate) fn settled_at(&self) -> Duration {
        self.reign.map_or(Duration::MAX, |reign| reign.since + GATHER)
    }

    /// Tells whether the instances that report to this leader are all there are.
    pub(crate) fn is_settled(&self) -> bool {
        self.gathered || self.now >= self.settled_at()
    }

    /// Looks whether as many entries have reported as there were under the leader before.
    fn gather(&mut self) {
        let Some(expected) = self.expected.filter(|_| !self.is_settled()) else { return };
        self.gathered = self.hub.reachable_entry_count(self.now) >= expected;
    }

    /// Has the upstreams committed that have come, one command at a time.
    fn note_joins(&mut self) {
        if self.noting_joins.is_some() || self.joining.is_empty() {
            return;
        }
        let joining = std::mem::take(&mut self.joining);
        let records = self.registry.records().filter(|it| {
            let run = &it.announcement.run;
            it.status == Status::Ready
                && joining.contains(&run.upstream)
                && !self.ledger.contains_run(run)
        });
        let records: Vec<Record> = records.cloned().collect();
        if !records.is_empty() {
            self.noting_joins = Some(self.propose(&Command::AddUpstreams { records }));
        }
    }

    /// Has the log forget runs that are lost.
    ///
    /// Noted as departures they would be refused, under the next leader, when they come back.
    fn note_lost(&mut self, lost: Vec<Run>) {
        let runs: Vec<Run> = lost.into_iter().filter(|run| self.ledger.contains_run(run)).collect();
        if !runs.is_empty() {
            self.propose(&Command::RemoveRuns { runs });
        }
    }

    /// Takes an instance's report and answers it.
    pub(crate) fn take_heartbeat(&mut self, heartbeat: Heartbeat) {
        let (to, own) = (heartbeat.peer.address, self.link.own().address);
        if heartbeat.parent.is_some_and(|parent| parent != own) {
            return self.hub.forget(to);
        }
        let Some(reign) = self.reign else { return self.take_as_follower(heartbeat) };
        if self.send_to_site(&heartbeat) {
            return;
        }
        self.take_marks(&heartbeat.marks);
        self.take_rollouts(&heartbeat);
        self.take_limits(&heartbeat.limits);
        heartbeat.departing.iter().for_each(|run| self.take_leaving(run));
        self.hub.handle_heartbeat(self.now, reign.term, self.link.number(), heartbeat);
        self.gather();
        self.advance_spread();
        self.tell(to);
        if self.hub.is_new(to, reign.term) {
            self.push_at = self.push_at.min(self.now + WELCOME);
        } else if self.hub.is_behind(to, self.registry.last_change(), self.ledger.revision()) {
            self.push_soon();
        }
    }

    /// Takes a report while this core does not lead.
    fn take_as_follower(&mut self, heartbeat: Heartbeat) {
        if heartbeat.parent.is_some() && self.serves_entries() {
            return self.take_below(heartbeat);
        }
        self.sought(&heartbeat);
        let elsewhere = self.elsewhere();
        self.send(heartbeat.peer.address, elsewhere);
    }

    /// Sends an entry to a core that hears it in this one's place; returns whether it is none of this one's.
    ///
    /// A leader that has just begun and hears no other core yet leaves the entries of a large fleet waiting a moment:
    /// told everything here, hundreds of them would take all of its time.
    fn send_to_site(&mut self, heartbeat: &Heartbeat) -> bool {
        let many = self.hub.entry_count().max(self.expected.unwrap_or(0)) > MAX_DIRECT_ENTRIES;
        if heartbeat.peer.voter.is_some() || !many {
            return false;
        }
        let to = heartbeat.peer.address;
        let mut sites = self.hub.parent_cores(self.now);
        sites.retain(|site| Some(site.address) != heartbeat.lost_parent);
        let Some(core) = parent::choose(&sites, to, &heartbeat.peer.zone) else {
            return !self.is_settled();
        };
        self.hub.forget(to);
        self.send(to, Frame::ReportTo { core });
        true
    }

    /// Lends units of teams' limits.
    pub(crate) fn lend(&mut self, to: SocketAddr, loans: &[LoanRequest]) {
        let lent = self.hub.grant_loans(loans);
        self.send(to, Frame::GrantLoans(lent));
    }

    /// Takes a core's word of the upstreams that have called it.
    fn take_marks(&mut self, marks: &[RenewalMark]) {
        for mark in marks {
            if self.registry.vouch(self.now, mark) == RegistryChange::Updated {
                self.push_soon();
                self.note_upstream(&mark.run.upstream);
            }
        }
    }

    /// Takes the word of an instance that it has what somebody waits for.
    pub(crate) fn seen(&mut self, address: SocketAddr, stamp: Version, revision: u64) {
        let term = self.reign.map_or(self.link.view().version.term, |reign| reign.term);
        if stamp.term == term {
            self.hub.handle_acknowledgement(self.now, address, stamp.change, revision);
        }
        if self.is_leading() {
            self.advance_spread();
        } else {
            self.confirm_soon();
        }
    }

    /// Tells whoever lacks something, without waiting for its next report.
    ///
    /// Changes that come close together go out together. Where upstreams are replaced one after the
    /// other, a message to every instance for each of them would take all of the leader's time.
    pub(crate) fn push_updates(&mut self) {
        if self.now < self.push_at {
            return;
        }
        if !self.is_leading() {
            return self.push_below();
        }
        let behind = self.hub.lagging_subscribers(
            self.now,
            self.registry.last_change(),
            self.ledger.revision(),
        );
        if behind.is_empty() {
            self.push_at = Duration::MAX;
            return;
        }
        self.push_at = self.now + self.push_pause();
        self.push(&behind);
    }

    /// Has what has changed told soon.
    pub(crate) fn push_soon(&mut self) {
        self.push_at = self.push_at.min(self.now + self.push_pause());
    }

    /// Returns the time between two pushes.
    pub(crate) fn push_pause(&self) -> Duration {
        PUSH.max(PUSH_EACH * u32::try_from(self.hub.len()).unwrap_or(u32::MAX))
    }

    /// Looks at what is due from time to time.
    pub(crate) fn sweep(&mut self) {
        if self.is_leading() {
            self.known_to_all = self.hub.acknowledged_by_all(self.now);
        }
        self.advance_calls();
        if self.reign.is_none() {
            return self.tend_branch();
        }
        let sheet = self.ledger.current_table().map(|edition| edition.table.clone());
        self.hub.refresh(self.now, sheet.as_deref());
        self.hub.update_time_offset(self.now, clock::offset_ms(self.now, self.unix));
        self.known_cores = self.cores();
        let lapse = self.registry.tick(self.now);
        self.note_lost(lapse.lost);
        self.note_departures();
        self.note_joins();
        if lapse.changed {
            self.push_soon();
            lapse.silent.iter().take(LISTED).for_each(|upstream| self.note_upstream(upstream));
        }
        self.tend_voters();
        self.tend_quarantine();
        self.tend_rollouts();
        self.tend_limits();
        self.close_windows();
        self.order();
    }

    /// Answers an instance's report.
    fn tell(&mut self, to: SocketAddr) {
        let round = self.round(to);
        let update = self.with_hub(false, |hub, source| hub.heartbeat_answer(to, source, round));
        if let Some(update) = update.flatten() {
            self.send(to, Frame::Update(Box::new(update)));
        }
    }

    /// Says how the fleet stands.
    fn round(&self, to: SocketAddr) -> FleetStatus {
        let is_core = self.hub.peer(to).is_some_and(|peer| peer.voter.is_some());
        let of = self.hub.places().max(1);
        FleetStatus {
            cores: self.known_cores.clone(),
            parent_cores: if is_core { self.hub.parent_cores(self.now) } else { Vec::new() },
            incarnation: self.link.own().incarnation,
            sequence: 0,
            entry_count: u32::try_from(self.hub.entry_count()).unwrap_or(u32::MAX),
            plans_change: self.planned,
            plans_age: Some(Duration::ZERO),
            time_slot: Some(TimeSlot { index: 0, count: of }),
            list_entries: self.needs_entries(),
        }
    }

    /// Tells whether something is decided by which entries there are.
    fn needs_entries(&self) -> bool {
        !self.quarantine.blocklist().quarantined.is_empty() || self.has_rollouts()
    }

    /// Tells instances what they lack, between their reports.
    fn push(&mut self, to: &[SocketAddr]) {
        let now = self.now;
        let pushes = self.with_hub(self.spreads(), |hub, source| hub.push_updates(now, to, source));
        for PendingPush { to, update } in pushes.unwrap_or_default() {
            self.out.push(Output::Multicast { to, frame: Frame::Update(Box::new(update)) });
        }
    }

    /// Has the hub tell from what is known here; none while this core does not lead.
    fn with_hub<T>(
        &mut self,
        urgent: bool,
        tell: impl FnOnce(&mut Hub, &UpdateSource<'_>) -> T,
    ) -> Option<T> {
        let (term, unix) = (self.reign?.term, self.agreed());
        let mut hub = std::mem::take(&mut self.hub);
        let own = self.link.own().address;
        let source = UpdateSource {
            from: own,
            leader: own,
            leader_contact_age: Duration::ZERO,
            term,
            records: &self.registry,
            route_table: self.ledger.current_table().map(|edition| &edition.table),
            blocklist: self.quarantine.blocklist(),
            rollout_plans: &self.plans,
            limits: &self.limits,
            changes: self.changes(),
            ack_requested: urgent,
            unix_ms: unix,
        };
        let told = tell(&mut hub, &source);
        self.hub = hub;
        Some(told)
    }

    /// Returns where cores are reached: the voters, and those that may become one.
    pub(crate) fn cores(&self) -> Vec<SocketAddr> {
        let voters = self.replica.voters().members();
        let mut cores: Vec<SocketAddr> =
            voters.filter_map(|voter| address_of(&voter.instance)).collect();
        cores.extend(self.hub.reachable_cores(self.now).map(|peer| peer.address));
        cores.sort_unstable();
        cores.dedup();
        cores
    }

    /// Keeps as many voters as are wanted, on cores that answer.
    ///
    /// A core that is replaced by another machine leaves the log with one voter less. Unless the
    /// new one takes its place, the next loss would stop all changes, which shows as edits that are
    /// never acknowledged.
    fn tend_voters(&mut self) {
        if self.changing.is_some() || self.replica.voters().is_joint() {
            return;
        }
        let voters: Vec<Voter> = self.replica.voters().voters.clone();
        if let Some(new) = self.emptied(&voters) {
            return self.change(Change::Replace { old: new.instance.clone(), new });
        }
        let is_voter = |voter: &Voter| voters.iter().any(|it| it.instance == voter.instance);
        let spare = self.hub.reachable_cores(self.now).filter_map(|peer| peer.voter.clone());
        let Some(spare) = spare.into_iter().find(|voter| !is_voter(voter)) else {
            self.absent.clear();
            return;
        };
        if voters.len() < self.setup.voters {
            return self.change(Change::Add(spare));
        }
        if let Some(old) = self.long_absent(&voters) {
            self.change(Change::Replace { old, new: spare });
        }
    }

    /// Finds a voter whose instance runs another folder than the one that votes: its disk was lost.
    ///
    /// The log tells of it as well, but once, and maybe before this leader's lease has begun. One
    /// would notice it at the next lost disk: of three voters only one would be left.
    fn emptied(&self, voters: &[Voter]) -> Option<Voter> {
        let others = self.hub.reachable_cores(self.now).filter_map(|peer| peer.voter.as_ref());
        let lost =
            |it: &&Voter| voters.iter().any(|voter| voter.instance == it.instance && voter != *it);
        others.into_iter().find(lost).cloned()
    }

    fn long_absent(&mut self, voters: &[Voter]) -> Option<Instance> {
        let own = self.replica.voter().instance;
        let heard: Vec<SocketAddr> =
            self.hub.reachable_cores(self.now).map(|peer| peer.address).collect();
        let present = |it: &Instance| address_of(it).is_some_and(|it| heard.contains(&it));
        for voter in voters {
            if voter.instance == own || present(&voter.instance) {
                self.absent.remove(&voter.instance);
            } else {
                self.absent.entry(voter.instance.clone()).or_insert(self.now);
            }
        }
        let now = self.now;
        let long = |since: &Duration| now.saturating_sub(*since) >= ABSENCE;
        let found = self.absent.iter().find(|(_, since)| long(since));
        let found = found.map(|(instance, _)| instance.clone());
        found.filter(|instance| voters.iter().any(|voter| voter.instance == *instance))
    }
}
