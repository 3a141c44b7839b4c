//! Orders to upstreams: their content, fence number and result.

pub mod dispatcher;
mod registry;

use std::fmt;

use verbenaslip_base::data;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{Instance, Model, Operator, Upstream};

pub use dispatcher::{Dispatcher, Input, Output};
pub(crate) use registry::Registry;

/// The maximum time during which an order may be carried out, in milliseconds.
pub const MAX_LIFETIME_MS: u64 = 10_000;

/// Orders an upstream to change; the order's fence number is its position in the log.
#[data]
pub struct Order {
    /// The operator that requested the order.
    pub by: Operator,
    /// The upstream that receives the order.
    pub upstream: Upstream,
    /// The task to carry out.
    pub task: Task,
    /// How long the order may be carried out, in milliseconds, at most [`MAX_LIFETIME_MS`].
    pub lifetime: u64,
    /// The time at which the order was proposed, in Unix milliseconds.
    pub at: u64,
}

impl Order {
    pub(crate) fn name_fields(&self) -> [(&'static str, &str); 3] {
        let task = ("model", self.task.model().map(Model::as_str).unwrap_or_default());
        [("operator", self.by.as_str()), ("upstream", self.upstream.as_str()), task]
    }
}

/// Describes the task of an upstream.
#[data(ord, hash)]
pub enum Task {
    /// Loads a model, adapter or version.
    Load(Model),
    /// Unloads a model, adapter or version.
    Unload(Model),
    /// Changes the upstream's role.
    Role(Role),
}

impl Task {
    /// Returns the model that the task loads or unloads.
    pub fn model(&self) -> Option<&Model> {
        match self {
            Self::Load(model) | Self::Unload(model) => Some(model),
            Self::Role(_) => None,
        }
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Load(model) => write!(f, "load {model}"),
            Self::Unload(model) => write!(f, "unload {model}"),
            Self::Role(role) => write!(f, "take role {role}"),
        }
    }
}

/// Names the phases of inference that a model engine runs.
#[data(copy, ord, hash, default)]
pub enum Role {
    /// Runs prefill only.
    Prefill,
    /// Runs decoding only.
    Decode,
    /// Runs prefill and decoding.
    #[default]
    Both,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
            Self::Both => "both",
        })
    }
}

/// Reports the result of an order.
#[data]
pub struct OrderEnd {
    /// The leader that reports the result.
    pub by: Instance,
    /// The order's fence number.
    pub fence: Fence,
    /// The upstream that received the order.
    pub upstream: Upstream,
    /// The result.
    pub result: Result,
    /// The time at which the report was proposed, in Unix milliseconds.
    pub at: u64,
}

/// Describes the result of an order.
#[data(copy, ord, hash)]
pub enum Result {
    /// The upstream carried the order out.
    Applied,
    /// The upstream has a higher fence number.
    Superseded(Fence),
    /// The order had expired when it arrived, or was never sent in time.
    Expired,
    /// The upstream refused the order.
    Refused,
    /// The upstream is gone, or its state shows that the order was not carried out.
    Lost,
}

impl fmt::Display for Result {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Applied => f.write_str("applied"),
            Self::Superseded(by) => write!(f, "superseded by {}.{}", by.term, by.index),
            Self::Expired => f.write_str("expired"),
            Self::Refused => f.write_str("refused"),
            Self::Lost => f.write_str("lost"),
        }
    }
}

/// Answers the proposal of an order.
#[data]
pub enum Verdict {
    /// The order has this fence number and may be sent.
    Numbered(Fence),
    /// Another order to the upstream has not ended.
    Busy(Fence),
    /// The same order got this fence number before and has ended.
    Repeated(Fence),
    /// The lifetime is zero or too long.
    Lifetime,
    /// The maximum number of orders that have not ended is reached.
    Full,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Numbered(fence) => write!(f, "numbered {}.{}", fence.term, fence.index),
            Self::Busy(fence) => write!(f, "order {}.{} has not ended", fence.term, fence.index),
            Self::Repeated(fence) => {
                write!(f, "order {}.{} was the same and has ended", fence.term, fence.index)
            }
            Self::Lifetime => write!(f, "the lifetime must be 1 to {MAX_LIFETIME_MS} ms"),
            Self::Full => f.write_str("too many orders have not ended"),
        }
    }
}

/// Holds an order that has not ended.
#[data]
pub struct Pending {
    /// The order's fence number.
    pub fence: Fence,
    /// The order.
    pub order: Order,
}
