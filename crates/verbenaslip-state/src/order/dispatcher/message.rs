//! Inputs and outputs of the dispatcher.

use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{Model, Upstream};

use crate::order::{Order, Pending, Result, Role, Task};

/// Describes an input of the dispatcher.
#[data]
pub enum Input {
    /// Time has passed; required at least every 200 ms.
    Tick,
    /// This instance leads.
    Lead(Leadership),
    /// This instance no longer leads.
    Resign,
    /// An upstream announced itself and whether it checks fence numbers.
    Upstream {
        /// The upstream.
        upstream: Upstream,
        /// Whether the upstream refuses orders with old fence numbers; `false` if it does not say.
        fenced: bool,
    },
    /// An upstream is gone.
    Gone(Upstream),
    /// An order is requested; it replaces a request for the same upstream that is not proposed yet.
    Want(Order),
    /// The log numbered an order.
    Committed(Pending),
    /// The log refused an order to the upstream, or the proposal failed.
    Denied(Upstream),
    /// The log recorded the end of an order.
    Ended {
        /// The upstream.
        upstream: Upstream,
        /// The order's fence number.
        fence: Fence,
    },
    /// The upstream answered an order, or the answer did not arrive.
    Answer {
        /// The upstream.
        upstream: Upstream,
        /// The fence number that was sent.
        fence: Fence,
        /// The answer.
        answer: Answer,
    },
    /// The upstream reported its state.
    Read {
        /// The upstream.
        upstream: Upstream,
        /// The number of the question that the report answers.
        question: u64,
        /// The reported state.
        holding: UpstreamState,
    },
}

/// Describes the leadership of this instance.
#[data]
pub struct Leadership {
    /// The term; a higher term than before starts a new leadership.
    pub term: u64,
    /// The end of the leader's lease; no other instance can lead earlier.
    pub until: Duration,
    /// The orders that have not ended according to the replicated state.
    pub pending: Vec<Pending>,
}

/// Describes an upstream's answer to an order.
#[data(copy)]
pub enum Answer {
    /// The order is carried out.
    Applied,
    /// The upstream has the given fence number, which is equal or higher (status 409).
    Held(Fence),
    /// The order had expired when it arrived (status 410).
    Expired,
    /// The upstream refused the order.
    Refused,
    /// No answer arrived, so the order may be carried out now or later.
    Unknown,
}

/// Holds the part of an upstream's state that orders change.
#[data(default)]
pub struct UpstreamState {
    /// The fence number of the last order carried out, if the upstream stores it.
    pub fence: Option<Fence>,
    /// The loaded models.
    pub models: Vec<Model>,
    /// The upstream's role.
    pub role: Role,
}

impl UpstreamState {
    /// Returns whether the state is as expected after the task was carried out.
    pub(super) fn reflects(&self, task: &Task) -> bool {
        match task {
            Task::Load(model) => self.models.contains(model),
            Task::Unload(model) => !self.models.contains(model),
            Task::Role(role) => self.role == *role,
        }
    }
}

/// Describes an output of the dispatcher.
#[data]
pub enum Output {
    /// Proposes an order to the log.
    Propose(Order),
    /// Sends an order; the transport gives up and closes the connection at the expiry.
    Give(OrderDelivery),
    /// Asks an upstream for its state.
    ReadBack {
        /// The upstream.
        upstream: Upstream,
        /// The number that distinguishes the answer from answers to earlier questions.
        question: u64,
    },
    /// Proposes to the log that an order has ended; repeated until the log has recorded it.
    End(End),
    /// Reports the progress of a request to whoever requested the order.
    Report(Report),
}

/// Holds an order to be sent.
#[data]
pub struct OrderDelivery {
    /// The upstream that receives the order.
    pub upstream: Upstream,
    /// The fence number, which a resend keeps.
    pub fence: Fence,
    /// The time on this instance's clock at which the order expires.
    pub expiry: Duration,
    /// The task to carry out.
    pub task: Task,
}

/// Describes how an order ended.
#[data(copy)]
pub struct Ending {
    /// The order's fence number.
    pub fence: Fence,
    /// The result of the order.
    pub result: Result,
}

/// Holds the end of an order to one upstream.
#[data]
pub struct End {
    /// The upstream.
    pub upstream: Upstream,
    /// The order's fence number and result.
    pub ending: Ending,
}

/// Reports the progress of a requested order.
#[data]
pub struct Report {
    /// The upstream.
    pub upstream: Upstream,
    /// What happened to the request.
    pub event: Event,
}

/// Describes what happened to a requested order.
#[data(copy)]
pub enum Event {
    /// This instance does not lead; nothing was done.
    NotLeading,
    /// The upstream has not announced itself; nothing was done.
    NotKnown,
    /// A newer request for the upstream replaced it; nothing was done.
    Replaced,
    /// Earlier orders must expire first.
    Waiting {
        /// The maximum waiting time, provided that the upstream then answers.
        wait: Duration,
    },
    /// The log refused the order; nothing was done.
    Denied,
    /// The log did not answer in time; the order may still be numbered and sent.
    Unanswered,
    /// The order ended.
    Ended(Ending),
}
