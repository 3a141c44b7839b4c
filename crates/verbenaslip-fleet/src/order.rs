//! Orders to the cloud that only one instance may give.
//!
//! The cloud may not check fencing numbers. So two instances must not both believe that they hold
//! the duty: the holder is the leader under its lease, its number is its term, and a new leader
//! waits before its first order until every order of the last one has surely arrived.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::AvailabilityZone;

use crate::replicated_state::{ReplicatedState, Window};
use crate::usage::window_end;

/// How long an order that was not acknowledged waits until it is given again.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Gives the cloud one order.
#[data]
pub struct Order {
    /// Names the order in its outcome.
    pub id: u64,
    /// Rises whenever the holder changes.
    pub fence: u64,
    /// The order is void from then on, by the steady clock: the lease of the holder.
    pub valid_until: Duration,
    /// What is ordered.
    pub task: Task,
}

/// Says what the cloud shall do.
#[data]
pub enum Task {
    /// Take the counts of a window.
    Usage(Window),
    /// Run so many upstreams.
    Scale(Scale),
}

/// Wants a number of upstreams of a service in an availability zone.
#[data(ord)]
pub struct Scale {
    /// The service.
    pub service: Arc<str>,
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// Whether they may be reclaimed.
    pub reclaimable: bool,
    /// How many.
    pub count: u32,
}

/// Says what became of an order.
#[data(copy)]
pub enum Outcome {
    /// The cloud has taken it.
    Done,
    /// The cloud has refused it for now, for want of machines.
    Refused,
    /// The cloud takes no more calls at the moment, and has not carried it out.
    Busy,
    /// It may or may not have arrived.
    Unknown,
}

/// Bounds in time.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The length of a window of usage.
    pub window_length: Duration,
    /// How long after the end of a window its counts are awaited at most.
    pub count_timeout: Duration,
    /// How long after its end a window is of use to the cloud.
    pub report_deadline: Duration,
    /// How long a new leader waits before its first order.
    pub takeover_wait: Duration,
}

/// Keeps which windows have been reported.
#[derive(Debug, Default)]
pub struct Dispatcher {
    reports: BTreeMap<u64, Report>,
    last_id: u64,
}

#[derive(Debug)]
enum Report {
    Sent { id: u64, retry_at: Duration },
    Done,
}

impl Dispatcher {
    /// Returns the windows whose counts are due to be closed.
    pub fn windows_to_close(
        state: &ReplicatedState,
        timing: &Timing,
        unix: u64,
    ) -> impl Iterator<Item = u64> {
        let current = crate::usage::window_at(unix, timing.window_length);
        let oldest = reportable_windows(timing);
        let range = current.saturating_sub(oldest)..current;
        range.filter(|window| !state.is_closed(*window))
    }

    /// Returns the closed windows to report now, each with the name of its order.
    pub fn usage_orders(
        &mut self,
        now: Duration,
        state: &ReplicatedState,
        timing: &Timing,
        unix: u64,
    ) -> Vec<(u64, Window)> {
        let mut orders = Vec::new();
        let deadline = u64::try_from(timing.report_deadline.as_millis()).unwrap_or(u64::MAX);
        for window in state.windows() {
            let end = window_end(window.number, timing.window_length);
            let known = self.reports.get(&window.number);
            let is_due = match known {
                None => true,
                Some(Report::Sent { retry_at, .. }) => *retry_at <= now,
                Some(Report::Done) => false,
            };
            if !is_due || unix > end.saturating_add(deadline) {
                continue;
            }
            let id = self.next_id();
            let sent = Report::Sent { id, retry_at: now + RETRY_INTERVAL };
            self.reports.insert(window.number, sent);
            orders.push((id, window.clone()));
        }
        orders
    }

    /// Draws the name of an order.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Takes what became of an order.
    pub fn handle_outcome(&mut self, order: u64, outcome: Outcome) {
        let done = matches!(outcome, Outcome::Done);
        for report in self.reports.values_mut() {
            if done && matches!(report, Report::Sent { id, .. } if *id == order) {
                *report = Report::Done;
            }
        }
    }
}

fn reportable_windows(timing: &Timing) -> u64 {
    let window = timing.window_length.as_millis().max(1);
    u64::try_from(timing.report_deadline.as_millis() / window).unwrap_or(1).max(1)
}
