//! Claims: each non-idempotent request is granted to a single run.
//!
//! A claim is committed before the request is sent to its upstream, so every instance that receives
//! the same request later learns that it may already have run. Memory is bounded: a claim is
//! dropped once its key is so old that every resend of it is refused. The state's clock never goes
//! backward, so a key that was refused as expired stays expired, and a key is already expired by
//! the time its claim is dropped.

mod store;

use std::fmt;

use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Team};
use verbenaslip_base::refusal::Unknown;

pub(crate) use store::{Record, Store};

/// How long a key's claim is kept after the key was first used, in milliseconds.
pub const RETENTION_MS: u64 = 60 * 60 * 1_000;

/// The maximum difference allowed between the clocks of callers and instances, in milliseconds.
pub const SKEW_MS: u64 = 60 * 1_000;

/// Maximum number of claims kept.
///
/// With the retention, this allows a sustained 18 non-idempotent requests per second. A full set
/// takes 18 MB of memory, and 29 MB more for a moment while a snapshot is restored.
pub const MAX_CLAIMS: u32 = 65_536;

/// Requests the exclusive right to run a request.
#[data]
pub struct Claim {
    /// The attempt that is to run the request.
    pub attempt: Attempt,
    /// The team that sent the request.
    pub team: Team,
    /// The instance that will run the attempt.
    pub instance: Instance,
    /// A random number that is drawn each time an instance starts to handle the request, also after
    /// a restart; only a resend of the same claim has the same nonce. A restarted instance that has
    /// lost its run draws a new nonce and is told that the claim is held; comparing only the
    /// attempt number would grant a second run.
    pub nonce: u64,
    /// The digest of the request body, which detects a different request under the same key.
    pub body: u128,
    /// The time at which the key was first used, in Unix milliseconds.
    pub issued: u64,
    /// The time at which the claim was proposed, in Unix milliseconds.
    pub at: u64,
}

impl Claim {
    pub(crate) fn name_fields(&self) -> [(&'static str, &str); 2] {
        [("team", self.team.as_str()), ("instance", self.instance.as_str())]
    }
}

/// Reports how a claimed run ended.
#[data]
pub struct Settle {
    /// The attempt that ended.
    pub attempt: Attempt,
    /// The nonce of its claim; required to report that the attempt did not run.
    pub nonce: u64,
    /// The instance that reports the end.
    pub by: Instance,
    /// How the run ended.
    pub ending: Ending,
    /// The time at which the settlement was proposed, in Unix milliseconds.
    pub at: u64,
}

/// Releases a claim before anything was sent to an upstream.
///
/// A release that is applied before its claim also blocks the claim: the instance that stopped
/// waiting for the claim's answer has told the caller that nothing ran, and the claim may still be
/// on its way into the log.
#[data]
pub struct Release {
    /// The claim as it was sent.
    pub claim: Claim,
    /// The time at which the release was proposed, in Unix milliseconds.
    pub at: u64,
}

/// Describes how a claimed run ended.
#[data]
pub enum Ending {
    /// The answer was complete.
    Done {
        /// The digest of the answer.
        digest: u128,
        /// The HTTP status that the caller received.
        status: u16,
    },
    /// The attempt certainly did not run, so another attempt may.
    NotRun,
    /// The attempt may have run.
    Unknown(Unknown),
}

/// Answers a claim.
#[data]
pub enum Verdict {
    /// The attempt may run the request.
    Granted,
    /// Another run holds the claim and has not ended.
    Held {
        /// The attempt that holds the claim.
        attempt: Attempt,
        /// The instance that claimed it.
        instance: Instance,
    },
    /// The claimed run has ended.
    Settled {
        /// The attempt that ended.
        attempt: Attempt,
        /// How the run ended; never [`Ending::NotRun`].
        ending: Ending,
    },
    /// This attempt or a later one was released before; a higher attempt number may be granted.
    Stale {
        /// The last attempt that was released.
        last: Attempt,
    },
    /// The key is used by a request with a different body.
    Conflict,
    /// The key is older than the retention, so whether it ran is unknown.
    Expired,
    /// The key's first use is further in the future than the allowed clock difference.
    Ahead,
    /// The maximum number of claims, or the team's share of it, is reached.
    Full,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Granted => f.write_str("granted"),
            Self::Held { attempt, instance } => {
                write!(f, "held by attempt {} of {instance}", attempt.number)
            }
            Self::Settled { attempt, .. } => write!(f, "settled by attempt {}", attempt.number),
            Self::Stale { last } => write!(f, "given up before, up to attempt {}", last.number),
            Self::Conflict => f.write_str("the key belongs to another body"),
            Self::Expired => f.write_str("the key is older than the retention"),
            Self::Ahead => f.write_str("the key's first use lies in the future; check the clocks"),
            Self::Full => f.write_str("no room for another claim"),
        }
    }
}

/// Answers a settlement or a release.
#[data]
pub enum CloseResult {
    /// The ending is stored; a resend gets the same answer.
    Kept,
    /// Another attempt may be granted; a resend gets the same answer.
    Freed,
    /// Another attempt or nonce holds the claim; nothing changed.
    Other,
    /// Another ending is already stored; nothing changed.
    Final(Ending),
    /// No such claim is stored; nothing changed.
    Missing,
}

impl fmt::Display for CloseResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kept => "kept",
            Self::Freed => "freed",
            Self::Other => "another attempt holds the claim",
            Self::Final(_) => "another ending is kept",
            Self::Missing => "no such claim",
        })
    }
}

/// Holds the bounds of claims; they are part of the snapshot since all voters need the same.
#[data(copy)]
pub struct Limits {
    /// See [`RETENTION_MS`].
    pub retention: u64,
    /// See [`SKEW_MS`].
    pub skew: u64,
    /// See [`MAX_CLAIMS`].
    pub count: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self { retention: RETENTION_MS, skew: SKEW_MS, count: MAX_CLAIMS }
    }
}
