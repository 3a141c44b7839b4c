//! The control thread of a core.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use serde_json::json;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use verbenaslip_base::hash;
use verbenaslip_disk::DataDirectory;
use verbenaslip_fleet::Core as StateMachine;
use verbenaslip_fleet::core::{Input, Output, Setup};
use verbenaslip_fleet::frame::{Frame, Peer, Response};
use verbenaslip_fleet::order;
use verbenaslip_relay::event_log;
use verbenaslip_relay::monotonic;
use verbenaslip_replica::setup::Timing;
use verbenaslip_replica::storage::Error as StorageError;
use verbenaslip_replica::voter::Voter;

use crate::cloud::{self, Cloud, OrderResult};
use crate::control::{self, Call, ControlServer};
use crate::disk::{Disk, Outcome};
use crate::event;
use crate::links::Links;
use crate::load::LoadStats;
use crate::logging;
use crate::metric;
use crate::priority_inbox::PriorityInbox;
use crate::settings::{self, Settings};
use crate::signal::Signal;

/// Maximum time between two ticks of the state machine.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Time between two attempts to reopen a data directory that has failed.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Fraction of the time for a planned stop after which a core ends in any case. Until then it waits for another core
/// to become leader, for another one to take over its vote, and for pending calls.
const HANDOVER_TIMEOUT_DIVISOR: u32 = 2;

/// Time that the connections get to send the last messages of a stopping core.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Time between two heartbeats of the log's leader.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time without a leader after which a core stands for election: four heartbeats, and more than a
/// hundred times the latency between two availability zones. After a power loss of all cores, callers get no
/// answer for this time, and for up to as long again.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum time that a new voter may take to copy the log, which has a few megabytes at most.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time after the end of a usage window during which the leader waits for counts.
const COUNT_TIMEOUT: Duration = Duration::from_secs(6);

/// Adapters that know the deployment's formats.
#[derive(Clone)]
pub struct Ports {
    /// Adapter for calls of operators and upstreams.
    pub control: Arc<dyn control::Codec>,
    /// Adapter for orders to the cloud.
    pub cloud: Arc<dyn cloud::Codec>,
}

/// Reason why a core did not start.
#[derive(Debug, Display)]
pub enum Error {
    /// the data directory can't be used: {0}
    DataDirectory(StorageError),
    /// can't listen on {0}: {1}
    Listen(SocketAddr, std::io::Error),
    /// a thread can't be started: {0}
    Thread(std::io::Error),
}

impl std::error::Error for Error {}

/// A running core.
pub(crate) struct Core {
    settings: Settings,
    core_settings: settings::Core,
    state_machine: Option<StateMachine>,
    disk: Option<Disk>,
    disk_outcomes: UnboundedSender<Outcome>,
    links: Links,
    control: ControlServer,
    cloud: Option<Rc<Cloud>>,
    reopen_at: Duration,
    /// Incarnation of the state machine, which rises whenever one starts.
    incarnation: u64,
    stop_deadline: Option<Duration>,
    load: LoadStats,
    /// Whether figures of upstreams have been held.
    had_figures: bool,
}

/// Channels from which a core receives its messages.
struct Inbox {
    frames: PriorityInbox<Frame>,
    calls: PriorityInbox<Call>,
    disk_outcomes: UnboundedReceiver<Outcome>,
    order_results: UnboundedReceiver<OrderResult>,
}

/// Message or timeout that a core handles next.
enum Wakeup {
    Frame(Frame),
    Call(Call),
    Disk(Outcome),
    OrderFinished(OrderResult),
    Signal(Signal),
    Tick,
}

/// Runs a core until it is stopped.
///
/// # Errors
///
/// Returns why the core did not start.
pub(crate) async fn run(
    settings: Settings,
    core_settings: settings::Core,
    ports: Ports,
    mut signals: UnboundedReceiver<Signal>,
    reload: impl Fn() -> Option<Settings>,
) -> Result<(), Error> {
    let (frame_sender, frames) = mpsc::unbounded_channel();
    let (call_sender, calls) = mpsc::unbounded_channel();
    let (disk_outcome_sender, disk_outcomes) = mpsc::unbounded_channel();
    let (order_result_sender, order_results) = mpsc::unbounded_channel();
    let peers = settings.peers;
    let links = Links::bind(peers, frame_sender).map_err(|error| Error::Listen(peers, error))?;
    let control = ControlServer::bind(core_settings.control, ports.control, call_sender);
    let control = control.map_err(|error| Error::Listen(core_settings.control, error))?;
    let cloud = settings.cloud.as_ref().map(|cloud| {
        Rc::new(Cloud {
            address: cloud.address,
            holder: settings.name.clone(),
            codec: ports.cloud,
            results: order_result_sender,
        })
    });
    let (frames, calls) = (PriorityInbox::open(frames), PriorityInbox::open(calls));
    let mut inbox = Inbox { frames, calls, disk_outcomes, order_results };
    let mut core = Core {
        settings,
        core_settings,
        state_machine: None,
        disk: None,
        disk_outcomes: disk_outcome_sender,
        links,
        control,
        cloud,
        reopen_at: Duration::ZERO,
        incarnation: 0,
        stop_deadline: None,
        load: LoadStats::default(),
        had_figures: false,
    };
    core.open_data_directory(true)?;
    loop {
        if core.is_over() {
            // The tasks of the connections send the last messages to the entries.
            tokio::time::sleep(FLUSH_TIME).await;
            return Ok(());
        }
        let wakeup = inbox.next(core.time_until_wakeup(), &mut signals).await;
        core.handle(wakeup, &reload);
        core.log_load([inbox.frames.len(), inbox.calls.len()]);
    }
}

impl Inbox {
    async fn next(&mut self, wait: Duration, signals: &mut UnboundedReceiver<Signal>) -> Wakeup {
        tokio::select! {
            biased;
            Some(signal) = signals.recv() => Wakeup::Signal(signal),
            Some(outcome) = self.disk_outcomes.recv() => Wakeup::Disk(outcome),
            Some(wakeup) = next_message(&mut self.frames, &mut self.calls) => wakeup,
            Some(result) = self.order_results.recv() => Wakeup::OrderFinished(result),
            () = tokio::time::sleep(wait) => Wakeup::Tick,
        }
    }
}

/// Returns the next frame or call. The two are polled in random order, so that neither starves the other.
async fn next_message(
    frames: &mut PriorityInbox<Frame>,
    calls: &mut PriorityInbox<Call>,
) -> Option<Wakeup> {
    tokio::select! {
        Some(frame) = frames.next() => Some(Wakeup::Frame(frame)),
        Some(call) = calls.next() => Some(Wakeup::Call(call)),
        else => None,
    }
}

impl Core {
    /// Opens the data directory and starts the state machine from its contents.
    fn open_data_directory(&mut self, first: bool) -> Result<(), Error> {
        let settings = &self.settings;
        // Only the seeds create the log, and only at the first start of the fleet: an instance that joins later or
        // returns with an empty data directory must not create a second log.
        let is_founder =
            first && self.core_settings.found && settings.seeds.contains(&settings.peers);
        let founders = if is_founder { settings.seeds.clone() } else { Vec::new() };
        let names = founders.iter().map(|it| verbenaslip_fleet::core::name_of(*it)).collect();
        let (data_directory, recovered) =
            DataDirectory::open_for(&self.core_settings.folder, names)
                .map_err(Error::DataDirectory)?;
        let identity = recovered.identity;
        let disk =
            Disk::spawn(data_directory, self.disk_outcomes.clone()).map_err(Error::Thread)?;
        let (now, unix_ms) = (monotonic::now(), monotonic::unix_ms());
        // What others know of the state machine before this one does not hold for it.
        self.incarnation = unix_ms.max(self.incarnation + 1);
        let instance = verbenaslip_fleet::core::name_of(settings.peers);
        let local_peer = Peer {
            address: settings.peers,
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            incarnation: self.incarnation,
            voter: Some(Voter { instance, identity }),
        };
        let setup = Setup {
            local_peer,
            seeds: settings.seeds.clone(),
            founders,
            recovered,
            target_voter_count: usize::try_from(self.core_settings.losses * 2 + 1).unwrap_or(3),
            announce_interval: settings.upstreams.announce,
            log_timing: Timing {
                heartbeat_interval: HEARTBEAT_INTERVAL,
                election_timeout: ELECTION_TIMEOUT,
                catch_up_timeout: CATCH_UP_TIMEOUT,
                ..Timing::default()
            },
            order_timing: settings.cloud.as_ref().map(|cloud| order::Timing {
                window_length: settings.upstreams.usage_window,
                count_timeout: COUNT_TIMEOUT.min(settings.upstreams.usage_late.mul_f64(0.6)),
                report_deadline: settings.upstreams.usage_late,
                takeover_wait: cloud.wait,
            }),
            quarantine_policy: settings.requests.quarantine_policy(),
            fingerprint_secret: secret(),
            seed: seed(settings, unix_ms),
            unix_ms,
        };
        self.state_machine = Some(StateMachine::new(setup, now));
        self.disk = Some(disk);
        Ok(())
    }

    fn handle(&mut self, wakeup: Wakeup, reload: &impl Fn() -> Option<Settings>) {
        match wakeup {
            Wakeup::Frame(frame) => {
                self.load.record_received(frame.kind());
                self.step(Input::Frame(Box::new(frame)));
            }
            Wakeup::Call(call) => self.handle_call(call),
            Wakeup::Disk(Outcome::Stored(sequence)) => self.step(Input::Stored(sequence)),
            Wakeup::Disk(Outcome::Failed(error)) => self.handle_disk_failure(&error),
            Wakeup::OrderFinished(OrderResult { id, outcome }) => {
                self.step(Input::OrderFinished { id, outcome })
            }
            Wakeup::Signal(Signal::Stop) => {
                event_log::emit(event::STOPPING, []);
                let timeout = self.settings.stop.grace / HANDOVER_TIMEOUT_DIVISOR;
                self.stop_deadline = Some(monotonic::now() + timeout);
                self.step(Input::Stop);
            }
            Wakeup::Signal(Signal::Reload) => {
                if let Some(settings) = reload() {
                    let policy = settings.requests.quarantine_policy();
                    self.settings.requests = settings.requests;
                    self.step(Input::QuarantinePolicy(policy));
                    self.step(Input::Seeds(settings.seeds));
                }
            }
            Wakeup::Tick => self.tick(),
        }
    }

    /// Handles a call, unless it is stale.
    ///
    /// A core that gets more calls than it can answer in time would otherwise spend all its time on stale calls: each
    /// sender turns to another core, which is as overloaded, and no core ever catches up.
    fn handle_call(&mut self, call: Call) {
        let now = monotonic::now();
        let stale = call.is_stale(now);
        self.load.record_call(now.saturating_sub(call.received_at), stale);
        if stale {
            metrics::counter!("verbenaslip_calls_stale_total").increment(1);
            return self.control.answer(call.id, Response::Unavailable);
        }
        if self.state_machine.is_none() {
            self.control.answer(call.id, Response::Unavailable);
        }
        self.step(Input::Call { id: call.id, request: call.request });
    }

    /// Stops the state machine until the data directory can be reopened.
    ///
    /// After a failed write, the contents of the disk are unknown. A core that kept voting from memory could promise
    /// what is then lost, and a restarted process would use the same disk. So once the data directory can be opened,
    /// a new state machine starts from its contents, as after a restart.
    fn handle_disk_failure(&mut self, error: &StorageError) {
        event_log::emit(event::DISK_FAILED, [("cause", json!(error.to_string()))]);
        self.state_machine = None;
        self.disk = None;
        self.reopen_at = monotonic::now() + REOPEN_INTERVAL;
    }

    fn tick(&mut self) {
        if self.state_machine.is_none() && monotonic::now() >= self.reopen_at {
            self.reopen_at = monotonic::now() + REOPEN_INTERVAL;
            match self.open_data_directory(false) {
                Ok(()) => event_log::emit(event::DISK_REOPENED, []),
                Err(error) => {
                    event_log::emit(event::DISK_FAILED, [("cause", json!(error.to_string()))]);
                }
            }
        }
        self.step(Input::WallClock(monotonic::unix_ms()));
    }

    fn step(&mut self, input: Input) {
        let Some(state_machine) = &mut self.state_machine else { return };
        let mut outputs = Vec::new();
        state_machine.step(monotonic::now(), input, &mut outputs);
        for output in outputs {
            self.execute(output);
        }
    }

    fn execute(&mut self, output: Output) {
        match output {
            Output::Send { to, frame } => {
                count_renewal_marks(&frame);
                let bytes = self.links.send(to, &frame);
                self.load.record_sent(frame.kind(), 1, bytes);
            }
            Output::Multicast { to, frame } => {
                let frames = to.len();
                let bytes = self.links.multicast(to, &frame);
                self.load.record_sent(frame.kind(), frames, bytes * frames);
                metrics::counter!("verbenaslip_updates_cast_total").increment(frames as u64);
            }
            Output::Store { sequence, write } => {
                if let Some(disk) = &self.disk {
                    disk.write(sequence, write);
                }
            }
            Output::Reply { id, response } => self.control.answer(id, response),
            Output::Order(order) => {
                if let Some(cloud) = &self.cloud {
                    cloud.send_order(order);
                }
            }
            Output::Event(event) => logging::log_event(event),
        }
    }

    /// Logs the load of the last second if this core leads, and records its figures of upstreams.
    fn log_load(&mut self, waiting: [usize; 2]) {
        if self.load.is_due(monotonic::now()) {
            self.record_figures();
        }
        let leads = self.state_machine.as_ref().is_some_and(StateMachine::is_leading);
        self.load.log_if_due(monotonic::now(), leads, waiting);
    }

    /// Records how many figures of upstreams this core holds.
    fn record_figures(&mut self) {
        let now = monotonic::now();
        let held = self.state_machine.as_ref().map(|it| it.held_figures(now));
        let (count, oldest_age) = held.unwrap_or_default();
        metric::record_figures(count, oldest_age, &mut self.had_figures);
    }

    fn time_until_wakeup(&self) -> Duration {
        let wakeup_at =
            self.state_machine.as_ref().map_or(self.reopen_at, StateMachine::next_wakeup);
        wakeup_at.saturating_sub(monotonic::now()).min(MAX_TICK_INTERVAL)
    }

    fn is_over(&self) -> bool {
        let Some(deadline) = self.stop_deadline else { return false };
        let idle = self.state_machine.as_ref().is_none_or(StateMachine::is_idle);
        idle || monotonic::now() >= deadline
    }
}

/// Counts the renewal marks of a heartbeat in a metric, since they are too frequent for log lines.
fn count_renewal_marks(frame: &Frame) {
    if let Frame::Heartbeat(heartbeat) = frame {
        metrics::counter!("verbenaslip_announcements_vouched_total")
            .increment(heartbeat.marks.len() as u64);
    }
}

/// Returns an unpredictable number.
fn secret() -> u128 {
    u128::from(hash::unpredictable()) << 64 | u128::from(hash::unpredictable())
}

/// Returns a seed for random choices that differs between instances and starts, also if the clock has been set back.
fn seed(settings: &Settings, unix_ms: u64) -> u64 {
    let name = settings.name.as_str().as_bytes();
    hash::narrow(&[
        name,
        &unix_ms.to_le_bytes(),
        &std::process::id().to_le_bytes(),
        &hash::unpredictable().to_le_bytes(),
    ])
}
