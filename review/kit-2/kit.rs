//! Stand-ins for review cases 4 and up: a small deployment of the project's own processes on loopback
//! addresses, runners, and an operator. They speak what the users' pages say and share no code with the project.

#![allow(dead_code)] // Each case uses only some of the helpers.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a case that hangs is ended by itself.
const LONGEST_RUN: Duration = Duration::from_secs(112);

/// Exit status of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// One HTTP message, a request or an answer.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body has arrived.
    pub complete: bool,
}

impl Message {
    /// Reads a message. Only an answer may end with its channel.
    pub fn read(reader: &mut impl BufRead, is_answer: bool) -> Option<Self> {
        let first_line = read_line(reader)?;
        let mut fields = Vec::new();
        loop {
            let line = read_line(reader)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            fields.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
        let mut message = Self { first_line, fields, body: Vec::new(), complete: false };
        message.complete = message.read_body(reader, is_answer).is_some();
        Some(message)
    }

    fn read_body(&mut self, reader: &mut impl BufRead, is_answer: bool) -> Option<()> {
        if let Some(length) = self.field("content-length") {
            let length: u64 = length.parse().ok()?;
            reader.take(length).read_to_end(&mut self.body).ok()?;
            return (self.body.len() as u64 == length).then_some(());
        }
        if self.field("transfer-encoding").is_some() {
            loop {
                let size = u64::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
                let mut piece = Vec::new();
                reader.take(size + 2).read_to_end(&mut piece).ok()?;
                if piece.len() as u64 != size + 2 {
                    return None;
                }
                if size == 0 {
                    return Some(());
                }
                self.body.extend_from_slice(&piece[..piece.len() - 2]);
            }
        }
        if is_answer {
            reader.read_to_end(&mut self.body).ok()?;
        }
        Some(())
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    let read = reader.read_line(&mut line).ok()?;
    (read > 0 && line.ends_with('\n')).then(|| line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Sends a request on a new channel and reads its answer; `limit` is for all of it together.
pub fn exchange(address: SocketAddr, request: &[u8], limit: Duration) -> Option<Message> {
    let until = Instant::now() + limit;
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1))).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.write_all(request).ok()?;
    let mut reader = BufReader::new(UntilDeadline { stream, until });
    Message::read(&mut reader, true)
}

/// Reads a stream up to a point in time.
pub struct UntilDeadline {
    pub stream: TcpStream,
    pub until: Instant,
}

impl Read for UntilDeadline {
    fn read(&mut self, bytes: &mut [u8]) -> std::io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(bytes)
    }
}

/// Sends a call to a node that serves control, and returns the answer that came within a second.
pub fn call(core: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {core}\r\nContent-Type: application/json\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(core, request.as_bytes(), Duration::from_secs(1)).filter(|it| it.complete)
}

/// What a case has seen, with the time since its start.
pub struct Record {
    started: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        Arc::new(Self { started: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, line: impl Into<String>) {
        self.lines.lock().expect("no writer panics").push((self.now(), line.into()));
    }

    /// Notes a line and prints it.
    pub fn say(&self, line: impl Into<String>) {
        let line = line.into();
        println!("{:7.3} {line}", self.now().as_secs_f64());
        self.note(line);
    }

    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().expect("no writer panics").clone();
        lines.sort_by_key(|(at, _)| *at);
        let text: String = lines
            .iter()
            .map(|(at, line)| format!("{:8.3} {line}\n", at.as_secs_f64()))
            .collect();
        std::fs::write(path, text).expect("the record can be written");
    }
}

/// A machine of the deployment with its process.
struct Machine {
    name: String,
    role: &'static str,
    zone: String,
    ip: Ipv4Addr,
    child: Option<Child>,
}

/// A small deployment, with the settings that the deploy file's template makes of the pages' fields.
pub struct Site {
    root: PathBuf,
    directory: PathBuf,
    base_port: u16,
    machines: Vec<Machine>,
    pub seeds: Vec<SocketAddr>,
    cloud: Option<SocketAddr>,
    template: String,
    programs: BTreeMap<&'static str, String>,
}

impl Site {
    /// Prepares a deployment; nothing runs yet. The case ends by itself if it takes too long.
    pub fn new(name: &str, cloud: Option<SocketAddr>) -> Self {
        let root = std::env::var("REVIEW_ROOT").expect("run.sh names the repository");
        let root = PathBuf::from(root);
        let directory = std::env::var("REVIEW_FOLDER").expect("run.sh names a temporary folder");
        let directory = PathBuf::from(directory);
        std::fs::create_dir_all(&directory).expect("the folder can be created");
        let deploy = std::fs::read_to_string(root.join("deploy/system.toml")).expect("a deploy file");
        let programs = ["entry", "core"].map(|role| (role, program(&deploy, role)));
        let template = std::fs::read_to_string(root.join("deploy/instance.ini")).expect("a template");
        let name = name.to_owned();
        thread::spawn(move || {
            thread::sleep(LONGEST_RUN);
            eprintln!("{name}: took too long");
            // run.sh ends the processes that are named in the folder.
            std::process::exit(COULD_NOT_RUN);
        });
        Self {
            root,
            directory,
            base_port: free_port(),
            machines: Vec::new(),
            seeds: Vec::new(),
            cloud,
            template,
            programs: programs.into_iter().collect(),
        }
    }

    /// Adds a machine; its number is used in all other calls. All seeds are added first.
    pub fn add(&mut self, role: &'static str, zone: &str) -> usize {
        let number = self.machines.len();
        let [a, b, ..] = std::process::id().to_le_bytes();
        let host = u8::try_from(number + 1).expect("few machines");
        let ip = Ipv4Addr::new(127, a.max(1), b, host);
        let name = format!("{role}-{zone}-{number}");
        if role == "core" && self.seeds.len() < 3 {
            self.seeds.push(SocketAddr::new(ip.into(), self.base_port + 4));
        }
        self.machines.push(Machine { name, role, zone: zone.to_owned(), ip, child: None });
        number
    }

    fn address(&self, number: usize, offset: u16) -> SocketAddr {
        SocketAddr::new(self.machines[number].ip.into(), self.base_port + offset)
    }

    pub fn front(&self, number: usize) -> SocketAddr {
        self.address(number, 2)
    }

    pub fn ready(&self, number: usize) -> SocketAddr {
        self.address(number, 3)
    }

    pub fn control(&self, number: usize) -> SocketAddr {
        self.address(number, 4)
    }

    /// Starts the process of a machine; `first` is the first start of the whole system.
    pub fn start(&mut self, number: usize, first: bool) {
        let path = self.directory.join(format!("{}.ini", self.machines[number].name));
        std::fs::write(&path, render(&self.template, &self.fields(number, first)))
            .expect("the settings can be written");
        let machine = &self.machines[number];
        let log = self.directory.join(format!("{}.log", machine.name));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log).expect("a log");
        let child = Command::new(self.root.join(&self.programs[machine.role]))
            .current_dir(&self.root)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("VERBENASLIP_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a second handle")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts; is it built?");
        let mut ids = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.directory.join("ids"))
            .expect("the list of processes");
        writeln!(ids, "{}", child.id()).expect("the list can be written");
        self.machines[number].child = Some(child);
    }

    /// Kills the process of a machine with SIGKILL.
    pub fn kill(&mut self, number: usize) {
        if let Some(mut child) = self.machines[number].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills several processes at the same moment.
    pub fn kill_at_once(&mut self, numbers: &[usize]) {
        let mut children: Vec<Child> =
            numbers.iter().filter_map(|it| self.machines[*it].child.take()).collect();
        children.iter_mut().for_each(|it| _ = it.kill());
        children.iter_mut().for_each(|it| _ = it.wait());
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&self, number: usize) {
        let data = self.directory.join(format!("{}.data", self.machines[number].name));
        std::fs::remove_dir_all(data).expect("the data folder can be removed");
    }

    /// Sends a signal, given by its name, to the process of a machine.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(child) = &self.machines[number].child {
            let id = child.id().to_string();
            let _ = Command::new("kill").arg(format!("-{signal}")).arg(id).status();
        }
    }

    /// Returns whether the process of a machine still runs.
    pub fn runs(&mut self, number: usize) -> bool {
        let child = self.machines[number].child.as_mut();
        child.is_some_and(|it| matches!(it.try_wait(), Ok(None)))
    }

    pub fn name(&self, number: usize) -> &str {
        &self.machines[number].name
    }

    pub fn zone(&self, number: usize) -> &str {
        &self.machines[number].zone
    }

    /// Returns what a machine's processes have logged.
    pub fn log(&self, number: usize) -> String {
        let path = self.directory.join(format!("{}.log", self.machines[number].name));
        std::fs::read_to_string(path).unwrap_or_default()
    }

    /// Returns the fields of the settings that the template takes, as on the users' sheets.
    fn fields(&self, number: usize, first: bool) -> BTreeMap<String, String> {
        let machine = &self.machines[number];
        let data = self.directory.join(format!("{}.data", machine.name));
        let seeds: Vec<String> = self.seeds.iter().map(SocketAddr::to_string).collect();
        let mut fields: BTreeMap<String, String> = [
            ("NodeName", machine.name.clone()),
            ("Zone", machine.zone.clone()),
            ("Ip", machine.ip.to_string()),
            ("InternalPorts.0", self.base_port.to_string()),
            ("InternalPorts.1", (self.base_port + 1).to_string()),
            ("Seeds", seeds.join(",")),
            ("Bootstrap", first.to_string()),
            ("FaultTolerance.Machines", "1".into()),
            ("HeartbeatMs", "1200".into()),
            ("Limits.MemoryMb", "260".into()),
            ("Bounds.RetryBudgetRatio", "0.2".into()),
            ("Bounds.RetryAllowance", "58".into()),
            ("Bounds.UsageWindowS", "5".into()),
            ("Bounds.UsageLateS", "10".into()),
            ("Bounds.GraceS", "8".into()),
            ("Bounds.LeaseMs", "3000".into()),
        ]
        .into_iter()
        .map(|(name, value)| (name.to_owned(), value))
        .collect();
        for (index, seed) in seeds.iter().enumerate() {
            fields.insert(format!("Seeds.{index}"), seed.clone());
        }
        if let Some(cloud) = self.cloud {
            fields.insert("Cloud.Address".into(), cloud.to_string());
        }
        if machine.role == "entry" {
            fields.insert("Listen.Front".into(), self.front(number).to_string());
            fields.insert("Listen.Ready".into(), self.ready(number).to_string());
        } else {
            std::fs::create_dir_all(&data).expect("the data folder can be created");
            fields.insert("Listen.Control".into(), self.control(number).to_string());
            fields.insert("DataDir".into(), data.display().to_string());
        }
        fields
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let all: Vec<usize> = (0..self.machines.len()).collect();
        self.kill_at_once(&all);
    }
}

/// Returns the program of a role from the deploy file.
fn program(deploy: &str, role: &str) -> String {
    let section = deploy.split_once(&format!("[roles.{role}]")).expect("the role").1;
    let run = section.split_once("run = \"").expect("a command").1;
    run.split_once('"').expect("the end of the command").0.to_owned()
}

/// Fills in a template as the pages say: values, and sections that stand if there is a value.
fn render(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut out = String::new();
    let mut rest = template;
    let mut hidden = 0;
    while let Some((before, after)) = rest.split_once("{{") {
        let (tag, after) = after.split_once("}}").expect("the end of a placeholder");
        if hidden == 0 {
            out.push_str(before);
        }
        let has = |name: &str| fields.get(name).is_some_and(|it| !it.is_empty() && it != "false");
        if let Some(name) = tag.strip_prefix('#') {
            hidden += usize::from(hidden > 0 || !has(name));
        } else if tag.starts_with('/') {
            hidden = usize::saturating_sub(hidden, 1);
        } else if hidden == 0 {
            out.push_str(fields.get(tag).map_or("", String::as_str));
        }
        rest = after;
    }
    out.push_str(rest);
    out
}

/// Returns the first of a few ports that are most likely free on all of the case's addresses.
fn free_port() -> u16 {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    listener.local_addr().expect("the listener is bound").port().clamp(10_000, 60_000)
}

/// A request as a runner got it.
pub struct Arrival<'a> {
    pub request: &'a Message,
    /// Id of the boot that got it.
    pub instance: &'a str,
}

/// What a runner does with a request that is meant for it: it writes the answer and returns whether the
/// channel stays open.
pub type Work = dyn Fn(&Arrival<'_>, &mut TcpStream, &RunnerState) -> bool + Send + Sync;

/// A runner that announces itself and serves requests.
pub struct Runner {
    pub address: SocketAddr,
    pub state: Arc<RunnerState>,
}

pub struct RunnerState {
    pub name: String,
    service: String,
    zone: String,
    slots: u32,
    seeds: Vec<SocketAddr>,
    boot: AtomicU64,
    alive: AtomicBool,
    pub draining: AtomicBool,
    pub ended: AtomicBool,
    channels: Mutex<Vec<TcpStream>>,
}

/// Time between two status reports, as in the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl RunnerState {
    /// Returns the id of the present boot.
    pub fn instance(&self) -> String {
        format!("{}-{}", self.name, self.boot.load(Ordering::SeqCst))
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Crashes the runner: its channels end and its port has no listener.
    pub fn crash(&self) {
        self.alive.store(false, Ordering::SeqCst);
        for channel in self.channels.lock().expect("no holder panics").drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    /// Starts the runner again as a new boot.
    pub fn boot_again(&self) {
        self.boot.fetch_add(1, Ordering::SeqCst);
        self.alive.store(true, Ordering::SeqCst);
    }
}

impl Runner {
    pub fn start(
        name: &str,
        service: &str,
        zone: &str,
        slots: u32,
        seeds: &[SocketAddr],
        work: Arc<Work>,
    ) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let state = Arc::new(RunnerState {
            name: name.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            seeds: seeds.to_vec(),
            boot: AtomicU64::new(1),
            alive: AtomicBool::new(true),
            draining: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            channels: Mutex::default(),
        });
        let listening = state.clone();
        thread::spawn(move || listen(&listening, listener, address, &work));
        let announcing = state.clone();
        thread::spawn(move || announce(&announcing, address));
        Self { address, state }
    }
}

fn listen(state: &Arc<RunnerState>, first: TcpListener, address: SocketAddr, work: &Arc<Work>) {
    let mut listener = Some(first);
    while !state.ended.load(Ordering::SeqCst) {
        if !state.is_alive() {
            listener = None;
            thread::sleep(Duration::from_millis(2));
            continue;
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(address).ok();
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        open.set_nonblocking(true).expect("the mode can be set");
        let Ok((stream, _)) = open.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        stream.set_nonblocking(false).expect("the mode can be set");
        stream.set_nodelay(true).expect("the option can be set");
        let copy = stream.try_clone().expect("a second handle");
        state.channels.lock().expect("no holder panics").push(copy);
        let (state, work) = (state.clone(), work.clone());
        thread::spawn(move || serve(&state, stream, &work));
    }
}

fn serve(state: &Arc<RunnerState>, mut stream: TcpStream, work: &Arc<Work>) {
    let instance = state.instance();
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while let Some(request) = Message::read(&mut reader, false).filter(|it| it.complete) {
        if !state.is_alive() || state.instance() != instance {
            break;
        }
        let id = request.field("request-id").unwrap_or_default().to_owned();
        let expected = request.field("expect-instance").unwrap_or(&instance);
        if expected != instance {
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
                 Server-Stamp: {instance}.421\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                break;
            }
            continue;
        }
        if !work(&Arrival { request: &request, instance: &instance }, &mut stream, state) {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn announce(state: &Arc<RunnerState>, address: SocketAddr) {
    let (mut sequence, mut last, mut node) = (0_u64, String::new(), address.port() as usize);
    while !state.ended.load(Ordering::SeqCst) {
        let instance = state.instance();
        if !state.is_alive() {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        sequence = if instance == last { sequence + 1 } else { 1 };
        last.clone_from(&instance);
        let said = if state.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let body = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{address}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"Slots\":{},\
             \"State\":\"{said}\",\"ColdRemainingMs\":0,\"Seq\":{sequence}}}",
            state.service, state.zone, state.slots
        );
        let path = format!("/instances/{instance}");
        for _ in 0..state.seeds.len() {
            let core = state.seeds[node % state.seeds.len()];
            let answer = call(core, "PUT", &path, &body);
            if answer.is_some_and(|it| (200..300).contains(&it.status())) {
                break;
            }
            node += 1;
        }
        // A new boot announces itself at once.
        let until = Instant::now() + HEARTBEAT;
        while Instant::now() < until && state.instance() == instance {
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Sends a configuration until a node acknowledges or refuses it; returns the last status.
pub fn configure(cores: &[SocketAddr], document: &str, limit: Duration) -> u16 {
    let until = Instant::now() + limit;
    let (mut status, mut node) = (0, 0);
    while Instant::now() < until {
        status = call(cores[node % cores.len()], "PUT", "/config", document).map_or(0, |it| it.status());
        if status == 200 || (400..500).contains(&status) {
            break;
        }
        node += 1;
        thread::sleep(Duration::from_millis(100));
    }
    status
}

/// Waits until a node says that it is ready; returns whether it does in time.
pub fn wait_until_ready(ready: SocketAddr, limit: Duration) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        let request = format!("GET /readyz HTTP/1.1\r\nHost: {ready}\r\nConnection: close\r\n\r\n");
        let answer = exchange(ready, request.as_bytes(), Duration::from_secs(1));
        if answer.is_some_and(|it| it.status() == 200) {
            return true;
        }
        thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Starts a platform that acknowledges every call, and returns its address.
pub fn serve_cloud(record: Arc<Record>) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let Ok(copy) = stream.try_clone() else { continue };
            if let Some(call) = Message::read(&mut BufReader::new(copy), false) {
                let text = call.text();
                let holder = call.field("duty-holder").unwrap_or("-");
                let token = call.field("fencing-token").unwrap_or("-");
                record.note(format!("platform {} {holder} {token} {text}", call.first_line));
                let _ = stream.write_all(
                    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}",
                );
            }
        }
    });
    address
}

/// Returns whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}
