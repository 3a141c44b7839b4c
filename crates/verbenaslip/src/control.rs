//! The control thread: it owns the decisions and carries between them and all other threads.
//!
//! One loop waits for whatever comes first of callers' and upstreams' reports, other instances'
//! messages, calls on the admin address, orders of the process, and the decisions' own next time.
//! [`carry`] does what the decisions want done, [`call`] translates operators' calls, [`notice`]
//! makes log events and metrics of what happened, [`track`] of runs, [`gauge`] of how the instance
//! stands, [`tally`] of messages. [`disk`], [`cloud`] and [`outside`] are threads of
//! their own, because they wait for a disk and for other systems.

mod call;
mod carry;
pub(crate) mod cloud;
pub(crate) mod disk;
mod gauge;
mod notice;
pub(crate) mod outside;
mod tally;
mod track;

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender};
use crossbeam::select;
use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_gossip::Frame;
use verbenaslip_node::operator::CallId;
use verbenaslip_node::{Input, Message, Node, Output, Setup};

use crate::admin::{self, Admin, Reply};
use crate::control::cloud::Worker;
use crate::control::disk::Disk;
use crate::control::gauge::Gauges;
use crate::control::outside::{Ask, Outside};
use crate::control::tally::Tally;
use crate::control::track::Tracks;
use crate::event::Event;
use crate::metric::Metric;
use crate::peers::{self, Peers, Via};
use crate::server::{Ended, unix};
use crate::traffic::{self, Traffic};

/// The name of the control thread.
pub(crate) const CONTROL: &str = "control";

/// Between two looks at the wall clock.
const CLOCK: Duration = Duration::from_secs(1);

/// Between two summaries of the metrics.
const UPKEEP: Duration = Duration::from_secs(5);

/// Between two questions for an engine's cache events.
const CACHES: Duration = Duration::from_secs(1);

/// How long after the last work an engine is asked for its cache events.
const USED: Duration = Duration::from_secs(60);

/// A sync that takes so long holds up edits and claims and, near the election's time, the leader.
const SLOW_SYNC: Duration = Duration::from_millis(250);

/// The most inputs taken before the clock is looked at again.
const BATCH: usize = 256;

/// How long datagrams that tell of the leaving get on their way before the sockets close.
const FAREWELL: Duration = Duration::from_millis(100);

/// Tells the control thread what other threads of the process want or have done.
#[derive(Debug)]
pub(crate) enum Order {
    /// Stop gracefully within the time given.
    Stop(Duration),
    /// Stop at once.
    Abandon,
    /// Writes up to a mark are durable, and the sync took so long.
    Stored(u64, Duration),
    /// The data folder can't be written.
    DiskFailed(verbenaslip_replica::storage::Error),
    /// Another system has answered.
    Tell(Box<Input>),
    /// The cloud takes a machine away.
    Reclaim {
        /// The instance's or upstream's name.
        name: Arc<str>,
        /// In how long.
        notice: Duration,
    },
}

/// Holds the channels on which other threads reach the control thread.
pub(crate) struct Inbox {
    pub(crate) traffic: Receiver<traffic::Report>,
    pub(crate) messages: Receiver<peers::Report>,
    pub(crate) calls: Receiver<admin::Report>,
    pub(crate) orders: Receiver<Order>,
}

/// Holds what the control thread works with.
pub(crate) struct Control {
    pub(crate) origin: Instant,
    pub(crate) inbox: Inbox,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) peers: Peers,
    pub(crate) admin: Admin,
    pub(crate) disk: Option<Disk>,
    pub(crate) cloud: Option<Worker>,
    pub(crate) outside: Outside,
    pub(crate) metric: Metric,
    pub(crate) ended: Sender<Ended>,
}

impl Control {
    /// Starts the thread.
    pub(crate) fn spawn(self, setup: Setup, unix: u64) -> io::Result<JoinHandle<()>> {
        thread::Builder::new().name(CONTROL.into()).spawn(move || {
            let own = setup.instance.clone();
            let node = Node::open(setup, self.origin.elapsed(), unix);
            let mut running = Running {
                node,
                own,
                control: self,
                calls: BTreeMap::new(),
                last_call: 0,
                outputs: Vec::new(),
                clock: Duration::ZERO,
                upkeep: Duration::ZERO,
                caches: Duration::ZERO,
                used: BTreeMap::new(),
                deadline: None,
                ended: None,
                suspected: BTreeMap::new(),
                ready: BTreeSet::new(),
                tracks: Tracks::default(),
                tally: Tally::default(),
                gauges: Gauges::default(),
            };
            let ended = running.run();
            running.farewell(ended);
        })
    }
}

/// Runs the loop of the control thread.
struct Running {
    node: Node,
    own: Instance,
    control: Control,
    calls: BTreeMap<CallId, Sender<Reply>>,
    last_call: u64,
    outputs: Vec<Output>,
    clock: Duration,
    upkeep: Duration,
    caches: Duration,
    used: BTreeMap<Upstream, Used>,
    deadline: Option<Duration>,
    ended: Option<Ended>,
    /// Since when other instances are suspected.
    suspected: BTreeMap<Instance, Duration>,
    /// The upstreams that were told to take work.
    ready: BTreeSet<Upstream>,
    tracks: Tracks,
    tally: Tally,
    gauges: Gauges,
}

/// Holds an engine that this instance has sent work to.
struct Used {
    address: SocketAddr,
    at: Duration,
}

/// Holds whatever came first.
enum Came {
    Traffic(traffic::Report),
    Message(peers::Report),
    Call(admin::Report),
    Order(Order),
    Nothing,
}

impl Running {
    fn run(&mut self) -> Ended {
        self.step(Input::Tick);
        loop {
            if let Some(ended) = self.ended {
                return ended;
            }
            let wait = self.node.next_wakeup().saturating_sub(self.now());
            let mut came = self.receive(wait);
            for _ in 0..BATCH {
                if matches!(came, Came::Nothing) {
                    break;
                }
                self.take(came);
                came = self.receive(Duration::ZERO);
            }
            self.take(came);
            self.tick();
        }
    }

    fn now(&self) -> Duration {
        self.control.origin.elapsed()
    }

    fn receive(&self, wait: Duration) -> Came {
        let inbox = &self.control.inbox;
        select! {
            recv(inbox.orders) -> order => order.map_or(Came::Nothing, Came::Order),
            recv(inbox.traffic) -> report => report.map_or(Came::Nothing, Came::Traffic),
            recv(inbox.messages) -> report => report.map_or(Came::Nothing, Came::Message),
            recv(inbox.calls) -> report => report.map_or(Came::Nothing, Came::Call),
            default(wait) => Came::Nothing,
        }
    }

    fn take(&mut self, came: Came) {
        match came {
            Came::Traffic(report) => self.reported(report),
            Came::Message(report) => self.message(&report),
            Came::Call(report) => self.call(report),
            Came::Order(order) => self.order(order),
            Came::Nothing => {}
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        if now >= self.clock {
            self.clock = now + CLOCK;
            self.step(Input::Clock(unix()));
            self.look();
        }
        if now >= self.upkeep {
            self.upkeep = now + UPKEEP;
            self.control.metric.upkeep();
        }
        if now >= self.caches {
            self.caches = now + CACHES;
            self.ask_caches(now);
        }
        if now >= self.node.next_wakeup() {
            self.step(Input::Tick);
        }
        if self.deadline.is_some_and(|deadline| now >= deadline) {
            self.ended.get_or_insert(Ended::TimedOut);
        }
    }

    /// Asks the engines that were used lately for their cache events; others' caches hold nothing
    /// that this instance's callers are likely to ask for.
    fn ask_caches(&mut self, now: Duration) {
        self.used.retain(|_, used| now.saturating_sub(used.at) < USED);
        for (upstream, used) in &self.used {
            let ask = Ask::Cache { address: used.address, upstream: upstream.clone() };
            self.control.outside.ask(ask);
        }
    }

    /// Gives the decisions one input and does what they want done.
    fn step(&mut self, input: Input) {
        let started = Instant::now();
        self.tally.input(&input);
        let mut outputs = std::mem::take(&mut self.outputs);
        self.node.step(self.now(), input, &mut outputs);
        for output in outputs.drain(..) {
            self.carry(output);
        }
        self.outputs = outputs;
        self.control.metric.step(started.elapsed());
    }

    fn reported(&mut self, report: traffic::Report) {
        if let traffic::Report::Run { attempt, event } = &report {
            self.ran(*attempt, event);
        }
        if let Some(input) = carry::input(report) {
            self.step(input);
        }
    }

    fn message(&mut self, report: &peers::Report) {
        let bytes = report.bytes.len();
        let input = match report.via {
            Via::Datagram => Frame::decode(&report.bytes).map(|frame| {
                self.tally.received(tally::DATAGRAM, bytes);
                Input::Datagram { from: report.source, frame: Box::new(frame) }
            }),
            Via::Stream => postcard::from_bytes::<Message>(&report.bytes).ok().map(|message| {
                self.tally.received(tally::kind(&message), bytes);
                Input::Peer { from: report.from.clone(), message }
            }),
        };
        let Some(input) = input else {
            let cause = "it can't be read by this version".into();
            return Event::FrameRefused { address: report.source, cause }.log();
        };
        self.step(input);
    }

    fn order(&mut self, order: Order) {
        match order {
            Order::Stop(drain) => self.stop("a signal", drain),
            Order::Abandon => {
                self.ended.get_or_insert(Ended::TimedOut);
            }
            Order::Stored(mark, took) => {
                self.control.metric.sync(took);
                if took >= SLOW_SYNC {
                    Event::DiskSlow { step: "sync".into(), took }.log();
                }
                self.step(Input::WriteDurable { sequence: mark });
            }
            Order::DiskFailed(error) => {
                disk::failed(error).log();
                self.ended.get_or_insert(Ended::DiskFailed);
            }
            Order::Tell(input) => self.step(*input),
            Order::Reclaim { name, notice } => self.reclaim(name, notice),
        }
    }

    fn reclaim(&mut self, name: Arc<str>, notice: Duration) {
        Event::ReclaimNotice { name: name.clone(), left: notice }.log();
        if *name == *self.own.as_str() {
            return self.stop("the cloud's notice", notice);
        }
        self.step(Input::Reclaimed { upstream: Upstream::new(name), notice });
    }

    /// Begins the planned stop; a shorter time than before counts.
    fn stop(&mut self, cause: &str, limit: Duration) {
        let deadline = self.now() + limit;
        if self.deadline.is_none() {
            let requests = self.control.traffic.stats().callers;
            Event::Draining { cause: cause.into(), requests, limit }.log();
        }
        self.deadline = Some(self.deadline.map_or(deadline, |held| held.min(deadline)));
        self.control.traffic.stop_accepting();
        self.step(Input::Stop { remaining: limit });
    }

    fn farewell(self, ended: Ended) {
        thread::sleep(FAREWELL);
        match ended {
            Ended::Drained => Event::Stopped { ran: self.now() }.log(),
            Ended::TimedOut => {
                Event::DrainTimedOut { left: self.control.traffic.stats().callers }.log();
            }
            // These have told of themselves, and no drain time was over.
            Ended::DiskFailed | Ended::ThreadLost => {}
        }
        let Control { cloud, outside, disk, peers, admin, ended: told, .. } = self.control;
        drop((cloud, outside, admin, peers, disk));
        let _ = told.send(ended);
    }
}
