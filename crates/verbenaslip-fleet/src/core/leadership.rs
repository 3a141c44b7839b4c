//! Start and end of a leadership: restored state, notified instances, and the state that is kept
//! afterward.

use std::time::Duration;

use crate::core::{Core, Event, Leadership};
use crate::departure::Departure;
use crate::frame::{Frame, Heartbeat};
use crate::history::History;
use crate::hub::{ChangeNumbers, Progress};
use crate::link::LeaderState;
use crate::registry::{Propagation, Record, Status};
use crate::view::Version;

/// How long an instance counts as looking for a leader after its last attempt; covers two attempts.
const SEEKER_TIMEOUT: Duration = Duration::from_millis(1_600);

/// Maximum number of remembered instances that look for a leader; above it, expired ones are
/// dropped.
const MAX_SEEKERS: usize = 1_024;

/// Records an instance that looks for a leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaderSeeker {
    /// When the instance last sent a heartbeat here.
    last_asked: Duration,
    /// Whether the instance is an entry.
    is_entry: bool,
}

impl Core {
    /// Starts or ends the leadership of this core according to the lease.
    pub(crate) fn update_leadership(&mut self) {
        let leased = self.replica.lease_until(self.now).is_some_and(|until| until > self.now);
        let term = self.replica.term();
        match self.leadership {
            Some(leadership) if leased && leadership.term == term => {}
            None if !leased => {}
            _ if leased && self.may_resume(term) => self.resume_leadership(term),
            _ if leased => self.start_leadership(term),
            _ => self.end_leadership(),
        }
    }

    /// Returns whether this core holds the lease of the same term again, so that no other core can
    /// have led in between.
    fn may_resume(&self, term: u64) -> bool {
        self.lapsed_term == Some(term) && self.link.view().version.term <= term
    }

    /// Resumes leadership with the state from before the lease lapsed.
    ///
    /// An overloaded core misses some rounds of the log. A full restart of the leadership would
    /// send everything to all instances again and add to the load, so that the core would restart
    /// its leadership several times a second in one term and leave calls unanswered.
    fn resume_leadership(&mut self, term: u64) {
        self.lapsed_term = None;
        // Instances that were redirected in the meantime must report again before the leader counts
        // the reports as complete.
        self.leadership = Some(Leadership { term, since: self.now });
        (self.expected_entries, self.all_reported) = (None, false);
        self.absent_since.clear();
        self.acknowledged_by_all = self.hub.acknowledged_by_all(self.now);
        self.emit(Event::LeadershipResumed { term });
        self.notify_seekers();
        self.advance_calls();
    }

    fn start_leadership(&mut self, term: u64) {
        self.leadership = Some(Leadership { term, since: self.now });
        self.lapsed_term = None;
        self.start_hub();
        self.acknowledged_by_all = Progress::default();
        self.route_table_applied_at = self.now;
        self.core_addresses = self.known_core_addresses();
        self.closing_windows.clear();
        self.planners.clear();
        self.initial_count_proposed_at.clear();
        self.proposed_counts.clear();
        self.absent_since.clear();
        self.voter_change = None;
        self.unproposed_departures.clear();
        self.departures_proposal = None;
        self.joins_proposal = None;
        let previous = self.link.view().version;
        let floor = self.link.history().map_or(previous.change, History::floor);
        let propagation = Propagation { last_change: previous.change, oldest_change: floor };
        let records = self.known_upstreams();
        let known = self.link.view().upstreams.len();
        self.unproposed_joins =
            records.iter().map(|(_, it)| it.announcement.run.upstream.clone()).collect();
        let removed = self.link.history().into_iter().flat_map(History::removed).cloned();
        let removed: Vec<(u64, Record)> = removed.collect();
        let mut departures = self.link.departures().clone();
        for Departure { run, status } in self.replicated_state.departures() {
            departures.record(self.now, &run, status);
        }
        let (upstreams, departure_count) = (records.len(), departures.len());
        self.registry.restore(
            self.now,
            propagation,
            removed.into_iter().chain(records),
            departures,
        );
        self.hub.continue_from(previous);
        self.expected_entries = self.link.recent_entry_count(self.now);
        self.all_reported = false;
        self.restore_quarantine();
        self.restore_rollouts();
        self.restore_limits();
        self.restore_versions();
        self.emit(Event::LeadershipStarted {
            term,
            upstreams,
            logged: upstreams - known,
            departures: departure_count,
            quarantined: self.quarantine.blocklist().quarantined.len(),
        });
        self.notify_seekers();
        self.schedule_push();
        self.advance_calls();
    }

    /// Returns the known upstreams, from this core's view as a follower or else from the log, each
    /// with the change that announced it.
    ///
    /// After a power loss of the whole fleet, upstreams need a second or two to announce themselves
    /// again. Without the records from the log, the first few would receive the requests of all
    /// callers that waited meanwhile, and half of these requests would time out at healthy
    /// upstreams.
    fn known_upstreams(&self) -> Vec<(u64, Record)> {
        let view = &self.link.view().upstreams;
        let newer = |it: &&Record| {
            let known = view.get(&it.announcement.run.upstream);
            known.is_none_or(|known| {
                known.announcement.run.incarnation < it.announcement.run.incarnation
            })
        };
        let history = self.link.history();
        let change = |it: &Record| {
            history.map_or(u64::MAX, |history| history.change(&it.announcement.run.upstream))
        };
        let known = view.values().map(|it| (change(it), it.clone()));
        // No other instance is known to have these records.
        let logged =
            self.replicated_state.upstreams().filter(newer).map(|it| (u64::MAX, it.clone()));
        known.chain(logged).collect()
    }

    /// Notifies the instances that recently looked for a leader that this core leads.
    ///
    /// After a power loss of the whole fleet, entries ask every core at intervals. Until their next
    /// attempt, entries without this notice would keep callers waiting although a route table is
    /// available.
    fn notify_seekers(&mut self) {
        let leader = self.link.local_peer().address;
        for seeker in std::mem::take(&mut self.leader_seekers).into_keys() {
            self.send(seeker, Frame::NewLeader { leader });
        }
    }

    /// Records an instance that asked for the leader while this core was not leading.
    pub(crate) fn record_seeker(&mut self, heartbeat: &Heartbeat) {
        if self.leader_seekers.len() >= MAX_SEEKERS {
            self.drop_expired_seekers();
        }
        let (last_asked, is_entry) = (self.now, heartbeat.peer.voter.is_none());
        self.leader_seekers.insert(heartbeat.peer.address, LeaderSeeker { last_asked, is_entry });
    }

    fn drop_expired_seekers(&mut self) {
        self.leader_seekers
            .retain(|_, seeker| self.now.saturating_sub(seeker.last_asked) <= SEEKER_TIMEOUT);
    }

    /// Prepares the hub to grant loans from the first heartbeat on.
    fn start_hub(&mut self) {
        self.drop_expired_seekers();
        let entries = self.leader_seekers.values().filter(|seeker| seeker.is_entry);
        let expected = entries.count();
        self.hub.start_leading(self.now, expected);
        let route_table =
            self.replicated_state.current_table().map(|current| current.table.clone());
        self.hub.refresh(self.now, route_table.as_deref());
    }

    /// Returns with which changes the parts beside the upstreams were published.
    pub(crate) fn change_numbers(&self) -> ChangeNumbers {
        let (blocklist, plans) = (self.blocklist_change, self.rollout_plans_change);
        let (limits, version_history) = (self.limits_change, self.versions.published_change);
        ChangeNumbers { blocklist, plans, limits, version_history }
    }

    /// Ends the leadership and hands its state to the link, which continues from it.
    fn end_leadership(&mut self) {
        let Some(leadership) = self.leadership.take() else { return };
        self.lapsed_term = Some(leadership.term);
        self.emit(Event::LeaseLost { term: leadership.term });
        let is_known = |record: &&Record| !matches!(record.status, Status::Gone | Status::Lost);
        self.link.restore(LeaderState {
            version: Version { term: leadership.term, change: self.registry.last_change() },
            records: self.registry.records().filter(is_known).cloned().collect(),
            history: self.registry.history(),
            departures: self.registry.departures().clone(),
            blocklist: self.quarantine.blocklist().clone(),
            rollout_plans: self.rollout_plans.clone(),
            limits: self.limits.clone(),
            version_history: self.versions.published.clone(),
            change_numbers: self.change_numbers(),
        });
        self.hub.release_subscribers();
        self.advance_calls();
    }
}
