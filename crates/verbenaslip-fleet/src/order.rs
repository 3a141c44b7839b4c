//! Orders to the cloud that only one instance may give.
//!
//! The cloud may not check fence numbers, so two instances must never both believe that they may
//! give orders. The leader gives them under its lease, with its term as the fence number. A new
//! leader waits before its first order until all orders of the previous leader have certainly
//! arrived.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::AvailabilityZone;

use crate::replicated_state::{ReplicatedState, Window};
use crate::usage::window_end;

/// Time after which an order without an acknowledgment is given again.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_500);

/// Holds one order to the cloud.
#[data]
pub struct Order {
    /// The ID, by which the outcome refers to the order.
    pub id: u64,
    /// The fence number, which rises whenever another instance becomes leader.
    pub fence: u64,
    /// When the leader's lease ends and the order becomes void, by the monotonic clock.
    pub valid_until: Duration,
    /// The task.
    pub task: Task,
}

/// Says what the cloud is to do.
#[data]
pub enum Task {
    /// Accept the request counts of a window.
    Usage(Window),
    /// Run a number of upstreams.
    Scale(Scale),
}

/// Requests a number of upstreams of a service in an availability zone.
#[data(ord)]
pub struct Scale {
    /// The service.
    pub service: Arc<str>,
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// Whether the upstreams may be reclaimed.
    pub reclaimable: bool,
    /// The number of upstreams.
    pub count: u32,
}

/// Says what became of an order.
#[data(copy)]
pub enum Outcome {
    /// The cloud has accepted the order.
    Done,
    /// The cloud has refused the order for now because it has no machines available.
    Refused,
    /// The cloud accepts no more calls at the moment, and has not carried out the order.
    Busy,
    /// It is unknown whether the order has arrived.
    Unknown,
}

/// Configures when orders are given.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The length of a usage window.
    pub window_length: Duration,
    /// The longest time after the end of a window for which its counts are awaited.
    pub count_timeout: Duration,
    /// The time after the end of a window within which the cloud can use its counts.
    pub report_deadline: Duration,
    /// The time that a new leader waits before its first order.
    pub takeover_wait: Duration,
}

/// Tracks which windows have been reported.
#[derive(Debug, Default)]
pub struct Dispatcher {
    reports: BTreeMap<u64, Report>,
    last_id: u64,
}

/// Says whether a window was sent to the cloud, or has been accepted by the cloud.
#[derive(Debug)]
enum Report {
    Sent { id: u64, retry_at: Duration },
    Done,
}

impl Dispatcher {
    /// Creates a dispatcher whose first order has the ID after `last_id`.
    pub fn starting_after(last_id: u64) -> Self {
        Self { reports: BTreeMap::new(), last_id }
    }

    /// Returns the recent windows that have ended and are not closed yet.
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

    /// Returns the closed windows to report now, each with the ID of its order.
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

    /// Returns a new order ID.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Handles the outcome of an order.
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
