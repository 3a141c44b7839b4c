//! The settings of one instance, read from an INI file.
//!
//! Value formats and problem reports are the same as in the other settings of this project: a problem contains
//! the file, section, key, value and allowed values.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use verbenaslip::settings::reader::{Place, Reader};
use verbenaslip::settings::section::ANY;
use verbenaslip::settings::value::{Size, Value};
use verbenaslip::settings::{self, Collected, Invalid};
use verbenaslip_base::name::{AvailabilityZone, Instance as Name};
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::quarantine::QuarantinePolicy;

/// All settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance.
    pub name: Name,
    /// Availability zone in which the instance runs.
    pub zone: AvailabilityZone,
    /// Address at which other instances reach this one.
    pub peers: SocketAddr,
    /// Addresses of some cores that are used to join the fleet; their port is replaced by that of `peers`.
    pub seeds: Vec<SocketAddr>,
    /// Settings of an entry, if the instance is one.
    pub entry: Option<Entry>,
    /// Settings of a core, if the instance is one.
    pub core: Option<Core>,
    /// Settings concerning upstreams.
    pub upstreams: Upstreams,
    /// Settings for the placement of requests.
    pub placement: Placement,
    /// Settings for the quarantine of requests that crash upstreams.
    pub requests: Requests,
    /// Settings of a planned stop.
    pub stop: Stop,
    /// Settings of the cloud, if it receives orders.
    pub cloud: Option<Cloud>,
    /// Address at which metrics are served, if they are.
    pub metrics: Option<SocketAddr>,
}

/// Section `[entry]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address at which the load balancer probes whether the entry accepts new callers.
    pub ready: SocketAddr,
    /// Maximum number of concurrent connections of callers.
    pub connections: u32,
    /// Memory of the machine, in bytes.
    pub memory: Size,
    /// Address at which the entry opens connections to upstreams for other entries, if it does.
    pub tunnels: Option<SocketAddr>,
    /// Maximum number of such connections.
    pub max_tunnels: u32,
}

/// Section `[core]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Core {
    /// Address for calls of operators and upstreams.
    pub control: SocketAddr,
    /// Data directory of the replicated log.
    pub folder: PathBuf,
    /// Whether the whole fleet starts for the first time, so that the seeds create the replicated log.
    pub found: bool,
    /// Number of disks that may be lost at once without losing data.
    pub losses: u32,
}

/// Section `[upstreams]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstreams {
    /// Time between two announcements of one upstream.
    pub announce: Duration,
    /// Retries that a service may get per request of its callers.
    pub retry_ratio: f64,
    /// Retries that a service may get at once, in addition to the ratio.
    pub retry_allowance: f64,
    /// Length of a usage window.
    pub usage_window: Duration,
    /// Time after the end of a usage window for which its counts are still reported.
    pub usage_late: Duration,
}

/// Section `[placement]`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    /// Minimum number of slots of an upstream that is placed by the fleet's measurements; zero turns this off.
    pub shared_slots: u32,
    /// Minimum number of entries with which the fleet's measurements are used.
    pub shared_entries: u32,
}

/// Section `[requests]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Requests {
    /// Number of consecutive upstreams that a request must have crashed to be quarantined.
    pub crashes: u32,
    /// Time after which a quarantined request is allowed again on trial.
    pub hold: Duration,
    /// Number of upstreams that must have crashed while they ran requests with a prompt part.
    pub part_crashes: u32,
    /// Time after which a request with a quarantined prompt part is allowed again on trial.
    pub part_hold: Duration,
    /// Fingerprints of requests and parts that are never quarantined.
    pub lifted: Vec<Fingerprint>,
    /// Fingerprints of requests and parts that are always refused.
    pub forbidden: Vec<Fingerprint>,
}

/// Section `[stop]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// Maximum duration of a planned stop.
    pub grace: Duration,
}

/// Section `[cloud]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Cloud {
    /// Address of the cloud.
    pub address: SocketAddr,
    /// Time that a new leader waits before its first order.
    pub wait: Duration,
}

/// Value that is a time with a fraction and a unit.
struct DurationValue(Duration);

impl Value for DurationValue {
    const ALLOWED: &'static str = "a number with a unit, such as 2.5s or 300ms";

    fn read(text: &str) -> Option<Self> {
        let (number, scale) = match text.strip_suffix("ms") {
            Some(number) => (number, 0.001),
            None => (text.strip_suffix('s')?, 1.0),
        };
        let number: f64 = number.trim().parse().ok()?;
        Duration::try_from_secs_f64(number * scale).ok().map(Self)
    }
}

/// Value that is a number and not negative.
struct NonNegativeNumber(f64);

impl Value for NonNegativeNumber {
    const ALLOWED: &'static str = "a number from 0, such as 0.2";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0).map(Self)
    }
}

/// Value that is a number of upstreams.
struct UpstreamCount(u32);

impl Value for UpstreamCount {
    const ALLOWED: &'static str = "a whole number from 2";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number| *number >= 2).map(Self)
    }
}

/// Value that is the fingerprint of a request or of a prompt part, as logs show it.
struct FingerprintValue(Fingerprint);

impl Value for FingerprintValue {
    const ALLOWED: &'static str =
        "32 hexadecimal digits, as in `content` or `held_by` of a request's log line";

    fn read(text: &str) -> Option<Self> {
        let is_complete = text.len() == 32 && text.bytes().all(|it| it.is_ascii_hexdigit());
        text.parse().ok().filter(|_| is_complete).map(Self)
    }
}

/// Value that is a boolean.
struct Flag(bool);

impl Value for Flag {
    const ALLOWED: &'static str = "true or false";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the file.
    pub fn read(path: &Path) -> Result<Self, Invalid> {
        Self::parse(&settings::text(path)?, path)
    }

    /// Validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all problems of the text.
    pub fn parse(text: &str, origin: &Path) -> Result<Self, Invalid> {
        let Collected { taken, problems } = settings::collect(text, origin, Self::read_from)?;
        if problems.is_empty() { Ok(taken) } else { Err(Invalid { problems }) }
    }

    fn read_from(reader: &mut Reader<'_>) -> Self {
        let mut peers = ANY;
        let (mut name, mut zone) = (Name::new("instance"), AvailabilityZone::new("zone"));
        reader.need(Place("instance", "name"), &mut name);
        reader.need(Place("instance", "zone"), &mut zone);
        reader.need(Place("instance", "peers"), &mut peers);
        let mut seeds: Vec<SocketAddr> = Vec::new();
        reader.list(Place("instance", "seeds"), &mut seeds);
        seeds.iter_mut().for_each(|seed| seed.set_port(peers.port()));
        let mut metrics = ANY;
        let metrics_section = reader.optional("metrics", |reader| {
            reader.need(Place("metrics", "address"), &mut metrics);
        });
        let settings = Self {
            name,
            zone,
            peers,
            seeds,
            entry: reader.optional("entry", Entry::read_from),
            core: reader.optional("core", Core::read_from),
            upstreams: reader.section(Upstreams::read_from),
            placement: reader.section(Placement::read_from),
            requests: reader.section(Requests::read_from),
            stop: reader.section(Stop::read_from),
            cloud: reader.optional("cloud", Cloud::read_from),
            metrics: metrics_section.map(|()| metrics),
        };
        reader.finish();
        settings
    }
}

impl Entry {
    fn read_from(reader: &mut Reader<'_>) -> Self {
        let mut entry = Self {
            callers: ANY,
            ready: ANY,
            connections: 3_000,
            memory: Size(256 << 20),
            tunnels: None,
            max_tunnels: 256,
        };
        let mut tunnels = ANY;
        reader.need(Place("entry", "callers"), &mut entry.callers);
        reader.need(Place("entry", "ready"), &mut entry.ready);
        reader.take(Place("entry", "connections"), &mut entry.connections);
        let sizes = Size(32 << 20)..=Size(1 << 40);
        reader.within(Place("entry", "memory"), &mut entry.memory, sizes);
        reader.take(Place("entry", "tunnels"), &mut tunnels);
        entry.tunnels = (tunnels != ANY).then_some(tunnels);
        reader.take(Place("entry", "max_tunnels"), &mut entry.max_tunnels);
        entry
    }
}

impl Core {
    fn read_from(reader: &mut Reader<'_>) -> Self {
        let mut core = Self { control: ANY, folder: PathBuf::new(), found: false, losses: 1 };
        reader.need(Place("core", "control"), &mut core.control);
        let mut folder = None;
        reader.need_path(Place("core", "folder"), &mut folder);
        core.folder = folder.unwrap_or_default();
        let mut found = Flag(false);
        reader.take(Place("core", "found"), &mut found);
        core.found = found.0;
        reader.take(Place("core", "losses"), &mut core.losses);
        core
    }
}

impl Upstreams {
    fn read_from(reader: &mut Reader<'_>) -> Self {
        let mut announce = DurationValue(Duration::from_millis(1_200));
        let (mut retry_ratio, mut retry_allowance) =
            (NonNegativeNumber(0.2), NonNegativeNumber(50.0));
        let mut window = DurationValue(Duration::from_secs(5));
        let mut late = DurationValue(Duration::from_secs(10));
        reader.take(Place("upstreams", "announce"), &mut announce);
        reader.take(Place("upstreams", "retry_ratio"), &mut retry_ratio);
        reader.take(Place("upstreams", "retry_allowance"), &mut retry_allowance);
        reader.take(Place("upstreams", "usage_window"), &mut window);
        reader.take(Place("upstreams", "usage_late"), &mut late);
        Self {
            announce: announce.0,
            retry_ratio: retry_ratio.0,
            retry_allowance: retry_allowance.0,
            usage_window: window.0,
            usage_late: late.0,
        }
    }
}

impl Placement {
    fn read_from(reader: &mut Reader<'_>) -> Self {
        let mut placement = Self { shared_slots: 0, shared_entries: 16 };
        reader.take(Place("placement", "shared_slots"), &mut placement.shared_slots);
        reader.take(Place("placement", "shared_entries"), &mut placement.shared_entries);
        placement
    }
}

impl Requests {
    fn read_from(reader: &mut Reader<'_>) -> Self {
        let default_policy = QuarantinePolicy::default();
        let (mut crashes, mut hold) = (
            UpstreamCount(default_policy.crash_threshold),
            DurationValue(default_policy.hold_time),
        );
        let (mut part_crashes, mut part_hold) = (
            UpstreamCount(default_policy.part_crash_threshold),
            DurationValue(default_policy.part_hold_time),
        );
        let (mut lifted, mut forbidden): (Vec<FingerprintValue>, Vec<FingerprintValue>) =
            (Vec::new(), Vec::new());
        reader.take(Place("requests", "crashes"), &mut crashes);
        reader.take(Place("requests", "hold"), &mut hold);
        reader.take(Place("requests", "part_crashes"), &mut part_crashes);
        reader.take(Place("requests", "part_hold"), &mut part_hold);
        reader.list(Place("requests", "lifted"), &mut lifted);
        reader.list(Place("requests", "forbidden"), &mut forbidden);
        let fingerprints =
            |contents: Vec<FingerprintValue>| contents.into_iter().map(|it| it.0).collect();
        let (lifted, forbidden) = (fingerprints(lifted), fingerprints(forbidden));
        Self {
            crashes: crashes.0,
            hold: hold.0,
            part_crashes: part_crashes.0,
            part_hold: part_hold.0,
            lifted,
            forbidden,
        }
    }

    /// Returns the policy by which the leader quarantines requests.
    pub(crate) fn quarantine_policy(&self) -> QuarantinePolicy {
        QuarantinePolicy {
            crash_threshold: self.crashes,
            hold_time: self.hold,
            part_crash_threshold: self.part_crashes,
            part_hold_time: self.part_hold,
            lifted: self.lifted.iter().copied().collect(),
            forbidden: self.forbidden.iter().copied().collect(),
        }
    }
}

impl Stop {
    fn read_from(reader: &mut Reader<'_>) -> Self {
        let mut grace = DurationValue(Duration::from_secs(8));
        reader.take(Place("stop", "grace"), &mut grace);
        Self { grace: grace.0 }
    }
}

impl Cloud {
    fn read_from(reader: &mut Reader<'_>) -> Self {
        let mut address = ANY;
        let mut wait = DurationValue(Duration::from_secs(3));
        reader.need(Place("cloud", "address"), &mut address);
        reader.take(Place("cloud", "wait"), &mut wait);
        Self { address, wait: wait.0 }
    }
}
