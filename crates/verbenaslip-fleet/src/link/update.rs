//! Handling of updates from the leader or a parent core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::frame::{FleetStatus, Update};
use crate::history::History;
use crate::limit::{Limits, TimeSlot};
use crate::link::{Link, MAX_PROMPT_ANSWER_AGE};
use crate::quarantine::Blocklist;
use crate::rollout::Plans;
use crate::view::Version;

impl Link {
    /// Applies an update; returns whether the sender waits for an acknowledgement.
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
        let Update {
            rollout_plans, limits, fleet_status, unix_ms, ack_requested, extension, ..
        } = update;
        // A leader that was cut off and does not know it yet sends outdated facts.
        if version.term < self.view.version.term {
            return false;
        }
        // An update from a former parent core says nothing about the current one.
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
            // Changes relative to the previous leader apply only if this instance has exactly the
            // version that the new leader continues from.
            Some(base) => current == base,
        };
        if is_applicable && version >= current {
            if base.is_none() && self.history.is_some() {
                self.history = Some(History::new(version.change));
            }
            self.merge_records(now, base.is_none(), version.change, records);
            self.update_sections(version.change, blocklist, rollout_plans, limits);
            if let Some(history) = &extension.0.later.0.latest.0.version_history.0 {
                self.view.version_history = history.clone();
                self.change_numbers.version_history = version.change;
            }
            self.view.version = version;
        }
        if let Some(fleet_status) = fleet_status {
            if self.target == Some(from) {
                self.apply_figures(now, fleet_status.sequence, &extension.0.figures);
            }
            let later = &extension.0.later.0;
            self.is_released |= later.latest.0.released == Some(self.local_peer.incarnation);
            let slots = later.extra_slots.saturating_add(1);
            self.handle_fleet_status(from, version.term, slots, fleet_status);
        }
        ack_requested
    }

    /// Replaces those of the blocklist, rollout plans and limits that the update contains.
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

    /// Handles the fleet status in the answer to a heartbeat; `slots` is the number of time slots
    /// of this instance.
    fn handle_fleet_status(
        &mut self,
        from: SocketAddr,
        term: u64,
        slots: u32,
        status: FleetStatus,
    ) {
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
        let time_slot = status.time_slot.map(|it| TimeSlot { width: slots, ..it });
        self.view.time_slot = time_slot.or(self.view.time_slot);
        (self.parent_cores, self.entry_list_requested) = (status.parent_cores, status.list_entries);
    }

    /// Sets the clock from an answer, if the answer came promptly after the heartbeat that was sent
    /// at `sent_at`.
    ///
    /// A paused process finds answers in its connections that contain a past time. Using them would
    /// count requests into earlier usage windows.
    fn update_clock(&mut self, now: Duration, sent_at: Option<Duration>, unix_ms: u64) {
        let is_prompt =
            sent_at.is_some_and(|sent_at| now.saturating_sub(sent_at) <= MAX_PROMPT_ANSWER_AGE);
        if is_prompt || !self.clock.is_agreed() {
            self.clock.set_agreed(now, unix_ms);
            self.view.time_offset_ms = crate::clock::offset_ms(now, unix_ms);
        }
    }

    /// Records how recently the rollout plans in this view were confirmed as the newest.
    ///
    /// The answer to a heartbeat may arrive before the plans themselves, such as after a pause of
    /// the process or from a new leader. Taking it as a confirmation of older plans would send
    /// requests to a version that has been rolled back.
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
