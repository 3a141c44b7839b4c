//! How a core begins and ends to lead: what it knows at once, whom it tells, what it leaves behind.

use std::time::Duration;

use crate::core::{Core, Event, Reign};
use crate::departure::Departure;
use crate::frame::{Frame, Heartbeat};
use crate::history::History;
use crate::hub::{Changes, Progress};
use crate::link::Knowledge;
use crate::registry::{Propagation, Record, Status};
use crate::view::Version;

/// How long after its last question an instance still looks for a leader: two questions' time.
const SEEKING: Duration = Duration::from_millis(1_600);

/// Reports, five a second, up to which an entry has just started.
const FRESH: u64 = 12;

/// The most instances that are remembered; beyond that those are dropped that no longer ask.
const SEEKERS: usize = 1_024;

/// Holds an instance that looks for a leader.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Seeker {
    /// When it asked last.
    at: Duration,
    /// Whether it forwards requests.
    entry: bool,
    /// Its reports since its start.
    reports: u64,
}

impl Core {
    /// Begins or ends to lead as the lease says.
    pub(crate) fn follow_role(&mut self) {
        let leased = self.replica.lease_until(self.now).is_some_and(|until| until > self.now);
        let term = self.replica.term();
        match self.reign {
            Some(reign) if leased && reign.term == term => {}
            None if !leased => {}
            _ if leased && self.may_resume(term) => self.resume(term),
            _ if leased => self.begin(term),
            _ => self.end(),
        }
    }

    /// Tells whether no other core can have led since this one did: it has the lease of the same term again.
    fn may_resume(&self, term: u64) -> bool {
        self.lapsed == Some(term) && self.link.view().version.term <= term
    }

    /// Goes on leading by what is known here since before the lease lapsed.
    ///
    /// A core with too much to do misses some rounds of the log. Begun anew, each time it would tell all
    /// instances everything, and so have more to do: one would notice a leader that begins several times a
    /// second under one term, and calls that nobody answers.
    fn resume(&mut self, term: u64) {
        self.lapsed = None;
        // Instances that were turned away meanwhile report again before they count as all there are.
        self.reign = Some(Reign { term, since: self.now });
        (self.expected, self.gathered) = (None, false);
        self.known_to_all = self.hub.acknowledged_by_all(self.now);
        self.note(Event::LeadershipResumed { term });
        self.call_seekers();
        self.advance_calls();
    }

    fn begin(&mut self, term: u64) {
        self.reign = Some(Reign { term, since: self.now });
        self.lapsed = None;
        self.open_hub();
        self.known_to_all = Progress::default();
        self.adopted = self.now;
        self.known_cores = self.cores();
        self.closing.clear();
        self.planners.clear();
        self.based.clear();
        self.sized.clear();
        self.absent.clear();
        self.changing = None;
        self.departing.clear();
        self.noting_departures = None;
        self.noting_joins = None;
        let before = self.link.view().version;
        let floor = self.link.history().map_or(before.change, History::floor);
        let told = Propagation { last_change: before.change, oldest_change: floor };
        let records = self.remembered();
        let known = self.link.view().upstreams.len();
        self.joining = records.iter().map(|(_, it)| it.announcement.run.upstream.clone()).collect();
        let gone = self.link.history().into_iter().flat_map(History::removed).cloned();
        let gone: Vec<(u64, Record)> = gone.collect();
        let mut departures = self.link.departures().clone();
        for Departure { run, status: standing } in self.ledger.departures() {
            departures.record(self.now, &run, standing);
        }
        let (upstreams, departed) = (records.len(), departures.len());
        self.registry.restore(self.now, told, gone.into_iter().chain(records), departures);
        self.hub.continue_from(before);
        self.expected = self.link.entries(self.now);
        self.gathered = false;
        self.open_quarantine();
        self.open_rollouts();
        self.open_limits();
        self.note(Event::LeadershipStarted {
            term,
            upstreams,
            logged: upstreams - known,
            departures: departed,
            quarantined: self.quarantine.blocklist().quarantined.len(),
        });
        self.call_seekers();
        self.push_soon();
        self.advance_calls();
    }

    /// Lists the upstreams that this core knows of as a follower, or from the log where it doesn't.
    ///
    /// After a power loss of all, upstreams announce themselves to the new leader within a second or two.
    /// Until then the few that came first would get the requests of all callers that have waited meanwhile:
    /// one would notice half of them timed out at upstreams that were fine a moment before.
    fn remembered(&self) -> Vec<(u64, Record)> {
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
        // No other instance is known to know of these.
        let logged = self.ledger.upstreams().filter(newer).map(|it| (u64::MAX, it.clone()));
        known.chain(logged).collect()
    }

    /// Tells whoever has looked for a leader a moment ago that this core leads.
    ///
    /// After a power loss of all, entries ask every core from time to time. Until the next time they would
    /// let all their callers wait, though there are routes to go by.
    fn call_seekers(&mut self) {
        let leader = self.link.own().address;
        for seeker in std::mem::take(&mut self.seekers).into_keys() {
            self.send(seeker, Frame::NewLeader { leader });
        }
    }

    /// Remembers an instance that asked for the leader while this core did not lead.
    pub(crate) fn sought(&mut self, heartbeat: &Heartbeat) {
        if self.seekers.len() >= SEEKERS {
            self.drop_seekers();
        }
        let (at, entry) = (self.now, heartbeat.peer.voter.is_none());
        self.seekers
            .insert(heartbeat.peer.address, Seeker { at, entry, reports: heartbeat.sequence });
    }

    fn drop_seekers(&mut self) {
        self.seekers.retain(|_, seeker| self.now.saturating_sub(seeker.at) <= SEEKING);
    }

    /// Prepares to grant the teams' limits from the first report on.
    fn open_hub(&mut self) {
        self.drop_seekers();
        let entries = self.seekers.values().filter(|seeker| seeker.entry);
        let expected = entries.clone().count();
        let known = self.link.entries(self.now).unwrap_or_default();
        let all_fresh = entries.clone().all(|seeker| seeker.reports <= FRESH);
        // A few that have just started beside many that go on are no start of all.
        let restarted = expected > known / 2 && all_fresh;
        self.hub.start_leading(self.now, expected, restarted);
        let sheet = self.ledger.current_table().map(|edition| edition.table.clone());
        self.hub.refresh(self.now, sheet.as_deref());
    }

    /// Returns by which changes what is told whole is so.
    pub(crate) fn changes(&self) -> Changes {
        let (blocklist, plans) = (self.blocklist_change, self.planned);
        Changes { blocklist, plans, limits: self.limits_change }
    }

    /// Keeps what was led by for the time after.
    fn end(&mut self) {
        let Some(reign) = self.reign.take() else { return };
        self.lapsed = Some(reign.term);
        self.note(Event::LeaseLost { term: reign.term });
        let is_there = |it: &&Record| !matches!(it.status, Status::Gone | Status::Lost);
        self.link.keep(Knowledge {
            stamp: Version { term: reign.term, change: self.registry.last_change() },
            records: self.registry.records().filter(is_there).cloned().collect(),
            history: self.registry.history(),
            departures: self.registry.departures().clone(),
            blocklist: self.quarantine.blocklist().clone(),
            plans: self.plans.clone(),
            limits: self.limits.clone(),
            changes: self.changes(),
        });
        self.hub.release_subscribers();
        self.advance_calls();
    }
}
