//! What an instance takes from the updates that it is told.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::frame::{FleetStatus, Update};
use crate::history::History;
use crate::limit::Limits;
use crate::link::{Link, MAX_CLOCK_ANSWER_AGE};
use crate::quarantine::Blocklist;
use crate::rollout::Plans;
use crate::view::Version;

impl Link {
    /// Takes a leader's update; returns whether its sender waits to hear that they are here.
    pub fn handle_update(&mut self, now: Duration, update: Update) -> bool {
        let Update {
            from,
            leader,
            leader_contact_age,
            version,
            base,
            records,
            route_table,
            blocklist,
            ..
        } = update;
        let Update { rollout_plans, limits, fleet_status, unix_ms, ack_requested, .. } = update;
        // A leader that was cut off and does not know it yet says what is no longer so.
        if version.term < self.view.version.term {
            return false;
        }
        // A core that entries don't report to any more says nothing of the one that they do report to.
        if self.target == Some(from) || !self.target_is_parent {
            self.last_contact = now;
            self.target = Some(from);
            self.last_leader = Some(leader);
            self.view.leader_heard_at =
                self.view.leader_heard_at.max(Some(now.saturating_sub(leader_contact_age)));
            let sent_at = fleet_status
                .as_ref()
                .and_then(|fleet_status| self.report_sent_at(fleet_status.sequence));
            self.update_clock(now, sent_at, unix_ms);
        }
        if let Some(route_table) = route_table {
            self.view.update_route_table(&route_table);
        }
        let current = self.view.version;
        let is_applicable = match base {
            None => true,
            Some(base) if base.term == version.term => {
                current.term == version.term && current >= base
            }
            // Of the leader before, only what the new one knows that this instance has is gone on from.
            Some(base) => current == base,
        };
        if is_applicable && version >= current {
            if base.is_none() && self.history.is_some() {
                self.history = Some(History::new(version.change));
            }
            self.merge_records(now, base.is_none(), version.change, records);
            self.update_sections(version.change, blocklist, rollout_plans, limits);
            self.view.version = version;
        }
        if let Some(fleet_status) = fleet_status {
            self.handle_fleet_status(from, version.term, fleet_status);
        }
        ack_requested
    }

    /// Takes what is told whole, as far as it is told.
    fn update_sections(
        &mut self,
        change: u64,
        blocklist: Option<Arc<Blocklist>>,
        plans: Option<Arc<Plans>>,
        limits: Option<Arc<Limits>>,
    ) {
        if let Some(blocklist) = blocklist {
            (self.view.blocklist, self.change_numbers.blocklist) = (blocklist, change);
        }
        if let Some(plans) = plans {
            (self.view.rollout_plans, self.change_numbers.plans) = (plans, change);
        }
        if let Some(limits) = limits {
            (self.view.limits, self.change_numbers.limits) = (limits, change);
        }
    }

    /// Takes the answer to a report.
    fn handle_fleet_status(&mut self, from: SocketAddr, term: u64, status: FleetStatus) {
        self.confirm_plans(&status, term);
        let previous = self.last_answer.filter(|it| (it.0, it.1) == (from, status.incarnation));
        let is_complete =
            self.sent_reports.iter().any(|it| it.sequence == status.sequence && it.is_complete);
        let first = if is_complete { status.sequence } else { 0 };
        let sequence = previous.map_or(first, |(.., sequence)| {
            if sequence > 0 { sequence.max(status.sequence) } else { first }
        });
        self.last_answer = Some((from, status.incarnation, sequence));
        self.view.cores = status.cores;
        self.learned_cores.clear();
        self.view.entry_count = status.entry_count;
        self.view.time_slot = status.time_slot.or(self.view.time_slot);
        (self.parent_cores, self.entry_list_requested) = (status.parent_cores, status.list_entries);
    }

    /// Takes the time of day that a leader told in answer to a report that was sent at a time.
    ///
    /// What a machine that stood still finds in its connections tells a time that has passed; taken for the
    /// present one, requests would be counted into earlier windows of usage.
    fn update_clock(&mut self, now: Duration, sent_at: Option<Duration>, unix_ms: u64) {
        let is_prompt =
            sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) <= MAX_CLOCK_ANSWER_AGE);
        if is_prompt || !self.clock.is_agreed() {
            self.clock.set_agreed(now, unix_ms);
            self.view.time_offset_ms = crate::clock::offset_ms(now, unix_ms);
        }
    }

    /// Takes up to which change the leader's plans go, as it answers a report.
    ///
    /// An answer may come before the plans themselves: just after a machine stood still, or from a new leader. Taken
    /// for a sign that those known here hold, requests would go to a version that has been rolled back.
    fn confirm_plans(&mut self, status: &FleetStatus, term: u64) {
        let newest = Version { term, change: status.plans_change };
        let Some((sent_at, age)) = self.report_sent_at(status.sequence).zip(status.plans_age)
        else {
            return;
        };
        if self.view.version >= newest {
            self.view.plans_confirmed_at =
                self.view.plans_confirmed_at.max(sent_at.checked_sub(age));
        }
    }
}
