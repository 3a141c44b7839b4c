//! The leader's work for the cloud: usage reports and capacity orders.

use std::sync::Arc;
use std::time::Duration;

use crate::core::leader::REPORT_GATHERING_TIME;
use crate::core::{Core, Event, Output};
use crate::order::{Dispatcher, Order, Outcome, Scale, Task};
use crate::plan::{self, Demand, Planner};
use crate::replicated_state::{Command, Window};
use crate::usage::window_end;

/// A planned count is proposed again only if it changes by more than this part of the smaller
/// count: a quarter.
const COUNT_TOLERANCE_DIVISOR: u32 = 4;

/// Time after the end of a usage window up to which all counts must be complete before the window
/// is closed, in milliseconds; covers the interval of reports, which come four times a second.
const COUNT_DELAY_MS: u64 = 300;

/// Time after which an initial count that is still not committed is proposed again.
const PROPOSAL_RETRY_INTERVAL: Duration = Duration::from_secs(2);

impl Core {
    /// Closes the usage windows whose counts are complete.
    pub(super) fn close_windows(&mut self) {
        let (Some(timing), Some(leadership)) = (self.settings.order_timing, self.leadership) else {
            return;
        };
        // Entries report to a new leader within a few heartbeats, and a window closed earlier would
        // lack their counts. Waiting longer would miss windows when leaders change often.
        if self.now.saturating_sub(leadership.since) < REPORT_GATHERING_TIME * 2 {
            return;
        }
        let unix_ms = self.agreed_unix_ms();
        let count_timeout_ms = u64::try_from(timing.count_timeout.as_millis()).unwrap_or(u64::MAX);
        let due: Vec<u64> =
            Dispatcher::windows_to_close(&self.replicated_state, &timing, unix_ms).collect();
        for number in due {
            let end = window_end(number, timing.window_length);
            let complete = unix_ms >= end.saturating_add(COUNT_DELAY_MS)
                && self.hub.counts_complete(self.now, end.saturating_add(COUNT_DELAY_MS));
            let may_close = complete || unix_ms >= end.saturating_add(count_timeout_ms);
            if !may_close {
                continue;
            }
            let counts = self.hub.window_counts(number);
            if counts.is_empty() || !self.closing_windows.insert(number) {
                continue;
            }
            let requests = counts.values().sum();
            self.emit(Event::WindowClosed { window: number, requests });
            self.propose(&Command::CloseWindow(Window { number, counts }));
        }
    }

    /// Issues the orders to the cloud that are due.
    pub(super) fn issue_orders(&mut self) {
        let (Some(timing), Some(leadership)) = (self.settings.order_timing, self.leadership) else {
            return;
        };
        if self.now.saturating_sub(leadership.since) < timing.takeover_wait {
            return;
        }
        let Some(valid_until) = self.replica.lease_until(self.now) else { return };
        let unix_ms = self.agreed_unix_ms();
        for (id, window) in
            self.dispatcher.usage_orders(self.now, &self.replicated_state, &timing, unix_ms)
        {
            let task = Task::Usage(window);
            self.outputs.push(Output::Order(Order {
                id,
                fence: leadership.term,
                valid_until,
                task,
            }));
        }
        for (id, scale) in self.plan_capacity() {
            let task = Task::Scale(scale);
            self.outputs.push(Output::Order(Order {
                id,
                fence: leadership.term,
                valid_until,
                task,
            }));
        }
    }

    /// Handles the outcome of an order to the cloud.
    pub(crate) fn handle_order_outcome(&mut self, id: u64, outcome: Outcome) {
        let now = self.now;
        let planned =
            self.planners.values_mut().any(|planner| planner.handle_outcome(now, id, outcome));
        if !planned {
            self.dispatcher.handle_outcome(id, outcome);
        }
    }

    /// Plans the number of upstreams per service and zone; returns the resulting orders.
    fn plan_capacity(&mut self) -> Vec<(u64, Scale)> {
        let Some(current) = self.replicated_state.current_table().cloned() else {
            return Vec::new();
        };
        let (mut orders, mut events, mut planned_counts) = (Vec::new(), Vec::new(), Vec::new());
        for service in &current.table.services {
            let Some(scaling) = &service.scaling else { continue };
            let counts = plan::count_by_kind(self.planned_upstreams(&service.name));
            let upstreams = counts.values().sum();
            let (period, planned_count) = (
                self.registry.announcement_period(),
                self.replicated_state.planned_count(&service.name),
            );
            let new_planner = || Planner::new(service.name.clone(), period, planned_count);
            let planner = self.planners.entry(service.name.clone()).or_insert_with(new_planner);
            let is_complete = planner.update_count(self.now, upstreams);
            let Some(initial_count) = self.replicated_state.initial_count(&service.name) else {
                if is_complete {
                    self.propose_initial_count(&service.name, upstreams);
                }
                continue;
            };
            let initial_count =
                plan::base_with_replacements(initial_count, self.limited_upstreams(&service.name));
            let Some(planner) = self.planners.get_mut(&service.name) else { continue };
            planner.set_instances(self.hub.max_fan_out());
            let dispatcher = &mut self.dispatcher;
            let demand = Demand {
                base: initial_count,
                busy_upstreams: self.hub.busy_engines(self.now, &service.name),
            };
            let order_count = orders.len();
            orders
                .extend(planner.plan(self.now, scaling, demand, &counts, || dispatcher.next_id()));
            planned_counts.extend(
                planner.planned_count().map(|planned_count| (service.name.clone(), planned_count)),
            );
            if orders.len() > order_count {
                let service = service.name.clone();
                events.push(Event::ScalingPlanned {
                    service,
                    initial_count,
                    busy_upstreams: demand.busy_upstreams,
                    upstreams,
                });
            }
        }
        events.into_iter().for_each(|event| self.emit(event));
        planned_counts.into_iter().for_each(|(service, planned_count)| {
            self.propose_planned_count(service, planned_count)
        });
        orders
    }

    /// Proposes the planned number of upstreams of a service, if it has changed considerably.
    ///
    /// The next leader does not know the load for some seconds, and would otherwise order the
    /// initial number of upstreams.
    fn propose_planned_count(&mut self, service: Arc<str>, upstreams: u32) {
        let previous = self
            .proposed_counts
            .get(&service)
            .copied()
            .or_else(|| self.replicated_state.planned_count(&service));
        let differs = |previous: u32| {
            previous.abs_diff(upstreams) > previous.min(upstreams) / COUNT_TOLERANCE_DIVISOR
        };
        if previous.is_none_or(differs) {
            self.proposed_counts.insert(service.clone(), upstreams);
            self.propose(&Command::SetPlannedCount { service, upstreams });
        }
    }

    /// Proposes the initial number of upstreams of a service.
    ///
    /// The number of upstreams changes later. A leader that took the current number as the one that
    /// operators had set up would raise it at every change of the leader.
    fn propose_initial_count(&mut self, service: &Arc<str>, upstreams: u32) {
        // The log may have lost the proposal, so it is repeated after a while.
        let is_recent = |proposed_at: &Duration| {
            self.now.saturating_sub(*proposed_at) < PROPOSAL_RETRY_INTERVAL
        };
        if upstreams == 0 || self.initial_count_proposed_at.get(service).is_some_and(is_recent) {
            return;
        }
        self.initial_count_proposed_at.insert(service.clone(), self.now);
        self.propose(&Command::SetInitialCount { service: service.clone(), upstreams });
    }
}
