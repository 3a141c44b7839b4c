//! Events of an instance, for logs and metrics.

use std::time::Duration;

use verbenaslip_base::announce::Announcement;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{AvailabilityZone, Instance, Operator, Team, Upstream};
use verbenaslip_policy::plan;
use verbenaslip_policy::retry::Decision;
use verbenaslip_request::claim::Ruling;
use verbenaslip_request::output::Outcome;
use verbenaslip_state::command::VoterChange;
use verbenaslip_state::order;
use verbenaslip_table::{Revision, edit};

/// Describes an event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This instance became ready for callers, or stopped being ready.
    Ready(bool),
    /// Another instance has joined, or has returned after it was lost.
    Joined {
        /// Name of the instance.
        instance: Instance,
        /// Availability zone of the instance.
        zone: AvailabilityZone,
        /// Incarnation of the instance.
        incarnation: u64,
    },
    /// A suspected instance answers again before it was considered lost.
    Recovered {
        /// Name of the instance.
        instance: Instance,
        /// Incarnation of the instance.
        incarnation: u64,
    },
    /// Another instance does not answer.
    Suspected(Instance),
    /// Another instance is considered lost.
    Lost {
        /// Name of the instance.
        instance: Instance,
        /// Availability zone of the instance, if still known.
        zone: Option<AvailabilityZone>,
    },
    /// Another instance has left after a planned stop.
    Left(Instance),
    /// All instances of an availability zone are suspected or lost.
    ZoneLost(AvailabilityZone),
    /// This instance started or stopped suspecting its own network links.
    Isolated {
        /// Whether this instance considers itself isolated.
        isolated: bool,
        /// Number of instances that answer, including this one.
        heard: usize,
        /// Number of known instances that have not left, including this one.
        known: usize,
    },
    /// Another process runs under this instance's name.
    Replaced {
        /// Incarnation of the other process.
        incarnation: u64,
    },
    /// An upstream is new, or was confirmed again after its lease had lapsed.
    Appeared(Box<Announcement>),
    /// An upstream has changed its announcement.
    Changed(Box<Announcement>),
    /// An upstream has announced its departure.
    Leaving {
        /// Name of the upstream.
        upstream: Upstream,
        /// Time until the upstream is reclaimed; none if it leaves on its own.
        notice: Option<Duration>,
    },
    /// An upstream did not renew its lease.
    Lapsed {
        /// Name of the upstream.
        upstream: Upstream,
        /// Age of its last load measurement.
        age: Duration,
    },
    /// Upstreams of an availability zone are in doubt.
    ZoneDoubted {
        /// Availability zone of the upstreams.
        zone: AvailabilityZone,
        /// Number of upstreams of the zone that are in doubt.
        lost: usize,
        /// Number of known upstreams of the zone.
        known: usize,
    },
    /// The upstreams of an availability zone are no longer in doubt.
    ZoneTrusted {
        /// Availability zone of the upstreams.
        zone: AvailabilityZone,
        /// Number of known upstreams of the zone.
        known: usize,
    },
    /// The replicated log has a new leader or term.
    Leader {
        /// New term.
        term: u64,
        /// Leader, if known.
        leader: Option<Instance>,
    },
    /// A new table is in use on this instance.
    TableInUse(Revision),
    /// An edit of an operator was answered.
    Edit {
        /// Edit that was answered.
        edit: SubmittedEdit,
        /// Revision of the accepted or repeated edit; none if the edit was rejected.
        revision: Option<Revision>,
        /// Text of the answer.
        answer: String,
    },
    /// An edit that was made on this instance is in force everywhere.
    EditInForce {
        /// Revision of the edit.
        revision: Revision,
        /// Time since the edit arrived on this instance.
        took: Duration,
    },
    /// An edit that was made on this instance is not in force everywhere within the expected time.
    EditDelayed {
        /// Revision of the edit.
        revision: Revision,
        /// Instances that may still use an older table.
        awaited: Vec<Instance>,
    },
    /// An operator's drain of an instance was committed.
    DrainOrdered {
        /// Operator that requested the drain.
        operator: Operator,
        /// Instance to drain.
        instance: Instance,
    },
    /// An operator requested a change of the voter set.
    VotersOrdered {
        /// Operator that requested the change.
        operator: Operator,
        /// Change of the voter set.
        change: VoterChange,
    },
    /// A request is sent to its first upstream.
    RequestStarted {
        /// Head of the request.
        head: Box<Head>,
        /// Time that the request spent on this instance before.
        waited: Duration,
    },
    /// A retry of a failed run was granted or denied.
    RetryDecided {
        /// Head of the request.
        head: Box<Head>,
        /// Decision about the retry.
        decision: Decision,
    },
    /// The quorum has answered a claim, or the claim's time limit has passed.
    ClaimDecided {
        /// Request that was claimed.
        request: Request,
        /// Team of the request, if still known.
        team: Option<Team>,
        /// Answer to the claim.
        ruling: Ruling,
    },
    /// This instance has taken over a request from its former owner.
    TakenOver(Request),
    /// A request has ended on this instance.
    RequestEnded {
        /// Head of the request.
        head: Box<Head>,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// The order dispatcher reports about an order to an upstream.
    OrderReport(order::dispatcher::Report),
    /// The capacity plan has issued an order.
    CapacityOrder(plan::Order),
    /// A voter's instance runs with another data directory and is replaced in the voter set.
    ReplacingVoter(Instance),
    /// The replicated state can't be read, so this voter does not take part.
    Unreadable(String),
}

/// Describes an operator's edit that was proposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedEdit {
    /// Identifier of the edit.
    pub id: edit::Id,
    /// Operator that made the edit.
    pub operator: Operator,
    /// Revision on which the edit is based.
    pub base: Revision,
    /// Number of rows that the edit changes.
    pub changed_rows: usize,
    /// Time at which the edit arrived on this instance.
    pub arrived_at: Duration,
}
