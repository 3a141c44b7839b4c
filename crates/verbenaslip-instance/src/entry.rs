//! The control thread of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use serde_json::json;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use verbenaslip_fleet::Entry as Decisions;
use verbenaslip_fleet::entry::Envelope;
use verbenaslip_fleet::frame::{Frame, Peer};
use verbenaslip_fleet::transition::Transitions;
use verbenaslip_fleet::view::Version;
use verbenaslip_relay::dialect::Dialect;
use verbenaslip_relay::event_log;
use verbenaslip_relay::monotonic;
use verbenaslip_relay::policy::retry::Bounds;
use verbenaslip_relay::server::{Config, Server};
use verbenaslip_relay::shared::{Observations, SharedState};

use crate::event;
use crate::links::Links;
use crate::logging;
use crate::settings::{self, Settings};
use crate::signal::Signal;
use crate::stop::{Phase, Stop};

/// The longest time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);

/// After this silence the leader counts as lost, for the log and for reading the settings again.
const LOST: Duration = Duration::from_secs(2);

/// How long the last message of an entry may take to leave.
const FAREWELL: Duration = Duration::from_millis(20);

/// Says why an entry did not start.
#[derive(Debug, Display)]
pub enum Error {
    /// can't listen for callers on {0} or for probes on {1}: {2}
    Traffic(SocketAddr, SocketAddr, std::io::Error),
    /// can't listen for other instances on {0}: {1}
    Peers(SocketAddr, std::io::Error),
}

impl std::error::Error for Error {}

/// Runs an entry until it is stopped.
///
/// # Errors
///
/// Says why it did not start.
pub(crate) async fn run(
    settings: Settings,
    entry: settings::Entry,
    dialect: Arc<dyn Dialect>,
    mut signals: UnboundedReceiver<Signal>,
    reload: impl Fn() -> Option<Settings>,
) -> Result<(), Error> {
    let (frames_in, mut frames) = mpsc::unbounded_channel();
    let peers = settings.peers;
    let links = Links::bind(peers, frames_in).map_err(|error| Error::Peers(peers, error))?;
    let board = Arc::new(SharedState::default());
    let setup = Config {
        caller_address: entry.callers,
        readiness_address: entry.ready,
        zone: settings.zone.clone(),
        max_connections: entry.connections as usize,
        retry_bounds: Bounds {
            ratio: settings.upstreams.retry_ratio,
            allowance: settings.upstreams.retry_allowance,
        },
        usage_window: settings.upstreams.usage_window,
        shared: board.clone(),
        dialect,
    };
    let server = Server::spawn(setup);
    let server = server.map_err(|error| Error::Traffic(entry.callers, entry.ready, error))?;
    let unix = monotonic::unix_ms();
    let own = Peer {
        address: peers,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: unix,
        voter: None,
    };
    let decisions = Decisions::new(own, settings.seeds.clone(), monotonic::now(), unix);
    let grace = settings.stop.grace;
    let (shown, lost, stop) = (None, None, None);
    let mut running = Running { decisions, links, board: board.clone(), server, shown, lost, stop };
    loop {
        running.heartbeat();
        if running.is_over() {
            running.say_farewell().await;
            return Ok(());
        }
        let wait = running.wake().saturating_sub(monotonic::now()).min(TICK);
        tokio::select! {
            biased;
            Some(signal) = signals.recv() => match signal {
                Signal::Stop => running.stop(grace),
                Signal::Reload => running.reseed(&reload),
            },
            Some(frame) = frames.recv() => running.take(frame),
            () = board.wait_for_loan_requests() => running.borrow(),
            () = board.wait_for_observations() => running.meet(),
            () = tokio::time::sleep(wait) => running.watch_leader(&reload),
        }
    }
}

struct Running {
    decisions: Decisions,
    links: Links,
    board: Arc<SharedState>,
    server: Server,
    shown: Option<(u64, Version)>,
    lost: Option<Duration>,
    stop: Option<Stop>,
}

impl Running {
    fn heartbeat(&mut self) {
        let now = monotonic::now();
        if now < self.decisions.next_wakeup() {
            return;
        }
        let envelope = self.decisions.next_crash_report(now);
        self.post(envelope);
        if now < self.decisions.next_heartbeat_at() {
            return;
        }
        let report = self.board.take_report();
        let envelope = self.decisions.next_heartbeat(now, monotonic::unix_ms(), report);
        self.post(envelope);
    }

    /// Takes what requests met, to be told to the leader.
    fn meet(&mut self) {
        let Observations { crashes, answers } = self.board.take_observations();
        self.decisions.record_outcomes(monotonic::now(), crashes, answers);
    }

    /// Asks the leader for what requests need of their teams' limits.
    fn borrow(&self) {
        let envelope =
            self.decisions.request_loans(monotonic::now(), self.board.take_loan_requests());
        self.post(envelope);
    }

    fn post(&self, envelope: Option<Envelope>) {
        if let Some(Envelope { to, frame }) = envelope {
            self.links.cast(to, &frame);
        }
    }

    fn take(&mut self, frame: Frame) {
        if let Frame::GrantLoans(lent) = frame {
            return self.board.deliver_loan_grants(lent);
        }
        let envelope = self.decisions.handle_frame(monotonic::now(), frame);
        self.post(envelope);
        let view = self.decisions.view();
        self.board.set_view(view.clone());
        let shown = (view.revision(), view.version);
        if self.shown != Some(shown) {
            self.shown = Some(shown);
            let Transitions { changed, unlisted } = self.decisions.take_transitions();
            let view = self.decisions.view();
            event_log::emit(
                event::VIEW,
                [
                    ("revision", json!(view.revision())),
                    ("term", json!(view.version.term)),
                    ("change", json!(view.version.change)),
                    ("upstreams", json!(view.upstreams.len())),
                    ("changed", logging::standings(&changed)),
                    ("unlisted", json!(unlisted)),
                    ("entries", json!(view.entry_count)),
                ],
            );
        }
    }

    /// Notices the loss of the leader, and looks for other addresses to join through.
    fn watch_leader(&mut self, reload: &impl Fn() -> Option<Settings>) {
        let now = monotonic::now();
        let heard = self.decisions.view().leader_heard_at;
        let silent = heard.map(|heard| now.saturating_sub(heard));
        let lost = silent.is_none_or(|silent| silent > LOST);
        match self.lost {
            Some(_) if !lost => {
                self.lost = None;
                event_log::emit(event::LEADER_BACK, []);
            }
            None if lost && heard.is_some() => {
                self.lost = Some(now);
                event_log::emit(
                    event::LEADER_LOST,
                    [("silent_ms", json!(silent.map(|it| it.as_millis())))],
                );
            }
            Some(since) if now.saturating_sub(since) > LOST => {
                self.lost = Some(now);
                self.reseed(reload);
            }
            _ => {}
        }
    }

    fn reseed(&mut self, reload: &impl Fn() -> Option<Settings>) {
        if let Some(settings) = reload() {
            self.decisions.set_seeds(settings.seeds);
        }
    }

    /// Returns when something is due next.
    fn wake(&self) -> Duration {
        let stop = self.stop.map(|stop| stop.wake(monotonic::now()));
        self.decisions.next_wakeup().min(stop.unwrap_or(Duration::MAX))
    }

    fn stop(&mut self, grace: Duration) {
        if self.stop.is_none() {
            self.stop = Some(Stop::begin(monotonic::now(), grace));
            self.board.start_draining();
            event_log::emit(event::STOPPING, [("active", json!(self.server.active_requests()))]);
        }
    }

    /// Has whoever hears this entry know that it ends.
    async fn say_farewell(&self) {
        self.post(self.decisions.stop_notice(monotonic::now()));
        tokio::time::sleep(FAREWELL).await;
    }

    /// Goes on with a stop; tells whether it may end.
    fn is_over(&self) -> bool {
        let Some(stop) = self.stop else { return false };
        let phase = stop.phase(monotonic::now(), self.server.active_requests());
        if phase != Phase::Takes && !self.board.has_stopped_admitting() {
            self.board.stop_admitting();
        }
        let over = phase == Phase::Over;
        if over {
            event_log::emit(event::DRAINED, [("active", json!(self.server.active_requests()))]);
        }
        over
    }
}
