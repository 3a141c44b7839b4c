//! Random faults of cores from fixed seeds, with at most the tolerated number of lost disks, while
//! upstreams come and go and their announcements are delayed.
//!
//! CI runs a few seeds; run more with:
//!
//!     RANDOM_SEEDS=0..2000 cargo test --release -p verbenaslip-fleet --test random

mod net;

use std::collections::BTreeSet;
use std::time::Duration;

use net::{Network, announcement, route_table, route_table_with_service, run};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::registry::{Announcement, Run, Status};

const STEPS: usize = 40;
/// How long an upstream still serves after its departure was acknowledged.
const SERVING_TIME: Duration = Duration::from_secs(2);
/// Number of upstreams that come and go.
const UPSTREAMS: usize = 4;
/// How long a core still counts as lost after it has returned. A disk is lost only while fewer
/// cores count as lost than are tolerated; all cores may lose power at any time.
const RECOVERY_TIME: Duration = Duration::from_secs(6);

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
    let runs = seeds.chain(REGRESSIONS).flat_map(|seed| SHAPES.map(|shape| (seed, shape)));
    let failures: Vec<String> = runs
        .filter_map(|(seed, shape)| {
            run_seed(seed, shape).err().map(|it| format!("{shape:?}: {it}"))
        })
        .collect();
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
    /// Number of entries; with more than 12, updates go through parent cores.
    entries: usize,
}

const SHAPES: [Shape; 4] = [
    Shape { cores: 3, losses: 1, with_pauses: false, entries: 2 },
    Shape { cores: 6, losses: 2, with_pauses: false, entries: 2 },
    Shape { cores: 3, losses: 1, with_pauses: true, entries: 2 },
    Shape { cores: 5, losses: 2, with_pauses: true, entries: 14 },
];

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
    /// When each core last had a fault.
    last_fault: Vec<Duration>,
    /// Cores whose lost disks have not been replaced in the log yet.
    wiped: BTreeSet<usize>,
    /// Start of the undisturbed time for these replacements. The log can't replace a voter while a
    /// majority is unavailable, and another lost disk would then exceed the tolerated number.
    undisturbed_since: Duration,
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
        net: Network::with_voters(shape.cores, shape.entries, shape.losses * 2 + 1),
        rng: Pcg64::seed_from_u64(seed),
        disconnected: None,
        pause_rng: Pcg64::seed_from_u64(!seed),
        paused: None,
        last_fault: vec![Duration::ZERO; shape.cores],
        wiped: BTreeSet::new(),
        undisturbed_since: Duration::ZERO,
        revision: 0,
        acknowledged: 0,
        upstreams: [UpstreamState::default(); UPSTREAMS],
    };
    world.net.run(Duration::from_secs(4));
    for step in 0..STEPS {
        world.resume_core().map_err(|it| format!("seed {seed}, step {step}: {it}"))?;
        world.cause_fault();
        world.pause_core();
        let pause = world.rng.random_range(0..4_000);
        world.net.run(Duration::from_millis(pause));
        world.edit_table();
        (0..UPSTREAMS).for_each(|upstream| world.announce_or_depart(upstream));
        world.check_departures().map_err(|it| format!("seed {seed}, step {step}: {it}"))?;
        world.check_read().map_err(|it| format!("seed {seed}, step {step}: {it}"))?;
        // A paused core does nothing, and checks its lease when it resumes.
        let leaders = world.net.leaders();
        if leaders.iter().filter(|core| world.paused != Some(**core)).count() > 1 {
            return Err(format!("seed {seed}, step {step}: two leaders"));
        }
    }
    world.resume_core().map_err(|it| format!("seed {seed}, at the end: {it}"))?;
    world.reconnect();
    world.net.run(Duration::from_secs(12));
    let response = world.net.call(0, Request::ReadRouteTable);
    let Some(Response::Document(document)) = &response else {
        return Err(format!("seed {seed}: final read failed: {response:?}"));
    };
    let read = revision(document);
    if read < world.acknowledged {
        return Err(format!(
            "seed {seed}: final read returned revision {read}, {} was acknowledged",
            world.acknowledged
        ));
    }
    Ok(())
}

impl World {
    fn cause_fault(&mut self) {
        let cores = self.shape.cores;
        let core = self.rng.random_range(0..cores);
        match self.rng.random_range(0..6) {
            0 => self.restart(core),
            1 => (0..cores).for_each(|core| self.restart(core)),
            2 if self.may_lose_disk(core) => self.wipe(core),
            3 if self.lost_cores().is_empty() => {
                // All cores lose power, and the tolerated number of them also lose their disks.
                let wiped: Vec<usize> =
                    (0..self.shape.losses).map(|next| (core + next) % cores).collect();
                (0..cores).filter(|it| !wiped.contains(it)).for_each(|it| self.restart(it));
                wiped.into_iter().for_each(|it| self.wipe(it));
            }
            4 => {
                self.reconnect();
                self.record_fault(core);
                self.net.disconnect_core(core);
                self.disconnected = Some(core);
            }
            _ => self.reconnect(),
        }
        if self.rng.random_bool(0.1) {
            self.net.restart_entry(0);
        }
    }

    /// Pauses a random core until the next step.
    fn pause_core(&mut self) {
        if self.shape.with_pauses && self.pause_rng.random_bool(0.4) {
            let core = self.pause_rng.random_range(0..self.shape.cores);
            self.record_fault(core);
            self.net.pause(core);
            self.paused = Some(core);
        }
    }

    /// Resumes the paused core, whose first input is a call that was waiting.
    fn resume_core(&mut self) -> Result<(), String> {
        let Some(core) = self.paused.take() else { return Ok(()) };
        let before = self.acknowledged;
        let call = self.net.start_call(core, Request::ReadRouteTable);
        self.record_fault(core);
        self.net.resume(core);
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

    /// Returns a core that can be called: this one, or the next one if it is paused.
    fn running_core(&self, core: usize) -> usize {
        if self.paused == Some(core) { (core + 1) % self.shape.cores } else { core }
    }

    fn restart(&mut self, core: usize) {
        self.record_fault(core);
        self.net.restart(core);
    }

    fn wipe(&mut self, core: usize) {
        self.record_fault(core);
        self.undisturbed_since = self.net.now();
        self.wiped.insert(core);
        self.net.restart_with_empty_disk(core);
    }

    fn record_fault(&mut self, core: usize) {
        let now = self.net.now();
        self.last_fault[core] = now;
        // A paused or disconnected core may have prevented the other cores from replacing the disk
        // all the time.
        let is_delayed = self.shape.with_pauses && !self.wiped.is_empty();
        if is_delayed || now.saturating_sub(self.undisturbed_since) <= RECOVERY_TIME {
            self.undisturbed_since = now;
        }
    }

    /// Returns the cores that count as lost.
    fn lost_cores(&mut self) -> BTreeSet<usize> {
        let now = self.net.now();
        let is_recent = |at: Duration| now.saturating_sub(at) <= RECOVERY_TIME;
        let is_absent =
            self.shape.with_pauses && (self.disconnected.is_some() || self.paused.is_some());
        if !is_recent(self.undisturbed_since) && !is_absent {
            self.wiped.clear();
        }
        let recently_failed = (0..self.shape.cores).filter(|it| is_recent(self.last_fault[*it]));
        let absent = self.disconnected.into_iter().chain(self.paused);
        recently_failed.chain(self.wiped.iter().copied()).chain(absent).collect()
    }

    fn may_lose_disk(&mut self, core: usize) -> bool {
        let mut lost_cores = self.lost_cores();
        lost_cores.remove(&core);
        lost_cores.len() < self.shape.losses && self.disconnected.is_none()
    }

    fn reconnect(&mut self) {
        if let Some(core) = self.disconnected.take() {
            self.record_fault(core);
            self.net.reconnect_core(core);
        }
    }

    fn edit_table(&mut self) {
        self.revision += self.rng.random_range(1..4);
        let core = self.rng.random_range(0..self.shape.cores);
        let core = self.running_core(core);
        let table = if self.shape.with_pauses { route_table_with_service } else { route_table };
        let request = Request::AdoptRouteTable(Box::new(table(self.revision)));
        if let Some(Response::RouteTableAdopted { revision }) = self.net.call(core, request) {
            self.acknowledged = self.acknowledged.max(revision);
        }
    }

    /// Lets one upstream announce something, and then a delayed earlier announcement arrive.
    fn announce_or_depart(&mut self, upstream: usize) {
        let core = self.rng.random_range(0..self.shape.cores);
        let core = self.running_core(core);
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
        let other = self.running_core((core + 1) % self.shape.cores);
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

    /// Checks that no entry would send requests to a run whose departure was acknowledged.
    fn check_departures(&self) -> Result<(), String> {
        let now = self.net.now();
        for (index, state) in self.upstreams.iter().enumerate() {
            let must_be_unused =
                state.acknowledged.is_some_and(|at| now.saturating_sub(at) > SERVING_TIME);
            let used = self.net.entries().any(|view| {
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
