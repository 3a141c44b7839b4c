//! A request to be placed, and the decision about it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::registry::Run;
use verbenaslip_fleet::rollout::Cohort;

use crate::dialect::PromptPart;
use crate::policy::restriction::Restriction;
use crate::policy::versions::{Ticket, Tracks};

/// Identifies the requests of a service with the same priority.
pub(super) type ServiceRank = (Arc<str>, u8);

/// Describes a request to be placed.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Priority of the request; zero is the most urgent.
    pub rank: u8,
    /// Parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Runs of upstreams that have already been tried and are excluded.
    pub tried_runs: &'a [Run],
    /// Time within which the first event is wanted.
    pub objective: Duration,
    /// Time that the caller still waits.
    pub remaining: Duration,
    /// Whether another upstream may get the request if one refuses it.
    pub has_spare_attempt: bool,
    /// Whether the caller has retried, so that any answer comes after its objective.
    pub returning: bool,
    /// Whether an upstream may have started the request; it then continues wherever possible, even
    /// if it is late.
    pub may_have_run: bool,
    /// Versions that may take the request.
    pub tracks: Tracks,
    /// Software version at which the answer has begun, if it has; only this one may continue it.
    pub version: Option<&'a str>,
}

impl Query<'_> {
    /// Returns whether an upstream of a software version may take the request.
    pub(super) fn admits_version(&self, version: &str) -> bool {
        self.version.is_none_or(|it| it == version)
    }
}

/// Describes where a request goes.
#[derive(Clone, Debug)]
pub struct Choice {
    /// Run of the upstream.
    pub run: Run,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Tokens of the prompt that are not cached there.
    pub uncached_tokens: u64,
    /// Expected milliseconds to the first event, from what this entry knows of the upstream.
    pub expected_ms: f64,
    /// Milliseconds by which first events have recently been later than expected.
    pub lag_ms: f64,
    /// Whether no prefill of this entry was pending there.
    pub idle: bool,
    /// Milliseconds of prefill for the tokens that are not cached.
    pub prefill_ms: f64,
    /// Version that the upstream runs.
    pub version: Arc<str>,
    /// Cohort of the upstream in a rollout of its service.
    pub cohort: Cohort,
    /// Hash of the upstream's name.
    pub upstream_hash: u64,
    /// Requests per second that the upstream takes from all entries together, if it limits them.
    pub rate_limit: Option<f64>,
    /// Ticket of the request in the counts of a rollout, once it is sent.
    pub ticket: Option<Ticket>,
    /// Figures of the fleet that decided the placement, if it was decided by them.
    pub figures: Option<Box<FigureUse>>,
    /// Service and priority of the request.
    pub(super) service_rank: ServiceRank,
    /// Objective of a plain service; `None` for a prompt.
    pub(super) plain_objective: Option<Duration>,
}

/// Describes the figures of the fleet by which an upstream was chosen.
#[derive(Clone, Copy, Debug)]
pub struct FigureUse {
    /// Age of the upstream's figure, or `None` if it has no fresh one.
    pub figure_age: Option<Duration>,
    /// Mean wait of first events beyond their own prefill, in milliseconds.
    pub wait_ms: f64,
    /// Speed of the upstream relative to the median of its service.
    pub relative_speed: f64,
    /// Whether the upstream is the home of the prompt's shared prefix.
    pub is_home: bool,
}

/// Describes the decision about a request.
#[derive(Clone, Debug)]
pub enum Decision {
    /// The request goes to an upstream.
    Send(Choice),
    /// The request is refused, since every upstream is too busy.
    Refuse(Busy),
    /// No upstream of the service may take work now.
    NoUpstream,
}

/// Describes why a request is refused for lack of capacity, and when its caller may retry.
#[derive(Clone, Copy, Debug)]
pub struct Busy {
    /// When the caller may retry.
    pub retry_after: Duration,
    /// Reason for the refusal.
    pub cause: Cause,
    /// Milliseconds of prefill that the request would have taken.
    pub prefill_ms: f64,
}

/// Describes why a request is refused for lack of capacity.
#[derive(Clone, Copy, Debug)]
pub enum Cause {
    /// The service is overloaded and admits this share of such requests.
    Share(f64),
    /// All possible upstreams are restricted; this is the restriction of the one that is available
    /// first.
    Restricted(Restriction),
    /// The service is brittle, and this entry's places at its upstreams are taken.
    Brittle,
    /// The first event was expected too late, by the sum of these times.
    Late {
        /// Expected milliseconds from what this entry knows of the upstream.
        expected_ms: f64,
        /// Milliseconds by which first events have recently been later than expected.
        lag_ms: f64,
    },
}

impl Choice {
    /// Returns the service.
    pub(crate) fn service(&self) -> &str {
        &self.service_rank.0
    }
}
