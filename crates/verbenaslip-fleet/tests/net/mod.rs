//! A network of cores and entries in virtual time, with disks that can be lost.

#![allow(dead_code)] // Each test file uses its own part.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Instance, Team, Upstream};
use verbenaslip_fleet::core::{Core, Event, Input, Output, Setup, name_of};
use verbenaslip_fleet::frame::{Frame, Peer, Request, Response};
use verbenaslip_fleet::limit::{Limit, Limits, Observation};
use verbenaslip_fleet::link::Report;
use verbenaslip_fleet::order;
use verbenaslip_fleet::quarantine::QuarantinePolicy;
use verbenaslip_fleet::registry::{Announcement, Run, Status};
use verbenaslip_fleet::replicated_state::RouteTableRevision;
use verbenaslip_fleet::route_table::{RouteTable, Service};
use verbenaslip_fleet::usage::{Count, window_at};
use verbenaslip_fleet::{Entry, View};
use verbenaslip_replica::entry::Entry as LogEntry;
use verbenaslip_replica::setup::Timing;
use verbenaslip_replica::storage::{Recovered, Write};
use verbenaslip_replica::voter::{Identity, Voter};

const TICK: Duration = Duration::from_millis(5);
/// The true time of day at the start, in Unix milliseconds.
const EPOCH: u64 = 1_800_000_000_000;
/// Ticks that a frame travels.
const WAY: u64 = 1;
/// How long a call may take.
const PATIENCE: Duration = Duration::from_secs(2);

pub fn route_table(revision: u64) -> RouteTableRevision {
    let sheet = Arc::new(RouteTable { revision, ..RouteTable::default() });
    RouteTableRevision { table: sheet, document: format!("table {revision}").into_bytes().into() }
}

/// Makes a table that knows the service of [`announcement`].
pub fn route_table_with_service(revision: u64) -> RouteTableRevision {
    let service = Service {
        name: "pool".into(),
        health_path: "/healthz".into(),
        max_connections: 10,
        engine: None,
        scaling: None,
    };
    let sheet = RouteTable { revision, services: vec![service], ..RouteTable::default() };
    RouteTableRevision { table: Arc::new(sheet), ..route_table(revision) }
}

pub fn announcement(name: &str, sequence: u64, draining: bool) -> Announcement {
    Announcement {
        run: run(name, 0),
        service: "pool".into(),
        address: ([10, 9, 0, 1], 80).into(),
        zone: AvailabilityZone::from("north"),
        version: "v1".into(),
        slots: 4,
        draining,
        warmup_left: Duration::ZERO,
        reclaimable: false,
        leaves_in: None,
        sequence,
    }
}

pub fn run(name: &str, incarnation: u64) -> Run {
    Run { upstream: Upstream::from(name), incarnation }
}

pub fn withdraw(name: &str) -> Request {
    Request::Withdraw { upstream: Upstream::from(name), incarnation: None }
}

/// Counts requests by window and team.
type Counts = BTreeMap<(u64, Team), u64>;

/// Holds one core: the process, if it runs, and the disk.
struct Machine {
    core: Option<Core>,
    disk: Recovered,
    pending: Vec<(u64, Write)>,
    skew: i64,
    starts: u64,
}

/// Runs cores and entries against each other.
pub struct Network {
    now: Duration,
    ticks: u64,
    cores: Vec<Machine>,
    entries: Vec<Entry>,
    mail: VecDeque<(u64, SocketAddr, Frame)>,
    cut: BTreeSet<SocketAddr>,
    /// Cores that stand still; what is sent to them waits.
    frozen: BTreeSet<SocketAddr>,
    /// Entries that send and get nothing.
    deaf: BTreeSet<SocketAddr>,
    /// Whether updates to cores are lost.
    loses_updates: bool,
    /// Cores whose disks answer nothing.
    stalled: BTreeSet<usize>,
    replies: BTreeMap<u64, Response>,
    calls: u64,
    identities: u128,
    voters: usize,
    /// The limits that each entry has learnt by itself.
    limits: BTreeMap<usize, Limits>,
    /// Upstreams that have said to an entry that they go.
    leaving: BTreeMap<usize, Vec<Run>>,
    /// What cores told for the log.
    notes: Vec<(usize, Event)>,
    /// The windows of usage that the leader closes; none are counted without.
    duty: Option<order::Timing>,
    /// Requests that began at each entry, by window and team.
    counts: BTreeMap<usize, Counts>,
    /// What each core has sent and got, while that is counted.
    traffic: Option<BTreeMap<SocketAddr, Traffic>>,
}

/// Counts the frames that a core sends and gets, and their bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub sent: usize,
    pub received: usize,
    pub bytes: usize,
}

fn core_address(index: usize) -> SocketAddr {
    address(1, index)
}

fn entry_address(index: usize) -> SocketAddr {
    address(2, index)
}

fn address(network: u8, index: usize) -> SocketAddr {
    let [high, low] = u16::try_from(index).expect("few").to_be_bytes();
    ([10, network, high, low], 7_000).into()
}

impl Network {
    /// Starts all for the first time; the first three cores are the seeds.
    pub fn new(cores: usize, entries: usize) -> Self {
        Self::with_voters(cores, entries, 3)
    }

    /// Starts all for the first time, with so many voters as soon as there are cores for them.
    pub fn with_voters(cores: usize, entries: usize, voters: usize) -> Self {
        Self::with_usage(cores, entries, voters, None)
    }

    /// The same, with a leader that closes windows of usage.
    pub fn with_usage(
        cores: usize,
        entries: usize,
        voters: usize,
        duty: Option<order::Timing>,
    ) -> Self {
        let mut net = Self {
            voters,
            now: Duration::from_secs(1),
            ticks: 0,
            cores: Vec::new(),
            entries: Vec::new(),
            mail: VecDeque::new(),
            cut: BTreeSet::new(),
            frozen: BTreeSet::new(),
            deaf: BTreeSet::new(),
            loses_updates: false,
            stalled: BTreeSet::new(),
            replies: BTreeMap::new(),
            calls: 0,
            identities: 0,
            limits: BTreeMap::new(),
            leaving: BTreeMap::new(),
            notes: Vec::new(),
            duty,
            counts: BTreeMap::new(),
            traffic: None,
        };
        for index in 0..cores {
            net.add(index < 3);
        }
        for index in 0..entries {
            let own = peer(entry_address(index), 1, None);
            net.entries.push(Entry::new(own, seeds(), net.now, EPOCH));
        }
        net
    }

    /// Adds a core at a new address, with an empty disk, and returns its index.
    pub fn add_core(&mut self) -> usize {
        self.add(false)
    }

    fn add(&mut self, founds: bool) -> usize {
        let disk = self.empty_disk();
        self.cores.push(Machine { core: None, disk, pending: vec![], skew: 0, starts: 0 });
        let index = self.cores.len() - 1;
        self.start(index, founds);
        index
    }

    fn empty_disk(&mut self) -> Recovered {
        self.identities += 1;
        Recovered::empty(Identity(self.identities))
    }

    fn start(&mut self, index: usize, founds: bool) {
        let address = core_address(index);
        let machine = &mut self.cores[index];
        machine.pending.clear();
        machine.starts += 1;
        let identity = machine.disk.identity;
        let voter = Voter { instance: name_of(address), identity };
        let setup = Setup {
            local_peer: peer(address, machine.starts, Some(voter)),
            quarantine_policy: QuarantinePolicy::default(),
            fingerprint_secret: 7,
            seeds: seeds(),
            founders: if founds { seeds() } else { vec![] },
            recovered: machine.disk.clone(),
            target_voter_count: self.voters,
            announce_interval: Duration::from_millis(1_200),
            log_timing: Timing::default(),
            order_timing: self.duty,
            seed: index as u64 * 100 + machine.starts,
            unix_ms: EPOCH,
        };
        machine.core = Some(Core::new(setup, self.now));
    }

    pub fn stop(&mut self, core: usize) {
        self.cores[core].core = None;
    }

    /// Takes power from a core and gives it back: only what was synced is there.
    pub fn restart(&mut self, core: usize) {
        self.stop(core);
        self.resume(core);
        self.start(core, false);
    }

    /// Takes a core's disk and starts it with an empty one.
    pub fn restart_with_empty_disk(&mut self, core: usize) {
        self.stop(core);
        self.resume(core);
        self.cores[core].disk = self.empty_disk();
        self.start(core, false);
    }

    pub fn disconnect_core(&mut self, core: usize) {
        self.cut.insert(core_address(core));
    }

    /// Lets a core stand still, as a machine that is suspended: its clock goes on.
    pub fn pause(&mut self, core: usize) {
        self.frozen.insert(core_address(core));
    }

    pub fn resume(&mut self, core: usize) {
        self.frozen.remove(&core_address(core));
    }

    /// Has cores get none of the leader's updates, or all of them again.
    pub fn drop_updates(&mut self, lose: bool) {
        self.loses_updates = lose;
    }

    /// Has a core's disk answer nothing; its process goes on.
    pub fn stall_disk(&mut self, core: usize) {
        self.stalled.insert(core);
    }

    /// Has a core's disk answer again.
    pub fn resume_disk(&mut self, core: usize) {
        self.stalled.remove(&core);
    }

    pub fn reconnect_core(&mut self, core: usize) {
        self.cut.remove(&core_address(core));
    }

    /// Starts an entry again, which remembers nothing.
    pub fn restart_entry(&mut self, index: usize) {
        let incarnation = u64::try_from(self.now.as_millis()).expect("small");
        let own = peer(entry_address(index), incarnation, None);
        self.entries[index] = Entry::new(own, seeds(), self.now, EPOCH);
    }

    pub fn disconnect_entry(&mut self, entry: usize) {
        self.cut.insert(entry_address(entry));
    }

    /// Has an entry's reports come through, and nothing reach it.
    pub fn drop_frames_to_entry(&mut self, entry: usize) {
        self.deaf.insert(entry_address(entry));
    }

    pub fn reconnect_entry(&mut self, entry: usize) {
        self.cut.remove(&entry_address(entry));
    }

    pub fn set_clock_skew(&mut self, core: usize, millis: i64) {
        self.cores[core].skew = millis;
    }

    pub fn now(&self) -> Duration {
        self.now
    }

    /// Returns the true time of day in Unix milliseconds.
    pub fn true_unix_ms(&self) -> i64 {
        i64::try_from(EPOCH + u64::try_from(self.now.as_millis()).expect("small")).expect("small")
    }

    pub fn leaders(&self) -> Vec<usize> {
        let leads = |machine: &Machine| machine.core.as_ref().is_some_and(Core::is_leading);
        (0..self.cores.len()).filter(|index| leads(&self.cores[*index])).collect()
    }

    pub fn entry(&self, index: usize) -> &View {
        self.entries[index].view()
    }

    pub fn entries(&self) -> impl Iterator<Item = &View> {
        self.entries.iter().map(Entry::view)
    }

    /// Has an entry learn by an answer that a run limits its requests, or does so no more.
    pub fn observe_limit(&mut self, entry: usize, run: Run, rate: Option<f64>) {
        let at = u64::try_from(self.true_unix_ms()).expect("positive");
        self.limits.entry(entry).or_default().insert(run, Limit { rate, reported_at_ms: at });
    }

    /// Has an upstream say to an entry in an answer that it goes.
    pub fn observe_departure(&mut self, entry: usize, run: Run) {
        self.leaving.entry(entry).or_default().push(run);
    }

    /// Has a request of a team begin at an entry; returns the window that it is counted in.
    pub fn begin_request(&mut self, entry: usize, team: &str) -> u64 {
        let length = self.duty.expect("usage is counted").window_length;
        let time = self.entries[entry].view().time_offset_ms;
        let unix = verbenaslip_fleet::clock::unix_ms(self.now, time);
        let window = window_at(unix, length);
        let counts = self.counts.entry(entry).or_default();
        *counts.entry((window, Team::from(team))).or_default() += 1;
        window
    }

    fn counted(&self, entry: usize) -> Vec<Count> {
        let counts = self.counts.get(&entry).into_iter().flatten();
        let count = |((window, team), requests): (&(u64, Team), &u64)| Count {
            window: *window,
            team: team.clone(),
            requests: *requests,
        };
        counts.map(count).collect()
    }

    fn unshared_departures(&self, entry: usize) -> Vec<Run> {
        let upstreams = &self.entries[entry].view().upstreams;
        let ready = |run: &&Run| {
            let record = upstreams.get(&run.upstream);
            record.is_some_and(|it| it.status == Status::Ready)
        };
        self.leaving.get(&entry).into_iter().flatten().filter(ready).cloned().collect()
    }

    /// Lists what an entry has learnt and its leader is not known to know.
    fn unshared(&self, entry: usize) -> Vec<Observation> {
        let known = &self.entries[entry].view().limits;
        let learnt = self.limits.get(&entry).into_iter().flatten();
        let news = learnt.filter(|(run, limit)| limit.supersedes(known.get(run)));
        news.map(|(run, limit)| Observation { run: run.clone(), limit: *limit }).collect()
    }

    /// Calls a core and returns its answer.
    pub fn call(&mut self, core: usize, ask: Request) -> Option<Response> {
        self.calls += 1;
        let id = self.calls;
        self.step(core, Input::Call { id, request: ask });
        let until = self.now + PATIENCE;
        while self.now < until && !self.replies.contains_key(&id) {
            self.tick();
        }
        self.replies.remove(&id)
    }

    /// Calls a core without waiting for the answer; returns the name of the call.
    pub fn start_call(&mut self, core: usize, ask: Request) -> u64 {
        self.calls += 1;
        self.step(core, Input::Call { id: self.calls, request: ask });
        self.calls
    }

    /// Takes what cores have told for the log, each with its core.
    pub fn take_events(&mut self) -> Vec<(usize, Event)> {
        std::mem::take(&mut self.notes)
    }

    pub fn entry_mut(&mut self, index: usize) -> &mut Entry {
        &mut self.entries[index]
    }

    /// Takes the answer to a call, if it has come.
    pub fn take_response(&mut self, call: u64) -> Option<Response> {
        self.replies.remove(&call)
    }

    /// Counts anew what each core sends and gets.
    pub fn count_traffic(&mut self) {
        self.traffic = Some(BTreeMap::new());
    }

    /// Returns what a core has sent and got since [`count_traffic`](Self::count_traffic).
    pub fn traffic(&self, core: usize) -> Traffic {
        let counted = self.traffic.as_ref().and_then(|it| it.get(&core_address(core)));
        counted.copied().unwrap_or_default()
    }

    fn count(&mut self, core: SocketAddr, frame: &Frame, sent: usize) {
        let Some(traffic) = &mut self.traffic else { return };
        let bytes = postcard::to_stdvec(frame).expect("it encodes").len();
        let counted = traffic.entry(core).or_default();
        counted.sent += sent;
        counted.received += usize::from(sent == 0);
        counted.bytes += bytes * sent.max(1);
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        self.ticks += 1;
        for index in 0..self.cores.len() {
            if self.frozen.contains(&core_address(index)) {
                continue;
            }
            let skewed = self.true_unix_ms() + self.cores[index].skew;
            self.step(index, Input::WallClock(u64::try_from(skewed).expect("positive")));
            self.sync(index);
        }
        let truth = u64::try_from(self.true_unix_ms()).expect("positive");
        for index in 0..self.entries.len() {
            let leaving = self.unshared_departures(index);
            let (limits, counts) = (self.unshared(index), self.counted(index));
            let report = Report { limits, departing: leaving, counts, ..Report::default() };
            let envelope = self.entries[index].next_heartbeat(self.now, truth, report);
            self.post(entry_address(index), envelope);
            let envelope = self.entries[index].next_crash_report(self.now);
            self.post(entry_address(index), envelope);
        }
        let mut held = VecDeque::new();
        while self.mail.front().is_some_and(|(due, ..)| *due <= self.ticks) {
            let Some((due, to, frame)) = self.mail.pop_front() else { return };
            if self.frozen.contains(&to) {
                held.push_back((due, to, frame));
            } else {
                self.deliver(to, frame);
            }
        }
        held.append(&mut self.mail);
        self.mail = held;
    }

    fn deliver(&mut self, to: SocketAddr, frame: Frame) {
        if self.cut.contains(&to) || self.deaf.contains(&to) {
            return;
        }
        if let Some(index) = (0..self.cores.len()).find(|it| core_address(*it) == to) {
            if self.loses_updates && matches!(frame, Frame::Update(_)) {
                return;
            }
            self.count(to, &frame, 0);
            return self.step(index, Input::Frame(Box::new(frame)));
        }
        if let Some(index) = (0..self.entries.len()).find(|it| entry_address(*it) == to) {
            let envelope = self.entries[index].handle_frame(self.now, frame);
            self.post(to, envelope);
        }
    }

    fn post(&mut self, from: SocketAddr, envelope: Option<verbenaslip_fleet::entry::Envelope>) {
        let Some(envelope) = envelope else { return };
        if self.cut.contains(&from) {
            return;
        }
        for to in envelope.to {
            self.mail.push_back((self.ticks + WAY, to, envelope.frame.clone()));
        }
    }

    fn step(&mut self, index: usize, input: Input) {
        let from = core_address(index);
        let Some(core) = &mut self.cores[index].core else { return };
        let mut outputs = Vec::new();
        core.step(self.now, input, &mut outputs);
        for output in outputs {
            match output {
                Output::Send { .. } if self.cut.contains(&from) => {}
                Output::Send { to, frame } => {
                    self.count(from, &frame, 1);
                    self.mail.push_back((self.ticks + WAY, to, frame));
                }
                Output::Multicast { .. } if self.cut.contains(&from) => {}
                Output::Multicast { to, frame } => {
                    self.count(from, &frame, to.len());
                    let mail = to.into_iter().map(|to| (self.ticks + WAY, to, frame.clone()));
                    self.mail.extend(mail);
                }
                Output::Store { sequence: mark, write } => {
                    self.cores[index].pending.push((mark, write))
                }
                Output::Reply { id, response: told } => {
                    self.replies.insert(id, told);
                }
                Output::Order(_) => {}
                Output::Event(note) => self.notes.push((index, note)),
            }
        }
    }

    /// Syncs what waits for the disk; it takes one tick.
    fn sync(&mut self, index: usize) {
        if self.stalled.contains(&index) {
            return;
        }
        let writes = std::mem::take(&mut self.cores[index].pending);
        let Some(mark) = writes.last().map(|(mark, _)| *mark) else { return };
        for (_, write) in writes {
            store(&mut self.cores[index].disk, write);
        }
        self.step(index, Input::Stored(mark));
    }
}

fn seeds() -> Vec<SocketAddr> {
    (0..3).map(core_address).collect()
}

fn peer(address: SocketAddr, incarnation: u64, voter: Option<Voter>) -> Peer {
    let name = Instance::new(address.to_string());
    Peer { address, name, zone: AvailabilityZone::from("north"), incarnation, voter }
}

fn store(disk: &mut Recovered, write: Write) {
    let after = |entry: &LogEntry, index: u64| entry.position.index >= index;
    match write {
        Write::HardState(hard) => disk.hard_state = hard,
        Write::Append(entries) => disk.entries.extend(entries),
        Write::Truncate { from } => disk.entries.retain(|entry| !after(entry, from)),
        Write::Compact { snapshot, first } => {
            disk.snapshot = Some(snapshot);
            disk.entries.retain(|entry| after(entry, first));
        }
        Write::Install(snapshot) => {
            disk.snapshot = Some(snapshot);
            disk.entries.clear();
        }
    }
}
