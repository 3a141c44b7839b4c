//! What goes into the dispatcher and what comes out.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{Model, Upstream};

use crate::order::{Order, Pending, Result, Role, Task};

/// Tells the dispatcher what happened.
#[data]
pub enum Input {
    /// Time passes; due at least every 200 ms.
    Tick,
    /// This instance leads.
    Lead(Leadership),
    /// This instance leads no longer.
    Resign,
    /// An upstream announced itself, and says whether it checks fencing numbers.
    Upstream {
        /// The upstream.
        upstream: Upstream,
        /// Whether it refuses an order with an old number; silence means no.
        fenced: bool,
    },
    /// An upstream is gone.
    Gone(Upstream),
    /// An order is wanted; it replaces one for the same upstream that is not proposed yet.
    Want(Order),
    /// The log numbered an order.
    Committed(Pending),
    /// The log refused an order to the upstream, or the proposal came to nothing.
    Denied(Upstream),
    /// The log holds that an order has ended.
    Ended {
        /// The upstream.
        upstream: Upstream,
        /// The order's number.
        fence: Fence,
    },
    /// The upstream answered an order, or did not.
    Answer {
        /// The upstream.
        upstream: Upstream,
        /// The number that was given.
        fence: Fence,
        /// The answer.
        answer: Answer,
    },
    /// The upstream told its state.
    Read {
        /// The upstream.
        upstream: Upstream,
        /// The question that it answers.
        question: u64,
        /// The state.
        holding: UpstreamState,
    },
}

/// Says how long this instance leads.
#[data]
pub struct Leadership {
    /// The term; a greater one than before starts anew.
    pub term: u64,
    /// When the leader's lease runs out, before which no other instance can lead.
    pub until: Duration,
    /// The orders that have not ended, as the state has them now.
    pub pending: Vec<Pending>,
}

/// Says what an upstream answered to an order.
#[data(copy)]
pub enum Answer {
    /// It is carried out.
    Applied,
    /// The upstream holds the given number, which is not lower (status 409).
    Held(Fence),
    /// The order was too old when it came (status 410).
    Expired,
    /// The upstream said that it can't.
    Refused,
    /// No answer came, so the order may be carried out, now or later.
    Unknown,
}

/// Holds an upstream's state as far as orders change it.
#[data(default)]
pub struct UpstreamState {
    /// The number of the last order that it carried out, if it keeps numbers.
    pub fence: Option<Fence>,
    /// The models that it has loaded.
    pub models: Vec<Model>,
    /// Its role.
    pub role: Role,
}

impl UpstreamState {
    /// Says whether the state is as after an order.
    pub(super) fn reflects(&self, task: &Task) -> bool {
        match task {
            Task::Load(model) => self.models.contains(model),
            Task::Unload(model) => !self.models.contains(model),
            Task::Role(role) => self.role == *role,
        }
    }
}

/// Asks for something to be done.
#[data]
pub enum Output {
    /// Proposes an order to the log.
    Propose(Order),
    /// Sends an order; whatever carries it gives up and closes the connection at the expiry.
    Give(OrderDelivery),
    /// Asks an upstream for its state.
    ReadBack {
        /// The upstream.
        upstream: Upstream,
        /// Tells the answer from that to an earlier question.
        question: u64,
    },
    /// Proposes to the log that an order has ended; comes again until the log holds it.
    End(End),
    /// Tells who wanted an order what became of the wish.
    Report(Report),
}

/// Sends an order.
#[data]
pub struct OrderDelivery {
    /// The receiver.
    pub upstream: Upstream,
    /// Its number; the same when it is sent again.
    pub fence: Fence,
    /// When the order is void, on this instance's clock.
    pub expiry: Duration,
    /// What is ordered.
    pub task: Task,
}

/// Ends an order.
#[data(copy)]
pub struct Ending {
    /// Its number.
    pub fence: Fence,
    /// What became of it.
    pub result: Result,
}

/// Ends an order of one upstream.
#[data]
pub struct End {
    /// The upstream.
    pub upstream: Upstream,
    /// Which order and what became of it.
    pub ending: Ending,
}

/// Tells what became of a wish.
#[data]
pub struct Report {
    /// The upstream.
    pub upstream: Upstream,
    /// What is to be told.
    pub event: Event,
}

/// Names what can become of a wish.
#[data(copy)]
pub enum Event {
    /// This instance does not lead; nothing was done.
    NotLeading,
    /// The upstream has not announced itself; nothing was done.
    NotKnown,
    /// Another wish for the upstream took its place; nothing was done.
    Replaced,
    /// Earlier orders must run out first.
    Waiting {
        /// For at most so long, if the upstream then answers.
        wait: Duration,
    },
    /// The log refused the order; nothing was done.
    Denied,
    /// The log did not answer in time; the order may still be numbered and given.
    Unanswered,
    /// The order ended.
    Ended(Ending),
}
