//! Reports of entries about poison requests, and the decisions of the leader.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::data;

use crate::fingerprint::Fingerprint;
use crate::upstream::Run;

/// Configures when and for how long requests are quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinePolicy {
    /// The number of upstreams that must have crashed one after the other.
    pub crash_threshold: u32,
    /// The time until the first trial.
    pub hold_time: Duration,
    /// The number of upstreams that must have crashed while they ran requests with a prompt part.
    pub part_crash_threshold: u32,
    /// The time until the first trial of a prompt part.
    pub part_hold_time: Duration,
    /// Requests and parts that an operator exempts from quarantine.
    pub lifted: BTreeSet<Fingerprint>,
    /// Requests and parts that an operator wants quarantined, whatever is known of them.
    pub forbidden: BTreeSet<Fingerprint>,
}

/// Reports that an upstream crashed while it ran a request, or one with a prompt part.
#[data]
pub struct Crash {
    /// The fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// The run of the upstream.
    pub run: Run,
    /// When the request was sent to the upstream, in milliseconds before the report.
    pub sent_ms_ago: u64,
    /// When the request broke off, in milliseconds before the report.
    pub ended_ms_ago: u64,
}

/// Reports that a request, or one with a prompt part, was answered completely.
#[data]
pub struct Answer {
    /// The fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// When the answer was complete, in milliseconds before the report.
    pub ms_ago: u64,
}

/// Describes the quarantine of a request.
#[data]
pub struct Block {
    /// When the quarantine began, in Unix milliseconds of the agreed time of day.
    pub since: u64,
    /// When trials may begin, in Unix milliseconds of the agreed time of day.
    pub until: u64,
    /// The number of upstreams that crashed in trials.
    pub failed_trials: u8,
    /// The entry that may run a trial.
    pub trial_entry: Option<SocketAddr>,
}

/// Holds the state that outlives a leader, because the log holds it.
#[data(default)]
pub struct PersistedState {
    /// The key of the fingerprints; none before the first leader has generated one.
    pub key: Option<u128>,
    /// The quarantined requests.
    pub quarantined: BTreeMap<Fingerprint, Block>,
}

/// Holds what entries need to handle poison requests.
#[data(default)]
pub struct Blocklist {
    /// The key of the fingerprints; without it no request can be recognized.
    pub key: Option<u128>,
    /// Requests and parts whose answers entries report to the leader.
    pub watched: BTreeSet<Fingerprint>,
    /// Requests, and parts of requests, that are sent to no upstream.
    pub quarantined: BTreeMap<Fingerprint, Block>,
}

impl Blocklist {
    /// Returns whether entries report answers to a request or part.
    pub fn contains(&self, fingerprint: &Fingerprint) -> bool {
        self.watched.contains(fingerprint) || self.quarantined.contains_key(fingerprint)
    }
}

/// Describes a decision about a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Finding {
    /// Upstreams crashed one after the other; entries watch for answers to the request.
    Suspected {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The upstreams that crashed.
        runs: Vec<Run>,
    },
    /// The request is quarantined.
    Quarantined {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The upstreams that crashed.
        runs: Vec<Run>,
        /// The quarantine.
        held: Block,
    },
    /// The request is no longer suspected or quarantined.
    Cleared {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The reason.
        cause: Cause,
    },
    /// An entry may run a trial of the request.
    TrialOffered {
        /// The fingerprint of the request.
        fingerprint: Fingerprint,
        /// The entry.
        entry: SocketAddr,
    },
}

/// Says why a request is no longer suspected or quarantined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The request was answered.
    Answered,
    /// Another request caused the crashes.
    Explained,
    /// An operator lifted the quarantine.
    Lifted,
}
