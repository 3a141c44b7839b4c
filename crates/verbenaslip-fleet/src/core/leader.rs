//! Work of a core while it leads.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_replica::input as replica;

use crate::clock;
use crate::core::voters::SPARE_SILENCE;
use crate::core::{Core, Output, address_of};
use crate::frame::{FleetStatus, Frame, Heartbeat, Trailing};
use crate::hub::{Hub, PendingPush, UpdateSource};
use crate::limit::TimeSlot;
use crate::parent::{self, MAX_DIRECT_ENTRIES};
use crate::quota::LoanRequest;
use crate::registry::{Change as RegistryChange, Record, Run, Status};
use crate::replicated_state::{Command, VersionNews};
use crate::view::Version;
use crate::voucher::RenewalMark;

/// How long a new leader waits before it considers its subscribers complete; instances look for a
/// new leader after three missed heartbeats.
pub(super) const REPORT_GATHERING_TIME: Duration = Duration::from_millis(700);

/// Minimum time between pushes of changes: short compared to the time within which departures must
/// be acknowledged, and long compared to the time that a push to all instances takes.
const PUSH_INTERVAL: Duration = Duration::from_millis(40);

/// Additional lower bound per instance, so that pushes in a large fleet take at most a third of the
/// time of a small core.
const PUSH_INTERVAL_PER_INSTANCE: Duration = Duration::from_micros(400);

/// How long the first push to a new subscriber waits for other new ones; short, since callers wait
/// as well.
const NEW_SUBSCRIBER_PUSH_DELAY: Duration = Duration::from_millis(30);

/// Maximum number of upstreams that fall silent together and get an event each; the loss of a core
/// affects hundreds.
const MAX_LISTED_SILENT: usize = 64;

impl Core {
    /// Returns when the leader considers its subscribers complete, at the latest.
    pub(crate) fn gathering_ends_at(&self) -> Duration {
        self.leadership.map_or(Duration::MAX, |leadership| leadership.since + REPORT_GATHERING_TIME)
    }

    /// Returns whether the leader considers its subscribers complete.
    pub(crate) fn has_gathered_reports(&self) -> bool {
        self.all_reported || self.now >= self.gathering_ends_at()
    }

    /// Checks whether as many entries have reported as there were under the previous leader.
    fn check_gathered(&mut self) {
        let Some(expected) = self.expected_entries.filter(|_| !self.has_gathered_reports()) else {
            return;
        };
        self.all_reported = self.hub.reachable_entry_count(self.now) >= expected;
    }

    /// Proposes the newly announced upstreams, one command at a time.
    pub(crate) fn propose_joins(&mut self) {
        if self.joins_proposal.is_some() || self.unproposed_joins.is_empty() {
            return;
        }
        let announced = std::mem::take(&mut self.unproposed_joins);
        let records = self.registry.records().filter(|record| {
            let run = &record.announcement.run;
            record.status == Status::Ready
                && announced.contains(&run.upstream)
                && !self.replicated_state.contains_run(run)
        });
        let records: Vec<Record> = records.cloned().collect();
        if !records.is_empty() {
            self.joins_proposal = Some(self.propose_upstreams(records));
        }
    }

    /// Proposes upstreams for the log, with what is known of versions; returns the token.
    pub(crate) fn propose_upstreams(&mut self, records: Vec<Record>) -> u64 {
        let announced = self.versions.unlogged.iter().cloned().collect();
        // The time of day is this instance's own until others have reported. A version that left by
        // a clock that is behind would have left before its last streams began.
        let is_complete = records.is_empty() && self.has_gathered_reports() && !self.hub.is_empty();
        let versions = VersionNews { unix: self.agreed_unix_ms(), announced, is_complete };
        self.propose(&Command::AddUpstreams { records, versions: Trailing(versions) })
    }

    /// Proposes that the log forget lost runs.
    ///
    /// A departure would be wrong here, since the next leader would refuse these runs when they
    /// come back.
    fn propose_lost(&mut self, lost: Vec<Run>) {
        let runs: Vec<Run> =
            lost.into_iter().filter(|run| self.replicated_state.contains_run(run)).collect();
        if !runs.is_empty() {
            self.propose(&Command::RemoveRuns { runs });
        }
    }

    /// Handles the heartbeat of an instance and answers it.
    pub(crate) fn handle_heartbeat(&mut self, heartbeat: Heartbeat) {
        let (to, own_address) = (heartbeat.peer.address, self.link.local_peer().address);
        if heartbeat.parent.is_some_and(|parent| parent != own_address) {
            return self.hub.forget(to);
        }
        let Some(leadership) = self.leadership else {
            return self.handle_heartbeat_as_follower(heartbeat);
        };
        if self.redirect_to_parent(&heartbeat) {
            return;
        }
        self.handle_renewal_marks(&heartbeat.marks);
        self.handle_rollout_reports(&heartbeat);
        self.handle_observed_limits(&heartbeat.limits);
        heartbeat.departing.iter().for_each(|run| self.handle_reported_departure(run));
        self.record_measurements(&heartbeat);
        self.hub.handle_heartbeat(self.now, leadership.term, self.link.last_sequence(), heartbeat);
        self.check_gathered();
        self.advance_acknowledged_calls();
        if self.hub.stopping_core(to).is_some() {
            self.maintain_voters();
        }
        self.answer_heartbeat(to);
        if self.hub.is_new(to, leadership.term) {
            self.next_push = self.next_push.min(self.now + NEW_SUBSCRIBER_PUSH_DELAY);
        } else if self.hub.is_behind(
            to,
            self.registry.last_change(),
            self.replicated_state.revision(),
        ) {
            self.schedule_push();
        }
    }

    /// Handles a heartbeat while this core does not lead.
    fn handle_heartbeat_as_follower(&mut self, heartbeat: Heartbeat) {
        if heartbeat.parent.is_some() && self.serves_entries() {
            return self.handle_entry_heartbeat(heartbeat);
        }
        self.record_seeker(&heartbeat);
        let redirect = self.redirect_frame();
        self.send(heartbeat.peer.address, redirect);
    }

    /// Assigns a parent core to an entry; returns whether this leader must not serve the entry
    /// itself.
    ///
    /// In a large fleet, a new leader that has heard no other core yet leaves entries waiting for a
    /// moment. Serving hundreds of them itself would take all of its time.
    fn redirect_to_parent(&mut self, heartbeat: &Heartbeat) -> bool {
        let is_large_fleet =
            self.hub.entry_count().max(self.expected_entries.unwrap_or(0)) > MAX_DIRECT_ENTRIES;
        if heartbeat.peer.voter.is_some() || !is_large_fleet {
            return false;
        }
        let to = heartbeat.peer.address;
        let mut parent_cores = self.hub.parent_cores(self.now);
        parent_cores.retain(|candidate| Some(candidate.address) != heartbeat.lost_parent);
        let Some(core) = parent::choose(&parent_cores, to, &heartbeat.peer.zone) else {
            return !self.has_gathered_reports();
        };
        self.hub.forget(to);
        self.send(to, Frame::ReportTo { core });
        true
    }

    /// Grants loans on the teams' rate limits.
    pub(crate) fn grant_loans(&mut self, to: SocketAddr, requests: &[LoanRequest]) {
        let grants = self.hub.grant_loans(requests);
        self.send(to, Frame::GrantLoans(grants));
    }

    /// Handles the renewal marks of a core that vouches for upstreams.
    fn handle_renewal_marks(&mut self, marks: &[RenewalMark]) {
        for mark in marks {
            if self.registry.vouch(self.now, mark) == RegistryChange::Updated {
                self.schedule_push();
                self.emit_upstream(&mark.run.upstream);
            }
        }
    }

    /// Handles an instance's acknowledgement of an update.
    pub(crate) fn handle_acknowledgement(
        &mut self,
        address: SocketAddr,
        version: Version,
        revision: u64,
    ) {
        let term =
            self.leadership.map_or(self.link.view().version.term, |leadership| leadership.term);
        if version.term == term {
            self.hub.handle_acknowledgement(self.now, address, version.change, revision);
        }
        if self.is_leading() {
            self.advance_acknowledged_calls();
        } else {
            self.schedule_acknowledgement();
        }
    }

    /// Pushes changes to the instances that lack them, without waiting for their heartbeats.
    ///
    /// Changes that occur shortly after one another are sent together. During the replacement of
    /// many upstreams, a message to every instance for each change would take all of the leader's
    /// time.
    pub(crate) fn push_updates(&mut self) {
        if self.now < self.next_push {
            return;
        }
        if !self.is_leading() {
            return self.push_to_entries();
        }
        let lagging = self.hub.lagging_subscribers(
            self.now,
            self.registry.last_change(),
            self.replicated_state.revision(),
        );
        if lagging.is_empty() {
            self.next_push = Duration::MAX;
            return;
        }
        self.next_push = self.now + self.push_interval();
        self.push_to(&lagging);
    }

    /// Schedules a push of changes.
    pub(crate) fn schedule_push(&mut self) {
        self.next_push = self.next_push.min(self.now + self.push_interval());
    }

    /// Returns the time between two pushes.
    pub(crate) fn push_interval(&self) -> Duration {
        PUSH_INTERVAL
            .max(PUSH_INTERVAL_PER_INSTANCE * u32::try_from(self.hub.len()).unwrap_or(u32::MAX))
    }

    /// Does the regular maintenance work of a leader or a parent core.
    pub(crate) fn maintain(&mut self) {
        if self.is_leading() {
            self.acknowledged_by_all = self.hub.acknowledged_by_all(self.now);
        }
        self.advance_calls();
        self.maintain_measurements();
        if self.leadership.is_none() {
            return self.maintain_aggregator();
        }
        let route_table =
            self.replicated_state.current_table().map(|current| current.table.clone());
        self.hub.refresh(self.now, route_table.as_deref());
        self.hub.update_time_offset(self.now, clock::offset_ms(self.now, self.unix_ms));
        self.core_addresses = self.known_core_addresses();
        let expirations = self.registry.tick(self.now);
        self.propose_lost(expirations.lost);
        self.propose_departures();
        self.propose_joins();
        self.propose_versions();
        if expirations.changed {
            self.schedule_push();
            expirations
                .silent
                .iter()
                .take(MAX_LISTED_SILENT)
                .for_each(|upstream| self.emit_upstream(upstream));
        }
        self.maintain_voters();
        if self.stopping {
            // A transfer may have failed, and a stopping core may have been elected.
            self.step_log(replica::Input::TransferLeadership);
        }
        self.maintain_quarantine();
        self.maintain_rollouts();
        self.remove_expired_limits();
        self.close_windows();
        self.issue_orders();
    }

    /// Answers the heartbeat of an instance.
    fn answer_heartbeat(&mut self, to: SocketAddr) {
        let fleet_status = self.fleet_status(to);
        let update = self.with_leader_source(false, |hub, source| {
            hub.heartbeat_answer(to, source, fleet_status)
        });
        if let Some(mut update) = update.flatten() {
            let released = self.released_incarnation(to);
            update.extension.0.figures = self.answer_figures(to);
            update.extension.0.later.0.latest.0.released = released;
            self.send(to, Frame::Update(Box::new(update)));
            if released.is_some() {
                self.forget_stopped(to);
            }
        }
    }

    /// Builds the fleet status for an instance.
    fn fleet_status(&self, to: SocketAddr) -> FleetStatus {
        let is_core = self.hub.peer(to).is_some_and(|peer| peer.voter.is_some());
        let slot_count = self.hub.slot_count().max(1);
        FleetStatus {
            cores: self.core_addresses.clone(),
            parent_cores: if is_core { self.hub.parent_cores(self.now) } else { Vec::new() },
            incarnation: self.link.local_peer().incarnation,
            sequence: 0,
            entry_count: u32::try_from(self.hub.entry_count()).unwrap_or(u32::MAX),
            plans_change: self.rollout_plans_change,
            plans_age: Some(Duration::ZERO),
            time_slot: Some(TimeSlot::single(0, slot_count)),
            list_entries: self.needs_entry_list(),
        }
    }

    /// Returns whether a decision depends on the list of all entries.
    fn needs_entry_list(&self) -> bool {
        !self.quarantine.blocklist().quarantined.is_empty() || self.has_rollouts()
    }

    /// Sends instances the changes that they lack.
    fn push_to(&mut self, to: &[SocketAddr]) {
        let now = self.now;
        let pushes = self.with_leader_source(self.awaits_acknowledgements(), |hub, source| {
            hub.push_updates(now, to, source)
        });
        for PendingPush { to, update } in pushes.unwrap_or_default() {
            self.outputs.push(Output::Multicast { to, frame: Frame::Update(Box::new(update)) });
        }
    }

    /// Calls `build` with the hub and the leader's state as the source of updates; returns `None`
    /// while this core does not lead.
    fn with_leader_source<T>(
        &mut self,
        ack_requested: bool,
        build: impl FnOnce(&mut Hub, &UpdateSource<'_>) -> T,
    ) -> Option<T> {
        let (term, unix_ms) = (self.leadership?.term, self.agreed_unix_ms());
        let mut hub = std::mem::take(&mut self.hub);
        let own_address = self.link.local_peer().address;
        let source = UpdateSource {
            from: own_address,
            leader: own_address,
            leader_contact_age: Duration::ZERO,
            term,
            records: &self.registry,
            route_table: self.replicated_state.current_table().map(|current| &current.table),
            blocklist: self.quarantine.blocklist(),
            rollout_plans: &self.rollout_plans,
            limits: &self.limits,
            version_history: &self.versions.published,
            changes: self.change_numbers(),
            ack_requested,
            unix_ms,
        };
        let result = build(&mut hub, &source);
        self.hub = hub;
        Some(result)
    }

    /// Returns the addresses of the voters and of the cores that may become voters, also if they are
    /// silent for a moment: the next leader would not know of them.
    ///
    /// A new leader includes those of the last leader's list until they have had time to report:
    /// entries take cores that are not listed for cores that were told of no stream.
    pub(crate) fn known_core_addresses(&self) -> Vec<SocketAddr> {
        let voters = self.replica.voters().members();
        let mut cores: Vec<SocketAddr> =
            voters.filter_map(|voter| address_of(&voter.instance)).collect();
        cores.extend(self.hub.reachable_cores(self.now).map(|peer| peer.address));
        cores.extend(self.hub.staying_cores(self.now, SPARE_SILENCE).map(|peer| peer.address));
        if self.now < self.gathering_ends_at() {
            cores.extend(&self.link.view().cores);
        }
        cores.sort_unstable();
        cores.dedup();
        cores
    }
}
