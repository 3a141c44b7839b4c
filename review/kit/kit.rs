//! Shared parts of the review's cases: a small deployment of the project's programs on loopback addresses, and
//! stand-ins for its operator, clients and runners. Only the standard library is used.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{exit, Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;
const PR_SET_PDEATHSIG: i32 = 1;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// A case ends by itself after this time.
const TIME_LIMIT: Duration = Duration::from_secs(110);

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(ms(millis));
}

/// Whether the disruption takes place: the script of a case reads `TROUBLE` and says so in the first argument.
pub fn trouble() -> bool {
    match std::env::args().nth(1).as_deref() {
        Some("with-disruption") => true,
        Some("without-disruption") => false,
        _ => {
            eprintln!("say with-disruption or without-disruption");
            exit(COULD_NOT_RUN)
        }
    }
}

// ---- Record ----

struct Record {
    since: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

/// Writes one line to `record.txt` and to standard output, with the time since the case began.
pub fn record(line: impl AsRef<str>) {
    let record = RECORD.get().expect("the record is open");
    let line = format!("{:8.3} s  {}", record.since.elapsed().as_secs_f64(), line.as_ref());
    println!("{line}");
    let _ = writeln!(record.file.lock().unwrap(), "{line}");
}

// ---- Values and the template of the settings ----

#[derive(Clone, Debug)]
pub enum Value {
    Text(String),
    Bool(bool),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
    Null,
}

pub fn text(value: impl ToString) -> Value {
    Value::Text(value.to_string())
}

pub fn table(entries: &[(&str, Value)]) -> Value {
    Value::Table(entries.iter().map(|(key, value)| (key.to_string(), value.clone())).collect())
}

impl Value {
    fn get(&self, path: &str) -> Option<&Value> {
        let mut value = self;
        for name in path.split('.') {
            value = match value {
                Value::Table(entries) => entries.get(name)?,
                Value::List(items) => items.get(name.parse::<usize>().ok()?)?,
                _ => return None,
            };
        }
        Some(value)
    }

    fn is_present(&self) -> bool {
        !matches!(self, Value::Null | Value::Bool(false))
    }

    fn show(&self) -> String {
        match self {
            Value::Text(text) => text.clone(),
            Value::Bool(flag) => flag.to_string(),
            Value::List(items) => items.iter().map(Value::show).collect::<Vec<_>>().join(","),
            Value::Table(_) | Value::Null => String::new(),
        }
    }
}

/// Fills in the placeholders and sections that `deploy/instance.ini` uses.
fn render(template: &str, fields: &Value) -> String {
    let mut out = String::new();
    let mut rest = template;
    while let Some(start) = rest.find("{{") {
        out.push_str(&rest[..start]);
        let end = start + rest[start..].find("}}").expect("a placeholder ends");
        let name = &rest[start + 2..end];
        rest = &rest[end + 2..];
        if let Some(section) = name.strip_prefix('#') {
            let closing = format!("{{{{/{section}}}}}");
            let length = rest.find(&closing).expect("a section ends");
            if fields.get(section).is_some_and(Value::is_present) {
                out.push_str(&render(&rest[..length], fields));
            }
            rest = &rest[length + closing.len()..];
        } else {
            out.push_str(&fields.get(name).map(Value::show).unwrap_or_default());
        }
    }
    out.push_str(rest);
    out
}

// ---- The deployment ----

/// One machine of the deployment.
pub struct Machine {
    pub name: String,
    pub role: &'static str,
    pub zone: &'static str,
    pub ip: String,
    child: Option<Child>,
    bootstrap: bool,
    seeds: Vec<String>,
}

pub struct Fleet {
    pub folder: PathBuf,
    pub machines: Vec<Machine>,
    ports: Ports,
    network: String,
    next_host: u8,
    commands: BTreeMap<String, (String, String)>,
    pub cloud: Option<SocketAddr>,
}

#[derive(Clone, Copy)]
struct Ports {
    front: u16,
    ready: u16,
    control: u16,
    internal: u16,
}

const ZONES: [&str; 3] = ["arendal", "skarvik", "torshamn"];

/// Figures of `sites/kajlinjen-claims.toml`, as its sheet in SYSTEM.md states them.
pub const HEARTBEAT_MS: u64 = 1_200;
pub const CATCH_UP_MS: u64 = 4_000;
pub const RECOVER_MS: u64 = 12_000;
pub const STABLE_WINDOW_MS: u64 = 3_000;
pub const CONFIG_APPLY_MS: u64 = 2_000;
pub const MEMORY_MB: u64 = 260;

impl Fleet {
    /// Prepares an empty deployment. `folder` is the folder of the case, which gets the record.
    pub fn new(case_folder: &str) -> Self {
        let file = File::create(Path::new(case_folder).join("record.txt"));
        let file = file.unwrap_or_else(|error| {
            eprintln!("record.txt can't be written: {error}");
            exit(COULD_NOT_RUN)
        });
        let _ = RECORD.set(Record { since: Instant::now(), file: Mutex::new(file) });
        let folder =
            std::env::temp_dir().join(format!("verbenaslip-review-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| {
            record(format!("no temporary folder: {error}"));
            exit(COULD_NOT_RUN)
        });
        thread::spawn({
            let folder = folder.clone();
            move || {
                thread::sleep(TIME_LIMIT);
                record("the time limit of the case has passed");
                let _ = fs::remove_dir_all(folder);
                exit(COULD_NOT_RUN)
            }
        });
        let (network, ports) = free_network();
        let commands = read_commands();
        Self { folder, machines: Vec::new(), ports, network, next_host: 10, commands, cloud: None }
    }

    fn free_ip(&mut self) -> String {
        self.next_host += 1;
        format!("{}.{}", self.network, self.next_host)
    }

    /// Returns a new loopback address for a stand-in.
    pub fn stand_in_address(&mut self, port: u16) -> SocketAddr {
        let ip = self.free_ip();
        format!("{ip}:{port}").parse().expect("an address")
    }

    /// Adds a machine without starting it.
    pub fn add(&mut self, role: &'static str, bootstrap: bool) -> usize {
        let ip = self.free_ip();
        let number = self.machines.iter().filter(|it| it.role == role).count();
        let zone = ZONES[number % ZONES.len()];
        let class = if role == "core" { "core" } else { "edge" };
        let name = format!("{class}-{zone}-{}", number / ZONES.len() + 1);
        self.machines.push(Machine {
            name,
            role,
            zone,
            ip,
            child: None,
            bootstrap,
            seeds: Vec::new(),
        });
        self.machines.len() - 1
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.machines[index].ip, self.ports.control).parse().expect("an address")
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.machines[index].ip, self.ports.front).parse().expect("an address")
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.machines[index].ip, self.ports.ready).parse().expect("an address")
    }

    pub fn set_seeds(&mut self, index: usize, cores: &[usize]) {
        let seeds = cores.iter().map(|core| self.control(*core).to_string()).collect();
        self.machines[index].seeds = seeds;
    }

    /// Later starts of a machine are no first start of the whole system.
    pub fn end_bootstrap(&mut self) {
        self.machines.iter_mut().for_each(|it| it.bootstrap = false);
    }

    fn data_folder(&self, index: usize) -> PathBuf {
        self.folder.join(&self.machines[index].name)
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start(&mut self, index: usize) {
        let data = self.data_folder(index);
        fs::create_dir_all(&data).expect("a data folder");
        let machine = &self.machines[index];
        let is_core = machine.role == "core";
        let address = |port: u16| text(format!("{}:{port}", machine.ip));
        let listen = if is_core {
            table(&[("Control", address(self.ports.control))])
        } else {
            table(&[("Front", address(self.ports.front)), ("Ready", address(self.ports.ready))])
        };
        let internal = (self.ports.internal..self.ports.internal + 16).step_by(1);
        let cloud = match self.cloud {
            Some(cloud) => table(&[("Address", text(cloud))]),
            None => Value::Null,
        };
        let fields = table(&[
            ("NodeName", text(&machine.name)),
            ("Role", text(machine.role)),
            ("Ip", text(&machine.ip)),
            ("Zone", text(machine.zone)),
            ("Listen", listen),
            ("InternalPorts", Value::List(internal.map(text).collect())),
            ("Seeds", Value::List(machine.seeds.iter().map(text).collect())),
            ("Bootstrap", Value::Bool(machine.bootstrap)),
            ("DataDir", if is_core { text(data.display()) } else { Value::Null }),
            ("HeartbeatMs", text(HEARTBEAT_MS)),
            ("FaultTolerance", table(&[("Machines", text(1))])),
            (
                "Bounds",
                table(&[
                    ("RetryBudgetRatio", text("0.2")),
                    ("RetryAllowance", text(52)),
                    ("UsageWindowS", text(5)),
                    ("UsageLateS", text(10)),
                    ("GraceS", text(8)),
                    ("LeaseMs", text(3_000)),
                ]),
            ),
            ("Cloud", cloud),
        ]);
        let (run, template) = self.commands.get(machine.role).expect("a role").clone();
        let template = fs::read_to_string(&template).expect("the template of the settings");
        let settings = self.folder.join(format!("{}.ini", machine.name));
        fs::write(&settings, render(&template, &fields)).expect("the settings are written");
        let log = self.folder.join(format!("{}.log", machine.name));
        let log = File::options().create(true).append(true).open(log).expect("a log file");
        let mut words = run.split(' ');
        let mut command = Command::new(words.next().expect("a program"));
        command.args(words).env_clear().env("VERBENASLIP_SETTINGS", &settings);
        command.env("PATH", std::env::var("PATH").unwrap_or_default()).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log file")).stderr(log);
        // The process ends with this one, however that ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = command.spawn().unwrap_or_else(|error| {
            record(format!("{run} can't be started: {error}"));
            exit(COULD_NOT_RUN)
        });
        record(format!("start {} (process {})", machine.name, child.id()));
        self.machines[index].child = Some(child);
    }

    pub fn pid(&self, index: usize) -> Option<u32> {
        self.machines[index].child.as_ref().map(Child::id)
    }

    pub fn signal(&self, index: usize, signal: i32) {
        if let Some(pid) = self.pid(index) {
            unsafe { kill(pid as i32, signal) };
        }
    }

    /// Kills the process of a machine.
    pub fn kill(&mut self, index: usize) {
        self.signal(index, SIGKILL);
        record(format!("SIGKILL to {}", self.machines[index].name));
        if let Some(mut child) = self.machines[index].child.take() {
            let _ = child.wait();
        }
    }

    /// Whether the process of a machine still runs.
    pub fn runs(&mut self, index: usize) -> bool {
        let child = self.machines[index].child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Empties the disk of a machine whose process has ended.
    pub fn wipe(&self, index: usize) {
        let _ = fs::remove_dir_all(self.data_folder(index));
        record(format!("{} has lost its disk", self.machines[index].name));
    }

    pub fn log(&self, index: usize) -> String {
        let path = self.folder.join(format!("{}.log", self.machines[index].name));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Ends all processes and removes the temporary folder.
    pub fn end(mut self, code: i32) -> ! {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                unsafe { kill(child.id() as i32, SIGCONT) };
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if let Ok(kept) = std::env::var("KEEP_LOGS") {
            let _ = fs::create_dir_all(&kept);
            for machine in &self.machines {
                let log = format!("{}.log", machine.name);
                let _ = fs::copy(self.folder.join(&log), Path::new(&kept).join(&log));
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
        record(format!("exit code {code}"));
        exit(code)
    }
}

/// Reads the command and the template of each role from the deploy file.
fn read_commands() -> BTreeMap<String, (String, String)> {
    let deploy = fs::read_to_string("deploy/system.toml").unwrap_or_else(|error| {
        record(format!("deploy/system.toml can't be read (run the case from the root): {error}"));
        exit(COULD_NOT_RUN)
    });
    let mut commands: BTreeMap<String, (String, String)> = BTreeMap::new();
    let mut role = None;
    for line in deploy.lines() {
        if let Some(name) = line.strip_prefix("[roles.").and_then(|it| it.strip_suffix(']')) {
            role = Some(name.to_owned());
        }
        let (Some(role), Some((key, value))) = (&role, line.split_once(" = ")) else { continue };
        let value = value.trim_matches('"').to_owned();
        let entry = commands.entry(role.clone()).or_default();
        match key {
            "run" => entry.0 = value,
            "template" => entry.1 = value,
            _ => {}
        }
    }
    commands
}

/// Finds a loopback network and ports that nobody uses.
fn free_network() -> (String, Ports) {
    let id = std::process::id();
    for attempt in 0..50 {
        let number = id.wrapping_add(attempt * 7_919);
        let network = format!("127.{}.{}", 20 + number % 200, 1 + number / 200 % 250);
        let base = 20_000 + u16::try_from(number % 10_000).unwrap_or(0);
        let ports = Ports { front: base, ready: base + 1, control: base + 2, internal: base + 10 };
        let is_free =
            (base..base + 26).all(|port| TcpListener::bind(format!("{network}.11:{port}")).is_ok());
        if is_free {
            return (network, ports);
        }
    }
    record("no free ports");
    exit(COULD_NOT_RUN)
}

// ---- HTTP ----

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads one message with a length, in chunks or up to the end of the channel.
pub fn read_message(reader: &mut impl BufRead, is_response: bool) -> Result<Message, String> {
    let mut message = Message { first_line: read_line(reader)?, ..Message::default() };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    if let Some(length) = message.field("content-length").and_then(|it| it.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).map_err(|error| error.to_string())?;
    } else if message.field("transfer-encoding").is_some() {
        loop {
            let line = read_line(reader)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(|error| error.to_string())?;
            let mut piece = vec![0; size + 2];
            reader.read_exact(&mut piece).map_err(|error| error.to_string())?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&piece[..size]);
        }
    } else if is_response {
        reader.read_to_end(&mut message.body).map_err(|error| error.to_string())?;
    }
    Ok(message)
}

fn read_line(reader: &mut impl BufRead) -> Result<String, String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(0) => Err("the channel was closed".into()),
        Ok(_) => Ok(line.trim_end_matches(['\r', '\n']).to_owned()),
        Err(error) => Err(error.to_string()),
    }
}

/// Sends a request on a new channel and reads its answer.
pub fn call(
    address: SocketAddr,
    line: &str,
    fields: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Message, String> {
    let stream = TcpStream::connect_timeout(&address, ms(1_000)).map_err(|it| it.to_string())?;
    stream.set_read_timeout(Some(limit)).map_err(|it| it.to_string())?;
    let mut writer = stream.try_clone().map_err(|it| it.to_string())?;
    writer.write_all(&request(line, fields, body)).map_err(|it| it.to_string())?;
    read_message(&mut BufReader::new(stream), true)
}

/// Encodes a request.
pub fn request(line: &str, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{line} HTTP/1.1\r\n");
    if !fields.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head.push_str("Host: control\r\n");
    }
    for (name, value) in fields {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---- The operator ----

/// How long the operator waits for a response before it turns to another node.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_000);

/// Sends a configuration to one node; the record shows the call and its outcome.
pub fn put_config(
    fleet_name: &str,
    address: SocketAddr,
    version: u64,
    document: &str,
) -> Option<u16> {
    record(format!("operator: PUT /config version {version} to {fleet_name}"));
    let fields = [("Content-Type", "application/json")];
    let outcome = call(address, "PUT /config", &fields, document.as_bytes(), OPERATOR_WAIT);
    match outcome {
        Ok(answer) => {
            let (status, body) = (answer.status(), answer.text());
            record(format!(
                "operator: {fleet_name} answers version {version} with {status} {body}"
            ));
            Some(status)
        }
        Err(error) => {
            record(format!("operator: no response of {fleet_name} to version {version}: {error}"));
            None
        }
    }
}

/// Reads the configuration at one node; returns the status and the version that it holds.
pub fn get_config(address: SocketAddr) -> Result<(u16, Option<u64>), String> {
    let answer = call(address, "GET /config", &[], &[], OPERATOR_WAIT)?;
    let text = answer.text();
    let version = text.split("\"Version\":").nth(1).and_then(|rest| {
        let digits: String = rest.trim_start().chars().take_while(char::is_ascii_digit).collect();
        digits.parse().ok()
    });
    Ok((answer.status(), version))
}

/// Describes a route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub timeout_ms: u64,
}

pub const HOST: &str = "wuny96.example";
pub const SERVICE: &str = "xano55b";
pub const KEY: &str = "i9n73hh2b9wu3fexd9dn";
pub const TENANT: &str = "hule930";

/// Writes a configuration in the format of PROTOCOL.md.
pub fn document(version: u64, routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            format!(
                "{{\"Name\":\"{}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{}\",\"RouteType\":\"{}\",\
                 \"TimeoutMs\":{},\"SloMs\":150,\"Priority\":2,\"Service\":\"{SERVICE}\",\
                 \"MaxAttempts\":1,\"Public\":false,\"Sticky\":false,\"Resumable\":false}}",
                route.name, route.prefix, route.kind, route.timeout_ms
            )
        })
        .collect();
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{{\"Name\":\"{SERVICE}\",\
         \"HealthPath\":\"/healthz\",\"MaxConns\":96,\"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
         \"IdleTimeoutMs\":15000}},\"Tenants\":[{{\"Name\":\"{TENANT}\",\"ApiKeys\":[\"{KEY}\"],\
         \"Priority\":1}}]}}",
        routes.join(",")
    )
}

// ---- A runner ----

/// What a runner did with one request.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub at: Instant,
    pub body_bytes: usize,
}

/// Decides how a runner answers: gets the number of the channel, that of the request on it, the request, and the id of
/// the runner, and returns the bytes to send; an empty answer closes the channel.
pub type Answering = dyn Fn(u64, u64, &Message, &str) -> Vec<u8> + Send + Sync;

pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
}

impl Runner {
    /// Starts a runner that reports to the given nodes.
    pub fn start(
        id: &str,
        address: SocketAddr,
        zone: &str,
        control: Vec<SocketAddr>,
        answer: Arc<Answering>,
    ) -> Self {
        let runs = Arc::new(Mutex::new(Vec::new()));
        let listener = TcpListener::bind(address).unwrap_or_else(|error| {
            record(format!("a runner can't listen: {error}"));
            exit(COULD_NOT_RUN)
        });
        thread::spawn({
            let (runs, id) = (runs.clone(), id.to_owned());
            move || {
                for (channel, stream) in (1..).zip(listener.incoming().flatten()) {
                    let (runs, id, answer) = (runs.clone(), id.clone(), answer.clone());
                    thread::spawn(move || serve_channel(channel, stream, &id, &runs, &*answer));
                }
            }
        });
        thread::spawn({
            let (id, zone) = (id.to_owned(), zone.to_owned());
            move || report(&id, address, &zone, &control)
        });
        Self { id: id.to_owned(), address, runs }
    }
}

fn serve_channel(
    channel: u64,
    stream: TcpStream,
    id: &str,
    runs: &Mutex<Vec<Run>>,
    answer: &Answering,
) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    for number in 1.. {
        let Ok(message) = read_message(&mut reader, false) else { return };
        let request_id = message.field("Request-Id").unwrap_or_default().to_owned();
        let expected = message.field("Expect-Instance");
        if message.first_line.starts_with("GET /healthz") {
            let head = format!("HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if writer.write_all(head.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        if expected.is_some_and(|it| it != id) {
            let head = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n";
            let head = format!("{head}Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n");
            let _ = writer.write_all(head.as_bytes());
            continue;
        }
        let body_bytes = message.body.len();
        runs.lock().unwrap().push(Run { id: request_id, at: Instant::now(), body_bytes });
        let bytes = answer(channel, number, &message, id);
        if bytes.is_empty() || writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

/// Encodes the regular answer of a runner.
pub fn regular_answer(message: &Message, runner: &str, body: &str) -> Vec<u8> {
    let id = message.field("Request-Id").unwrap_or_default();
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {runner}.{id}\r\n\
         Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Reports the status of a runner about once per heartbeat interval.
fn report(id: &str, address: SocketAddr, zone: &str, control: &[SocketAddr]) {
    let mut node = 0;
    for sequence in 1_u64.. {
        let body = format!(
            "{{\"Service\":\"{SERVICE}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\
             \"Seq\":{sequence}}}"
        );
        let line = format!("PUT /instances/{id}");
        let fields = [("Content-Type", "application/json")];
        for _ in 0..control.len() {
            let answer = call(control[node], &line, &fields, body.as_bytes(), ms(1_000));
            if answer.is_ok_and(|answer| (200..300).contains(&answer.status())) {
                break;
            }
            node = (node + 1) % control.len();
        }
        sleep_ms(HEARTBEAT_MS);
    }
}
