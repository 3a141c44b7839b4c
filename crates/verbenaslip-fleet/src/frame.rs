//! What the instances of a fleet say to each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Instance, Upstream};
use verbenaslip_replica::message::Message;
use verbenaslip_replica::voter::Voter;

use crate::crash_report::CrashReport;
use crate::limit::{Limits, Observation, TimeSlot};
use crate::load::WorkReport;
use crate::parent::ParentCore;
use crate::quarantine::Blocklist;
use crate::quota::{LoanGrant, LoanRequest, Refund};
use crate::registry::{Announcement, Record, Run};
use crate::replicated_state::RouteTableRevision;
use crate::rollout::report::Report;
use crate::rollout::{Order, Plans, Rollout};
use crate::route_table::RouteTable;
use crate::usage::{Count, EntryCounts, EntryRun};
use crate::view::Version;
use crate::voucher::RenewalMark;

/// Says something to another instance; any frame may be lost, late, doubled or overtaken.
#[data(float)]
pub enum Frame {
    /// Between cores, about the replicated log.
    Log {
        /// The sender.
        from: Instance,
        /// What it says.
        message: Box<Message>,
    },
    /// An instance reports to the leader, or an entry to its core, and tells what it has.
    Heartbeat(Box<Heartbeat>),
    /// The leader or a core answers with what the instance lacks.
    Update(Box<Update>),
    /// An entry is to report to this core.
    ReportTo {
        /// The core.
        core: SocketAddr,
    },
    /// An instance confirms an update that somebody waits for; a core, that all entries below it have it as well.
    Acknowledged {
        /// The instance.
        address: SocketAddr,
        /// How new its list of upstreams is now.
        version: Version,
        /// The revision of its route table.
        revision: u64,
    },
    /// The receiver of a heartbeat hears no reports: it does not lead, or has lost the leader.
    Redirect {
        /// The receiver.
        from: SocketAddr,
        /// Who leads, where known.
        leader: Option<SocketAddr>,
        /// The cores that the receiver knows.
        cores: Vec<SocketAddr>,
    },
    /// The sender leads now; it was asked for the leader a moment ago.
    NewLeader {
        /// Its address.
        leader: SocketAddr,
    },
    /// A core passes a call on to the leader.
    Request {
        /// Where the answer goes.
        from: SocketAddr,
        /// Comes back in the answer.
        token: u64,
        /// What is asked.
        request: Box<Request>,
    },
    /// Answers a call that was passed on.
    Response {
        /// The token it came with.
        token: u64,
        /// The answer.
        response: Response,
    },
    /// An entry tells the leader under which requests upstreams ended.
    CrashReport(Box<CrashReport>),
    /// The leader has an account.
    CrashReportReceived {
        /// Its term.
        term: u64,
        /// The number of the account.
        number: u64,
    },
    /// An instance asks for units of teams' limits.
    RequestLoans {
        /// Where the answer goes.
        from: SocketAddr,
        /// What it asks for.
        requests: Vec<LoanRequest>,
    },
    /// Answers what an instance has asked for.
    GrantLoans(Vec<LoanGrant>),
    /// An entry has ended as planned, and is not waited for.
    EntryStopped {
        /// The entry.
        address: SocketAddr,
    },
}

impl Frame {
    /// Returns the name of its kind, for logs.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Log { .. } => "log",
            Self::Heartbeat(_) => "heartbeat",
            Self::Update(_) => "update",
            Self::ReportTo { .. } => "report_to",
            Self::Acknowledged { .. } => "seen",
            Self::Redirect { .. } => "elsewhere",
            Self::NewLeader { .. } => "leads",
            Self::Request { .. } => "request",
            Self::Response { .. } => "response",
            Self::CrashReport(_) => "account",
            Self::CrashReportReceived { .. } => "heard",
            Self::RequestLoans { .. } => "borrow",
            Self::GrantLoans(_) => "lent",
            Self::EntryStopped { .. } => "ended",
        }
    }
}

/// Names an instance to the leader.
#[data]
pub struct Peer {
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// Its name, for logs.
    pub name: Instance,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// Rises with each start.
    pub incarnation: u64,
    /// Its folder, when it is a core.
    pub voter: Option<Voter>,
}

/// Reports to the leader, or to the core that an entry was told to report to.
#[data(float)]
pub struct Heartbeat {
    /// Who reports.
    pub peer: Peer,
    /// The core that this entry reports to; none as long as it was told of none.
    pub parent: Option<SocketAddr>,
    /// The core that it has reported to, and that has ceased to answer a moment ago.
    pub lost_parent: Option<SocketAddr>,
    /// How new its list of upstreams is.
    pub version: Version,
    /// The revision of its route table; zero without one.
    pub revision: u64,
    /// What its machine's clock shows, in Unix milliseconds.
    pub unix_ms: u64,
    /// Up to when its counts are complete, in milliseconds of the agreed time of day.
    pub counted_until: u64,
    /// Requests that began lately, by window and team: whole counts, so that a report that is lost
    /// or doubled does no harm.
    pub counts: Vec<Count>,
    /// Counts the reports of this life of the instance.
    pub sequence: u64,
    /// Units of teams' limits that were lent and not used.
    pub refunds: Vec<Refund>,
    /// What engines are asked for.
    pub engine_work: Vec<WorkReport>,
    /// Upstreams that have announced themselves at this core, and say nothing new.
    pub marks: Vec<RenewalMark>,
    /// What requests met at the versions of services that are rolled out.
    pub rollouts: Vec<Report>,
    /// Limits that upstreams have named or ended, as far as the leader is not known to know them.
    pub limits: Vec<Observation>,
    /// Upstreams that have said in an answer that they go.
    pub departing: Vec<Run>,
    /// What the entries that report to this core have reported to it.
    pub aggregate: Option<Aggregate>,
}

/// Sums up what the entries that report to a core have reported to it.
#[data(default)]
pub struct Aggregate {
    /// How many there are.
    pub entry_count: u32,
    /// How many have been heard lately: each of them has its turn under an upstream's limit.
    pub slot_count: u32,
    /// Which ones are heard, as long as the leader asks for that.
    pub entry_addresses: Vec<SocketAddr>,
    /// The change of the list of upstreams up to which this core and all of them have it.
    pub acknowledged: Version,
    /// The revision of the route table that this core and all of them have.
    pub revision: u64,
    /// Requests that began lately, by entry: what the leader may not know yet.
    pub counts: Vec<EntryCounts>,
    /// What requests met at the versions of services that are rolled out.
    pub rollouts: Vec<RelayedReport>,
}

/// Passes on what an entry reports of roll-outs.
#[data]
pub struct RelayedReport {
    /// The entry.
    pub origin: EntryRun,
    /// The number of its report.
    pub sequence: u64,
    /// What it reports.
    pub reports: Vec<Report>,
}

/// Tells an instance what it lacks.
#[data(float)]
pub struct Update {
    /// The leader, or the core that an entry reports to.
    pub from: SocketAddr,
    /// The leader.
    pub leader: SocketAddr,
    /// How long ago the sender has heard the leader.
    pub leader_contact_age: Duration,
    /// The change up to which this tells everything.
    pub version: Version,
    /// The change after which the records begin, by this leader or the one before; none when they are all there are.
    pub base: Option<Version>,
    /// Upstreams that changed.
    pub records: Vec<Record>,
    /// The route table, if the instance has an older one.
    pub route_table: Option<Arc<RouteTable>>,
    /// The requests that are suspected or held back, if that has changed.
    pub blocklist: Option<Arc<Blocklist>>,
    /// Which versions of services get requests, if that has changed.
    pub rollout_plans: Option<Arc<Plans>>,
    /// The limits that upstreams name, if that has changed.
    pub limits: Option<Arc<Limits>>,
    /// What is told only in answer to a report.
    pub fleet_status: Option<FleetStatus>,
    /// The agreed time of day, in Unix milliseconds.
    pub unix_ms: u64,
    /// Whether somebody waits until this instance says that it has this.
    pub ack_requested: bool,
}

/// Tells an instance how the fleet stands, in answer to its report.
#[data(float)]
pub struct FleetStatus {
    /// The cores.
    pub cores: Vec<SocketAddr>,
    /// For a core: those that entries may report to.
    pub parent_cores: Vec<ParentCore>,
    /// The incarnation of the sender, which remembers what it was reported for as long.
    pub incarnation: u64,
    /// The number of the report that is answered.
    pub sequence: u64,
    /// How many entries there are.
    pub entry_count: u32,
    /// The change by which the newest plans of roll-outs are known.
    pub plans_change: u64,
    /// How long ago that was so for sure; none where it is not known.
    pub plans_age: Option<Duration>,
    /// Which requests under an upstream's limit the instance may send, or the first of the entries below a core; none
    /// where it is not known.
    pub time_slot: Option<TimeSlot>,
    /// For a core: whether the leader wants to know which entries report to it.
    pub list_entries: bool,
}

/// Asks the leader for something.
#[data(float)]
pub enum Request {
    /// Put a route table in force.
    AdoptRouteTable(Box<RouteTableRevision>),
    /// Read the newest route table, as the operator wrote it.
    ReadRouteTable,
    /// Take an upstream's announcement.
    Announce(Box<Announcement>),
    /// Take an upstream's word that it goes.
    Withdraw {
        /// The upstream.
        upstream: Upstream,
        /// When the run started that goes, in Unix milliseconds; none where it doesn't say, and whichever
        /// run is known is meant.
        incarnation: Option<u64>,
    },
    /// Move a service's traffic to another version.
    StartRollout(Order),
    /// Say how far the last roll-out of a service is.
    ReadRollout(Arc<str>),
}

/// Answers a call.
#[data]
pub enum Response {
    /// A route table of this or a higher revision is in force and stays.
    RouteTableAdopted {
        /// The revision in force.
        revision: u64,
    },
    /// The newest route table.
    Document(Arc<[u8]>),
    /// There is no route table yet.
    NoRouteTable,
    /// The announcement is known wherever it must be.
    Acknowledged,
    /// How far the last roll-out of a service is; none where there was none.
    Rollout(Option<Rollout>),
    /// The service is being moved to this other version.
    Conflict(Arc<str>),
    /// The route table has no such service.
    UnknownService(Arc<str>),
    /// Nothing can be said for sure at this moment; ask again, or another core.
    Unavailable,
}
