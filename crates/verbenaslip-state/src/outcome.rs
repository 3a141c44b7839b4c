//! The outcome of a command.

use std::fmt;

use verbenaslip_base::data;

use crate::{claim, history, order};

/// Describes the outcome of a command, which is the same on every voter.
#[data]
pub enum Outcome {
    /// Answers an edit.
    Edit(history::Verdict),
    /// Answers a claim.
    Claim(claim::Verdict),
    /// Answers a settlement or a release.
    Closed(claim::CloseResult),
    /// Answers an order.
    Order(order::Verdict),
    /// The command is recorded in the audit trail.
    Noted,
    /// The reported order is not pending.
    Unasked,
    /// The command was applied before: its position is not above the last one.
    Replayed,
    /// A name in the command is too long to be stored; nothing changed.
    Overlong(Overlong),
}

impl Outcome {
    /// Returns whether the command achieved its purpose, now or when it was first applied.
    pub fn accepted(&self) -> bool {
        match self {
            Self::Edit(verdict) => matches!(
                verdict,
                history::Verdict::Accepted { .. } | history::Verdict::Unchanged { .. }
            ),
            Self::Claim(verdict) => matches!(verdict, claim::Verdict::Granted),
            Self::Closed(closing) => {
                matches!(closing, claim::CloseResult::Kept | claim::CloseResult::Freed)
            }
            Self::Order(verdict) => matches!(verdict, order::Verdict::Numbered(_)),
            Self::Noted => true,
            Self::Unasked | Self::Replayed | Self::Overlong(_) => false,
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Edit(verdict) => verdict.fmt(f),
            Self::Claim(verdict) => verdict.fmt(f),
            Self::Closed(closing) => closing.fmt(f),
            Self::Order(verdict) => verdict.fmt(f),
            Self::Noted => f.write_str("noted"),
            Self::Unasked => f.write_str("no such order is waiting for its end"),
            Self::Replayed => f.write_str("applied before"),
            Self::Overlong(overlong) => overlong.fmt(f),
        }
    }
}

/// Names the field that was too long to be stored.
#[data]
pub struct Overlong {
    /// The kind of field, such as `instance`.
    pub what: String,
}

impl fmt::Display for Overlong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the {} is longer than {} bytes", self.what, crate::command::MAX_NAME_BYTES)
    }
}
