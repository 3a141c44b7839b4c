//! Orders to upstreams: what is ordered, its number, and what became of it.

pub mod dispatcher;
mod registry;

use std::fmt;

use verbenaslip_base::data;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{Instance, Model, Operator, Upstream};

pub use dispatcher::{Dispatcher, Input, Output};
pub(crate) use registry::Registry;

/// The longest time for which an order may be carried out, in milliseconds.
pub const MAX_LIFETIME_MS: u64 = 10_000;

/// Orders an upstream to change; its fencing number is its position in the log.
#[data]
pub struct Order {
    /// Who wants it.
    pub by: Operator,
    /// Which upstream.
    pub upstream: Upstream,
    /// What it shall do.
    pub task: Task,
    /// How long the order may be carried out, in milliseconds, at most [`MAX_LIFETIME_MS`].
    pub lifetime: u64,
    /// When it was proposed, in Unix milliseconds.
    pub at: u64,
}

impl Order {
    pub(crate) fn name_fields(&self) -> [(&'static str, &str); 3] {
        let task = ("model", self.task.model().map(Model::as_str).unwrap_or_default());
        [("operator", self.by.as_str()), ("upstream", self.upstream.as_str()), task]
    }
}

/// Says what an upstream shall do.
#[data(ord, hash)]
pub enum Task {
    /// Loads a model, adapter or version.
    Load(Model),
    /// Gives up a model, adapter or version.
    Unload(Model),
    /// Changes what part of the work it does.
    Role(Role),
}

impl Task {
    /// Returns the model that it is about.
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

/// Names the part of the work that a model engine does.
#[data(copy, ord, hash, default)]
pub enum Role {
    /// Computes prompts only.
    Prefill,
    /// Generates answers only.
    Decode,
    /// Does both.
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

/// Tells what became of an order.
#[data]
pub struct OrderEnd {
    /// The leader that tells.
    pub by: Instance,
    /// The order's fencing number.
    pub fence: Fence,
    /// The upstream.
    pub upstream: Upstream,
    /// What became of it.
    pub result: Result,
    /// When it was proposed, in Unix milliseconds.
    pub at: u64,
}

/// Says what became of an order.
#[data(copy, ord, hash)]
pub enum Result {
    /// The upstream carried it out.
    Applied,
    /// The upstream holds a higher number.
    Superseded(Fence),
    /// It was too old when it arrived, or was never sent in time.
    Expired,
    /// The upstream said that it can't.
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

/// Answers an order in the log.
#[data]
pub enum Verdict {
    /// The order has this number and may be given.
    Numbered(Fence),
    /// Another order to the upstream has not ended.
    Busy(Fence),
    /// The very same order was numbered so and has ended.
    Repeated(Fence),
    /// The lifetime is zero or too long.
    Lifetime,
    /// Orders to too many upstreams have not ended.
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
    /// Its number.
    pub fence: Fence,
    /// What was ordered.
    pub order: Order,
}
