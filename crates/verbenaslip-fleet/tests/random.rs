//! Random faults of cores from fixed seeds, with at most the tolerated number of lost disks, while
//! upstreams come and go and their announcements are delayed.
//!
//! What may happen at the same time follows the platform's pages; [`Losses`] quotes them.
//!
//! CI runs a few seeds; run more with:
//!
//!     RANDOM_SEEDS=0..2000 cargo test --release -p verbenaslip-fleet --test random

mod net;

use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;

use net::losses::Losses;
use net::{Network, announcement, route_table, route_table_with_service, run};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::registry::{Announcement, Run, Status};
use verbenaslip_fleet::replicated_state::RouteTableRevision;
use verbenaslip_replica::setup::Timing;

const STEPS: usize = 40;
/// How long an upstream still serves after its departure was acknowledged.
const SERVING_TIME: Duration = Duration::from_secs(2);
/// Timing of the log in the programs, with which a core takes part again within
/// [`net::losses::CATCH_UP_TIME`].
const TIMING: Timing = Timing {
    heartbeat_interval: Duration::from_millis(100),
    election_timeout: Duration::from_millis(400),
    clock_drift_per_mille: 20,
    catch_up_timeout: Duration::from_secs(5),
};
/// Number of upstreams that come and go.
const UPSTREAMS: usize = 4;
/// Time for which the core must have been stable for machines to be in touch (`StableWindowMs`).
const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Seeds that once found a fault, each with its cause.
const REGRESSIONS: [u64; 6] = [
    // No seed core of six cores knew a leader: two had lost their disks, and one had been replaced
    // as a voter while cut off.
    435,
    // A run departed while the leader knew only an earlier run, and the leader published the end of
    // that one.
    1_144, // An announcement was delayed for longer than departures were remembered.
    2_016, 2_424, 2_517, 2_567,
];

#[test]
fn nothing_acknowledged_is_lost_or_read_in_an_older_state() {
    let seeds = std::env::var("RANDOM_SEEDS").ok();
    let bounds = seeds.as_deref().and_then(|text| text.split_once(".."));
    let parse = |text: &str| text.parse::<u64>().expect("a number");
    let seeds = bounds.map_or(0..24, |(from, to)| parse(from)..parse(to));
    let seeds: Vec<u64> = seeds.chain(REGRESSIONS).collect();
    let run_shape = |shape: Shape| {
        let failures = seeds.iter().filter_map(move |seed| run_seed(*seed, shape).err());
        failures.map(|it| format!("{shape:?}: {it}")).collect::<Vec<_>>()
    };
    let failures: Vec<String> = thread::scope(|scope| {
        let runs = SHAPES.map(|shape| scope.spawn(move || run_shape(shape)));
        runs.into_iter().flat_map(|run| run.join().expect("no run panics")).collect()
    });
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Describes the number of cores, the tolerated losses and the kinds of faults.
#[derive(Clone, Copy, Debug)]
struct Shape {
    cores: usize,
    losses: usize,
    /// Whether cores are also paused, upstreams drain before they depart, each run has its own
    /// name, and the route table contains their service.
    with_pauses: bool,
    /// Whether cores are also replaced at new addresses, edits are interrupted by restarts, and
    /// frames of the processes before a restart arrive late.
    with_replacements: bool,
    /// Number of entries; with more than 12, updates go through parent cores.
    entries: usize,
    /// Timing of the log.
    timing: Timing,
}

impl Shape {
    const fn new(cores: usize, losses: usize, entries: usize) -> Self {
        Self {
            cores,
            losses,
            entries,
            with_pauses: false,
            with_replacements: false,
            timing: TIMING,
        }
    }

    const fn with_pauses(self) -> Self {
        Self { with_pauses: true, ..self }
    }

    const fn with_replacements(self) -> Self {
        Self { with_replacements: true, ..self }
    }
}

const SHAPES: [Shape; 8] = [
    Shape::new(3, 1, 2),
    Shape::new(6, 2, 2),
    Shape::new(3, 1, 2).with_pauses(),
    Shape::new(5, 2, 14).with_pauses(),
    Shape::new(3, 1, 2).with_replacements(),
    Shape::new(5, 2, 2).with_replacements(),
    Shape::new(6, 2, 2).with_replacements(),
    Shape::new(3, 1, 14).with_pauses().with_replacements(),
];

/// A core that has started as the successor of another one, which stops once the new one has had
/// its time.
#[derive(Clone, Copy, Debug)]
struct Successor {
    place: usize,
    core: usize,
}

struct World {
    shape: Shape,
    net: Network,
    rng: Pcg64,
    /// The core that is cut off from the network.
    disconnected: Option<usize>,
    /// Generator for pauses. It is separate so that runs without pauses draw the same random
    /// numbers.
    pause_rng: Pcg64,
    /// The paused core.
    paused: Option<usize>,
    /// Generator for replacements, interrupted edits and late frames, separate for the same reason.
    replacement_rng: Pcg64,
    /// Core at each place in the fleet.
    cores: Vec<usize>,
    successors: Vec<Successor>,
    losses: Losses,
    /// When the first entry last restarted.
    entry_restarted_at: Duration,
    /// Since when more than half of the cores have been running and connected; `None` while they
    /// are not.
    majority_since: Option<Duration>,
    /// Faults so far, for the report of a failure.
    history: Vec<String>,
    revision: u64,
    acknowledged: u64,
    upstreams: [UpstreamState; UPSTREAMS],
}

/// Holds the newest run of an upstream, as the upstream itself knows it.
#[derive(Clone, Copy, Debug, Default)]
struct UpstreamState {
    incarnation: u64,
    sequence: u64,
    /// Whether the run has announced its departure.
    departing: bool,
    /// When that departure was acknowledged.
    acknowledged: Option<Duration>,
}

/// Runs one seed.
fn run_seed(seed: u64, shape: Shape) -> Result<(), String> {
    let mut world = World {
        shape,
        net: Network::with_timing(
            shape.cores,
            shape.entries,
            shape.losses * 2 + 1,
            None,
            shape.timing,
        ),
        rng: Pcg64::seed_from_u64(seed),
        disconnected: None,
        pause_rng: Pcg64::seed_from_u64(!seed),
        paused: None,
        replacement_rng: Pcg64::seed_from_u64(seed.rotate_left(32)),
        cores: (0..shape.cores).collect(),
        successors: Vec::new(),
        losses: Losses::new(shape.losses, shape.cores),
        entry_restarted_at: Duration::ZERO,
        majority_since: Some(Duration::ZERO),
        history: Vec::new(),
        revision: 0,
        acknowledged: 0,
        upstreams: [UpstreamState::default(); UPSTREAMS],
    };
    let result = world.play();
    result.map_err(|it| format!("seed {seed}: {it}\n{}", world.history.join("\n")))
}

impl World {
    fn play(&mut self) -> Result<(), String> {
        self.net.run(Duration::from_secs(4));
        for step in 0..STEPS {
            self.run_step().map_err(|it| format!("step {step}: {it}"))?;
        }
        self.resume_core().map_err(|it| format!("at the end: {it}"))?;
        self.reconnect();
        self.net.run(Duration::from_secs(12));
        let response = self.net.call(self.cores[0], Request::ReadRouteTable);
        let Some(Response::Document(document)) = &response else {
            return Err(format!("final read failed: {response:?}"));
        };
        let read = revision(document);
        if read < self.acknowledged {
            return Err(format!(
                "final read returned revision {read}, {} was acknowledged",
                self.acknowledged
            ));
        }
        Ok(())
    }

    fn run_step(&mut self) -> Result<(), String> {
        self.resume_core()?;
        self.cause_fault();
        self.pause_core();
        if self.shape.with_replacements {
            self.stop_replaced();
            self.replace_core();
            self.interrupt_edit()?;
        }
        let pause = self.rng.random_range(0..4_000);
        self.net.run(Duration::from_millis(pause));
        self.edit_table()?;
        (0..UPSTREAMS).for_each(|upstream| self.announce_or_depart(upstream));
        self.check_departures()?;
        self.check_read()?;
        // A paused core does nothing, and checks its lease when it resumes.
        let paused = self.paused.map(|place| self.cores[place]);
        let leaders = self.net.leaders();
        if leaders.iter().filter(|core| paused != Some(**core)).count() > 1 {
            return Err("two leaders".to_owned());
        }
        Ok(())
    }

    fn cause_fault(&mut self) {
        let cores = self.shape.cores;
        let core = self.rng.random_range(0..cores);
        match self.rng.random_range(0..6) {
            0 => self.restart(core),
            1 => (0..cores).for_each(|core| self.restart(core)),
            2 if self.may_lose_disk(core) => self.wipe(core),
            3 if self.has_no_losses() => {
                // All cores lose power, and the tolerated number of them also lose their disks.
                let wiped: Vec<usize> =
                    (0..self.shape.losses).map(|next| (core + next) % cores).collect();
                (0..cores).filter(|it| !wiped.contains(it)).for_each(|it| self.restart(it));
                wiped.into_iter().for_each(|it| self.wipe(it));
            }
            4 => {
                self.reconnect();
                self.losses.record(self.net.now(), core, true);
                self.note(format!("disconnect {}", self.cores[core]));
                self.net.disconnect_core(self.cores[core]);
                self.disconnected = Some(core);
            }
            _ => self.reconnect(),
        }
        if self.rng.random_bool(0.1) {
            self.entry_restarted_at = self.net.now();
            self.net.restart_entry(0);
        }
    }

    /// Pauses a random core until the next step.
    fn pause_core(&mut self) {
        if self.shape.with_pauses && self.pause_rng.random_bool(0.4) {
            let core = self.pause_rng.random_range(0..self.shape.cores);
            self.losses.record(self.net.now(), core, true);
            self.note(format!("pause {}", self.cores[core]));
            self.net.pause(self.cores[core]);
            self.paused = Some(core);
        }
    }

    /// Resumes the paused core, whose first input is a call that was waiting.
    fn resume_core(&mut self) -> Result<(), String> {
        let Some(core) = self.paused.take() else { return Ok(()) };
        let before = self.acknowledged;
        let call = self.net.start_call(self.cores[core], Request::ReadRouteTable);
        self.losses.record(self.net.now(), core, self.disconnected == Some(core));
        self.note(format!("resume {}", self.cores[core]));
        self.net.resume(self.cores[core]);
        let Some(Response::Document(document)) = self.net.take_response(call) else {
            return Ok(());
        };
        let read = revision(&document);
        if read < before {
            return Err(format!(
                "resumed core {core} reads revision {read}, {before} was acknowledged"
            ));
        }
        Ok(())
    }

    /// Returns this place, or the next one if the core here is paused.
    fn running_place(&self, place: usize) -> usize {
        if self.paused == Some(place) { (place + 1) % self.shape.cores } else { place }
    }

    /// Returns the core at this place, or at the next one if it is paused.
    fn running_core(&self, place: usize) -> usize {
        self.cores[self.running_place(place)]
    }

    fn note(&mut self, fault: impl std::fmt::Display) {
        let (now, leaders) = (self.net.now(), self.net.leaders());
        self.history.push(format!("{now:?} {fault}, leaders {leaders:?}"));
    }

    fn restart(&mut self, place: usize) {
        self.losses.record(self.net.now(), place, self.disconnected == Some(place));
        self.note(format!("restart {}", self.cores[place]));
        self.net.restart(self.cores[place]);
        self.repeat_frames(place);
    }

    fn wipe(&mut self, place: usize) {
        self.losses.record_lost_disk(self.net.now(), place);
        self.note(format!("wipe {}", self.cores[place]));
        self.net.restart_with_empty_disk(self.cores[place]);
        self.repeat_frames(place);
    }

    /// Lets frames from and to the process before a restart arrive late.
    fn repeat_frames(&mut self, place: usize) {
        if self.shape.with_replacements {
            let (count, delay) = (
                self.replacement_rng.random_range(0..64),
                self.replacement_rng.random_range(5..3_000),
            );
            self.net.repeat_frames(self.cores[place], count, Duration::from_millis(delay));
        }
    }

    fn has_no_losses(&mut self) -> bool {
        let now = self.net.now();
        self.losses.settle(now);
        self.losses.count(now) == 0
    }

    fn may_lose_disk(&mut self, place: usize) -> bool {
        self.losses.may_lose_disk(self.net.now(), place) && self.disconnected.is_none()
    }

    fn reconnect(&mut self) {
        if let Some(place) = self.disconnected.take() {
            self.losses.record(self.net.now(), place, self.paused == Some(place));
            self.note(format!("reconnect {}", self.cores[place]));
            self.net.reconnect_core(self.cores[place]);
        }
    }

    /// Replaces a random core by one at a new address with an empty disk: without notice, or by
    /// starting its successor first.
    fn replace_core(&mut self) {
        let place = self.replacement_rng.random_range(0..self.shape.cores);
        let is_replaced = self.successors.iter().any(|it| it.place == place);
        let is_away = [self.disconnected, self.paused].contains(&Some(place));
        if is_replaced || is_away || !self.replacement_rng.random_bool(0.3) {
            return;
        }
        if self.replacement_rng.random_bool(0.5) {
            let core = self.net.add_core();
            self.losses.record_lost_disk(self.net.now(), place);
            self.note(format!("core {core} will replace {}", self.cores[place]));
            self.successors.push(Successor { place, core });
        } else if self.may_lose_disk(place) {
            self.losses.record_lost_disk(self.net.now(), place);
            self.note(format!("core {} is gone", self.cores[place]));
            self.net.stop(self.cores[place]);
            let pause = self.replacement_rng.random_range(0..1_500);
            self.net.run(Duration::from_millis(pause));
            self.cores[place] = self.net.add_core();
            self.losses.record_lost_disk(self.net.now(), place);
            self.note(format!("core {} has started", self.cores[place]));
        }
    }

    /// Stops the cores whose successors have had their time.
    fn stop_replaced(&mut self) {
        let now = self.net.now();
        let (losses, is_away) = (&mut self.losses, [self.disconnected, self.paused]);
        let has_had_time = |it: &mut Successor| {
            !losses.is_lost(now, it.place) && !is_away.contains(&Some(it.place))
        };
        for Successor { place, core } in
            self.successors.extract_if(.., has_had_time).collect::<Vec<_>>()
        {
            let old = std::mem::replace(&mut self.cores[place], core);
            self.note(format!("core {old} stops, {core} is its successor"));
            let time = self.net.terminate(old);
            self.note(format!("core {old} has stopped after {time:?}"));
        }
    }

    /// Restarts a core while it serves an edit, and sends it the next edit.
    fn interrupt_edit(&mut self) -> Result<(), String> {
        let place = self.replacement_rng.random_range(0..self.shape.cores);
        let is_away = [self.disconnected, self.paused].contains(&Some(place));
        if is_away || !self.replacement_rng.random_bool(0.3) {
            return Ok(());
        }
        let request = self.next_edit();
        self.net.start_call(self.cores[place], request);
        let pause = self.replacement_rng.random_range(0..60);
        self.net.run(Duration::from_millis(pause));
        self.restart(place);
        let pause = self.replacement_rng.random_range(0..500);
        self.net.run(Duration::from_millis(pause));
        let request = self.next_edit();
        self.edit(self.cores[place], request)
    }

    fn next_edit(&mut self) -> Request {
        self.revision += self.replacement_rng.random_range(1..4);
        Request::AdoptRouteTable(Box::new(self.route_table()))
    }

    fn route_table(&self) -> RouteTableRevision {
        let table = if self.shape.with_pauses { route_table_with_service } else { route_table };
        table(self.revision)
    }

    /// Sends the edit of the newest revision to a core.
    fn edit(&mut self, core: usize, request: Request) -> Result<(), String> {
        if let Some(Response::RouteTableAdopted { revision }) = self.net.call(core, request) {
            self.acknowledged = self.revision;
            if revision < self.revision {
                let requested = self.revision;
                return Err(format!("core {core} answers edit {requested} with {revision}"));
            }
        }
        Ok(())
    }

    fn edit_table(&mut self) -> Result<(), String> {
        self.revision += self.rng.random_range(1..4);
        let core = self.rng.random_range(0..self.shape.cores);
        let core = self.running_core(core);
        let request = Request::AdoptRouteTable(Box::new(self.route_table()));
        self.edit(core, request)
    }

    /// Lets one upstream announce something, and then a delayed earlier announcement arrive.
    fn announce_or_depart(&mut self, upstream: usize) {
        let place = self.rng.random_range(0..self.shape.cores);
        let place = self.running_place(place);
        let core = self.cores[place];
        let before = self.upstreams[upstream];
        if before.acknowledged.is_none() && before.departing || self.rng.random_bool(0.3) {
            self.depart(upstream, core);
        } else if self.rng.random_bool(0.3) {
            self.upstreams[upstream] = UpstreamState {
                incarnation: before.incarnation + 10,
                sequence: 1,
                ..UpstreamState::default()
            };
            self.announce(upstream, core, self.upstreams[upstream]);
        } else if !before.departing {
            self.upstreams[upstream].sequence += 1;
            self.announce(upstream, core, self.upstreams[upstream]);
        }
        // The delayed announcement is the next one of the run that was current before this step.
        let delayed = UpstreamState { sequence: before.sequence + 1, ..before };
        let other = self.running_core((place + 1) % self.shape.cores);
        self.announce(upstream, other, delayed);
    }

    /// Names a run of an upstream.
    fn run(&self, upstream: usize, incarnation: u64) -> Run {
        if self.shape.with_pauses {
            run(&format!("u{upstream}-{incarnation}"), 0)
        } else {
            run(&format!("u{upstream}"), incarnation)
        }
    }

    fn announcement(&self, upstream: usize, state: UpstreamState, draining: bool) -> Announcement {
        let run = self.run(upstream, state.incarnation);
        Announcement {
            address: ([10, 9, 0, 1], u16::try_from(upstream).expect("upstream index fits in u16"))
                .into(),
            ..Announcement { run, ..announcement("", state.sequence, draining) }
        }
    }

    fn announce(&mut self, upstream: usize, core: usize, state: UpstreamState) {
        let announcement = self.announcement(upstream, state, false);
        self.net.start_call(core, Request::Announce(Box::new(announcement)));
    }

    fn depart(&mut self, upstream: usize, core: usize) {
        self.upstreams[upstream].departing = true;
        let UpstreamState { incarnation, .. } = self.upstreams[upstream];
        let departure = if self.shape.with_pauses && self.pause_rng.random_bool(0.5) {
            self.upstreams[upstream].sequence += 1;
            let state = self.upstreams[upstream];
            Request::Announce(Box::new(self.announcement(upstream, state, true)))
        } else {
            let Run { upstream: name, incarnation } = self.run(upstream, incarnation);
            Request::Withdraw { upstream: name, incarnation: Some(incarnation) }
        };
        if self.net.call(core, departure) == Some(Response::Acknowledged) {
            let now = self.net.now();
            self.upstreams[upstream].acknowledged.get_or_insert(now);
        }
    }

    /// Returns whether the rules on departures hold for the first entry after an acknowledgement.
    ///
    /// The platform's pages (In touch): a machine is not in touch until `StableWindowMs` after it
    /// was started, nor before the core is stable, that is "while more than half of it runs and is
    /// connected". A core that was paused may give a restarted entry an older list meanwhile.
    fn is_in_touch(&mut self, acknowledged_at: Duration) -> bool {
        let now = self.net.now();
        let away = [self.disconnected, self.paused].into_iter().flatten();
        let away_count = away.collect::<BTreeSet<usize>>().len();
        let has_majority = (self.shape.cores - away_count) * 2 > self.shape.cores;
        self.majority_since = self.majority_since.filter(|_| has_majority);
        let majority_since = has_majority.then(|| *self.majority_since.get_or_insert(now));
        let is_stable =
            majority_since.is_some_and(|since| now.saturating_sub(since) >= STABLE_WINDOW);
        is_stable || self.entry_restarted_at < acknowledged_at
    }

    /// Checks that no entry would send requests to a run whose departure was acknowledged.
    fn check_departures(&mut self) -> Result<(), String> {
        let now = self.net.now();
        let in_touch = self.upstreams.map(|state| {
            let acknowledged_at = state.acknowledged.unwrap_or_default();
            self.is_in_touch(acknowledged_at)
        });
        for (index, state) in self.upstreams.iter().enumerate() {
            let must_be_unused =
                state.acknowledged.is_some_and(|at| now.saturating_sub(at) > SERVING_TIME);
            let judged = self.net.entries().skip(usize::from(!in_touch[index]));
            let used = judged.into_iter().any(|view| {
                let run = self.run(index, state.incarnation);
                let record = view.upstreams.get(&run.upstream);
                record.is_some_and(|it| {
                    it.status != Status::Leaving
                        && it.announcement.run.incarnation <= run.incarnation
                })
            });
            if must_be_unused && used {
                return Err(format!(
                    "upstream u{index} is still used at {now:?} after its departure: {state:?}"
                ));
            }
        }
        Ok(())
    }

    fn check_read(&mut self) -> Result<(), String> {
        let core = self.rng.random_range(0..self.shape.cores);
        let core = self.running_core(core);
        let before = self.acknowledged;
        let Some(Response::Document(document)) = self.net.call(core, Request::ReadRouteTable)
        else {
            return Ok(());
        };
        let read = revision(&document);
        if read < before {
            return Err(format!("core {core} reads revision {read}, {before} was acknowledged"));
        }
        Ok(())
    }
}

fn revision(document: &[u8]) -> u64 {
    let text = std::str::from_utf8(document).expect("the document is UTF-8");
    text.trim_start_matches("table ").parse().expect("a number")
}
