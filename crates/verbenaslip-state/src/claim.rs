//! Claims: each non-idempotent request is granted to one run.
//!
//! A claim is committed before the request goes to its upstream, so whoever else asks, through any
//! instance, learns that it may have run. Memory is bounded: a claim is forgotten once its key is so
//! old that every resend of it is refused. The state's clock only rises, so a key that was refused
//! as expired stays so, and a key whose claim is forgotten was refused as expired before.

mod store;

use std::fmt;

use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Team};
use verbenaslip_base::refusal::Unknown;

pub(crate) use store::{Record, Store};

/// The time for which a key's claim is kept after the key was first used, in milliseconds.
pub const RETENTION_MS: u64 = 60 * 60 * 1_000;

/// The most by which clocks of callers and instances may differ, in milliseconds.
pub const SKEW_MS: u64 = 60 * 1_000;

/// Bounds the claims kept.
///
/// With the retention this allows 18 non-idempotent requests a second all the time. So many take
/// 18 MB of memory and 29 MB more for a moment while a snapshot is taken up.
pub const MAX_CLAIMS: u32 = 65_536;

/// Asks to be the one run of a request.
#[data]
pub struct Claim {
    /// The run that is to be the only one.
    pub attempt: Attempt,
    /// The team whose request it is.
    pub team: Team,
    /// The instance that will run it.
    pub instance: Instance,
    /// Drawn anew each time an instance takes the request up, also after a restart; equal only in
    /// the very same claim sent again. An instance that forgot its run draws another and is told
    /// that the claim is held, where an equal attempt number alone would grant a second run.
    pub nonce: u64,
    /// The digest of what is sent, which tells another request under the same key.
    pub body: u128,
    /// When the key was first used, in Unix milliseconds.
    pub issued: u64,
    /// When the claim was proposed, in Unix milliseconds.
    pub at: u64,
}

impl Claim {
    pub(crate) fn name_fields(&self) -> [(&'static str, &str); 2] {
        [("team", self.team.as_str()), ("instance", self.instance.as_str())]
    }
}

/// Tells how a claimed run ended.
#[data]
pub struct Settle {
    /// The run.
    pub attempt: Attempt,
    /// The nonce of its claim; only who knows it can say that the run was none.
    pub nonce: u64,
    /// The instance that tells.
    pub by: Instance,
    /// How it ended.
    pub ending: Ending,
    /// When it was proposed, in Unix milliseconds.
    pub at: u64,
}

/// Gives a claim back before anything was sent to an upstream.
///
/// It also bars the claim when it arrives first: whoever gave up waiting for a claim's answer has
/// told the caller that nothing was run, and the claim may still be on its way into the log.
#[data]
pub struct Release {
    /// The claim, as it was sent.
    pub claim: Claim,
    /// When it was proposed, in Unix milliseconds.
    pub at: u64,
}

/// Says how a claimed run ended.
#[data]
pub enum Ending {
    /// The answer was whole.
    Done {
        /// The digest of the answer.
        digest: u128,
        /// The status that the caller got.
        status: u16,
    },
    /// It surely did not run, so another attempt may.
    NotRun,
    /// It may have run.
    Unknown(Unknown),
}

/// Answers a claim.
#[data]
pub enum Verdict {
    /// The attempt is the one run.
    Granted,
    /// Another run holds the claim and has not ended.
    Held {
        /// The run.
        attempt: Attempt,
        /// The instance that claimed it.
        instance: Instance,
    },
    /// The one run has ended.
    Settled {
        /// The run.
        attempt: Attempt,
        /// How it ended; never [`Ending::NotRun`].
        ending: Ending,
    },
    /// The attempt, or a later one, was given up before; a higher number may be granted.
    Stale {
        /// The last attempt that was given up.
        last: Attempt,
    },
    /// The key belongs to another body.
    Conflict,
    /// The key is older than the retention, so it can't be told whether it ran.
    Expired,
    /// The key's first use lies in the future by more than clocks may differ.
    Ahead,
    /// The claims kept, or the team's share of them, are at their bound.
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

/// Answers what a settlement or release did.
#[data]
pub enum CloseResult {
    /// The ending is kept; so it is for a resend.
    Kept,
    /// Another attempt may be granted; so it is for a resend.
    Freed,
    /// Another attempt or nonce holds the claim, so nothing changed.
    Other,
    /// Another ending is kept, so nothing changed.
    Final(Ending),
    /// No such claim is kept, so nothing changed.
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

/// Holds what bounds the claims; equal on every voter, so it travels in the snapshot.
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
