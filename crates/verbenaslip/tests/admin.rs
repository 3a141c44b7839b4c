//! The admin address over real sockets, with the test in the control thread's place.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crossbeam::channel::{Receiver, unbounded};
use verbenaslip::admin::reply::{Applied, Conflict, Edit, Fault, Json};
use verbenaslip::admin::{Admin, Call, Reply, Report, Setup, Voters};
use verbenaslip::keys::fixed::Fixed;
use verbenaslip::keys::ring::Ring;
use verbenaslip_base::announce::{Announcement, Kind, Load, Market, Phase};
use verbenaslip_base::name::{AvailabilityZone, Instance, Model, Operator, Upstream};

/// Longer than anything here takes.
const PATIENCE: Duration = Duration::from_secs(30);

struct Bench {
    admin: Admin,
    calls: Receiver<Report>,
}

fn bench(reply_time: Duration) -> Bench {
    let (sender, calls) = unbounded();
    let keys = Ring {
        teams: Arc::new(Fixed::new([("team", "team-key")])),
        operators: Arc::new(Fixed::new([("ann", "ann-key")])),
        upstreams: Arc::new(Fixed::new([("upstreams", "up-key")])),
    };
    let setup = Setup {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        keys,
        reply_time,
        read_time: Duration::from_secs(5),
        connections: 16,
    };
    Bench { admin: Admin::spawn(setup, sender).expect("a port is free"), calls }
}

impl Bench {
    /// Sends a request and returns the answer.
    fn ask(&self, line: &str, key: &str, body: &str) -> String {
        ask(self.admin.address(), line, key, body)
    }

    /// Sends a request, gives the reply and returns what was called and answered.
    fn reply(&self, line: &str, key: &str, body: &str, reply: Reply) -> (Call, String) {
        let address = self.admin.address();
        let (line, key, body) = (line.to_owned(), key.to_owned(), body.to_owned());
        let asking = thread::spawn(move || ask(address, &line, &key, &body));
        let report = self.calls.recv_timeout(PATIENCE).expect("the call comes");
        report.reply.send(reply).expect("the reply is taken");
        (report.call, asking.join().expect("the answer comes"))
    }
}

fn ask(address: SocketAddr, line: &str, key: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("it takes connections");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit can be set");
    let length = body.len();
    let request = format!(
        "{line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer {key}\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).expect("the request is written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the answer comes");
    answer
}

const ANNOUNCEMENT: &str = r#"{"upstream":"u1","address":"127.0.0.1:9","zone":"arendal","kind":"engine","incarnation":1,"sequence":2,"phase":"leaving","notice":2000,"models":["m"],"market":"on_demand","price":5,"slots":8,"load":{"running":1,"waiting":2,"memory":300,"age":40}}"#;

/// An announcement reaches the control thread with every field, and a missing mark means unfenced.
#[test]
fn an_announcement_is_read_whole() {
    let bench = bench(PATIENCE);
    let reply = Reply::Announced { lease: Duration::from_millis(2500) };
    let (call, answer) = bench.reply("POST /v1/upstreams", "up-key", ANNOUNCEMENT, reply);
    assert!(answer.ends_with(r#"{"lease_ms":2500}"#), "{answer}");
    let expected = Announcement {
        upstream: Upstream::from("u1"),
        address: "127.0.0.1:9".parse().expect("it is well-formed"),
        zone: AvailabilityZone::from("arendal"),
        kind: Kind::Engine,
        incarnation: 1,
        sequence: 2,
        phase: Phase::Leaving { notice: Some(2000) },
        models: vec![Model::from("m")],
        market: Market::OnDemand,
        price: 5,
        fenced: false,
        slots: 8,
        load: Load { running: 1, waiting: 2, memory: 300, age: 40 },
    };
    assert_eq!(call, Call::Announce(expected));
}

/// Symptom: an upstream that announces something wrong is taken in with made-up values, or its
/// error does not say what is wrong.
/// Sequence: the same announcement with one field wrong or left out, each.
/// Cause: defaults where there is no default, or numbers that are cut to size.
#[test]
fn a_wrong_announcement_names_its_field() {
    let cases = [
        (r#""upstream":"u1""#, r#""upstream":"""#, "upstream"),
        (r#""upstream":"u1","#, "", "upstream"),
        (r#""127.0.0.1:9""#, r#""localhost""#, "address"),
        (r#""zone":"arendal""#, r#""zone":7"#, "zone"),
        (r#""engine""#, r#""other""#, "kind"),
        (r#""incarnation":1"#, r#""incarnation":-1"#, "incarnation"),
        (r#""sequence":2"#, r#""sequence":2.5"#, "sequence"),
        (r#""leaving""#, r#""gone""#, "phase"),
        (r#""notice":2000"#, r#""notice":"soon""#, "notice"),
        (r#""notice":2000"#, r#""notice":4294967296"#, "notice"),
        (r#"["m"]"#, r#""m""#, "models"),
        (r#"["m"]"#, r#"["m",""]"#, "models"),
        (r#""on_demand""#, r#""OnDemand""#, "market"),
        (r#""price":5"#, r#""price":"5""#, "price"),
        (r#""slots":8"#, r#""slots":8,"fenced":1"#, "fenced"),
        (r#""slots":8"#, r#""slots":4294967296"#, "slots"),
        (r#""memory":300"#, r#""memory":70000"#, "memory"),
        (r#""load":{"#, r#""load":[],"x":{"#, "load"),
    ];
    let bench = bench(PATIENCE);
    for (from, to, field) in cases {
        assert!(ANNOUNCEMENT.contains(from), "{from}");
        let body = ANNOUNCEMENT.replacen(from, to, 1);
        let answer = bench.ask("POST /v1/upstreams", "up-key", &body);
        assert!(answer.starts_with("HTTP/1.1 400 "), "{to}: {answer}");
        assert!(answer.contains(&format!(r#""code":"{field}""#)), "{to}: {answer}");
        assert!(answer.contains(" must be "), "{to}: {answer}");
    }
    assert!(bench.calls.is_empty(), "a wrong announcement reached the control thread");
}

/// Requests that are wrong or not allowed get a clear error and reach nobody.
#[test]
fn wrong_requests_get_a_clear_error() {
    let cases = [
        ("GET /v1/table", "up-key", "", 401, "key"),
        ("GET /v1/status", "", "", 401, "key"),
        ("POST /v1/upstreams", "ann-key", ANNOUNCEMENT, 401, "key"),
        ("POST /v1/table?base=1&edit=e", "team-key", "", 401, "key"),
        ("GET /v1/other", "ann-key", "", 404, "path"),
        ("GET /v1/drain", "ann-key", "", 405, "method"),
        ("DELETE /v1/table", "ann-key", "", 405, "method"),
        ("GET /v1/table?revision=x", "ann-key", "", 400, "revision"),
        ("GET /v1/table?revision=1&revision=2", "ann-key", "", 400, "revision"),
        ("GET /v1/audit?since=-1", "ann-key", "", 400, "since"),
        ("POST /v1/table?edit=e", "ann-key", "", 400, "base"),
        ("POST /v1/table?base=1", "ann-key", "", 400, "edit"),
        ("POST /v1/table?base=1&edit=", "ann-key", "", 400, "edit"),
        ("POST /v1/table?base=1&edit=%zz", "ann-key", "", 400, "edit"),
        ("POST /v1/table?base=1&edit=e&dry=yes", "ann-key", "", 400, "dry"),
        ("POST /v1/table?base=1&edit=e&wait_ms=x", "ann-key", "", 400, "wait_ms"),
        ("POST /v1/drain", "ann-key", "{}", 400, "instance"),
        ("POST /v1/drain", "ann-key", "[", 400, "body"),
        ("POST /v1/voters", "ann-key", "{}", 400, "add"),
        ("POST /v1/voters", "ann-key", r#"{"add":"a","remove":"b"}"#, 400, "add"),
        ("POST /v1/voters", "ann-key", r#"{"replace":{"old":"a"}}"#, 400, "new"),
    ];
    let bench = bench(PATIENCE);
    for (line, key, body, status, code) in cases {
        let answer = bench.ask(line, key, body);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{line}: {answer}");
        assert!(answer.contains(&format!(r#""code":"{code}""#)), "{line}: {answer}");
        assert!(answer.contains(r#""hint":""#), "{line}: {answer}");
    }
    assert!(bench.calls.is_empty(), "a wrong request reached the control thread");
}

struct Case {
    line: &'static str,
    body: &'static str,
    call: Call,
    reply: Reply,
    status: u16,
    answer: &'static str,
}

fn operator() -> Operator {
    Operator::from("ann")
}

fn table_cases() -> Vec<Case> {
    let apply = Call::Apply {
        base: 4,
        edit: "e 1".into(),
        csv: "a,b\n".into(),
        wait: Duration::from_millis(1500),
        dry: true,
        operator: operator(),
    };
    let line = "POST /v1/table?base=4&edit=e%201&wait_ms=1500&dry=true";
    let case = |reply, status, answer| Case {
        line,
        body: "a,b\n",
        call: apply.clone(),
        reply,
        status,
        answer,
    };
    vec![
        case(
            Reply::Applied(Applied {
                revision: 5,
                unchanged: false,
                in_force: false,
                waiting: vec![Instance::from("i2")],
            }),
            200,
            r#"{"in_force":false,"revision":5,"unchanged":false,"waiting":["i2"]}"#,
        ),
        case(
            Reply::Conflict(Conflict { newest: 6, by: "bob".into(), differs: vec!["a/b".into()] }),
            409,
            r#""newest":6}"#,
        ),
        case(
            Reply::Faulty(vec![Fault {
                row: 2,
                column: "weight".into(),
                value: "-1".into(),
                allowed: "0 to 1000".into(),
            }]),
            422,
            r#""problems":[{"allowed":"0 to 1000","column":"weight","row":2,"value":"-1"}]}"#,
        ),
        case(Reply::Unconfirmed { not_applied: true }, 503, r#""type":"not_run""#),
        case(Reply::Unconfirmed { not_applied: false }, 503, r#""type":"outcome_unknown""#),
        Case {
            line: "GET /v1/table?revision=5",
            body: "",
            call: Call::Table { revision: Some(5) },
            reply: Reply::Table { revision: 5, csv: "a,b\n".into() },
            status: 200,
            answer: "\r\n\r\na,b\n",
        },
        Case {
            line: "GET /v1/table",
            body: "",
            call: Call::Table { revision: None },
            reply: Reply::Missing { oldest: 2, newest: 3 },
            status: 404,
            answer: "the oldest is 2, the newest is 3",
        },
    ]
}

fn other_cases() -> Vec<Case> {
    let voters = |change| Call::Voters { change, operator: operator() };
    let edit = Edit { revision: 5, edit: "e".into(), by: operator(), at: 7, base: 4, rows: 1 };
    let case =
        |line, body, call, reply, status, answer| Case { line, body, call, reply, status, answer };
    vec![
        case(
            "GET /v1/history",
            "",
            Call::History,
            Reply::History(vec![edit]),
            200,
            r#"{"edits":[{"at":7,"base":4,"by":"ann","edit":"e","revision":5,"rows":1}]}"#,
        ),
        case(
            "GET /v1/audit?since=2",
            "",
            Call::Audit { since: 2 },
            Reply::Audit { next: 3, entries: vec![Json::of(&"x")] },
            200,
            r#"{"next":3,"entries":["x"]}"#,
        ),
        case("GET /v1/status", "", Call::Status, Reply::Status(Json::of(&1)), 200, "\r\n\r\n1"),
        case(
            "POST /v1/drain",
            r#"{"instance":"i1"}"#,
            Call::Drain { instance: Instance::from("i1"), operator: operator() },
            Reply::Draining,
            202,
            "draining",
        ),
        case(
            "POST /v1/voters",
            r#"{"add":"i1"}"#,
            voters(Voters::Add(Instance::from("i1"))),
            Reply::Voted,
            200,
            "committed",
        ),
        case(
            "POST /v1/voters",
            r#"{"remove":"i1"}"#,
            voters(Voters::Remove(Instance::from("i1"))),
            Reply::Refused { message: "last voter".into(), hint: "add one".into() },
            409,
            r#""message":"last voter""#,
        ),
        case(
            "POST /v1/voters",
            r#"{"replace":{"old":"i1","new":"i2"}}"#,
            voters(Voters::Replace { old: Instance::from("i1"), new: Instance::from("i2") }),
            Reply::Unconfirmed { not_applied: false },
            503,
            "no_quorum",
        ),
        case("GET /readyz", "", Call::Ready, Reply::Ready { because: vec![] }, 200, "true"),
        case(
            "GET /readyz",
            "",
            Call::Ready,
            Reply::Ready { because: vec!["no table lease".into()] },
            503,
            r#"{"because":["no table lease"],"ready":false}"#,
        ),
        case("GET /metrics", "", Call::Metrics, Reply::Metrics("m 1\n".into()), 200, "m 1\n"),
    ]
}

/// Every call is read as documented and every reply written so.
#[test]
fn calls_and_replies_are_as_documented() {
    let bench = bench(PATIENCE);
    let mut cases = table_cases();
    cases.extend(other_cases());
    for case in cases {
        let (call, answer) = bench.reply(case.line, "ann-key", case.body, case.reply);
        assert_eq!(call, case.call, "{}", case.line);
        let status = format!("HTTP/1.1 {} ", case.status);
        assert!(answer.starts_with(&status), "{}: {answer}", case.line);
        assert!(answer.contains(case.answer), "{}: {answer}", case.line);
    }
}

/// Symptom: an operator is told that an edit failed which is in force later.
/// Sequence: the control thread does not reply in time, to an edit, a check and a reading.
/// Cause: a missing reply says nothing about what was done.
#[test]
fn a_missing_reply_to_a_change_is_an_unknown_outcome() {
    let bench = bench(Duration::from_millis(100));
    let cases = [
        ("POST /v1/table?base=1&edit=e", "", 504, "outcome_unknown"),
        ("POST /v1/table?base=1&edit=e&dry=true", "", 503, "not_run"),
        ("POST /v1/drain", r#"{"instance":"i"}"#, 504, "outcome_unknown"),
        ("GET /v1/status", "", 503, "not_run"),
    ];
    for (line, body, status, kind) in cases {
        let answer = bench.ask(line, "ann-key", body);
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{line}: {answer}");
        assert!(answer.contains(&format!(r#""type":"{kind}""#)), "{line}: {answer}");
    }
    let alive = bench.ask("GET /healthz", "", "");
    assert!(alive.starts_with("HTTP/1.1 200 "), "{alive}");
}

/// Symptom: memory fills with one request's body.
/// Sequence: a body larger than any table.
/// Cause: the library does not bound bodies.
#[test]
fn a_huge_body_is_refused() {
    let bench = bench(PATIENCE);
    let body = "x".repeat((8 << 20) + 1);
    let answer = bench.ask("POST /v1/table?base=1&edit=e", "ann-key", &body);
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert!(bench.calls.is_empty());
}

/// Symptom: an operator's edit is answered with an error that belongs to nothing.
/// Sequence: a client keeps its connection; it is idle for longer than the limit; the library writes
/// its own error for the silence, and the client takes that for the answer to its next request.
/// Cause: the library answers an idle connection before it closes it.
#[test]
fn a_connection_ends_with_its_answer() {
    let bench = bench(PATIENCE);
    let mut stream = TcpStream::connect(bench.admin.address()).expect("it takes connections");
    stream.set_read_timeout(Some(PATIENCE)).expect("a limit can be set");
    stream.write_all(b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n").expect("it is written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("the answer comes");
    assert!(answer.ends_with(r#"{"healthy":true}"#), "{answer}");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
}
