//! The control thread of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use serde_json::json;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use verbenaslip_fleet::Entry as StateMachine;
use verbenaslip_fleet::clock;
use verbenaslip_fleet::entry::Envelope;
use verbenaslip_fleet::frame::{Frame, Peer};
use verbenaslip_fleet::measurement;
use verbenaslip_fleet::transition::Transitions;
use verbenaslip_fleet::view::Version;
use verbenaslip_relay::dialect::Dialect;
use verbenaslip_relay::event_log;
use verbenaslip_relay::monotonic;
use verbenaslip_relay::policy::placement::Sharing;
use verbenaslip_relay::policy::retry::Bounds;
use verbenaslip_relay::server::{Config, Server};
use verbenaslip_relay::shared::{Observations, SharedState};

use crate::event;
use crate::links::Links;
use crate::logging;
use crate::metric;
use crate::settings::{self, Settings};
use crate::signal::Signal;
use crate::stop::{Phase, Stop};

/// Maximum time between two checks for work that is due.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without an update after which the leader counts as lost; the loss is logged and the settings are read again.
const LEADER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two frames with the origins of streams: a fraction of the shortest time to a first
/// event, before which the cores must know them.
const ORIGIN_INTERVAL: Duration = Duration::from_millis(20);

/// Time that the connections get to send the last message of a stopping entry.
const FLUSH_TIME: Duration = Duration::from_millis(20);

/// Reason why an entry did not start.
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
/// Returns why the entry did not start.
pub(crate) async fn run(
    settings: Settings,
    entry: settings::Entry,
    dialect: Arc<dyn Dialect>,
    mut signals: UnboundedReceiver<Signal>,
    reload: impl Fn() -> Option<Settings>,
) -> Result<(), Error> {
    let (frame_sender, mut frames) = mpsc::unbounded_channel();
    let peers = settings.peers;
    let links = Links::bind(peers, frame_sender).map_err(|error| Error::Peers(peers, error))?;
    let shared = Arc::new(SharedState::default());
    let config = Config {
        caller_address: entry.callers,
        tunnel_address: entry.tunnels,
        max_tunnels: entry.max_tunnels,
        readiness_address: entry.ready,
        zone: settings.zone.clone(),
        max_connections: entry.connections as usize,
        memory_bytes: usize::try_from(entry.memory.0).unwrap_or(usize::MAX),
        retry_bounds: Bounds {
            ratio: settings.upstreams.retry_ratio,
            allowance: settings.upstreams.retry_allowance,
        },
        sharing: Sharing {
            min_slots: settings.placement.shared_slots,
            min_entries: settings.placement.shared_entries,
        },
        usage_window: settings.upstreams.usage_window,
        shared: shared.clone(),
        dialect,
    };
    let server = Server::spawn(config);
    let server = server.map_err(|error| Error::Traffic(entry.callers, entry.ready, error))?;
    let unix_ms = monotonic::unix_ms();
    let local_peer = Peer {
        address: peers,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: unix_ms,
        voter: None,
    };
    let mut state_machine =
        StateMachine::new(local_peer, settings.seeds.clone(), monotonic::now(), unix_ms);
    if let Some(address) = entry.tunnels {
        state_machine = state_machine.with_gateway(address);
    }
    let grace = settings.stop.grace;
    let (logged_view, leader_lost_at, stop) = (None, None, None);
    let mut running_entry = RunningEntry {
        state_machine,
        links,
        shared: shared.clone(),
        server,
        logged_view,
        leader_lost_at,
        stop,
        had_figures: false,
        next_origins: Duration::ZERO,
        origins_due: false,
    };
    loop {
        running_entry.send_due_reports();
        if running_entry.origins_due {
            running_entry.send_origins();
        }
        if running_entry.advance_stop() {
            running_entry.send_stop_notice().await;
            return Ok(());
        }
        let wait =
            running_entry.next_wakeup().saturating_sub(monotonic::now()).min(MAX_TICK_INTERVAL);
        tokio::select! {
            biased;
            Some(signal) = signals.recv() => match signal {
                Signal::Stop => running_entry.begin_stop(grace),
                Signal::Reload => running_entry.reload_seeds(&reload),
            },
            Some(frame) = frames.recv() => running_entry.handle_frame(frame),
            () = shared.wait_for_loan_requests() => running_entry.request_loans(),
            () = shared.wait_for_origins() => running_entry.send_origins(),
            () = shared.wait_for_path_change() => running_entry.update_carries(),
            () = shared.wait_for_observations() => running_entry.collect_observations(),
            () = tokio::time::sleep(wait) => running_entry.watch_leader(&reload),
        }
    }
}

struct RunningEntry {
    state_machine: StateMachine,
    links: Links,
    shared: Arc<SharedState>,
    server: Server,
    logged_view: Option<(u64, Version)>,
    leader_lost_at: Option<Duration>,
    stop: Option<Stop>,
    /// Whether figures of upstreams have been held.
    had_figures: bool,
    /// When cores may be told of the next streams.
    next_origins: Duration,
    /// Whether there are streams of which cores have not been told.
    origins_due: bool,
}

impl RunningEntry {
    fn send_due_reports(&mut self) {
        let now = monotonic::now();
        if now < self.state_machine.next_wakeup() {
            return;
        }
        let envelope = self.state_machine.next_crash_report(now);
        self.send(envelope);
        let envelope = self.state_machine.next_registration(now);
        self.send(envelope);
        if now < self.state_machine.next_heartbeat_at() {
            return;
        }
        let report = self.shared.take_report();
        let envelope = self.state_machine.next_heartbeat(now, monotonic::unix_ms(), report);
        self.send(envelope);
        let figures = &self.state_machine.view().figures;
        let oldest_age = measurement::oldest_age(figures, now);
        metric::record_figures(figures.len(), oldest_age, &mut self.had_figures);
    }

    /// Records the crashes and answers that requests have observed, for the next report to the leader.
    fn collect_observations(&mut self) {
        let Observations { crashes, answers } = self.shared.take_observations();
        self.state_machine.record_outcomes(monotonic::now(), crashes, answers);
    }

    /// Tells the cores whether other entries can be helped.
    fn update_carries(&mut self) {
        self.state_machine.set_carries(monotonic::now(), self.shared.carries());
    }

    /// Asks the leader for the loans that requests need from the rate limits of their teams.
    fn request_loans(&self) {
        let envelope =
            self.state_machine.request_loans(monotonic::now(), self.shared.take_loan_requests());
        self.send(envelope);
    }

    /// Tells cores of the streams that begin here, a few at a time, and asks them at once for the
    /// origins of others.
    fn send_origins(&mut self) {
        self.send(self.state_machine.find_origins(self.shared.take_wanted_streams()));
        let now = monotonic::now();
        if now < self.next_origins && !self.shared.origins_are_urgent() {
            self.origins_due = true;
            return;
        }
        let origins = self.shared.take_origins();
        if !origins.is_empty() {
            self.next_origins = now + ORIGIN_INTERVAL;
        }
        self.origins_due = false;
        let envelope = self.state_machine.record_origins(now, origins);
        self.send(envelope);
    }

    fn send(&self, envelope: Option<Envelope>) {
        if let Some(Envelope { to, frame }) = envelope {
            self.links.multicast(to, &frame);
        }
    }

    fn handle_frame(&mut self, frame: Frame) {
        match frame {
            Frame::GrantLoans(grants) => return self.shared.deliver_loan_grants(grants),
            Frame::OriginsFound { from, findings, extension } => {
                return self.shared.deliver_findings(from, &findings, &extension.0.copied);
            }
            _ => {}
        }
        let envelope = self.state_machine.handle_frame(monotonic::now(), frame);
        self.send(envelope);
        let view = self.state_machine.view();
        self.shared.set_view(view.clone());
        let logged_view = (view.revision(), view.version);
        if self.logged_view != Some(logged_view) {
            self.logged_view = Some(logged_view);
            let Transitions { changed, unlisted } = self.state_machine.take_transitions();
            let view = self.state_machine.view();
            let unix_ms = clock::unix_ms(monotonic::now(), view.time_offset_ms);
            let begin_ms = view.version_history.begin_ms();
            event_log::emit(
                event::VIEW_CHANGED,
                [
                    ("revision", json!(view.revision())),
                    ("term", json!(view.version.term)),
                    ("change", json!(view.version.change)),
                    ("upstreams", json!(view.upstreams.len())),
                    ("changed", logging::statuses(&changed)),
                    ("unlisted", json!(unlisted)),
                    ("entries", json!(view.entry_count)),
                    ("history_ms", json!(begin_ms.map(|it| unix_ms.saturating_sub(it)))),
                ],
            );
        }
    }

    /// Logs the loss and the return of the leader, and reloads the seeds while the leader is lost.
    fn watch_leader(&mut self, reload: &impl Fn() -> Option<Settings>) {
        let now = monotonic::now();
        let last_heard_at = self.state_machine.view().leader_heard_at;
        let silence = last_heard_at.map(|last_heard_at| now.saturating_sub(last_heard_at));
        let lost = silence.is_none_or(|silence| silence > LEADER_TIMEOUT);
        match self.leader_lost_at {
            Some(_) if !lost => {
                self.leader_lost_at = None;
                event_log::emit(event::LEADER_FOUND, []);
            }
            None if lost && last_heard_at.is_some() => {
                self.leader_lost_at = Some(now);
                event_log::emit(
                    event::LEADER_LOST,
                    [("silent_ms", json!(silence.map(|it| it.as_millis())))],
                );
            }
            Some(since) if now.saturating_sub(since) > LEADER_TIMEOUT => {
                self.leader_lost_at = Some(now);
                self.reload_seeds(reload);
            }
            _ => {}
        }
    }

    fn reload_seeds(&mut self, reload: &impl Fn() -> Option<Settings>) {
        if let Some(settings) = reload() {
            self.state_machine.set_seeds(settings.seeds);
        }
    }

    /// Returns the time at which the next work is due.
    fn next_wakeup(&self) -> Duration {
        let next_phase = self.stop.map(|stop| stop.next_phase_at(monotonic::now()));
        let next_origins = if self.origins_due { self.next_origins } else { Duration::MAX };
        let next_wakeup = self.state_machine.next_wakeup().min(next_origins);
        next_wakeup.min(next_phase.unwrap_or(Duration::MAX))
    }

    fn begin_stop(&mut self, grace: Duration) {
        if self.stop.is_none() {
            self.stop = Some(Stop::begin(monotonic::now(), grace));
            self.shared.start_draining();
            self.update_carries();
            event_log::emit(event::STOPPING, [("active", json!(self.server.active_requests()))]);
        }
    }

    /// Tells the other instances that this entry ends, and waits until the notice has been sent.
    async fn send_stop_notice(&self) {
        self.send(self.state_machine.stop_notice(monotonic::now()));
        tokio::time::sleep(FLUSH_TIME).await;
    }

    /// Advances a planned stop, and returns whether the entry may end.
    fn advance_stop(&self) -> bool {
        let Some(stop) = self.stop else { return false };
        let now = monotonic::now();
        // Requests are counted only once no more are admitted: one that came in between would be cut off.
        if stop.phase(now, usize::MAX) != Phase::Accepting && !self.shared.has_stopped_admitting() {
            self.shared.stop_admitting();
        }
        let phase = stop.phase(now, self.server.active_requests());
        let ended = phase == Phase::Ended;
        if ended {
            event_log::emit(event::DRAINED, [("active", json!(self.server.active_requests()))]);
        }
        ended
    }
}
