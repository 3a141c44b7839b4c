//! Traffic threads with the test in the control thread's place.

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, unbounded};
use verbenaslip::keys::fixed::Fixed;
use verbenaslip::peers::Identity;
use verbenaslip::traffic::{Limits, Report, Setup, Traffic};
use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_request::caller::{Arrival, Verdict};
use verbenaslip_request::message::ActiveRun;
use verbenaslip_request::run::{Event, Run, Start};

/// Longer than anything here takes, so that no test depends on how fast the machine is.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The body of a streamed request.
pub const STREAMED: &str =
    r#"{"model":"m","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"hi"}]}"#;

/// The body of a request for one object.
pub const WHOLE: &str =
    r#"{"model":"m","max_tokens":9,"messages":[{"role":"user","content":"hi"}]}"#;

/// Holds traffic threads and what they report.
pub struct Bench {
    pub traffic: Arc<Traffic>,
    pub reports: Receiver<Report>,
    passed: RefCell<Vec<Report>>,
}

/// Starts traffic threads with short limits.
pub fn bench() -> Bench {
    named("one", Limits::default())
}

/// Starts traffic threads of a named instance.
pub fn named(name: &str, limits: Limits) -> Bench {
    let (sender, reports) = unbounded();
    let setup = Setup {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        threads: 2,
        keys: Arc::new(Fixed::new([("team", "secret")])),
        limits,
        origin: Instant::now(),
        seed: 7,
        identity: identity(name),
    };
    let traffic = Traffic::spawn(setup, sender).expect("a free port can be bound");
    Bench { traffic: Arc::new(traffic), reports, passed: RefCell::default() }
}

/// Says who an instance is.
pub fn identity(name: &str) -> Identity {
    let name = Instance::from(name);
    Identity { cluster: "test".into(), secret: None, name, incarnation: 1 }
}

impl Bench {
    /// Waits for the first report that the closure takes, and keeps those before it for later.
    pub fn wait<T>(&self, take: impl Fn(Report) -> Option<T>) -> T {
        let mut passed = self.passed.borrow_mut();
        let found = passed.iter().enumerate().find_map(|(at, report)| {
            let taken = take(report.clone())?;
            Some((at, taken))
        });
        if let Some((at, taken)) = found {
            passed.remove(at);
            return taken;
        }
        let until = Instant::now() + PATIENCE;
        loop {
            let report = self.reports.recv_deadline(until).expect("the report comes");
            if let Some(taken) = take(report.clone()) {
                return taken;
            }
            passed.push(report);
        }
    }

    /// Waits for a request.
    pub fn arrival(&self) -> Arrival {
        self.wait(|report| match report {
            Report::Arrived { arrival, .. } => Some(arrival),
            _ => None,
        })
    }

    /// Waits for the end of a run.
    pub fn ended(&self) -> Event {
        self.wait(|report| match report {
            Report::Run { event, .. } => {
                matches!(event, Event::Ended { .. } | Event::Failed(_)).then_some(event)
            }
            _ => None,
        })
    }

    /// Serves an arrival from the answer assembled here.
    pub fn serve(&self, arrival: &Arrival) {
        let request = arrival.head.request;
        let after = arrival.after.unwrap_or(0);
        self.traffic.verdict(arrival.ticket, Verdict::Serve { request, after });
    }

    /// Runs an arrival at an upstream.
    pub fn run(
        &self,
        arrival: &Arrival,
        number: u32,
        address: SocketAddr,
        start: Start,
    ) -> Attempt {
        let run = run(arrival, number, address, start);
        let attempt = run.attempt;
        self.traffic.run(run);
        attempt
    }

    /// Sends a request as the test's team and returns its connection.
    pub fn post(&self, headers: &str, body: &str) -> TcpStream {
        let length = body.len();
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer secret\r\n\
             content-length: {length}\r\n{headers}\r\n"
        );
        self.send(format!("{head}{body}"))
    }

    /// Sends bytes and returns their connection.
    pub fn send(&self, bytes: impl AsRef<[u8]>) -> TcpStream {
        let mut stream = connect(self.traffic.address());
        stream.write_all(bytes.as_ref()).expect("the request is written");
        stream
    }
}

/// Makes a run of an arrival.
pub fn run(arrival: &Arrival, number: u32, address: SocketAddr, start: Start) -> Run {
    Run {
        attempt: Attempt { request: arrival.head.request, number },
        upstream: Upstream::from("up"),
        address,
        kind: Kind::Engine,
        body: arrival.body.clone(),
        start,
        priority: 3,
        stall: PATIENCE,
        deadline: Duration::from_secs(3600),
    }
}

/// Says where a run goes on.
pub fn live(attempt: Attempt, address: SocketAddr) -> ActiveRun {
    let upstream = Upstream::from("up");
    ActiveRun { attempt, upstream, address, kind: Kind::Engine, priority: 3 }
}

/// Opens a connection whose reads end at last.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the address takes connections");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time limit can be set");
    stream
}

/// Reads until the connection ends, or until the text holds what is looked for.
pub fn read_until(stream: &mut TcpStream, wanted: &str) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let shown = String::from_utf8_lossy(&text);
        if shown.contains(wanted) {
            return shown.into_owned();
        }
        match stream.read(&mut buffer) {
            Ok(0) => return shown.into_owned(),
            Ok(read) => text.extend_from_slice(&buffer[..read]),
            Err(error) => panic!("{error} before `{wanted}` came, after: {shown}"),
        }
    }
}

/// Reads until the connection ends.
pub fn read_all(stream: &mut TcpStream) -> String {
    read_until(stream, "\0never\0")
}
