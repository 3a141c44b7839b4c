//! The control thread of a core.

use std::hash::{BuildHasher, RandomState};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use serde_json::json;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use verbenaslip_disk::DataDirectory;
use verbenaslip_fleet::Core as Decisions;
use verbenaslip_fleet::core::{Input, Output, Setup};
use verbenaslip_fleet::frame::{Frame, Peer, Response};
use verbenaslip_fleet::order;
use verbenaslip_relay::event_log;
use verbenaslip_relay::monotonic;
use verbenaslip_replica::setup::Timing;
use verbenaslip_replica::storage::Error as FolderError;
use verbenaslip_replica::voter::Voter;

use crate::cloud::{self, Cloud, Ordered};
use crate::control::{self, Call, Face};
use crate::disk::{Disk, Outcome};
use crate::event;
use crate::links::Links;
use crate::load::Load;
use crate::logging;
use crate::priority_inbox::Line;
use crate::settings::{self, Settings};
use crate::signal::Signal;

/// The longest time between two steps.
const TICK: Duration = Duration::from_millis(200);

/// Between two tries to open a folder that has failed.
const REOPEN: Duration = Duration::from_millis(500);

/// How long a stop waits for another core to lead and for open calls.
const HAND_OVER: Duration = Duration::from_millis(2_500);

/// How long the last messages of a core may take to leave.
const FAREWELL: Duration = Duration::from_millis(20);

/// Between two heartbeats of the log's leader.
const HEARTBEAT: Duration = Duration::from_millis(100);

/// The shortest time without a leader after which a core stands for election: four heartbeats, and
/// over a hundred times the way between two zones. After a power loss of all, callers get nothing for
/// this time and up to as much again.
const ELECTION: Duration = Duration::from_millis(400);

/// How long a new voter may take to copy the log: a few megabytes at most.
const COPY: Duration = Duration::from_secs(5);

/// The longest time that counts are awaited after the end of a window.
const SETTLE: Duration = Duration::from_secs(6);

/// Ports that know the deployment's formats.
#[derive(Clone)]
pub struct Ports {
    /// For calls of operators and upstreams.
    pub face: Arc<dyn control::Codec>,
    /// For orders to the cloud.
    pub cloud: Arc<dyn cloud::Codec>,
}

/// Says why a core did not start.
#[derive(Debug, Display)]
pub enum Error {
    /// the folder can't be used: {0}
    Folder(FolderError),
    /// can't listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// a thread can't be started: {0}
    Thread(std::io::Error),
}

impl std::error::Error for Error {}

/// Runs a core until it is stopped.
pub(crate) struct Core {
    settings: Settings,
    core: settings::Core,
    decisions: Option<Decisions>,
    disk: Option<Disk>,
    stored: UnboundedSender<Outcome>,
    links: Links,
    face: Face,
    cloud: Option<Rc<Cloud>>,
    reopen: Duration,
    incarnation: u64,
    stop: Option<Duration>,
    load: Load,
}

/// Holds what wakes a core.
struct Inbox {
    frames: Line<Frame>,
    calls: Line<Call>,
    stored: UnboundedReceiver<Outcome>,
    ordered: UnboundedReceiver<Ordered>,
}

/// Says what woke a core.
enum Woken {
    Frame(Frame),
    Call(Call),
    Stored(Outcome),
    Ordered(Ordered),
    Signal(Signal),
    Tick,
}

/// Runs a core until it is stopped.
///
/// # Errors
///
/// Says why it did not start.
pub(crate) async fn run(
    settings: Settings,
    core: settings::Core,
    ports: Ports,
    mut signals: UnboundedReceiver<Signal>,
    reload: impl Fn() -> Option<Settings>,
) -> Result<(), Error> {
    let (frames_in, frames) = mpsc::unbounded_channel();
    let (calls_in, calls) = mpsc::unbounded_channel();
    let (stored_in, stored) = mpsc::unbounded_channel();
    let (ordered_in, ordered) = mpsc::unbounded_channel();
    let peers = settings.peers;
    let links = Links::bind(peers, frames_in).map_err(|error| Error::Listen(peers, error))?;
    let face = Face::bind(core.control, ports.face, calls_in);
    let face = face.map_err(|error| Error::Listen(core.control, error))?;
    let cloud = settings.cloud.as_ref().map(|cloud| {
        Rc::new(Cloud {
            address: cloud.address,
            holder: settings.name.clone(),
            codec: ports.cloud,
            ended: ordered_in,
        })
    });
    let (frames, calls) = (Line::open(frames), Line::open(calls));
    let mut inbox = Inbox { frames, calls, stored, ordered };
    let mut running = Core {
        settings,
        core,
        decisions: None,
        disk: None,
        stored: stored_in,
        links,
        face,
        cloud,
        reopen: Duration::ZERO,
        incarnation: monotonic::unix_ms(),
        stop: None,
        load: Load::default(),
    };
    running.open(true)?;
    loop {
        if running.is_over() {
            // What entries are told on the way out leaves by the connections' own tasks.
            tokio::time::sleep(FAREWELL).await;
            return Ok(());
        }
        let woken = inbox.next(running.wait(), &mut signals).await;
        running.take(woken, &reload);
        running.say_load([inbox.frames.len(), inbox.calls.len()]);
    }
}

impl Inbox {
    async fn next(&mut self, wait: Duration, signals: &mut UnboundedReceiver<Signal>) -> Woken {
        tokio::select! {
            biased;
            Some(signal) = signals.recv() => Woken::Signal(signal),
            Some(outcome) = self.stored.recv() => Woken::Stored(outcome),
            Some(woken) = message(&mut self.frames, &mut self.calls) => woken,
            Some(ordered) = self.ordered.recv() => Woken::Ordered(ordered),
            () = tokio::time::sleep(wait) => Woken::Tick,
        }
    }
}

/// Takes what another instance or somebody outside says, by chance whose turn it is where both wait: neither
/// keeps the other waiting for long.
async fn message(frames: &mut Line<Frame>, calls: &mut Line<Call>) -> Option<Woken> {
    tokio::select! {
        Some(frame) = frames.next() => Some(Woken::Frame(frame)),
        Some(call) = calls.next() => Some(Woken::Call(call)),
        else => None,
    }
}

impl Core {
    /// Opens the folder and starts the decisions from what it holds.
    fn open(&mut self, first: bool) -> Result<(), Error> {
        let (folder, recovered) = DataDirectory::open(&self.core.folder).map_err(Error::Folder)?;
        let identity = recovered.identity;
        let disk = Disk::spawn(folder, self.stored.clone()).map_err(Error::Thread)?;
        let (now, unix) = (monotonic::now(), monotonic::unix_ms());
        let settings = &self.settings;
        let instance = verbenaslip_fleet::core::name_of(settings.peers);
        let own = Peer {
            address: settings.peers,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: self.incarnation,
            voter: Some(Voter { instance, identity }),
        };
        // Only at the very first start, and only on the seeds: whoever joins later, or comes back
        // with an empty folder, must not found a second log beside the first.
        let founds = first && self.core.found && settings.seeds.contains(&settings.peers);
        let setup = Setup {
            local_peer: own,
            seeds: settings.seeds.clone(),
            founders: if founds { settings.seeds.clone() } else { Vec::new() },
            recovered,
            target_voter_count: usize::try_from(self.core.losses * 2 + 1).unwrap_or(3),
            announce_interval: settings.upstreams.announce,
            log_timing: Timing {
                heartbeat_interval: HEARTBEAT,
                election_timeout: ELECTION,
                catch_up_timeout: COPY,
                ..Timing::default()
            },
            order_timing: settings.cloud.as_ref().map(|cloud| order::Timing {
                window_length: settings.upstreams.usage_window,
                count_timeout: SETTLE.min(settings.upstreams.usage_late.mul_f64(0.6)),
                report_deadline: settings.upstreams.usage_late,
                takeover_wait: cloud.wait,
            }),
            quarantine_policy: settings.requests.rule(),
            fingerprint_secret: secret(),
            seed: seed(settings, unix),
            unix_ms: unix,
        };
        self.decisions = Some(Decisions::new(setup, now));
        self.disk = Some(disk);
        Ok(())
    }

    fn take(&mut self, woken: Woken, reload: &impl Fn() -> Option<Settings>) {
        match woken {
            Woken::Frame(frame) => {
                self.load.received(frame.kind());
                self.step(Input::Frame(Box::new(frame)));
            }
            Woken::Call(call) => self.call(call),
            Woken::Stored(Outcome::Stored(mark)) => self.step(Input::Stored(mark)),
            Woken::Stored(Outcome::Failed(error)) => self.failed(&error),
            Woken::Ordered(Ordered { id, outcome }) => {
                self.step(Input::OrderFinished { id, outcome })
            }
            Woken::Signal(Signal::Stop) => {
                event_log::emit(event::STOPPING, []);
                self.stop = Some(monotonic::now() + HAND_OVER);
                self.step(Input::Stop);
            }
            Woken::Signal(Signal::Reload) => {
                if let Some(settings) = reload() {
                    let rule = settings.requests.rule();
                    self.settings.requests = settings.requests;
                    self.step(Input::QuarantinePolicy(rule));
                    self.step(Input::Seeds(settings.seeds));
                }
            }
            Woken::Tick => self.tick(),
        }
    }

    /// Takes a call, unless its sender waits no more.
    ///
    /// A core that has more calls than it can answer in time would else work for nobody: each sender turns to another
    /// core, which has as many, and none ever catches up.
    fn call(&mut self, call: Call) {
        let now = monotonic::now();
        let stale = call.is_stale(now);
        self.load.call(now.saturating_sub(call.read), stale);
        if stale {
            metrics::counter!("verbenaslip_calls_stale_total").increment(1);
            return self.face.answer(call.id, Response::Unavailable);
        }
        if self.decisions.is_none() {
            self.face.answer(call.id, Response::Unavailable);
        }
        self.step(Input::Call { id: call.id, request: call.ask });
    }

    /// Goes on without a disk until it can be opened again.
    ///
    /// After a failed write nobody knows what is on the disk. Voting on from memory would promise
    /// what may be lost; ending the process would only have it start on the same disk. So the
    /// decisions start anew from what the folder holds, as after a restart, once it opens.
    fn failed(&mut self, error: &FolderError) {
        event_log::emit(event::DISK_FAILED, [("cause", json!(error.to_string()))]);
        self.decisions = None;
        self.disk = None;
        self.reopen = monotonic::now() + REOPEN;
    }

    fn tick(&mut self) {
        if self.decisions.is_none() && monotonic::now() >= self.reopen {
            self.reopen = monotonic::now() + REOPEN;
            match self.open(false) {
                Ok(()) => event_log::emit(event::DISK_BACK, []),
                Err(error) => {
                    event_log::emit(event::DISK_FAILED, [("cause", json!(error.to_string()))]);
                }
            }
        }
        self.step(Input::WallClock(monotonic::unix_ms()));
    }

    fn step(&mut self, input: Input) {
        let Some(decisions) = &mut self.decisions else { return };
        let mut outputs = Vec::new();
        decisions.step(monotonic::now(), input, &mut outputs);
        for output in outputs {
            self.carry_out(output);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Send { to, frame } => {
                count(&frame);
                let bytes = self.links.send(to, &frame);
                self.load.sent(frame.kind(), 1, bytes);
            }
            Output::Multicast { to, frame } => {
                let frames = to.len();
                let bytes = self.links.cast(to, &frame);
                self.load.sent(frame.kind(), frames, bytes * frames);
                metrics::counter!("verbenaslip_updates_cast_total").increment(frames as u64);
            }
            Output::Store { sequence, write } => {
                if let Some(disk) = &self.disk {
                    disk.write(sequence, write);
                }
            }
            Output::Reply { id, response } => self.face.answer(id, response),
            Output::Order(order) => {
                if let Some(cloud) = &self.cloud {
                    cloud.give(order);
                }
            }
            Output::Event(event) => logging::log_event(event),
        }
    }

    /// Says what this core had to do in the second that is over, if it leads.
    fn say_load(&mut self, waiting: [usize; 2]) {
        let leads = self.decisions.as_ref().is_some_and(Decisions::is_leading);
        self.load.say(monotonic::now(), leads, waiting);
    }

    fn wait(&self) -> Duration {
        let wake = self.decisions.as_ref().map_or(self.reopen, Decisions::next_wakeup);
        wake.saturating_sub(monotonic::now()).min(TICK)
    }

    fn is_over(&self) -> bool {
        let Some(until) = self.stop else { return false };
        let idle = self.decisions.as_ref().is_none_or(Decisions::is_idle);
        idle || monotonic::now() >= until
    }
}

/// Counts what this core did for the leader: too often for lines in the log.
fn count(frame: &Frame) {
    if let Frame::Heartbeat(heartbeat) = frame {
        metrics::counter!("verbenaslip_announcements_vouched_total")
            .increment(heartbeat.marks.len() as u64);
    }
}

/// Draws what nobody can foresee, from what the standard library has of the system's random numbers.
fn secret() -> u128 {
    let draw = |it: u64| u128::from(RandomState::new().hash_one(it));
    draw(1) << 64 | draw(2)
}

/// Seeds random choices differently on each instance and start.
fn seed(settings: &Settings, unix: u64) -> u64 {
    let name = settings.name.as_str().as_bytes();
    verbenaslip_base::hash::narrow(&[name, &unix.to_le_bytes(), &std::process::id().to_le_bytes()])
}
