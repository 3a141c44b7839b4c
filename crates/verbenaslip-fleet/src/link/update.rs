//! What an instance takes from the updates that it is told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::frame::{FleetStatus, Update};
use crate::history::History;
use crate::limit::Limits;
use crate::link::{Link, PROMPT};
use crate::quarantine::Blocklist;
use crate::rollout::Plans;
use crate::view::Version;

impl Link {
    /// Takes a leader's update; returns whether its sender waits to hear that they are here.
    pub fn handle_update(&mut self, now: Duration, update: Update) -> bool {
        let Update {
            from,
            leader,
            leader_contact_age: heard,
            version: stamp,
            base,
            records,
            route_table: sheet,
            blocklist,
            ..
        } = update;
        let Update {
            rollout_plans: plans,
            limits,
            fleet_status: round,
            unix_ms: unix,
            ack_requested: urgent,
            ..
        } = update;
        // A leader that was cut off and does not know it yet says what is no longer so.
        if stamp.term < self.view.version.term {
            return false;
        }
        // A core that entries don't report to any more says nothing of the one that they do report to.
        if self.target == Some(from) || !self.is_parent {
            self.since = now;
            self.target = Some(from);
            self.leading = Some(leader);
            self.view.leader_heard_at =
                self.view.leader_heard_at.max(Some(now.saturating_sub(heard)));
            let sent = round.as_ref().and_then(|round| self.sent(round.sequence));
            self.tell_time(now, sent, unix);
        }
        if let Some(sheet) = sheet {
            self.view.update_route_table(&sheet);
        }
        let held = self.view.version;
        let fits = match base {
            None => true,
            Some(base) if base.term == stamp.term => held.term == stamp.term && held >= base,
            // Of the leader before, only what the new one knows that this instance has is gone on from.
            Some(base) => held == base,
        };
        if fits && stamp >= held {
            if base.is_none() && self.history.is_some() {
                self.history = Some(History::new(stamp.change));
            }
            self.merge(now, base.is_none(), stamp.change, records);
            self.take_whole(stamp.change, blocklist, plans, limits);
            self.view.version = stamp;
        }
        if let Some(round) = round {
            self.take_round(from, stamp.term, round);
        }
        urgent
    }

    /// Takes what is told whole, as far as it is told.
    fn take_whole(
        &mut self,
        change: u64,
        blocklist: Option<Arc<Blocklist>>,
        plans: Option<Arc<Plans>>,
        limits: Option<Arc<Limits>>,
    ) {
        if let Some(blocklist) = blocklist {
            (self.view.blocklist, self.changes.blocklist) = (blocklist, change);
        }
        if let Some(plans) = plans {
            (self.view.rollout_plans, self.changes.plans) = (plans, change);
        }
        if let Some(limits) = limits {
            (self.view.limits, self.changes.limits) = (limits, change);
        }
    }

    /// Takes the answer to a report.
    fn take_round(&mut self, from: SocketAddr, term: u64, round: FleetStatus) {
        self.confirm_plans(&round, term);
        let known = self.answered.filter(|it| (it.0, it.1) == (from, round.incarnation));
        let whole = self.reported.iter().any(|it| it.number == round.sequence && it.whole);
        let first = if whole { round.sequence } else { 0 };
        let number =
            known.map_or(
                first,
                |(.., number)| {
                    if number > 0 { number.max(round.sequence) } else { first }
                },
            );
        self.answered = Some((from, round.incarnation, number));
        self.view.cores = round.cores;
        self.hearsay.clear();
        self.view.entry_count = round.entry_count;
        self.view.time_slot = round.time_slot.or(self.view.time_slot);
        (self.sites, self.lists) = (round.parent_cores, round.list_entries);
    }

    /// Takes the time of day that a leader told in answer to a report that was sent at a time.
    ///
    /// What a machine that stood still finds in its connections tells a time that has passed; taken for the
    /// present one, requests would be counted into earlier windows of usage.
    fn tell_time(&mut self, now: Duration, sent: Option<Duration>, unix: u64) {
        let prompt = sent.is_some_and(|sent| now.saturating_sub(sent) <= PROMPT);
        if prompt || !self.clock.is_agreed() {
            self.clock.set_agreed(now, unix);
            self.view.time_offset_ms = crate::clock::offset_ms(now, unix);
        }
    }

    /// Takes up to which change the leader's plans go, as it answers a report.
    ///
    /// An answer may come before the plans themselves: just after a machine stood still, or from a new leader. Taken
    /// for a sign that those known here hold, requests would go to a version that has been rolled back.
    fn confirm_plans(&mut self, round: &FleetStatus, term: u64) {
        let newest = Version { term, change: round.plans_change };
        let Some((sent, age)) = self.sent(round.sequence).zip(round.plans_age) else { return };
        if self.view.version >= newest {
            self.view.plans_confirmed_at = self.view.plans_confirmed_at.max(sent.checked_sub(age));
        }
    }
}
