//! The sections of a settings file: what each key means, its default and its bounds.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;

use verbenaslip_base::name::{self, AvailabilityZone, Region};
use verbenaslip_request::setup::Journal;

use super::reader::{Place, Reader};
use super::value::{Format, Size, Voter};

/// A free loopback port.
pub const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Shortens a duration in milliseconds.
const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

/// Holds `[instance]`: who this instance is and where it listens.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its name, unique in the deployment and kept across restarts.
    pub name: name::Instance,
    /// The availability zone in which it runs.
    pub zone: AvailabilityZone,
    /// The region of that zone.
    pub region: Region,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators, upstreams, health checks and metrics reach it.
    pub admin: SocketAddr,
    /// Where other instances reach it, over UDP and TCP; others are told this very address.
    pub peers: SocketAddr,
    /// The folder for its own state; an instance that has one may be a voter.
    pub data: Option<PathBuf>,
}

impl Default for Instance {
    fn default() -> Self {
        Self {
            name: "instance".into(),
            zone: "zone".into(),
            region: "region".into(),
            callers: ANY,
            admin: ANY,
            peers: ANY,
            data: None,
        }
    }
}

impl Instance {
    pub(super) fn take(reader: &mut Reader<'_>) -> Self {
        let place = |key| Place("instance", key);
        let mut section = Self::default();
        reader.need(place("name"), &mut section.name);
        reader.need(place("zone"), &mut section.zone);
        reader.need(place("region"), &mut section.region);
        reader.need(place("callers"), &mut section.callers);
        reader.need(place("admin"), &mut section.admin);
        reader.need(place("peers"), &mut section.peers);
        reader.path(place("data"), &mut section.data);
        section
    }
}

/// Holds `[cluster]`: how this instance finds the others.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    /// The cluster's name; instances of another name are not listened to.
    pub name: Arc<str>,
    /// `peers` addresses of some instances to join through.
    pub seeds: Vec<SocketAddr>,
    /// The voters with which an empty log begins; the same on all of them, and unused afterwards.
    pub voters: Vec<Voter>,
    /// A file with a word that instances of the cluster share; it guards against mistakes.
    pub secret: Option<PathBuf>,
    /// Where a request must be held, beside here, before it counts as accepted.
    pub second_holder: Journal,
}

impl Default for Cluster {
    fn default() -> Self {
        Self {
            name: "cluster".into(),
            seeds: Vec::new(),
            voters: Vec::new(),
            secret: None,
            second_holder: Journal::OtherZone,
        }
    }
}

impl Cluster {
    pub(super) fn take(reader: &mut Reader<'_>) -> Self {
        let place = |key| Place("cluster", key);
        let mut section = Self::default();
        reader.need(place("name"), &mut section.name);
        reader.list(place("seeds"), &mut section.seeds);
        reader.list(place("voters"), &mut section.voters);
        reader.path(place("secret"), &mut section.secret);
        reader.take(place("second_holder"), &mut section.second_holder);
        section
    }
}

/// Holds `[files]`: what this instance reads besides its settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Files {
    /// Keys that callers show, by team.
    pub team_keys: Option<PathBuf>,
    /// Keys that operators show.
    pub operator_keys: Option<PathBuf>,
    /// Keys that upstreams show.
    pub upstream_keys: Option<PathBuf>,
    /// The table with which an empty log begins; unused afterwards.
    pub initial_table: Option<PathBuf>,
}

impl Files {
    pub(super) fn take(reader: &mut Reader<'_>) -> Self {
        let place = |key| Place("files", key);
        let mut section = Self::default();
        reader.need_path(place("team_keys"), &mut section.team_keys);
        reader.need_path(place("operator_keys"), &mut section.operator_keys);
        reader.need_path(place("upstream_keys"), &mut section.upstream_keys);
        reader.path(place("initial_table"), &mut section.initial_table);
        section
    }
}

/// Holds `[log]`: where log events go.
#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    /// The folder for `verbenaslip.log`; without one events go to standard error.
    pub folder: Option<PathBuf>,
    /// The least important level written.
    pub level: LevelFilter,
    /// How lines are written.
    pub format: Format,
}

impl Default for Log {
    fn default() -> Self {
        Self { folder: None, level: LevelFilter::Info, format: Format::Text }
    }
}

impl Log {
    pub(super) fn take(reader: &mut Reader<'_>) -> Self {
        let place = |key| Place("log", key);
        let mut section = Self::default();
        reader.path(place("folder"), &mut section.folder);
        reader.take(place("level"), &mut section.level);
        reader.take(place("format"), &mut section.format);
        section
    }
}

/// Holds `[limits]`: what callers and held requests may take.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The largest request body.
    pub body: Size,
    /// The most connections of callers at once.
    pub connections: u32,
    /// The longest time for a request's head to arrive.
    pub head_timeout: Duration,
    /// The longest time for a request's body to arrive.
    pub body_timeout: Duration,
    /// The longest time that a caller may take no byte of its answer.
    pub write_timeout: Duration,
    /// The memory for requests and answers held here and for other instances.
    pub journal: Size,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: Size(4 << 20),
            connections: 4_096,
            head_timeout: ms(10_000),
            body_timeout: ms(30_000),
            write_timeout: ms(30_000),
            journal: Size(64 << 20),
        }
    }
}

impl Limits {
    pub(super) fn take(reader: &mut Reader<'_>) -> Self {
        let place = |key| Place("limits", key);
        let mut section = Self::default();
        let patience = ms(100)..=ms(600_000);
        reader.within(place("body"), &mut section.body, Size(1 << 10)..=Size(1 << 30));
        reader.within(place("connections"), &mut section.connections, 1..=1_000_000);
        reader.within(place("head_timeout"), &mut section.head_timeout, patience.clone());
        reader.within(place("body_timeout"), &mut section.body_timeout, patience.clone());
        reader.within(place("write_timeout"), &mut section.write_timeout, patience);
        reader.within(place("journal"), &mut section.journal, Size(1 << 20)..=Size(1 << 40));
        section
    }
}

/// Holds `[timing]`: how long this instance waits for what; the same on all instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Timing {
    /// Time between two rounds of heartbeats of the voters' leader.
    pub heartbeat: Duration,
    /// The shortest time without a leader after which a voter stands for election; the leader's own
    /// lease is a little shorter.
    pub election: Duration,
    /// How long an upstream takes new work after its last announcement.
    pub upstream_lease: Duration,
    /// The longest silence of an upstream's stream.
    pub stall: Duration,
    /// How long a request with a key runs on after its caller's connection broke.
    pub absence: Duration,
    /// How long a finished answer is kept for callers that come back.
    pub retention: Duration,
    /// The longest time that a planned stop waits for requests in progress.
    pub drain: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        let log = verbenaslip_replica::setup::Timing::default();
        let request = verbenaslip_request::setup::Timing::default();
        Self {
            heartbeat: log.heartbeat_interval,
            election: log.election_timeout,
            upstream_lease: verbenaslip_gossip::MAX_LEASE,
            stall: request.stall,
            absence: request.absence,
            retention: request.retention,
            drain: ms(25_000),
        }
    }
}

impl Timing {
    pub(super) fn take(reader: &mut Reader<'_>) -> Self {
        let place = |key| Place("timing", key);
        let mut section = Self::default();
        let lease = ms(500)..=verbenaslip_gossip::MAX_LEASE;
        reader.within(place("heartbeat"), &mut section.heartbeat, ms(10)..=ms(1_000));
        reader.within(place("election"), &mut section.election, ms(50)..=ms(5_000));
        reader.within(place("upstream_lease"), &mut section.upstream_lease, lease);
        reader.within(place("stall"), &mut section.stall, ms(50)..=ms(60_000));
        reader.within(place("absence"), &mut section.absence, ms(0)..=ms(600_000));
        reader.within(place("retention"), &mut section.retention, ms(1_000)..=ms(86_400_000));
        reader.within(place("drain"), &mut section.drain, ms(100)..=ms(3_600_000));
        section
    }
}

/// Holds `[cloud]`: the interface that offers and reclaims machines.
#[derive(Clone, Debug, PartialEq)]
pub struct Cloud {
    /// Its address.
    pub address: SocketAddr,
    /// Time between two questions for notices.
    pub poll: Duration,
}

impl Default for Cloud {
    fn default() -> Self {
        Self { address: ANY, poll: ms(500) }
    }
}

impl Cloud {
    pub(super) fn take(reader: &mut Reader<'_>) -> Self {
        let place = |key| Place("cloud", key);
        let mut section = Self::default();
        reader.need(place("address"), &mut section.address);
        reader.within(place("poll"), &mut section.poll, ms(50)..=ms(5_000));
        section
    }
}

/// Holds `[weights]`: the weight store from which upstreams load models.
#[derive(Clone, Debug, PartialEq)]
pub struct Weights {
    /// Its address.
    pub address: SocketAddr,
}

impl Default for Weights {
    fn default() -> Self {
        Self { address: ANY }
    }
}

impl Weights {
    pub(super) fn take(reader: &mut Reader<'_>) -> Self {
        let mut section = Self::default();
        reader.need(Place("weights", "address"), &mut section.address);
        section
    }
}
