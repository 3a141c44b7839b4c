//! What entries tell of requests that end upstreams, and what the leader decides of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::data;

use crate::fingerprint::Fingerprint;
use crate::upstream::Run;

/// Says when a request is held back, and for how long.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinePolicy {
    /// How many upstreams must have ended under it, one after the other.
    pub crash_threshold: u32,
    /// After how long it is let through for the first time.
    pub hold_time: Duration,
    /// Requests that an operator never wants held back.
    pub lifted: BTreeSet<Fingerprint>,
    /// Requests that an operator wants held back, whatever became of them.
    pub forbidden: BTreeSet<Fingerprint>,
}

/// Tells of an upstream that ended while it ran a request.
#[data]
pub struct Crash {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The run of the upstream.
    pub run: Run,
    /// When the request was sent there, in milliseconds before this is told.
    pub sent_ms_ago: u64,
    /// When it broke off, in the same way.
    pub ended_ms_ago: u64,
}

/// Tells that a request was answered whole.
#[data]
pub struct Answer {
    /// The request.
    pub fingerprint: Fingerprint,
    /// When, in milliseconds before this is told.
    pub ms_ago: u64,
}

/// Says how a request is held back.
#[data]
pub struct Block {
    /// Since when, in Unix milliseconds of the agreed time of day.
    pub since: u64,
    /// Until when none is let through, in the same way.
    pub until: u64,
    /// How many upstreams it has ended since it was let through again.
    pub failed_trials: u8,
    /// The entry that may let one through.
    pub trial_entry: Option<SocketAddr>,
}

/// Holds what outlives a leader, in the log.
#[data(default)]
pub struct PersistedState {
    /// The key of the fingerprints; none before the first leader has drawn one.
    pub key: Option<u128>,
    /// The requests that are held back.
    pub quarantined: BTreeMap<Fingerprint, Block>,
}

/// Holds what entries go by.
#[data(default)]
pub struct Blocklist {
    /// The key of the fingerprints; without it no request is known again.
    pub key: Option<u128>,
    /// Requests whose answers the leader wants to hear of.
    pub watched: BTreeSet<Fingerprint>,
    /// Requests that no upstream gets.
    pub quarantined: BTreeMap<Fingerprint, Block>,
}

/// Tells what was decided of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Upstreams have ended under it one after the other; entries watch for answers.
    Suspected {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstreams.
        runs: Vec<Run>,
    },
    /// It is held back.
    Quarantined {
        /// The request.
        fingerprint: Fingerprint,
        /// The upstreams that ended under it.
        runs: Vec<Run>,
        /// How.
        held: Block,
    },
    /// It is not, or no longer.
    Cleared {
        /// The request.
        fingerprint: Fingerprint,
        /// Why.
        cause: Cause,
    },
    /// An entry may let one through.
    TrialOffered {
        /// The request.
        fingerprint: Fingerprint,
        /// The entry.
        entry: SocketAddr,
    },
}

/// Says why a request is no longer suspected or held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// It was answered.
    Answered,
    /// Another request ended the upstreams that it ran on.
    Explained,
    /// An operator has lifted it.
    Lifted,
}
