//! Decisions of a core, and changes of what it knows, for its log.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Instance;
use verbenaslip_replica::output;

use crate::departure::Departure;
use crate::hub::AckCounts;
use crate::limit::Observation;
use crate::quarantine::Finding;
use crate::registry::StaleAnnouncement;
use crate::rollout::Rollout;
use crate::rollout::verdict::{Stage, Verdict};
use crate::upstream::Run;
use crate::view::Version;

/// A decision, or a change of what is known.
#[derive(Clone, Debug)]
pub enum Event {
    /// The role in the log.
    Role {
        /// The term.
        term: u64,
        /// What this core is.
        role: output::ReplicaRole,
        /// The leader, where known.
        leader: Option<Instance>,
    },
    /// A route table is in force.
    RouteTable {
        /// Its revision.
        revision: u64,
        /// Its routes.
        routes: usize,
    },
    /// An upstream's standing has changed.
    Upstream {
        /// What is known of it.
        record: Box<crate::registry::Record>,
    },
    /// An upstream said that it goes.
    UpstreamWithdrawn(Run),
    /// An announcement was passed over, since what is known is newer.
    StaleAnnouncement(StaleAnnouncement),
    /// That an upstream goes was acknowledged.
    DepartureAcknowledged {
        /// The run, and how it goes.
        departure: Departure,
        /// How long its caller has waited.
        waited: Duration,
        /// The change by which instances know it.
        version: Version,
        /// Who knew it by then.
        acks: AckCounts,
    },
    /// This core begins to lead.
    LeadershipStarted {
        /// The term.
        term: u64,
        /// The upstreams that it knows.
        upstreams: usize,
        /// Those of them that only the log holds.
        logged: usize,
        /// The runs that it knows to go or have gone.
        departures: usize,
        /// The requests that it holds back.
        quarantined: usize,
    },
    /// This core no longer holds the lease by which it led.
    LeaseLost {
        /// The term.
        term: u64,
    },
    /// This core has the lease of the same term again, and goes on.
    LeadershipResumed {
        /// The term.
        term: u64,
    },
    /// An announcement names a service that no route table knows, and would displace an upstream.
    UnknownService(Run),
    /// The voters are changed.
    VotersChanged {
        /// The change.
        change: verbenaslip_replica::config::Change,
    },
    /// Something was decided of a request that ends upstreams.
    QuarantineDecided(Finding),
    /// What the candidate of a roll-out gets has changed.
    RolloutStage {
        /// The roll-out.
        rollout: Box<Rollout>,
        /// What it gets.
        stage: Stage,
        /// Requests that were sent since the order, and those of them to the candidate.
        exposure: (u64, u64),
    },
    /// A roll-out was decided here; the log takes the first verdict.
    RolloutDecided {
        /// The roll-out.
        rollout: Box<Rollout>,
        /// How it ends, and why.
        verdict: Box<Verdict>,
        /// Requests that were sent since the order, and those of them to the candidate.
        exposure: (u64, u64),
    },
    /// An upstream names another limit than before, or none any more.
    LimitChanged(Observation),
    /// A window of usage was closed.
    WindowClosed {
        /// Its number.
        window: u64,
        /// Requests in it.
        requests: u64,
    },
    /// Other counts of a service's upstreams are ordered.
    ScalingPlanned {
        /// The service.
        service: Arc<str>,
        /// With how many upstreams it began.
        initial_count: u32,
        /// How many would be busy all the time with what callers ask for, where that is known.
        busy_upstreams: Option<f64>,
        /// How many there are.
        upstreams: u32,
    },
    /// A call could not be answered for sure in time.
    CallTimedOut {
        /// What was asked.
        call: &'static str,
    },
    /// The log holds what this version can't read.
    UnreadableLog(String),
}
