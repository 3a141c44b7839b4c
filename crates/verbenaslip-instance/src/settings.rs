//! The settings of one instance of a fleet, read from an INI file.
//!
//! The values and their problems are those of the other settings of this project; a problem names
//! file, section, key, value and what is allowed.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use verbenaslip::settings::reader::{Place, Reader};
use verbenaslip::settings::section::ANY;
use verbenaslip::settings::value::Value;
use verbenaslip::settings::{self, Collected, Invalid};
use verbenaslip_base::name::{AvailabilityZone, Instance as Name};
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::quarantine::QuarantinePolicy;

/// Holds all settings of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Its name.
    pub name: Name,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// Where other instances reach it.
    pub peers: SocketAddr,
    /// Hosts of some cores to join through; their port is that of `peers`, the same everywhere.
    pub seeds: Vec<SocketAddr>,
    /// What it does for callers, if it is an entry.
    pub entry: Option<Entry>,
    /// What it does for the fleet, if it is a core.
    pub core: Option<Core>,
    /// What upstreams do.
    pub upstreams: Upstreams,
    /// When requests are held back that end upstreams.
    pub requests: Requests,
    /// How it stops.
    pub stop: Stop,
    /// The cloud, if there is one to give orders to.
    pub cloud: Option<Cloud>,
    /// Where metrics are served, if they are.
    pub metrics: Option<SocketAddr>,
}

/// Holds `[entry]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether new callers may come.
    pub ready: SocketAddr,
    /// The most connections of callers at once.
    pub connections: u32,
}

/// Holds `[core]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Core {
    /// Where operators and upstreams call.
    pub control: SocketAddr,
    /// The folder for the replicated log.
    pub folder: PathBuf,
    /// Whether the whole fleet starts for the first time, so that the seeds found the log.
    pub found: bool,
    /// How many disks may be lost at once.
    pub losses: u32,
}

/// Holds `[upstreams]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstreams {
    /// Time between two announcements of one upstream.
    pub announce: Duration,
    /// Further arrivals at a service for each request of its callers.
    pub retry_ratio: f64,
    /// Further arrivals at a service at once.
    pub retry_allowance: f64,
    /// The length of a window in which usage is counted.
    pub usage_window: Duration,
    /// How long after its end a window is of use.
    pub usage_late: Duration,
}

/// Holds `[requests]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Requests {
    /// How many upstreams must have ended under a request, one after the other, before it is held back.
    pub crashes: u32,
    /// After how long it is let through again.
    pub hold: Duration,
    /// Contents that are never held back.
    pub lifted: Vec<Fingerprint>,
    /// Contents that are held back in any case.
    pub forbidden: Vec<Fingerprint>,
}

/// Holds `[stop]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Stop {
    /// The longest time that a planned stop may take.
    pub grace: Duration,
}

/// Holds `[cloud]`.
#[derive(Clone, Debug, PartialEq)]
pub struct Cloud {
    /// Its address.
    pub address: SocketAddr,
    /// How long a new leader waits before its first order.
    pub wait: Duration,
}

/// Reads a time with a fraction and a unit.
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

/// Reads a number that is not negative.
struct NonNegativeNumber(f64);

impl Value for NonNegativeNumber {
    const ALLOWED: &'static str = "a number from 0, such as 0.2";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number: &f64| number.is_finite() && *number >= 0.0).map(Self)
    }
}

/// Reads a number of upstreams.
struct UpstreamCount(u32);

impl Value for UpstreamCount {
    const ALLOWED: &'static str = "a whole number from 2";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().filter(|number| *number >= 2).map(Self)
    }
}

/// Reads the content of a request as logs name it.
struct FingerprintValue(Fingerprint);

impl Value for FingerprintValue {
    const ALLOWED: &'static str = "32 hexadecimal digits, as in `content` of a request's log line";

    fn read(text: &str) -> Option<Self> {
        let is_complete = text.len() == 32 && text.bytes().all(|it| it.is_ascii_hexdigit());
        text.parse().ok().filter(|_| is_complete).map(Self)
    }
}

/// Reads a truth value.
struct Flag(bool);

impl Value for Flag {
    const ALLOWED: &'static str = "true or false";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok().map(Self)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Lists every problem of the file.
    pub fn read(path: &Path) -> Result<Self, Invalid> {
        Self::parse(&settings::text(path)?, path)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Lists every problem of the text.
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
        let mut entry = Self { callers: ANY, ready: ANY, connections: 3_000 };
        reader.need(Place("entry", "callers"), &mut entry.callers);
        reader.need(Place("entry", "ready"), &mut entry.ready);
        reader.take(Place("entry", "connections"), &mut entry.connections);
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

impl Requests {
    fn read_from(reader: &mut Reader<'_>) -> Self {
        let default_policy = QuarantinePolicy::default();
        let (mut crashes, mut hold) = (
            UpstreamCount(default_policy.crash_threshold),
            DurationValue(default_policy.hold_time),
        );
        let (mut lifted, mut forbidden): (Vec<FingerprintValue>, Vec<FingerprintValue>) =
            (Vec::new(), Vec::new());
        reader.take(Place("requests", "crashes"), &mut crashes);
        reader.take(Place("requests", "hold"), &mut hold);
        reader.list(Place("requests", "lifted"), &mut lifted);
        reader.list(Place("requests", "forbidden"), &mut forbidden);
        let fingerprints =
            |contents: Vec<FingerprintValue>| contents.into_iter().map(|it| it.0).collect();
        let (lifted, forbidden) = (fingerprints(lifted), fingerprints(forbidden));
        Self { crashes: crashes.0, hold: hold.0, lifted, forbidden }
    }

    /// Returns the rule by which the leader goes.
    pub(crate) fn quarantine_policy(&self) -> QuarantinePolicy {
        QuarantinePolicy {
            crash_threshold: self.crashes,
            hold_time: self.hold,
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
