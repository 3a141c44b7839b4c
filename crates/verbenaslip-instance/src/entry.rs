//! The control thread of an entry.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use serde_json::json;
use tokio::sync::mpsc::{self, UnboundedReceiver};
use verbenaslip_fleet::Entry as Decisions;
use verbenaslip_fleet::entry::Letter;
use verbenaslip_fleet::frame::{Frame, Peer};
use verbenaslip_fleet::link::Beliefs;
use verbenaslip_fleet::view::Stamp;
use verbenaslip_relay::board::Board;
use verbenaslip_relay::dialect::Dialect;
use verbenaslip_relay::journal;
use verbenaslip_relay::policy::retry::Bounds;
use verbenaslip_relay::server::{Server, Setup};
use verbenaslip_relay::steady;

use crate::event;
use crate::links::Links;
use crate::note;
use crate::settings::{self, Settings};
use crate::signal::Signal;

/// The longest time between two looks at what is due.
const TICK: Duration = Duration::from_millis(250);

/// After this silence the leader counts as lost, for the log and for reading the settings again.
const LOST: Duration = Duration::from_secs(2);

/// How long requests are still taken after a stop began: the balancer asks once a second and takes
/// an instance out after two misses.
const BALANCER: Duration = Duration::from_millis(2_800);

/// How long before the end of the grace time an entry ends, whatever is under way.
const MARGIN: Duration = Duration::from_millis(700);

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
    let board = Arc::new(Board::default());
    let setup = Setup {
        callers: entry.callers,
        ready: entry.ready,
        zone: settings.zone.clone(),
        connections: entry.connections as usize,
        retries: Bounds {
            ratio: settings.upstreams.retry_ratio,
            allowance: settings.upstreams.retry_allowance,
        },
        window: settings.upstreams.usage_window,
        board: board.clone(),
        dialect,
    };
    let server = Server::spawn(setup);
    let server = server.map_err(|error| Error::Traffic(entry.callers, entry.ready, error))?;
    let unix = steady::unix();
    let own = Peer {
        address: peers,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        incarnation: unix,
        voter: None,
    };
    let decisions = Decisions::open(own, settings.seeds.clone(), steady::now(), unix);
    let grace = settings.stop.grace;
    let mut running =
        Running { decisions, links, board, server, shown: None, lost: None, stop: None };
    loop {
        running.beat();
        if running.is_over(grace) {
            return Ok(());
        }
        let wait = running.decisions.wake().saturating_sub(steady::now()).min(TICK);
        tokio::select! {
            biased;
            Some(signal) = signals.recv() => match signal {
                Signal::Stop => running.stop(),
                Signal::Reload => running.reseed(&reload),
            },
            Some(frame) = frames.recv() => running.take(frame),
            () = tokio::time::sleep(wait) => running.watch_leader(&reload),
        }
    }
}

struct Running {
    decisions: Decisions,
    links: Links,
    board: Arc<Board>,
    server: Server,
    shown: Option<(u64, Stamp)>,
    lost: Option<Duration>,
    stop: Option<Duration>,
}

impl Running {
    fn beat(&mut self) {
        let now = steady::now();
        if now < self.decisions.wake() {
            return;
        }
        let report = self.board.report();
        let letter = self.decisions.beat(now, steady::unix(), report);
        self.post(letter);
    }

    fn post(&self, letter: Option<Letter>) {
        if let Some(Letter { to, frame }) = letter {
            to.into_iter().for_each(|to| self.links.send(to, &frame));
        }
    }

    fn take(&mut self, frame: Frame) {
        let letter = self.decisions.take(steady::now(), frame);
        self.post(letter);
        let view = self.decisions.view();
        self.board.show(view.clone());
        let shown = (view.revision(), view.stamp);
        if self.shown != Some(shown) {
            self.shown = Some(shown);
            let Beliefs { changed, unlisted } = self.decisions.take_beliefs();
            let view = self.decisions.view();
            journal::say(
                event::VIEW,
                [
                    ("revision", json!(view.revision())),
                    ("term", json!(view.stamp.term)),
                    ("change", json!(view.stamp.change)),
                    ("upstreams", json!(view.upstreams.len())),
                    ("changed", note::standings(&changed)),
                    ("unlisted", json!(unlisted)),
                    ("entries", json!(view.entries)),
                ],
            );
        }
    }

    /// Notices the loss of the leader, and looks for other addresses to join through.
    fn watch_leader(&mut self, reload: &impl Fn() -> Option<Settings>) {
        let now = steady::now();
        let heard = self.decisions.view().heard;
        let silent = heard.map(|heard| now.saturating_sub(heard));
        let lost = silent.is_none_or(|silent| silent > LOST);
        match self.lost {
            Some(_) if !lost => {
                self.lost = None;
                journal::say(event::LEADER_BACK, []);
            }
            None if lost && heard.is_some() => {
                self.lost = Some(now);
                journal::say(
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
            self.decisions.reseed(settings.seeds);
        }
    }

    fn stop(&mut self) {
        if self.stop.is_none() {
            self.stop = Some(steady::now());
            self.board.drain();
            journal::say(event::STOPPING, [("active", json!(self.server.active()))]);
        }
    }

    /// Tells whether a stop may end: the balancer sends nobody new, and nothing is under way.
    fn is_over(&self, grace: Duration) -> bool {
        let Some(since) = self.stop else { return false };
        let passed = steady::now().saturating_sub(since);
        if passed > BALANCER && !self.board.is_closing() {
            self.board.close();
        }
        let quiet = passed > BALANCER && self.server.active() == 0;
        let over = quiet || passed > grace.saturating_sub(MARGIN);
        if over {
            journal::say(event::DRAINED, [("active", json!(self.server.active()))]);
        }
        over
    }
}
