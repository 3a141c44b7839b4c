//! How an instance stands, for operators.

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

/// Shows how an instance stands.
#[data(float)]
pub struct Status {
    /// This instance.
    pub instance: Instance,
    /// The version of its program.
    pub version: Arc<str>,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Why it takes no new work; empty when it does.
    pub not_ready: Vec<Arc<str>>,
    /// The revision of the table in use.
    pub revision: Revision,
    /// How many rows the table has.
    pub rows: usize,
    /// How much longer the table lease lasts.
    #[serde(with = "crate::millis")]
    pub lease: Option<Duration>,
    /// Whom this instance follows for the table.
    pub follows: Option<Instance>,
    /// How the replicated log stands here; none without a data folder.
    pub log: Option<Log>,
    /// Who may still serve by an older table; known to the leader alone.
    pub behind: Option<Vec<Instance>>,
    /// Whether this instance doubts its own links.
    pub isolated: bool,
    /// The other instances.
    pub peers: Vec<Peer>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The work held here.
    pub work: Work,
    /// The work held here by row of the table, in its order.
    pub load: Vec<Load>,
}

/// Shows how the replicated log stands at an instance.
#[data]
pub struct Log {
    /// The identity of the data folder, in hexadecimal digits.
    pub identity: Arc<str>,
    /// The group of voters, in hexadecimal digits; none before the first contact with it.
    pub group: Option<Arc<str>>,
    /// The term.
    pub term: u64,
    /// The leader, where known.
    pub leader: Option<Instance>,
    /// What this instance does.
    pub duty: ReplicaRole,
    /// The last entry.
    pub last: u64,
    /// The last committed index that it knows.
    pub commit: u64,
    /// The last index that the snapshot covers.
    pub snapshot: u64,
    /// How much longer the leader's lease lasts, on the leader alone.
    #[serde(with = "crate::millis")]
    pub lease: Option<Duration>,
    /// Whether the voter set is being changed.
    pub joint: bool,
    /// The voters, and those that catch up; the progress is known to the leader alone.
    pub voters: Vec<Voter>,
}

/// Shows how one voter stands.
#[data]
pub struct Voter {
    /// The instance.
    pub instance: Instance,
    /// The identity of its data folder, in hexadecimal digits.
    pub identity: Arc<str>,
    /// Whether its vote counts already.
    pub votes: bool,
    /// How far its log is known to be equal to the leader's.
    pub matched: Option<u64>,
    /// How long ago it last answered.
    #[serde(with = "crate::millis")]
    pub silent: Option<Duration>,
}

/// Shows the work held here of one row, and this instance's part of the row's limits.
#[data(float)]
pub struct Load {
    /// The row's team.
    pub team: Team,
    /// The row's class; `*` is every class of the team without a row of its own.
    pub class: Class,
    /// Requests that wait for an upstream.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// How many may run at once here now; none without a part.
    pub concurrency: Option<u32>,
    /// How many may be let in here within a second; none without a limit or a part.
    pub rate: Option<f64>,
}

/// Shows another instance.
#[data]
pub struct Peer {
    /// The instance.
    pub instance: Instance,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// What is believed of it.
    pub state: State,
}

/// Shows an upstream.
#[data]
pub struct Upstream {
    /// What it last said.
    pub announcement: Announcement,
    /// How far it is confirmed.
    pub standing: Standing,
}

/// Says how far an upstream is confirmed.
#[data(copy)]
pub enum Standing {
    /// It was renewed within its lease.
    Confirmed,
    /// It was not, but this instance itself may be cut off.
    Doubtful,
    /// It was not.
    Lapsed,
}

/// Counts the work held at an instance.
#[data(copy, default)]
pub struct Work {
    /// Requests that wait for an upstream.
    pub waiting: usize,
    /// Requests that run.
    pub running: usize,
    /// Requests owned and not finished.
    pub owned: usize,
    /// Copies held for other owners and not finished.
    pub copies: usize,
    /// Finished answers kept.
    pub finished: usize,
    /// Claims kept in the replicated state.
    pub claims: usize,
    /// Proposals on their way.
    pub proposals: usize,
}

impl Node {
    /// Shows how this instance stands.
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

    /// Returns how much longer the table lease lasts; none when it has run out.
    pub fn lease_left(&self) -> Option<Duration> {
        self.hub.lease().and_then(|until| until.checked_sub(self.now))
    }

    /// Shows how the replicated log stands here; none without a data folder.
    pub fn log(&self) -> Option<Log> {
        self.voter.as_ref().map(|voter| Log::of(voter.replica().status(self.now)))
    }

    /// Returns what each other instance is believed to be.
    pub fn peers(&self) -> impl Iterator<Item = (&Instance, State)> {
        self.gossip.members().map(|member| (&member.peer().instance, member.state()))
    }

    /// Returns what each upstream last said, with how far it is confirmed.
    pub fn upstreams(&self) -> impl Iterator<Item = (&Announcement, Standing)> {
        self.gossip.records().map(|record| (record.announcement(), record.lease_status().into()))
    }

    /// Shows the work held here by row of the table, in its order.
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
