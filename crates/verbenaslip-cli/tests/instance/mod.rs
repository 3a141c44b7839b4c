//! Test instances that run as processes, each with its files in its own folder.

use std::fs::{self, Permissions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use verbenaslip_lab::port;

/// The timeout of each step, long enough for a busy machine.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Holds the folder and the addresses of one test instance.
pub struct TestInstance {
    pub folder: PathBuf,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
    peers: SocketAddr,
}

impl TestInstance {
    /// Creates the files of an instance that is the only voter of its cluster.
    pub fn new(name: &str) -> Self {
        let instance = Self::empty(name);
        let peers = instance.peers;
        let cluster = format!("voters = entry-1@{peers}\nsecond_holder = alone\n");
        let text = instance.settings("entry-1", "arendal", "data = data\n", &cluster);
        instance.write("entry-1.ini", &(text + "initial_table = table.csv\n"), 0o644);
        instance.write("table.csv", include_str!("../../../../examples/table.csv"), 0o644);
        instance
    }

    /// Creates the files of an instance in another availability zone that joins through this one.
    pub fn follower(&self, name: &str) -> Self {
        let instance = Self::empty(name);
        let cluster = format!("seeds = {}\n", self.peers);
        let text = instance.settings("entry-2", "skarvik", "", &cluster);
        instance.write("entry-1.ini", &text, 0o644);
        instance
    }

    fn empty(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("daemon").join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("the folder can be made");
        let [callers, admin, peers] = free_addresses();
        let instance = Self { folder, callers, admin, peers };
        instance.write("teams.keys", include_str!("../../../../examples/teams.keys"), 0o600);
        instance.write(
            "operators.keys",
            include_str!("../../../../examples/operators.keys"),
            0o600,
        );
        instance.write(
            "upstreams.keys",
            include_str!("../../../../examples/upstreams.keys"),
            0o600,
        );
        instance.write("operator.key", include_str!("../../../../examples/operator.key"), 0o600);
        instance
    }

    fn settings(&self, name: &str, zone: &str, data: &str, cluster: &str) -> String {
        let Self { callers, admin, peers, .. } = self;
        format!(
            "[instance]\nname = {name}\nzone = {zone}\nregion = gbg\ncallers = {callers}\n\
            admin = {admin}\npeers = {peers}\n{data}[cluster]\nname = claims\n{cluster}\
            [files]\nteam_keys = teams.keys\noperator_keys = operators.keys\n\
            upstream_keys = upstreams.keys\n"
        )
    }

    pub fn write(&self, name: &str, text: &str, mode: u32) {
        let path = self.folder.join(name);
        fs::write(&path, text).expect("the file can be written");
        fs::set_permissions(&path, Permissions::from_mode(mode)).expect("the mode can be set");
    }

    pub fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    /// Replaces a text in the settings file.
    pub fn edit(&self, from: &str, to: &str) {
        let text =
            fs::read_to_string(self.folder.join("entry-1.ini")).expect("the settings can be read");
        assert!(text.contains(from), "the settings hold `{from}`");
        self.write("entry-1.ini", &text.replace(from, to), 0o644);
    }

    pub fn daemon(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_verbenaslipd"));
        command.args(["--settings", &self.path("entry-1.ini")]).env_clear();
        command
    }

    pub fn check(&self) -> Output {
        self.daemon().arg("--check").output().expect("the daemon runs")
    }

    pub fn start(&self) -> Process {
        let log = fs::File::create(self.folder.join("log")).expect("the log can be made");
        let child = self.daemon().stderr(log).stdout(Stdio::null()).spawn();
        Process { child: child.expect("the daemon runs") }
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Runs the operators' command and returns its exit code and output.
    pub fn operator(&self, words: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_verbenaslip"));
        command.env_clear().args(["--admin", &self.admin.to_string()]);
        command.args(["--key-file", &self.path("operator.key")]).args(words);
        let output = command.output().expect("the command runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let code = output.status.code().expect("the command exits");
        (code, text(&output.stdout) + &text(&output.stderr))
    }

    /// Requests a path at the `admin` address and returns the HTTP status, or 0 if there is no
    /// answer.
    pub fn status(&self, path: &str) -> u16 {
        get(self.admin, path).unwrap_or_default()
    }

    pub fn await_ready(&self) {
        let end = Instant::now() + STEP_TIMEOUT;
        while self.status("/readyz") != 200 {
            assert!(Instant::now() < end, "the instance is not ready:\n{}", self.log());
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// Holds a running daemon, which is killed when the test ends.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let done = Command::new("kill").args(["-s", name, &id]).status().expect("kill runs");
        assert!(done.success(), "the process takes signals");
    }

    /// Waits for the process to end and returns its exit code.
    pub fn wait(&mut self) -> i32 {
        let end = Instant::now() + STEP_TIMEOUT;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be asked") {
                return status.code().expect("the process exits by itself");
            }
            assert!(Instant::now() < end, "the process does not end");
            thread::sleep(Duration::from_millis(20));
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns addresses with ports that are reserved for this test.
pub fn free_addresses() -> [SocketAddr; 3] {
    [(); 3].map(|()| port::free().expect("a free port"))
}

/// Requests a path and returns the HTTP status.
fn get(address: SocketAddr, path: &str) -> Option<u16> {
    status(&exchange(address, &format!("GET {path} HTTP/1.1\r\n"), "")?)
}

/// Sends a request and returns the complete answer, or `None` if it did not arrive.
pub fn exchange(address: SocketAddr, head: &str, body: &str) -> Option<String> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(STEP_TIMEOUT)).ok()?;
    let length = body.len();
    let rest = format!("Host: {address}\r\nConnection: close\r\nContent-Length: {length}\r\n\r\n");
    stream.write_all(format!("{head}{rest}{body}").as_bytes()).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Parses the HTTP status of an answer.
pub fn status(answer: &str) -> Option<u16> {
    answer.split(' ').nth(1)?.parse().ok()
}
