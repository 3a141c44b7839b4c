//! The daemon as a process: its check, its start, its stop, and the operators' command against it.

use std::fs::{self, Permissions};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use verbenaslip_cli::exit::{Exit, Stop};

/// The longest that any step may take on a busy machine.
const PATIENCE: Duration = Duration::from_secs(60);

/// A folder with the files of one instance that is its own only voter.
struct Site {
    folder: PathBuf,
    admin: SocketAddr,
}

impl Site {
    fn new(name: &str) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("daemon").join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("the folder can be made");
        let [callers, admin, peers] = free();
        let settings = format!(
            "[instance]\nname = entry-1\nzone = arendal\nregion = gbg\ncallers = {callers}\n\
            admin = {admin}\npeers = {peers}\ndata = data\n\
            [cluster]\nname = {name}\nvoters = entry-1@{peers}\nsecond_holder = alone\n\
            [files]\nteam_keys = teams.keys\noperator_keys = operators.keys\n\
            upstream_keys = upstreams.keys\ninitial_table = table.csv\n"
        );
        let site = Self { folder, admin };
        site.write("entry-1.ini", &settings, 0o644);
        site.write("table.csv", include_str!("../../../examples/table.csv"), 0o644);
        site.write("teams.keys", include_str!("../../../examples/teams.keys"), 0o600);
        site.write("operators.keys", include_str!("../../../examples/operators.keys"), 0o600);
        site.write("upstreams.keys", include_str!("../../../examples/upstreams.keys"), 0o600);
        site.write("operator.key", include_str!("../../../examples/operator.key"), 0o600);
        site
    }

    fn write(&self, name: &str, text: &str, mode: u32) {
        let path = self.folder.join(name);
        fs::write(&path, text).expect("the file can be written");
        fs::set_permissions(&path, Permissions::from_mode(mode)).expect("the mode can be set");
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    /// Replaces a text in the settings.
    fn edit(&self, from: &str, to: &str) {
        let text = fs::read_to_string(self.folder.join("entry-1.ini")).expect("it can be read");
        assert!(text.contains(from), "the settings hold `{from}`");
        self.write("entry-1.ini", &text.replace(from, to), 0o644);
    }

    fn daemon(&self) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_verbenaslipd"));
        command.args(["--settings", &self.path("entry-1.ini")]).env_clear();
        command
    }

    fn check(&self) -> Output {
        self.daemon().arg("--check").output().expect("the daemon runs")
    }

    fn start(&self) -> Process {
        let log = fs::File::create(self.folder.join("log")).expect("the log can be made");
        let child = self.daemon().stderr(log).stdout(Stdio::null()).spawn();
        Process { child: child.expect("the daemon runs") }
    }

    fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// Runs the operators' command.
    fn operator(&self, words: &[&str]) -> (i32, String) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_verbenaslip"));
        command.env_clear().args(["--admin", &self.admin.to_string()]);
        command.args(["--key-file", &self.path("operator.key")]).args(words);
        let output = command.output().expect("the command runs");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let code = output.status.code().expect("the command exits");
        (code, text(&output.stdout) + &text(&output.stderr))
    }

    /// Asks a path of `admin` and returns the status, 0 without an answer.
    fn status(&self, path: &str) -> u16 {
        get(self.admin, path).unwrap_or_default()
    }

    fn await_ready(&self) {
        let end = Instant::now() + PATIENCE;
        while self.status("/readyz") != 200 {
            assert!(Instant::now() < end, "the instance is not ready:\n{}", self.log());
            thread::sleep(Duration::from_millis(50));
        }
    }
}

/// A running daemon, which is ended with the test.
struct Process {
    child: Child,
}

impl Process {
    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let done = Command::new("kill").args(["-s", name, &id]).status().expect("kill runs");
        assert!(done.success(), "the process takes signals");
    }

    /// Returns the exit code.
    fn wait(&mut self) -> i32 {
        let end = Instant::now() + PATIENCE;
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

/// Returns addresses that are free now.
fn free() -> [SocketAddr; 3] {
    let listeners = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port is free"));
    listeners.map(|listener| listener.local_addr().expect("a bound listener has an address"))
}

fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    write!(stream, "GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    answer.split(' ').nth(1)?.parse().ok()
}

fn shown(output: &Output, folder: &Path) -> String {
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    let code = output.status.code().expect("the daemon exits");
    let text = format!("exit {code}\n{}{}", text(&output.stdout), text(&output.stderr));
    text.replace(&folder.display().to_string(), "SITE")
}

/// Symptom: a daemon starts on settings that others can read, or stops at each slip in turn.
/// Sequence: an operator checks settings whose files have problems. Cause: only the settings file
/// itself is looked at, or only its first problem is told.
#[test]
fn check_lists_the_problems_of_all_files() {
    let site = Site::new("check");
    let good = shown(&site.check(), &site.folder);
    assert!(!site.folder.join("data").exists(), "a check changes nothing");
    site.write("teams.keys", "owners short\n", 0o600);
    site.write("operators.keys", "anna example-key-of-anna\n", 0o644);
    site.write("table.csv", "team,class\n", 0o644);
    fs::remove_file(site.folder.join("upstreams.keys")).expect("the file can be removed");
    site.edit("data = data", "data = table.csv");
    let files = shown(&site.check(), &site.folder);
    site.edit("zone = arendal", "zone = the north\nsize = 3");
    let settings = shown(&site.check(), &site.folder);
    insta::assert_snapshot!([good, files, settings].join("\n"));
}

/// Symptom: good settings are refused because their data folder is no folder. Sequence: the check
/// runs in the folder of the settings, and the path given is a bare file name. Cause: the folder of
/// a bare name is the empty path, which does not exist.
#[test]
fn check_takes_a_settings_file_beside_it() {
    let site = Site::new("beside");
    let mut command = Command::new(env!("CARGO_BIN_EXE_verbenaslipd"));
    command.args(["--settings", "entry-1.ini", "--check"]).current_dir(&site.folder);
    let output = command.output().expect("the daemon runs");
    assert_eq!(output.status.code(), Some(0), "{}", shown(&output, &site.folder));
}

#[test]
fn daemon_without_a_good_start_says_why() {
    let site = Site::new("start");
    let taken = TcpListener::bind(site.admin).expect("the address was free");
    let output = site.daemon().output().expect("the daemon runs");
    drop(taken);
    assert_eq!(output.status.code(), Some(Stop::NotStarted as i32));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    let expected = format!("verbenaslipd: V1006 admin can't listen on {}", site.admin);
    assert!(text.contains(&expected), "{text}");

    site.write("table.csv", "team,class\n", 0o644);
    let output = site.daemon().output().expect("the daemon runs");
    assert_eq!(output.status.code(), Some(Stop::Settings as i32));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(text.lines().all(|line| line.starts_with("verbenaslipd: V1005 ")), "{text}");

    let program = env!("CARGO_BIN_EXE_verbenaslipd");
    let cases = [
        (vec![], Stop::Usage),
        (vec!["--setting", "x"], Stop::Usage),
        (vec!["--settings", "/nowhere/a.ini"], Stop::Settings),
        (vec!["--version"], Stop::Graceful),
    ];
    for (words, stop) in cases {
        let output = Command::new(program).args(&words).env_clear().output().expect("it runs");
        assert_eq!(output.status.code(), Some(stop as i32), "{words:?}");
    }
}

/// Symptom: an edit that an operator was told of is gone after a restart. Sequence: the table is
/// applied, the daemon is stopped by a signal and started again. Cause: what was accepted was not
/// on the disk.
#[test]
fn table_is_applied_and_survives_a_planned_stop() {
    let site = Site::new("life");
    let mut daemon = site.start();
    site.await_ready();
    assert_eq!(site.status("/healthz"), 200);
    assert_eq!(site.status("/metrics"), 200);
    assert_eq!(site.status("/v1/status"), 401, "operators need a key");

    let file = site.path("mine.csv");
    let (code, text) = site.operator(&["table", "show", "--to", &file]);
    assert_eq!(code, 0, "{text}");
    let table = fs::read_to_string(&file).expect("the table was written");
    let edited = table.replace("brokers,*,50,", "brokers,*,70,");
    assert_ne!(table, edited);
    fs::write(&file, &edited).expect("the table can be written");
    let (code, text) = site.operator(&["table", "apply", &file, "--wait"]);
    assert_eq!(code, 0, "{text}");
    assert!(text.contains("~ brokers/* weight:\"50\"→\"70\""), "{text}");
    assert!(text.contains("in force everywhere"), "{text}");
    let (code, text) = site.operator(&["table", "apply", &file, "--base", "1"]);
    assert_eq!(code, 0, "the same file changes nothing: {text}");
    fs::write(&file, table.replace("brokers,*,50,", "brokers,*,90,")).expect("it can be written");
    let (code, text) = site.operator(&["table", "apply", &file, "--base", "1"]);
    assert_eq!(code, Exit::Refused as i32, "the base is old: {text}");
    assert!(text.contains("brokers/*"), "{text}");

    let (code, text) = site.operator(&["status"]);
    assert!(code == 0 && text.contains("leader entry-1"), "{text}");
    let (code, text) = site.operator(&["table", "history"]);
    assert!(code == 0 && text.contains("anna"), "{text}");
    let (code, text) = site.operator(&["audit"]);
    assert!(code == 0 && text.contains("anna: edit") && text.contains("REFUSED"), "{text}");

    daemon.signal("TERM");
    assert_eq!(daemon.wait(), Stop::Graceful as i32, "{}", site.log());
    let mut daemon = site.start();
    site.await_ready();
    let (code, text) = site.operator(&["table", "show"]);
    assert!(code == 0 && text.contains("brokers,*,70,"), "{text}");
    let (code, text) = site.operator(&["drain", "entry-1"]);
    assert_eq!(code, 0, "{text}");
    assert_eq!(daemon.wait(), Stop::Graceful as i32, "{}", site.log());
}
