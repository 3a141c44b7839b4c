//! One instance as a running whole: its listeners, its threads and its control thread.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam::channel::{self, Receiver, Sender};
use displaydoc::Display;
use verbenaslip_base::hash;
use verbenaslip_disk::DataDirectory;
use verbenaslip_node::setup::{InitialVoter, Setup, Timing};
use verbenaslip_replica::storage::{self, Recovered, Storage};
use verbenaslip_request::setup::{Limit, Timing as RequestTiming};
use verbenaslip_table::{Problems, Table};

use crate::admin::{self, Admin};
use crate::control::cloud::Worker;
use crate::control::disk::Disk;
use crate::control::outside::Outside;
use crate::control::{CONTROL, Control, Inbox, Order};
use crate::event::Event;
use crate::keys::{self, ring::Ring};
use crate::metric::Metric;
use crate::peers::{self, Identity, Peers};
use crate::settings::Settings;
use crate::traffic::{self, Traffic};

/// How long a call on the admin address may take.
const REPLY_TIME: Duration = Duration::from_secs(8);

/// The most connections on the admin address.
const ADMIN_CONNECTIONS: usize = 512;

/// The longest silence of a connection on the admin address.
const ADMIN_READ: Duration = Duration::from_secs(30);

/// Runs one instance; dropping it stops everything at once.
pub struct Server {
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
    orders: Sender<Order>,
    ended: Receiver<Ended>,
    drain: Duration,
    control: Option<JoinHandle<()>>,
}

/// Says how an instance ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// Everything in progress ended or was handed over.
    Drained,
    /// The drain time ran out with requests in progress, whose callers must come back.
    TimedOut,
    /// The data folder could not be written, so the instance could not go on.
    DiskFailed,
    /// The thread that owns the decisions ended by a fault in the program.
    ThreadLost,
}

/// Stops a server from another thread, such as that of the signals.
#[derive(Clone)]
pub struct Stopper {
    orders: Sender<Order>,
    drain: Duration,
}

impl Stopper {
    /// Begins the planned stop; [`Server::wait`] returns when it has ended.
    pub fn stop(&self) {
        let _ = self.orders.send(Order::Stop(self.drain));
    }
}

impl Server {
    /// Opens the data folder, binds the addresses and starts the threads.
    ///
    /// # Errors
    ///
    /// Says at which step it failed, and what to do about it.
    pub fn open(settings: &Settings) -> Result<Self, Error> {
        let ring = Ring::open(&settings.files).map_err(Error::Keys)?;
        Self::open_with(settings, ring)
    }

    /// Opens an instance whose keys are given, as when it is embedded in another program.
    ///
    /// # Errors
    ///
    /// Says at which step it failed, and what to do about it.
    pub fn open_with(settings: &Settings, ring: Ring) -> Result<Self, Error> {
        let table = initial_table(settings)?;
        let (storage, recovered) = open_folder(settings)?;
        let origin = Instant::now();
        let unix = unix();
        let identity = identity(settings, unix)?;
        let (traffic_in, traffic) = channel::unbounded();
        let (peers_in, messages) = channel::unbounded();
        let (admin_in, calls) = channel::unbounded();
        let (orders, ordered) = channel::unbounded();
        let (ended_in, ended) = channel::bounded(1);

        let seed = hash::narrow(&[
            identity.name.as_str().as_bytes(),
            &unix.to_le_bytes(),
            &std::process::id().to_le_bytes(),
        ]);
        let setup = traffic_setup(settings, &ring, origin, seed, &identity);
        let spawned = Traffic::spawn(setup, traffic_in);
        let traffic_threads = Arc::new(spawned.map_err(listen("callers", settings))?);
        let setup = peers::Setup {
            address: settings.instance.peers,
            identity,
            answers: traffic_threads.clone(),
        };
        let peers = Peers::bind(setup, peers_in).map_err(listen("peers", settings))?;
        let setup = admin::Setup {
            address: settings.instance.admin,
            keys: ring,
            reply_time: REPLY_TIME,
            read_time: ADMIN_READ,
            connections: ADMIN_CONNECTIONS,
        };
        let admin = Admin::spawn(setup, admin_in).map_err(listen("admin", settings))?;

        let callers_address = traffic_threads.address();
        let (admin_address, peers_address) = (admin.address(), peers.address());
        let node = node_setup(settings, peers_address, unix, seed, table, recovered);
        let inbox = Inbox { traffic, messages, calls, orders: ordered };
        let disk = storage.map(|storage| Disk::spawn(storage, orders.clone()));
        let cloud = settings.cloud.as_ref().map(|cloud| Worker::spawn(cloud, orders.clone()));
        let outside = Outside::spawn(orders.clone()).map_err(Error::Thread)?;
        let metric = Metric::open(&settings.instance.name, &settings.instance.zone);
        let control = Control {
            origin,
            inbox,
            traffic: traffic_threads,
            peers,
            admin,
            disk,
            cloud,
            outside,
            metric,
            ended: ended_in,
        };
        let control = control.spawn(node, unix).map_err(Error::Thread)?;
        announce_start(settings, [callers_address, admin_address, peers_address]);
        Ok(Self {
            callers: callers_address,
            admin: admin_address,
            peers: peers_address,
            orders,
            ended,
            drain: settings.timing.drain,
            control: Some(control),
        })
    }

    /// Returns where callers reach the instance.
    pub fn callers_address(&self) -> SocketAddr {
        self.callers
    }

    /// Returns where operators and upstreams reach the instance.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin
    }

    /// Returns where other instances reach the instance.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers
    }

    /// Returns what stops the instance from another thread.
    pub fn stopper(&self) -> Stopper {
        Stopper { orders: self.orders.clone(), drain: self.drain }
    }

    /// Waits until the instance has ended, by a stop or an operator's drain.
    pub fn wait(mut self) -> Ended {
        let ended = self.ended.recv();
        let lost = self.join();
        // A control thread that panicked has sent no end. Taken for a drain that ran out of time it
        // would look like an orderly stop to whoever reads the exit code, and nobody would report
        // the fault.
        let Ok(ended) = ended else {
            let cause = lost.unwrap_or_else(|| "it ended without a word".into());
            Event::ThreadLost { thread: CONTROL.into(), cause }.log();
            return Ended::ThreadLost;
        };
        ended
    }

    /// Stops the instance gracefully: nothing in progress is cut off within the drain time.
    pub fn stop(self) -> Ended {
        self.stopper().stop();
        self.wait()
    }

    /// Waits for the control thread and returns the words with which it panicked, if it did.
    fn join(&mut self) -> Option<Arc<str>> {
        let panic = self.control.take()?.join().err()?;
        let text = panic.downcast_ref::<&str>().map(|text| Arc::from(*text));
        text.or_else(|| panic.downcast_ref::<String>().map(|text| text.as_str().into()))
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.orders.send(Order::Abandon);
        let _ = self.join();
    }
}

/// Says why an instance did not start.
#[derive(Debug, Display)]
pub enum Error {
    /// the keys can't be read: {0}
    Keys(keys::file::Error),
    /// the initial table {0} can't be read: {1} (name a readable file in [files] initial_table)
    TableFile(String, std::io::Error),
    /// the initial table {0} has problems: {1}
    Table(String, Problems),
    /// the cluster's secret can't be read: {0}
    Secret(keys::file::Error),
    /// the data folder can't be used: {0}
    Folder(storage::Error),
    /// {0} can't listen on {1}: {2} (is another process using the address?)
    Listen(&'static str, SocketAddr, std::io::Error),
    /// a thread can't be started: {0}
    Thread(std::io::Error),
}

impl std::error::Error for Error {}

fn listen(what: &'static str, settings: &Settings) -> impl FnOnce(std::io::Error) -> Error + use<> {
    let address = match what {
        "callers" => settings.instance.callers,
        "admin" => settings.instance.admin,
        _ => settings.instance.peers,
    };
    move |error| Error::Listen(what, address, error)
}

/// Returns the wall clock's time in Unix milliseconds; zero for a clock before 1970.
pub(crate) fn unix() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

fn initial_table(settings: &Settings) -> Result<Option<Arc<Table>>, Error> {
    let Some(path) = &settings.files.initial_table else { return Ok(None) };
    let name = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|error| Error::TableFile(name.clone(), error))?;
    let table = Table::parse(&bytes).map_err(|problems| Error::Table(name, problems))?;
    Ok(Some(Arc::new(table)))
}

type Opened = (Option<Box<dyn Storage>>, Option<Recovered>);

fn open_folder(settings: &Settings) -> Result<Opened, Error> {
    let Some(path) = &settings.instance.data else { return Ok((None, None)) };
    let (folder, recovered) = DataDirectory::open(path).map_err(Error::Folder)?;
    if let Some(torn) = &recovered.torn_tail {
        let (file, offset, bytes) = (torn.file.clone(), torn.offset, torn.bytes);
        Event::TornTail { file, offset, bytes }.log();
    }
    let index = recovered.last_position().index;
    let founds = settings.cluster.voters.iter().any(|it| it.name == settings.instance.name);
    if index > 0 {
        Event::LogRecovered { index }.log();
    } else if !founds {
        Event::FolderNew { folder: path.display().to_string().into() }.log();
    }
    Ok((Some(Box::new(folder)), Some(recovered)))
}

fn identity(settings: &Settings, unix: u64) -> Result<Identity, Error> {
    let secret = match &settings.cluster.secret {
        None => None,
        Some(path) => Some(keys::file::word(path).map_err(Error::Secret)?),
    };
    Ok(Identity {
        cluster: settings.cluster.name.clone(),
        secret,
        name: settings.instance.name.clone(),
        incarnation: unix,
    })
}

fn traffic_setup(
    settings: &Settings,
    ring: &Ring,
    origin: Instant,
    seed: u64,
    identity: &Identity,
) -> traffic::Setup {
    let limits = &settings.limits;
    traffic::Setup {
        address: settings.instance.callers,
        threads: 2,
        keys: ring.teams.clone(),
        limits: traffic::Limits {
            body: usize::try_from(limits.body.0).unwrap_or(usize::MAX),
            header_time: limits.head_timeout,
            body_time: limits.body_timeout,
            write_time: limits.write_timeout,
            connections: limits.connections as usize,
            ..traffic::Limits::default()
        },
        origin,
        seed,
        identity: identity.clone(),
    }
}

fn node_setup(
    settings: &Settings,
    address: SocketAddr,
    unix: u64,
    seed: u64,
    table: Option<Arc<Table>>,
    recovered: Option<Recovered>,
) -> Setup {
    let timing = &settings.timing;
    let founder = |voter: &crate::settings::value::Voter| InitialVoter {
        instance: voter.name.clone(),
        address: voter.address,
    };
    Setup {
        instance: settings.instance.name.clone(),
        zone: settings.instance.zone.clone(),
        region: settings.instance.region.clone(),
        address,
        incarnation: unix,
        seed,
        seeds: seeds(settings),
        voters: settings.cluster.voters.iter().map(founder).collect(),
        recovered,
        table,
        has_cloud: settings.cloud.is_some(),
        journal: settings.cluster.second_holder,
        limits: Limit {
            bytes: usize::try_from(settings.limits.journal.0).unwrap_or(usize::MAX),
            ..Limit::default()
        },
        timing: Timing {
            heartbeat_interval: timing.heartbeat,
            election_timeout: timing.election,
            upstream_lease: timing.upstream_lease,
            request: RequestTiming {
                stall: timing.stall,
                absence: timing.absence,
                retention: timing.retention,
                ..RequestTiming::default()
            },
        },
    }
}

/// Returns the addresses to join through: the voters too, without which a deployment whose seeds are
/// left out would never meet.
fn seeds(settings: &Settings) -> Vec<SocketAddr> {
    let voters = settings.cluster.voters.iter().map(|voter| voter.address);
    let all: BTreeSet<SocketAddr> = settings.cluster.seeds.iter().copied().chain(voters).collect();
    all.into_iter().collect()
}

fn announce_start(settings: &Settings, addresses: [SocketAddr; 3]) {
    let instance = &settings.instance;
    Event::Starting {
        instance: instance.name.clone(),
        zone: instance.zone.clone(),
        region: instance.region.clone(),
        version: env!("CARGO_PKG_VERSION").into(),
    }
    .log();
    for (listener, address) in ["callers", "admin", "peers"].into_iter().zip(addresses) {
        Event::Listening { listener: listener.into(), address }.log();
    }
}
