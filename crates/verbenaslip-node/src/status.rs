//! The status of an instance, as shown to operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::announce::Announcement;
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Class, Instance, Team};
use verbenaslip_gossip::State;
use verbenaslip_replica::output::ReplicaRole;
use verbenaslip_replica::status as log;
use verbenaslip_table::{Revision, row};

use crate::node::Node;

/// Describes the status of an instance.
#[data(float)]
pub struct Status {
    /// Name of this instance.
    pub instance: Instance,
    /// Version of the program.
    pub version: Arc<str>,
    /// Availability zone of this instance.
    pub zone: AvailabilityZone,
    /// Reasons why the platform should not send callers here; empty if it should.
    pub not_ready: Vec<Arc<str>>,
    /// Revision of the table in use.
    pub revision: Revision,
    /// Number of rows of the table.
    pub rows: usize,
    /// Remaining time of the table lease.
    #[serde(with = "crate::millis")]
    pub lease: Option<Duration>,
    /// Instance from which this one gets the table.
    pub follows: Option<Instance>,
    /// Status of the replicated log; none without a data directory.
    pub log: Option<Log>,
    /// Instances that may still use an older table; known only to the leader.
    pub behind: Option<Vec<Instance>>,
    /// Whether this instance suspects that its own network links have failed.
    pub isolated: bool,
    /// Other instances.
    pub peers: Vec<Peer>,
    /// Known upstreams.
    pub upstreams: Vec<Upstream>,
    /// Number of requests, copies, claims and proposals held here.
    pub work: Work,
    /// Requests held here per row of the table, in table order.
    pub load: Vec<Load>,
}

/// Describes the status of the replicated log on an instance.
#[data]
pub struct Log {
    /// Identity of the data directory, in hexadecimal digits.
    pub identity: Arc<str>,
    /// Group of the voters, in hexadecimal digits; none before the first contact with the group.
    pub group: Option<Arc<str>>,
    /// Current term.
    pub term: u64,
    /// Leader, if known.
    pub leader: Option<Instance>,
    /// Role of this instance in the log.
    pub duty: ReplicaRole,
    /// Index of the last log entry.
    pub last: u64,
    /// Last index that this instance knows to be committed.
    pub commit: u64,
    /// Last index that the snapshot covers.
    pub snapshot: u64,
    /// Remaining time of the leader's lease; present only on the leader.
    #[serde(with = "crate::millis")]
    pub lease: Option<Duration>,
    /// Whether the voter set is being changed.
    pub joint: bool,
    /// Voters and instances that catch up to become voters; only the leader knows their progress.
    pub voters: Vec<Voter>,
}

/// Describes one voter.
#[data]
pub struct Voter {
    /// Name of the instance.
    pub instance: Instance,
    /// Identity of its data directory, in hexadecimal digits.
    pub identity: Arc<str>,
    /// Whether its vote counts already.
    pub votes: bool,
    /// Index up to which its log is known to match the leader's.
    pub matched: Option<u64>,
    /// Time since its last answer.
    #[serde(with = "crate::millis")]
    pub silent: Option<Duration>,
}

/// Describes the requests of one row held here and this instance's share of the row's limits.
#[data(float)]
pub struct Load {
    /// Team of the row.
    pub team: Team,
    /// Class of the row; `*` stands for every class of the team without its own row.
    pub class: Class,
    /// Number of requests that wait for an upstream.
    pub waiting: usize,
    /// Number of running requests.
    pub running: usize,
    /// Number of requests that may run here at once now; none if this instance has no share.
    pub concurrency: Option<u32>,
    /// Requests that may be admitted here per second; none without a limit or a share.
    pub rate: Option<f64>,
}

/// Describes another instance.
#[data]
pub struct Peer {
    /// Name of the instance.
    pub instance: Instance,
    /// Availability zone of the instance.
    pub zone: AvailabilityZone,
    /// Membership state that this instance assumes for the other one.
    pub state: State,
}

/// Describes an upstream.
#[data]
pub struct Upstream {
    /// Last announcement of the upstream.
    pub announcement: Announcement,
    /// Lease status of the upstream.
    pub standing: Standing,
}

/// Lease status of an upstream.
#[data(copy)]
pub enum Standing {
    /// The lease was renewed in time.
    Confirmed,
    /// The lease was not renewed, but this instance itself may be cut off.
    Doubtful,
    /// The lease was not renewed.
    Lapsed,
}

/// Counts what an instance holds.
#[data(copy, default)]
pub struct Work {
    /// Requests that wait for an upstream.
    pub waiting: usize,
    /// Running requests.
    pub running: usize,
    /// Requests that this instance owns and has not finished.
    pub owned: usize,
    /// Unfinished copies held for other owners.
    pub copies: usize,
    /// Finished answers that are kept.
    pub finished: usize,
    /// Claims in the local replicated state.
    pub claims: usize,
    /// Unanswered proposals.
    pub proposals: usize,
}

impl Node {
    /// Returns the status of this instance.
    pub fn status(&self) -> Status {
        let propagation = self.hub.propagation(self.now, self.hub.revision());
        Status {
            instance: self.setup.instance.clone(),
            version: env!("CARGO_PKG_VERSION").into(),
            zone: self.setup.zone.clone(),
            not_ready: self.readiness_problems(),
            revision: self.hub.revision(),
            rows: self.hub.table().rows().len(),
            lease: self.lease_left(),
            follows: self.hub.followed_publisher().cloned(),
            log: self.log(),
            behind: propagation.map(|propagation| propagation.awaited),
            isolated: self.gossip.isolated(),
            peers: self.gossip.members().map(Peer::of).collect(),
            upstreams: self.gossip.records().map(Upstream::of).collect(),
            work: self.work(),
            load: self.load(),
        }
    }

    /// Returns the remaining time of the table lease, or none if it has expired.
    pub fn lease_left(&self) -> Option<Duration> {
        self.hub.lease().and_then(|until| until.checked_sub(self.now))
    }

    /// Returns the status of the replicated log, or none without a data directory.
    pub fn log(&self) -> Option<Log> {
        self.voter.as_ref().map(|voter| Log::of(voter.replica().status(self.now)))
    }

    /// Returns the other instances and their membership states.
    pub fn peers(&self) -> impl Iterator<Item = (&Instance, State)> {
        self.gossip.members().map(|member| (&member.peer().instance, member.state()))
    }

    /// Returns the last announcement of each upstream and its lease status.
    pub fn upstreams(&self) -> impl Iterator<Item = (&Announcement, Standing)> {
        self.gossip.records().map(|record| (record.announcement(), record.lease_status().into()))
    }

    /// Returns the requests held here per row of the table, in table order.
    pub fn load(&self) -> Vec<Load> {
        let table = self.hub.table();
        let mut counts: BTreeMap<row::Key, Count> = BTreeMap::new();
        for record in self.records.values() {
            let Some(row) = table.row(&record.head.team, &record.head.class) else { continue };
            let count = counts.entry(row.key()).or_default();
            let part =
                if record.started.is_none() { &mut count.waiting } else { &mut count.running };
            *part += 1;
        }
        let limiter = self.dispatcher.limiter();
        let load = |row: &verbenaslip_table::Row| {
            let key = row.key();
            let count = counts.get(&key).copied().unwrap_or_default();
            let concurrency = limiter.concurrency(self.now, &key);
            let rate = limiter.rate(self.now, &key);
            let (Count { waiting, running }, row::Key { team, class }) = (count, key);
            Load { team, class, waiting, running, concurrency, rate }
        };
        table.rows().iter().map(load).collect()
    }

    fn work(&self) -> Work {
        let count = self.requests.counts();
        Work {
            waiting: self.dispatcher.waiting(),
            running: self.dispatcher.running(),
            owned: count.owned,
            copies: count.copies,
            finished: count.finished,
            claims: self.claim_count(),
            proposals: self.proposals.len(),
        }
    }
}

/// Counts the requests of one row.
#[derive(Clone, Copy, Default)]
struct Count {
    waiting: usize,
    running: usize,
}

impl Log {
    fn of(status: log::Status) -> Self {
        Self {
            identity: status.identity.to_string().into(),
            group: status.group.map(|group| format!("{:032x}", group.0).into()),
            term: status.term,
            leader: status.leader,
            duty: status.role,
            last: status.last_index,
            commit: status.commit_index,
            snapshot: status.snapshot_index,
            lease: status.lease_remaining,
            joint: status.is_joint,
            voters: status.voters.into_iter().map(Voter::of).collect(),
        }
    }
}

impl Voter {
    fn of(progress: log::Progress) -> Self {
        Self {
            instance: progress.voter.instance,
            identity: progress.voter.identity.to_string().into(),
            votes: progress.is_voter,
            matched: progress.match_index,
            silent: progress.since_last_response,
        }
    }
}

impl Peer {
    fn of(member: &verbenaslip_gossip::Member) -> Self {
        let (instance, zone) = (member.peer().instance.clone(), member.peer().zone.clone());
        Self { instance, zone, state: member.state() }
    }
}

impl Upstream {
    fn of(record: &verbenaslip_gossip::Record) -> Self {
        let standing = record.lease_status().into();
        Self { announcement: record.announcement().clone(), standing }
    }
}

impl From<verbenaslip_gossip::LeaseStatus> for Standing {
    fn from(standing: verbenaslip_gossip::LeaseStatus) -> Self {
        match standing {
            verbenaslip_gossip::LeaseStatus::Confirmed => Self::Confirmed,
            verbenaslip_gossip::LeaseStatus::Doubtful => Self::Doubtful,
            verbenaslip_gossip::LeaseStatus::Lapsed => Self::Lapsed,
        }
    }
}
