//! A request to be placed, and what becomes of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::registry::Run;
use verbenaslip_fleet::rollout::Cohort;

use crate::dialect::PromptPart;
use crate::policy::restriction::Restriction;
use crate::policy::versions::{Ticket, Tracks};

/// Names the requests of a service that have the same rank.
pub(super) type ServiceRank = (Arc<str>, u8);

/// Describes a request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: &'a str,
    /// Its rank; zero is the most urgent.
    pub rank: u8,
    /// The parts of its prompt.
    pub parts: &'a [PromptPart],
    /// The tokens of its prompt.
    pub prompt_tokens: u64,
    /// Runs of upstreams where it must not go: it was sent there already.
    pub tried_runs: &'a [Run],
    /// The time within which the first event is wanted.
    pub objective: Duration,
    /// How long the caller still waits.
    pub remaining: Duration,
    /// Whether another upstream may get it if one turns it away.
    pub has_spare_attempt: bool,
    /// Whether the caller has come back, so that any answer comes late.
    pub returning: bool,
    /// Whether an upstream may have begun on it: it goes on wherever it can, also when late.
    pub may_have_run: bool,
    /// The versions that may take it.
    pub tracks: Tracks,
}

/// Says where a request goes.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The run of the upstream.
    pub run: Run,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Tokens of the prompt that are still to be read there.
    pub uncached_tokens: u64,
    /// The expected milliseconds to the first event, by what this entry knows of the upstream.
    pub expected_ms: f64,
    /// The milliseconds by which first events come later than that lately.
    pub lag_ms: f64,
    /// Whether nothing else was under way there.
    pub idle: bool,
    /// Milliseconds in which an engine reads what it has yet to read of the prompt.
    pub prefill_ms: f64,
    /// The version that the upstream runs.
    pub version: Arc<str>,
    /// The upstream's part in a roll-out of its service.
    pub cohort: Cohort,
    /// Stands for the upstream in hashes.
    pub upstream_hash: u64,
    /// The requests a second that the upstream takes from all entries together, if that is limited.
    pub rate_limit: Option<f64>,
    /// Its place in the counts of a roll-out, once it is sent.
    pub ticket: Option<Ticket>,
    /// The request's service and rank.
    pub(super) service_rank: ServiceRank,
    /// The time within which a plain service is to answer; none for a prompt.
    pub(super) plain_objective: Option<Duration>,
}

/// Says what becomes of a request.
#[derive(Clone, Debug)]
pub enum Decision {
    /// It goes to an upstream.
    Send(Choice),
    /// Every upstream is so busy that it is refused.
    Refuse(Busy),
    /// No upstream of the service may get work now.
    NoUpstream,
}

/// Says why a request is refused for want of room, and when its caller may come back.
#[derive(Clone, Copy, Debug)]
pub struct Busy {
    /// When its caller may come back.
    pub retry_after: Duration,
    /// What decided it.
    pub cause: Cause,
    /// Milliseconds in which an engine would have read its prompt.
    pub prefill_ms: f64,
}

/// Says what decided that a request is refused for want of room.
#[derive(Clone, Copy, Debug)]
pub enum Cause {
    /// Its service has more to do than it can, and admits this share of such requests.
    Share(f64),
    /// All upstreams that could take it have asked for less; so has the one that takes some first.
    Restricted(Restriction),
    /// Its first event was expected too late, by these milliseconds together.
    Late {
        /// What this entry knows of the upstream.
        expected_ms: f64,
        /// How much later first events come lately.
        lag_ms: f64,
    },
}

impl Choice {
    /// Returns the service.
    pub(crate) fn service(&self) -> &str {
        &self.service_rank.0
    }
}
