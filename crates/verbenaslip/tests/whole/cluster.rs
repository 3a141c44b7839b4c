//! A small deployment over loopback: instances, engines and a plain service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use verbenaslip::Server;
use verbenaslip::keys::fixed::Fixed;
use verbenaslip::keys::ring::Ring;
use verbenaslip::settings::Settings;
use verbenaslip::settings::value::Voter;
use verbenaslip_lab::engine::{self, Engine};
use verbenaslip_lab::load::plan::{Plan, Work};
use verbenaslip_lab::load::verdict::Verdict;
use verbenaslip_lab::load::{self, report::Report};
use verbenaslip_lab::port;
use verbenaslip_lab::service::{self, Service};

pub const ZONES: [&str; 3] = ["arendal", "skarvik", "torshamn"];

const TABLE: &str = "team,class,weight,priority,rate,burst,concurrency,tokens_per_s,deadline_ms,\
first_token_ms,max_output_tokens,max_wait_ms,retries_percent,reserve_percent,prefer,note\n\
office,*,100,5,,100,CONCURRENCY,,20000,1400,256,8000,50,0,cost,\n";

/// Starts the engine of a number, which announces itself at the addresses.
pub type Start = fn(usize, &[SocketAddr]) -> Engine;

/// Says of what a deployment is made.
pub struct Shape {
    /// Starts its engines.
    pub engine: Start,
    /// How many requests of the row run at once.
    pub concurrency: u32,
}

impl Default for Shape {
    fn default() -> Self {
        let engine = |number, admins: &[SocketAddr]| {
            Engine::spawn(engine_setup(number, admins)).expect("the engine starts")
        };
        Self { engine, concurrency: 200 }
    }
}

/// Holds what runs; instances and engines can be taken out one by one.
pub struct Cluster {
    pub servers: BTreeMap<usize, Server>,
    pub engines: Vec<Engine>,
    pub service: Service,
    settings: Vec<Settings>,
    folder: PathBuf,
}

impl Cluster {
    /// Opens three instances, four engines and a service, and waits until all are ready.
    pub fn open() -> Self {
        Self::open_with(&Shape::default())
    }

    /// Opens the same of other engines.
    pub fn open_with(shape: &Shape) -> Self {
        let folder = folder();
        let settings = settings(&folder, shape.concurrency);
        let servers: BTreeMap<usize, Server> = settings.iter().map(start).enumerate().collect();
        let admins: Vec<SocketAddr> = servers.values().map(Server::admin_address).collect();
        let engines = (0..4).map(|number| (shape.engine)(number, &admins)).collect();
        let service = service(&admins);
        let cluster = Self { servers, engines, service, settings, folder };
        cluster.wait_ready();
        cluster
    }

    /// Starts an instance again with the settings and folder that it had, but another admin
    /// address: within one process the library never closes the old one.
    pub fn restart(&mut self, number: usize) {
        self.settings[number].instance.admin = free();
        self.servers.insert(number, start(&self.settings[number]));
    }

    /// Returns the callers' addresses of the instances, of stopped ones too.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.settings.iter().map(|settings| settings.instance.callers).collect()
    }

    /// Returns the admin address of an instance.
    pub fn admin(&self, number: usize) -> SocketAddr {
        self.settings[number].instance.admin
    }

    /// Plans a few seconds of all kinds of requests.
    pub fn plan(&self, seed: u64) -> Plan {
        let chat = Work { share: 6.0, ..Work::new("chat", "office-key", "assistant") };
        let whole = Work { stream: false, ..chat.clone() };
        let whole = Work { name: "whole".into(), share: 2.0, ..whole };
        let order = Work {
            name: "order".into(),
            share: 2.0,
            service: true,
            stream: false,
            idempotent: false,
            ..Work::new("order", "office-key", "orders")
        };
        let works = vec![chat, whole, order];
        Plan { seed, time: Duration::from_secs(4), rate: 15.0, ..Plan::new(self.entries(), works) }
    }

    /// Compares what callers saw with what the back ends did.
    pub fn verdict(&self, report: &Report) -> Verdict {
        let mut truths: Vec<_> = self.engines.iter().map(Engine::truth).collect();
        truths.push(self.service.truth());
        Verdict::new(report, &truths)
    }

    /// Runs a plan while something happens to the cluster, and judges it.
    pub fn run(&mut self, plan: Plan, happen: impl FnOnce(&mut Self)) -> (Report, Verdict) {
        let calls = std::thread::spawn(move || load::run(plan));
        happen(self);
        let report = calls.join().expect("the load tool ends").expect("the load tool runs");
        let verdict = self.verdict(&report);
        (report, verdict)
    }

    fn wait_ready(&self) {
        let started = Instant::now();
        for number in self.servers.keys() {
            while !ready(self.admin(*number)) || !sees_all(self.admin(*number)) {
                assert!(started.elapsed() < Duration::from_secs(30), "instances become ready");
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.servers.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Says whether an instance takes new work.
pub fn ready(admin: SocketAddr) -> bool {
    get(admin, "/readyz").is_some_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

/// Says whether an instance knows the four engines and the service as usable.
fn sees_all(admin: SocketAddr) -> bool {
    get(admin, "/v1/status").is_some_and(|it| it.matches("\"standing\":\"Confirmed\"").count() == 5)
}

/// Returns the whole answer to a request of an operator.
pub fn get(address: SocketAddr, path: &str) -> Option<String> {
    use std::io::{Read, Write};
    let mut stream = std::net::TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let head = format!(
        "GET {path} HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer operator-key\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

fn ring() -> Ring {
    Ring {
        teams: Arc::new(Fixed::new([("office", "office-key")])),
        operators: Arc::new(Fixed::new([("anna", "operator-key")])),
        upstreams: Arc::new(Fixed::new([("upstreams", "upstream-key")])),
    }
}

fn start(settings: &Settings) -> Server {
    Server::open_with(settings, ring()).expect("the instance starts")
}

fn settings(folder: &Path, concurrency: u32) -> Vec<Settings> {
    let table = folder.join("table.csv");
    let rows = TABLE.replace("CONCURRENCY", &concurrency.to_string());
    std::fs::write(&table, rows).expect("the table is written");
    let ports: Vec<SocketAddr> = (0..9).map(|_| free()).collect();
    let voters: Vec<Voter> = ZONES
        .iter()
        .enumerate()
        .map(|(number, zone)| Voter { name: name(zone), address: ports[number * 3] })
        .collect();
    let of = |number: usize, zone: &&str| {
        let mut settings = Settings::default();
        settings.instance.name = name(zone);
        settings.instance.zone = (*zone).into();
        settings.instance.region = "gbg".into();
        settings.instance.peers = ports[number * 3];
        settings.instance.callers = ports[number * 3 + 1];
        settings.instance.admin = ports[number * 3 + 2];
        settings.instance.data = Some(folder.join(zone));
        // Without seeds, so that instances must join through the voters.
        settings.cluster.voters.clone_from(&voters);
        settings.files.initial_table = Some(table.clone());
        settings.timing.drain = Duration::from_secs(10);
        settings
    };
    ZONES.iter().enumerate().map(|(number, zone)| of(number, zone)).collect()
}

fn name(zone: &str) -> verbenaslip_base::name::Instance {
    format!("entry-{zone}").as_str().into()
}

/// Describes the engine of a number.
pub fn engine_setup(number: usize, admins: &[SocketAddr]) -> engine::setup::Setup {
    let mut setup =
        engine::setup::Setup::new(format!("engine-{number}").as_str(), ZONES[number % ZONES.len()]);
    setup.announce.admins = admins.to_vec();
    setup.announce.key = "upstream-key".into();
    setup.announce.seed = number as u64;
    setup
}

fn service(admins: &[SocketAddr]) -> Service {
    let mut setup = service::Setup::new("stock-1", ZONES[0]);
    setup.announce.admins = admins.to_vec();
    setup.announce.key = "upstream-key".into();
    Service::spawn(setup).expect("the service starts")
}

fn folder() -> PathBuf {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let folder = std::env::temp_dir().join(format!("verbenaslip-{}-{count}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder for the test");
    folder
}

/// Returns a loopback address whose port is free for both protocols.
fn free() -> SocketAddr {
    port::free().expect("a free port")
}
