//! Messages between the instances of a fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Instance, Upstream};
use verbenaslip_replica::message::Message;
use verbenaslip_replica::voter::Voter;

use crate::crash_report::CrashReport;
use crate::gateway::{Gateway, Registration};
use crate::limit::{Limits, Observation, TimeSlot};
use crate::load::WorkReport;
use crate::measurement::{FigureReport, Totals};
use crate::origin::copy::{Page, PageRequest};
use crate::origin::{Finding, Origin, Stream};
use crate::parent::ParentCore;
use crate::quarantine::Blocklist;
use crate::quota::{LoanGrant, LoanRequest, Refund};
use crate::registry::{Announcement, Record, Run};
use crate::replicated_state::RouteTableRevision;
use crate::rollout::report::Report;
use crate::rollout::{Order, Plans, Rollout};
use crate::route_table::RouteTable;
use crate::usage::{Count, EntryCounts, EntryRun};
use crate::version_history::VersionHistory;
use crate::view::Version;
use crate::voucher::RenewalMark;

/// Carries one message to another instance; any frame may be lost, delayed, duplicated or
/// reordered.
#[data(float)]
pub enum Frame {
    /// A message of the replicated log between cores.
    Log {
        /// Sender of the message.
        from: Instance,
        /// The message.
        message: Box<Message>,
    },
    /// The report of an instance to the leader, or of an entry to its parent core.
    Heartbeat(Box<Heartbeat>),
    /// The answer of the leader or a parent core, or a push of changes.
    Update(Box<Update>),
    /// Assigns a parent core to an entry.
    ReportTo {
        /// The parent core.
        core: SocketAddr,
    },
    /// Acknowledges an update that requested it; a parent core also acknowledges for all its
    /// entries.
    Acknowledged {
        /// The acknowledging instance.
        address: SocketAddr,
        /// Version of its view.
        version: Version,
        /// Revision of its route table.
        revision: u64,
    },
    /// Refuses heartbeats: the sender does not lead, or has lost contact with the leader.
    Redirect {
        /// The core that refuses heartbeats.
        from: SocketAddr,
        /// The leader, if known.
        leader: Option<SocketAddr>,
        /// Cores known to the sender.
        cores: Vec<SocketAddr>,
    },
    /// Notifies an instance that recently looked for the leader of the new one.
    NewLeader {
        /// Address of the leader.
        leader: SocketAddr,
    },
    /// Forwards a call from a core to the leader.
    Request {
        /// Receiver of the answer.
        from: SocketAddr,
        /// Identifies the call in the answer.
        token: u64,
        /// The call.
        request: Box<Request>,
    },
    /// Answers a forwarded call.
    Response {
        /// Token of the forwarded call.
        token: u64,
        /// The answer.
        response: Response,
    },
    /// Reports the requests during which upstreams crashed, from an entry to the leader.
    CrashReport(Box<CrashReport>),
    /// Confirms that the leader has received a crash report.
    CrashReportReceived {
        /// Term of the leader.
        term: u64,
        /// Number of the crash report.
        number: u64,
    },
    /// Requests loans on teams' rate limits.
    RequestLoans {
        /// Receiver of the answer.
        from: SocketAddr,
        /// The requested loans.
        requests: Vec<LoanRequest>,
    },
    /// Answers requests for loans.
    GrantLoans(Vec<LoanGrant>),
    /// Announces that an entry has stopped as planned, so that nothing waits for it.
    EntryStopped {
        /// The entry.
        address: SocketAddr,
    },
    /// Registers an entry as a gateway with a core.
    RegisterGateway(Registration),
    /// Answers a registration with some other gateways.
    Gateways(Vec<Gateway>),
    /// Tells a core at which versions streams begin.
    RecordOrigins {
        /// Receiver of an acknowledgement, if one is wanted.
        acknowledge_to: Option<SocketAddr>,
        /// The origins.
        origins: Vec<Origin>,
    },
    /// Acknowledges origins, so that the connection is known to work.
    OriginsRecorded,
    /// Asks a core for the origins of streams.
    FindOrigins {
        /// Receiver of the answer.
        from: SocketAddr,
        /// The streams.
        streams: Vec<Stream>,
        /// The wanted page of the core's whole table, if the sender is a core that has started.
        copy: Trailing<Option<PageRequest>>,
    },
    /// Answers with what a core knows about the origins of streams.
    OriginsFound {
        /// The core.
        from: SocketAddr,
        /// What it knows, one item for each stream.
        findings: Vec<Finding>,
        /// Fields that were added later.
        extension: Trailing<OriginsFoundExtension>,
    },
}

impl Frame {
    /// Returns the name of the frame's kind, for logs.
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
            Self::RegisterGateway(_) => "register_gateway",
            Self::Gateways(_) => "gateways",
            Self::RecordOrigins { .. } => "record_origins",
            Self::OriginsRecorded => "origins_recorded",
            Self::FindOrigins { .. } => "find_origins",
            Self::OriginsFound { .. } => "origins_found",
        }
    }
}

/// Identifies an instance to the leader.
#[data]
pub struct Peer {
    /// Address at which other instances reach it.
    pub address: SocketAddr,
    /// Its name, for logs.
    pub name: Instance,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Number of its process lifetime, which rises with each start.
    pub incarnation: u64,
    /// The voter of its data directory, if it is a core.
    pub voter: Option<Voter>,
}

/// Reports an instance's state to the leader, or to the parent core that was assigned to an entry.
#[data(float)]
pub struct Heartbeat {
    /// The reporting instance.
    pub peer: Peer,
    /// Parent core of this entry, or `None` while it has none.
    pub parent: Option<SocketAddr>,
    /// Parent core that recently stopped answering.
    pub lost_parent: Option<SocketAddr>,
    /// Version of its view.
    pub version: Version,
    /// Revision of its route table; zero without one.
    pub revision: u64,
    /// Its machine's clock, in Unix milliseconds.
    pub unix_ms: u64,
    /// Agreed time up to which its counts are complete, in Unix milliseconds.
    pub counted_until: u64,
    /// Recent request counts by usage window and team. The counts are totals, so a lost or
    /// duplicated heartbeat does no harm.
    pub counts: Vec<Count>,
    /// Number of the heartbeat since the instance started.
    pub sequence: u64,
    /// Granted units of teams' rate limits that were not used.
    pub refunds: Vec<Refund>,
    /// Engine work that requests have required, by service.
    pub engine_work: Vec<WorkReport>,
    /// Upstreams that have renewed their announcement at this core without changes.
    pub marks: Vec<RenewalMark>,
    /// Results of requests by version, for services with a rollout.
    pub rollouts: Vec<Report>,
    /// Rate limits that upstreams have requested or ended and that the leader may not know.
    pub limits: Vec<Observation>,
    /// Runs that have announced their departure in an answer.
    pub departing: Vec<Run>,
    /// Reports of the entries below this core.
    pub aggregate: Option<Aggregate>,
    /// Fields that were added later.
    pub extension: Trailing<HeartbeatExtension>,
}

/// Holds the fields of a heartbeat that were added later, in the order in which they were.
#[data(float, default)]
pub struct HeartbeatExtension {
    /// Measurements of upstreams that changed after the acknowledged heartbeat.
    pub measurements: Vec<Totals>,
    /// Fields that were added after that.
    pub later: Trailing<LaterHeartbeatExtension>,
}

/// Holds the fields of a heartbeat that were added after its measurements.
#[data(default)]
pub struct LaterHeartbeatExtension {
    /// Number of time slots under upstreams' rate limits that an entry asks for beyond its first
    /// one.
    pub extra_slots: u32,
    /// Whether a core is about to stop, and waits until the leader releases it.
    pub is_stopping: Trailing<bool>,
}

/// Holds the fields of the findings about origins that were added later.
#[data(default)]
pub struct OriginsFoundExtension {
    /// Streams whose origins the core has from other cores.
    pub copied: Vec<Stream>,
    /// The page that was asked for.
    pub page: Trailing<Option<Box<Page>>>,
}

/// Holds a field that was added at the end of a frame; empty if it is missing or unreadable.
///
/// A fleet is upgraded one instance at a time. Builds without the field ignore the trailing bytes,
/// and builds with it accept frames that end before it. An empty field takes no bytes, so it must
/// be the last one of its frame.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trailing<T>(pub T);

impl<T: Serialize + Default + PartialEq> Serialize for Trailing<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if self.0 == T::default() {
            serializer.serialize_unit()
        } else {
            self.0.serialize(serializer)
        }
    }
}

impl<'de, T: DeserializeOwned + Default> Deserialize<'de> for Trailing<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(Self(T::deserialize(deserializer).unwrap_or_default()))
    }
}

/// Summarizes the reports of a parent core's entries.
#[data(default)]
pub struct Aggregate {
    /// Number of entries.
    pub entry_count: u32,
    /// Number of time slots under upstreams' rate limits that the recently heard entries need.
    pub slot_count: u32,
    /// Addresses of the reachable entries, while the leader asks for them.
    pub entry_addresses: Vec<SocketAddr>,
    /// Version of the upstreams that this core and all these entries have.
    pub acknowledged: Version,
    /// Revision of the route table that this core and all these entries have.
    pub revision: u64,
    /// Recent request counts by entry that the leader may not have.
    pub counts: Vec<EntryCounts>,
    /// Results of requests by version, for services with a rollout.
    pub rollouts: Vec<RelayedReport>,
}

/// Forwards an entry's report about rollouts.
#[data]
pub struct RelayedReport {
    /// The reporting entry.
    pub origin: EntryRun,
    /// Sequence number of its heartbeat.
    pub sequence: u64,
    /// The reports.
    pub reports: Vec<Report>,
}

/// Brings an instance's view up to date.
#[data(float)]
pub struct Update {
    /// The leader, or a parent core.
    pub from: SocketAddr,
    /// The leader.
    pub leader: SocketAddr,
    /// Time since the sender last heard the leader.
    pub leader_contact_age: Duration,
    /// Version of the view after this update.
    pub version: Version,
    /// Version that the records are relative to, of this leader or the previous one; `None` if the
    /// update holds all records.
    pub base: Option<Version>,
    /// Changed upstreams.
    pub records: Vec<Record>,
    /// Route table, if the instance has an older one.
    pub route_table: Option<Arc<RouteTable>>,
    /// Suspected and quarantined requests, if changed.
    pub blocklist: Option<Arc<Blocklist>>,
    /// Which versions of services get requests, if changed.
    pub rollout_plans: Option<Arc<Plans>>,
    /// Rate limits requested by upstreams, if changed.
    pub limits: Option<Arc<Limits>>,
    /// State of the fleet; present only in the answer to a heartbeat.
    pub fleet_status: Option<FleetStatus>,
    /// Agreed time of day, in Unix milliseconds.
    pub unix_ms: u64,
    /// Whether the sender waits for an acknowledgement of this update.
    pub ack_requested: bool,
    /// Fields that were added later.
    pub extension: Trailing<UpdateExtension>,
}

/// Holds the fields of an update that were added later, in the order in which they were.
#[data(float, default)]
pub struct UpdateExtension {
    /// Figures of runs that changed since the last answer to the receiver's heartbeat.
    pub figures: Vec<FigureReport>,
    /// Fields that were added after that.
    pub later: Trailing<LaterUpdateExtension>,
}

/// Holds the fields of an update that were added after its figures.
#[data(default)]
pub struct LaterUpdateExtension {
    /// Number of time slots under upstreams' rate limits that belong to the receiver beyond its first
    /// one, in the answer to an entry's heartbeat.
    pub extra_slots: u32,
    /// Fields that were added after that.
    pub latest: Trailing<LatestUpdateExtension>,
}

/// Holds the fields of an update that were added after its time slots.
#[data(default)]
pub struct LatestUpdateExtension {
    /// Incarnation of the receiver in the answer to a stopping core's heartbeat, once the core may
    /// stop: it is no voter any more, or there is no other core for its vote.
    pub released: Option<u64>,
    /// When each version of each service came and left, if changed.
    pub version_history: Trailing<Option<Arc<VersionHistory>>>,
}

/// Describes the state of the fleet in the answer to a heartbeat.
#[data(float)]
pub struct FleetStatus {
    /// Addresses of the cores.
    pub cores: Vec<SocketAddr>,
    /// For a core: the cores that entries may report to.
    pub parent_cores: Vec<ParentCore>,
    /// Incarnation of the sender. The sender forgets earlier reports when it restarts.
    pub incarnation: u64,
    /// Sequence number of the answered heartbeat.
    pub sequence: u64,
    /// Number of entries.
    pub entry_count: u32,
    /// Change with which the newest rollout plans were published.
    pub plans_change: u64,
    /// Time since these plans were certainly the newest, or `None` if unknown.
    pub plans_age: Option<Duration>,
    /// Time slot under upstreams' rate limits that belongs to the instance, or to the first entry
    /// below a core; `None` if unknown.
    pub time_slot: Option<TimeSlot>,
    /// For a core: whether the leader asks for the list of its entries.
    pub list_entries: bool,
}

/// Describes a call to the leader.
#[data(float)]
pub enum Request {
    /// Puts a route table in force.
    AdoptRouteTable(Box<RouteTableRevision>),
    /// Reads the newest route table as the operator wrote it.
    ReadRouteTable,
    /// Announces an upstream or renews its announcement.
    Announce(Box<Announcement>),
    /// Announces that an upstream departs.
    Withdraw {
        /// The upstream.
        upstream: Upstream,
        /// Start time of the departing run, in Unix milliseconds; `None` stands for the run that is
        /// known.
        incarnation: Option<u64>,
    },
    /// Moves a service's traffic to another version.
    StartRollout(Order),
    /// Reads the progress of a service's latest rollout.
    ReadRollout(Arc<str>),
}

/// Answers a call.
#[data]
pub enum Response {
    /// A route table of this or a higher revision is in force and will remain so.
    RouteTableAdopted {
        /// The revision in force.
        revision: u64,
    },
    /// The newest route table as the operator wrote it.
    Document(Arc<[u8]>),
    /// There is no route table yet.
    NoRouteTable,
    /// The announcement has reached every instance that must know it.
    Acknowledged,
    /// The latest rollout of the service, or `None` without one.
    Rollout(Option<Rollout>),
    /// The service is being moved to this other version.
    Conflict(Arc<str>),
    /// The route table does not contain the service.
    UnknownService(Arc<str>),
    /// No definite answer is possible now; the caller should try again or use another core.
    Unavailable,
}
