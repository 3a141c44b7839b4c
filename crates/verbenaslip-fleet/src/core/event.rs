//! Decisions and state changes of a core, for the event log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Instance;
use verbenaslip_replica::output;

use crate::departure::Departure;
use crate::hub::AckCounts;
use crate::limit::Observation;
use crate::measurement::summary::Summary;
use crate::origin::copy::CopyOutcome;
use crate::quarantine::Finding;
use crate::registry::StaleAnnouncement;
use crate::rollout::Rollout;
use crate::rollout::verdict::{Stage, Verdict};
use crate::upstream::Run;
use crate::view::Version;

/// Describes the answer to an edit.
#[derive(Clone, Debug)]
pub struct EditAnswer {
    /// Revision that the caller sent.
    pub requested: u64,
    /// Revision in force.
    pub revision: u64,
    /// Core that has forwarded the call and the token of the call there; `None` if the caller
    /// called this core.
    pub forwarded_by: Option<(SocketAddr, u64)>,
    /// Token of the call at this core, under which it was forwarded if this core did not lead.
    pub token: u64,
}

/// Describes a decision or state change.
#[derive(Clone, Debug)]
pub enum Event {
    /// The role in the replicated log has changed.
    Role {
        /// Term of the log.
        term: u64,
        /// Role of this core.
        role: output::ReplicaRole,
        /// The leader, if known.
        leader: Option<Instance>,
    },
    /// A route table was applied.
    RouteTable {
        /// Revision of the table.
        revision: u64,
        /// Number of routes.
        routes: usize,
    },
    /// The caller of an edit was told that a route table is in force.
    EditAnswered(EditAnswer),
    /// The status of an upstream has changed.
    Upstream {
        /// Record of the upstream.
        record: Box<crate::registry::Record>,
    },
    /// An upstream's departure was requested by a withdrawal.
    UpstreamWithdrawn(Run),
    /// A stale announcement was ignored.
    StaleAnnouncement(StaleAnnouncement),
    /// There was no room for the origins of this many streams.
    OriginsLost {
        /// Number since the last such event.
        count: usize,
    },
    /// The copy of the origins that other cores have has ended.
    OriginsCopied(CopyOutcome),
    /// A departure was acknowledged.
    DepartureAcknowledged {
        /// The run and its new status.
        departure: Departure,
        /// How long the caller has waited.
        waited: Duration,
        /// Version of the view that contains the departure.
        version: Version,
        /// How many instances had the departure by then.
        acks: AckCounts,
    },
    /// This core has started to lead.
    LeadershipStarted {
        /// Term of the leadership.
        term: u64,
        /// Number of known upstreams.
        upstreams: usize,
        /// Number of those that are known from the log only.
        logged: usize,
        /// Number of runs that are known to be leaving or gone.
        departures: usize,
        /// Number of quarantined requests.
        quarantined: usize,
    },
    /// This core has lost the lease under which it led.
    LeaseLost {
        /// Term of the leadership.
        term: u64,
    },
    /// This core has regained the lease of the same term and continues to lead.
    LeadershipResumed {
        /// Term of the leadership.
        term: u64,
    },
    /// An announcement of a service that is not in the route table would have displaced an
    /// upstream.
    UnknownService(Run),
    /// A change of the voters was proposed.
    VotersChanged {
        /// The change.
        change: verbenaslip_replica::config::Change,
    },
    /// The quarantine has made a decision about a poison request.
    QuarantineDecided(Finding),
    /// The traffic stage of a rollout has changed.
    RolloutStage {
        /// The rollout.
        rollout: Box<Rollout>,
        /// The new stage.
        stage: Stage,
        /// Requests sent since the order, in total and to the candidate version.
        exposure: (u64, u64),
    },
    /// This leader has decided a rollout; the log accepts the first verdict.
    RolloutDecided {
        /// The rollout.
        rollout: Box<Rollout>,
        /// The verdict and its reason.
        verdict: Box<Verdict>,
        /// Requests sent since the order, in total and to the candidate version.
        exposure: (u64, u64),
    },
    /// An upstream has requested another rate limit, or none any more.
    LimitChanged(Observation),
    /// The leader's figures of the upstreams of one service.
    UpstreamFigures(Box<Summary>),
    /// A usage window was closed.
    WindowClosed {
        /// Number of the window.
        window: u64,
        /// Number of requests in the window.
        requests: u64,
    },
    /// The capacity plan has ordered a different number of upstreams.
    ScalingPlanned {
        /// The service.
        service: Arc<str>,
        /// Initial number of upstreams.
        initial_count: u32,
        /// Number of upstreams that the load would keep permanently busy, if known.
        busy_upstreams: Option<f64>,
        /// Current number of upstreams.
        upstreams: u32,
    },
    /// A call got no definite answer in time.
    CallTimedOut {
        /// Kind of the call.
        call: &'static str,
    },
    /// The log contains data that this version can't read.
    UnreadableLog(String),
}
