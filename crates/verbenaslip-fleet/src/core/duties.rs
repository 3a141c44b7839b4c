//! What a leader does for the cloud: usage that is reported, and upstreams that are ordered.

use std::sync::Arc;
use std::time::Duration;

use crate::core::lead::GATHER;
use crate::core::{Core, Event, Output};
use crate::order::{Dispatcher, Order, Outcome, Scale, Task};
use crate::plan::{self, Demand, Planner};
use crate::replicated_state::{Command, Window};
use crate::usage::window_end;

/// Sizes of a service that differ by less than this part of them are the same.
const SAME_SIZE: u32 = 4;

/// How long counts of an entry are awaited after the end of a window by the clock alone: reports
/// come four times a second.
const COUNT_SLACK: u64 = 300;

/// How long the log has to commit with how many upstreams a service began.
const AGAIN: Duration = Duration::from_secs(2);

impl Core {
    /// Closes the windows of usage whose counts are complete.
    pub(super) fn close_windows(&mut self) {
        let (Some(timing), Some(reign)) = (self.setup.duty, self.reign) else { return };
        // The entries report to a new leader within a few beats; a window closed before that would
        // lack their counts. Waiting longer would miss windows where leaders change often.
        if self.now.saturating_sub(reign.since) < GATHER * 2 {
            return;
        }
        let unix = self.agreed();
        let settle = u64::try_from(timing.count_timeout.as_millis()).unwrap_or(u64::MAX);
        let due: Vec<u64> = Dispatcher::windows_to_close(&self.ledger, &timing, unix).collect();
        for number in due {
            let end = window_end(number, timing.window_length);
            let complete = unix >= end.saturating_add(COUNT_SLACK)
                && self.hub.counts_complete(self.now, end.saturating_add(COUNT_SLACK));
            let settled = complete || unix >= end.saturating_add(settle);
            if !settled {
                continue;
            }
            let counts = self.hub.window_counts(number);
            if counts.is_empty() || !self.closing.insert(number) {
                continue;
            }
            let requests = counts.values().sum();
            self.note(Event::WindowClosed { window: number, requests });
            self.propose(&Command::CloseWindow(Window { number, counts }));
        }
    }

    /// Gives the cloud the orders that are due.
    pub(super) fn order(&mut self) {
        let (Some(timing), Some(reign)) = (self.setup.duty, self.reign) else { return };
        if self.now.saturating_sub(reign.since) < timing.takeover_wait {
            return;
        }
        let Some(until) = self.replica.lease_until(self.now) else { return };
        let unix = self.agreed();
        for (id, window) in self.dispatcher.usage_orders(self.now, &self.ledger, &timing, unix) {
            let task = Task::Usage(window);
            self.out.push(Output::Order(Order { id, fence: reign.term, valid_until: until, task }));
        }
        for (id, scale) in self.plan() {
            let task = Task::Scale(scale);
            self.out.push(Output::Order(Order { id, fence: reign.term, valid_until: until, task }));
        }
    }

    /// Takes what became of an order to the cloud.
    pub(crate) fn ordered(&mut self, id: u64, outcome: Outcome) {
        let now = self.now;
        let planned =
            self.planners.values_mut().any(|planner| planner.handle_outcome(now, id, outcome));
        if !planned {
            self.dispatcher.handle_outcome(id, outcome);
        }
    }

    /// Plans how many upstreams run where.
    fn plan(&mut self) -> Vec<(u64, Scale)> {
        let Some(edition) = self.ledger.current_table().cloned() else { return Vec::new() };
        let (mut orders, mut planned, mut sizes) = (Vec::new(), Vec::new(), Vec::new());
        for service in &edition.table.services {
            let Some(scaling) = &service.scaling else { continue };
            let have = plan::count_by_kind(self.serving(&service.name));
            let upstreams = have.values().sum();
            let (period, size) =
                (self.registry.announcement_period(), self.ledger.planned_count(&service.name));
            let open = || Planner::new(service.name.clone(), period, size);
            let planner = self.planners.entry(service.name.clone()).or_insert_with(open);
            let all_known = planner.update_count(self.now, upstreams);
            let Some(base) = self.ledger.initial_count(&service.name) else {
                if all_known {
                    self.note_base(&service.name, upstreams);
                }
                continue;
            };
            let base = plan::base_with_replacements(base, self.limited(&service.name));
            let Some(planner) = self.planners.get_mut(&service.name) else { continue };
            planner.set_instances(self.hub.max_fan_out());
            let dispatcher = &mut self.dispatcher;
            let demand =
                Demand { base, busy_upstreams: self.hub.busy_engines(self.now, &service.name) };
            let before = orders.len();
            orders.extend(planner.plan(self.now, scaling, demand, &have, || dispatcher.next_id()));
            sizes.extend(planner.planned_count().map(|size| (service.name.clone(), size)));
            if orders.len() > before {
                let service = service.name.clone();
                planned.push(Event::ScalingPlanned {
                    service,
                    initial_count: base,
                    busy_upstreams: demand.busy_upstreams,
                    upstreams,
                });
            }
        }
        planned.into_iter().for_each(|note| self.note(note));
        sizes.into_iter().for_each(|(service, size)| self.note_size(service, size));
        orders
    }

    /// Has it noted with how many upstreams a service is planned, if that has changed by much.
    ///
    /// The next leader does not know the load for some seconds, and would order as many as the fleet began with.
    fn note_size(&mut self, service: Arc<str>, upstreams: u32) {
        let before =
            self.sized.get(&service).copied().or_else(|| self.ledger.planned_count(&service));
        let differs = |before: u32| before.abs_diff(upstreams) > before.min(upstreams) / SAME_SIZE;
        if before.is_none_or(differs) {
            self.sized.insert(service.clone(), upstreams);
            self.propose(&Command::SetPlannedCount { service, upstreams });
        }
    }

    /// Has it noted with how many upstreams a service began.
    ///
    /// Later there may be more or fewer of them, and a leader that took what it found for what the
    /// operators had wanted would make more of them at every change of the leader.
    fn note_base(&mut self, service: &Arc<str>, upstreams: u32) {
        // Proposed again after a while if the log has lost it.
        let lately = |at: &Duration| self.now.saturating_sub(*at) < AGAIN;
        if upstreams == 0 || self.based.get(service).is_some_and(lately) {
            return;
        }
        self.based.insert(service.clone(), self.now);
        self.propose(&Command::SetInitialCount { service: service.clone(), upstreams });
    }
}
