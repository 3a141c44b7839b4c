//! Case 5: once all runners of a brittle service have been replaced by new boots, no entry sends to it again.

#[path = "../kit-2/kit.rs"]
mod kit;

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use kit::{Arrival, COULD_NOT_RUN, Record, Runner, RunnerState, Site};

const ZONES: [&str; 3] = ["newtown", "braamfontein", "midrand"];

/// The first route goes to the first service; the second route is added later and goes to the second service.
const FIRST: (&str, &str) = ("/cuti104/", "wuno96b");
const SECOND: (&str, &str) = ("/rapu330/", "xano55b");

/// Sizes and times as on the sheet of gmtdo-verbena for stock-confirm, but for four runners instead of three.
const RUNNERS: usize = 4;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(30);
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Time between two requests on each route: about 11 a second on the sheet.
const INTERVAL: Duration = Duration::from_millis(88);

/// The second route is added, and gets traffic `ConfigApplyMs` after the ack.
const ADDED_AT: Duration = Duration::from_secs(4);
const APPLIED: Duration = Duration::from_secs(2);

/// While the runners of the second service say that they are brittle.
const BRITTLE: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(17));
const MOST_REJECTED: u32 = 5;

/// `srv_crash` with share 0.25 and for_s 5.0, as the site file has it, for each of the four runners.
const CRASHES_FROM: Duration = Duration::from_secs(14);
const CRASH_GAP: Duration = Duration::from_millis(1_200);
const DOWN: Duration = Duration::from_secs(5);

/// The last runner is back at 22.6 s. `StableWindowMs` is 3 s; steady state is counted from 4 s later on.
const STEADY: (Duration, Duration) = (Duration::from_secs(27), Duration::from_secs(57));

fn route((path, service): (&str, &str), name: &str) -> String {
    format!(
        r#"{{"Name":"{name}","Host":"ficu95.example","PathPrefix":"{path}","RouteType":"safe","TimeoutMs":1200,"SloMs":150,"Priority":2,"Service":"{service}","MaxAttempts":2,"Public":true}}"#
    )
}

fn document(version: u32, routes: &[String]) -> String {
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{{"Name":"wuno96b","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}},{{"Name":"xano55b","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

/// Runs a request; the answer says `Server-Brittle` while its service is brittle.
fn work(
    arrival: &Arrival<'_>,
    stream: &mut TcpStream,
    state: &RunnerState,
    is_brittle: bool,
    record: &Record,
) -> bool {
    let id = arrival.request.field("request-id").unwrap_or_default();
    record.note(format!("run {id} at {}", arrival.instance));
    thread::sleep(WORK);
    if !state.is_alive() || state.instance() != arrival.instance {
        return false;
    }
    let need = if is_brittle { format!("Server-Brittle: {MOST_REJECTED}\r\n") } else { String::new() };
    let answer = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {}.200\r\n{need}Content-Length: 5\r\n\r\nstock",
        arrival.instance
    );
    stream.write_all(answer.as_bytes()).is_ok()
}

/// What became of one request.
#[derive(Clone)]
struct Outcome {
    sent_at: Duration,
    is_second: bool,
    served: bool,
}

fn send(entry: SocketAddr, id: &str, is_second: bool, record: &Record) -> Outcome {
    let sent_at = record.now();
    let path = if is_second { SECOND.0 } else { FIRST.0 };
    let request = format!(
        "GET {path}{id} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nConnection: close\r\n\r\n",
        DEADLINE.as_millis()
    );
    let answer = kit::exchange(entry, request.as_bytes(), DEADLINE);
    let served = answer.as_ref().is_some_and(|it| {
        it.complete && it.status() == 200 && it.field("server-stamp").is_some() && it.text() == "stock"
    });
    let status = answer.as_ref().map_or(0, kit::Message::status);
    let why = answer.filter(|_| !served).map(|it| it.text().trim().to_owned()).unwrap_or_default();
    record.note(format!(
        "sent {:.3} {id} to {entry}, {path}: {status} {} {why}",
        sent_at.as_secs_f64(),
        if served { "served" } else { "not served" }
    ));
    Outcome { sent_at, is_second, served }
}

fn main() {
    let record = Record::new();
    let result = play(&record);
    let folder = PathBuf::from(std::env::var("REVIEW_CASE").expect("run.sh names its folder"));
    record.write(&folder.join("record.txt"));
    std::process::exit(result);
}

fn play(record: &Arc<Record>) -> i32 {
    let trouble = kit::has_trouble();
    let cloud = kit::serve_cloud(record.clone());
    let mut site = Site::new("case 5", Some(cloud));
    let cores: Vec<usize> = ZONES.iter().map(|zone| site.add("core", zone)).collect();
    let entries: Vec<usize> = ZONES.iter().map(|zone| site.add("entry", zone)).collect();
    let all: Vec<usize> = cores.iter().chain(&entries).copied().collect();
    all.iter().for_each(|it| site.start(*it, true));
    let controls: Vec<SocketAddr> = cores.iter().map(|it| site.control(*it)).collect();
    let is_brittle: Arc<AtomicBool> = Arc::default();
    let start_runners = |service: &str, prefix: &str, may_be_brittle: bool| -> Vec<Runner> {
        let start = |number: usize| {
            let (record, is_brittle) = (record.clone(), is_brittle.clone());
            let work = move |arrival: &Arrival<'_>, stream: &mut TcpStream, state: &RunnerState| {
                let is_brittle = may_be_brittle && is_brittle.load(Ordering::SeqCst);
                work(arrival, stream, state, is_brittle, &record)
            };
            let zone = ZONES[number % ZONES.len()];
            Runner::start(&format!("{prefix}-{number}"), service, zone, SLOTS, &controls, Arc::new(work))
        };
        (0..RUNNERS).map(start).collect()
    };
    let _first = start_runners(FIRST.1, "i-a", false);
    let second = start_runners(SECOND.1, "i-b", true);
    let routes = [route(FIRST, "r-1"), route(SECOND, "r-2")];
    if kit::configure(&controls, &document(7, &routes[..1]), Duration::from_secs(15)) != 200
        || !entries.iter().all(|it| kit::wait_until_ready(site.ready(*it), Duration::from_secs(10)))
    {
        eprintln!("the deployment did not start");
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_secs(3));

    record.say("traffic starts");
    let (start, began) = (Instant::now(), record.now());
    let stop: Arc<AtomicBool> = Arc::default();
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let fronts: Vec<SocketAddr> = entries.iter().map(|it| site.front(*it)).collect();
    let spawn_sender = |is_second: bool| {
        let (outcomes, stop, record) = (outcomes.clone(), stop.clone(), record.clone());
        let (fronts, start) = (fronts.clone(), Instant::now());
        thread::spawn(move || {
            let mut calls = Vec::new();
            let process = std::process::id();
            for number in 0_u32.. {
                if stop.load(Ordering::SeqCst) {
                    break;
                }
                let entry = fronts[number as usize % fronts.len()];
                let id = format!("{process:08x}{}{number:07x}", u8::from(is_second));
                let (outcomes, record) = (outcomes.clone(), record.clone());
                calls.push(thread::spawn(move || {
                    let outcome = send(entry, &id, is_second, &record);
                    outcomes.lock().expect("no sender panics").push(outcome);
                }));
                thread::sleep((start + INTERVAL * (number + 1)).saturating_duration_since(Instant::now()));
            }
            calls.into_iter().for_each(|it| it.join().expect("no sender panics"));
        })
    };
    let wait_until = |at: Duration| thread::sleep((start + at).saturating_duration_since(Instant::now()));
    let first_sender = spawn_sender(false);
    wait_until(ADDED_AT);
    let status = kit::configure(&controls, &document(8, &routes), Duration::from_secs(4));
    record.say(format!("version 8, which adds a route: {status}"));
    thread::sleep(APPLIED);
    let second_sender = spawn_sender(true);

    if trouble {
        // What happens to the runners, in the order of time.
        let crash_at = |number: usize| CRASHES_FROM + CRASH_GAP * u32::try_from(number).expect("few");
        let mut steps = vec![(BRITTLE.0, "brittle", 0), (BRITTLE.1, "sound", 0)];
        for number in 0..RUNNERS {
            steps.push((crash_at(number), "crash", number));
            steps.push((crash_at(number) + DOWN, "back", number));
        }
        steps.sort();
        for (at, step, number) in steps {
            wait_until(at);
            let state = &second[number].state;
            match step {
                "crash" => {
                    record.say(format!("{} crashes", state.instance()));
                    state.crash();
                }
                "back" => {
                    state.boot_again();
                    record.say(format!("{} is back", state.instance()));
                }
                _ => {
                    is_brittle.store(step == "brittle", Ordering::SeqCst);
                    record.say(format!("the runners of {} are {step} from now on", SECOND.1));
                }
            }
        }
    }
    wait_until(STEADY.1);
    stop.store(true, Ordering::SeqCst);
    first_sender.join().expect("the sender does not panic");
    second_sender.join().expect("the sender does not panic");

    let outcomes = outcomes.lock().expect("no sender panics").clone();
    let count = |is_second: bool| {
        let within = |it: &&Outcome| {
            it.is_second == is_second && it.sent_at >= began + STEADY.0 && it.sent_at < began + STEADY.1
        };
        let sent = outcomes.iter().filter(within);
        (sent.clone().filter(|it| it.served).count(), sent.count())
    };
    let ((first_served, first_sent), (later_served, later_sent)) = (count(false), count(true));
    record.say(format!("steady state, first route: {first_served} of {first_sent} served"));
    record.say(format!("steady state, route added later: {later_served} of {later_sent} served"));
    if later_sent < 20 || first_served * 2 < first_sent {
        return COULD_NOT_RUN;
    }
    let broken = later_served * first_sent * 4 < first_served * later_sent;
    record.say(if broken { "CONFIG is broken" } else { "CONFIG holds" });
    i32::from(broken)
}
