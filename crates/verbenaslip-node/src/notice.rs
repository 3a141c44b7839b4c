//! What happened at an instance, for logs and metrics.

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

/// Tells what happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// This instance takes work, or no longer does because it has no table lease.
    Ready(bool),
    /// Another instance has joined, or come back from the dead.
    Joined {
        /// The instance.
        instance: Instance,
        /// Its availability zone.
        zone: AvailabilityZone,
        /// Its start.
        incarnation: u64,
    },
    /// Another instance answers again before it counted as lost.
    Recovered {
        /// The instance.
        instance: Instance,
        /// Its start.
        incarnation: u64,
    },
    /// Another instance does not answer.
    Suspected(Instance),
    /// Another instance is lost.
    Lost {
        /// The instance.
        instance: Instance,
        /// Its availability zone, where it is still known.
        zone: Option<AvailabilityZone>,
    },
    /// Another instance has left as it meant to.
    Left(Instance),
    /// A whole availability zone's instances are in doubt or lost.
    ZoneLost(AvailabilityZone),
    /// This instance doubts its own links, or no longer does.
    Isolated {
        /// Whether it does.
        isolated: bool,
        /// How many instances it hears, itself with them.
        heard: usize,
        /// How many it knows that did not leave, itself with them.
        known: usize,
    },
    /// Another process runs under this instance's name.
    Replaced {
        /// That process's start.
        incarnation: u64,
    },
    /// An upstream is new, or confirmed again after it had lapsed.
    Appeared(Box<Announcement>),
    /// An upstream says something else of itself than before.
    Changed(Box<Announcement>),
    /// An upstream leaves.
    Leaving {
        /// The upstream.
        upstream: Upstream,
        /// Until it is taken away; none when it leaves on its own.
        notice: Option<Duration>,
    },
    /// An upstream did not renew its lease.
    Lapsed {
        /// The upstream.
        upstream: Upstream,
        /// How long ago it measured its last load.
        age: Duration,
    },
    /// An availability zone's upstreams are in doubt.
    ZoneDoubted {
        /// The availability zone.
        zone: AvailabilityZone,
        /// How many of its upstreams are in doubt.
        lost: usize,
        /// How many of its upstreams are known.
        known: usize,
    },
    /// No upstream of an availability zone is in doubt any more.
    ZoneTrusted {
        /// The availability zone.
        zone: AvailabilityZone,
        /// How many of its upstreams are known.
        known: usize,
    },
    /// The replicated log has another leader or term.
    Leader {
        /// The term.
        term: u64,
        /// The leader, where known.
        leader: Option<Instance>,
    },
    /// A table came into use here.
    TableInUse(Revision),
    /// An operator's edit was answered.
    Edit {
        /// What was asked.
        edit: SubmittedEdit,
        /// The revision that it is, now or from an earlier sending; none when it was refused.
        revision: Option<Revision>,
        /// What was answered.
        answer: String,
    },
    /// An edit made here is in force everywhere.
    EditInForce {
        /// The revision.
        revision: Revision,
        /// How long that took from its arrival here.
        took: Duration,
    },
    /// An edit made here is not in force everywhere in the time that it should take.
    EditDelayed {
        /// The revision.
        revision: Revision,
        /// Who may still serve by an older table.
        awaited: Vec<Instance>,
    },
    /// An operator's drain of an instance is committed.
    DrainOrdered {
        /// Who asked.
        operator: Operator,
        /// The instance.
        instance: Instance,
    },
    /// An operator asked for another voter set.
    VotersOrdered {
        /// Who asked.
        operator: Operator,
        /// What is changed.
        change: VoterChange,
    },
    /// A request goes to its first upstream.
    RequestStarted {
        /// The request.
        head: Box<Head>,
        /// How long it was here before.
        waited: Duration,
    },
    /// A failed run was followed by another, or was not.
    RetryDecided {
        /// The request.
        head: Box<Head>,
        /// What was decided.
        decision: Decision,
    },
    /// The quorum answered a claim, or did not.
    ClaimDecided {
        /// The request.
        request: Request,
        /// Its team, where it is still known.
        team: Option<Team>,
        /// The answer.
        ruling: Ruling,
    },
    /// A request that another instance owned goes on here.
    TakenOver(Request),
    /// A request has ended here.
    RequestEnded {
        /// The request.
        head: Box<Head>,
        /// How.
        outcome: Outcome,
    },
    /// Something became of an order to an upstream.
    OrderReport(order::dispatcher::Report),
    /// The capacity plan ordered something.
    CapacityOrder(plan::Order),
    /// A voter's instance runs another folder and is replaced in the voter set.
    ReplacingVoter(Instance),
    /// The replicated state could not be read; this voter does not take part.
    Unreadable(String),
}

/// Describes an operator's edit on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SubmittedEdit {
    /// Its identity.
    pub id: edit::Id,
    /// Who made it.
    pub operator: Operator,
    /// The revision that it was made from.
    pub base: Revision,
    /// How many rows it changes.
    pub changed_rows: usize,
    /// When it arrived here.
    pub arrived_at: Duration,
}
