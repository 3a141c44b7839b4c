//! Views of upstreams after several changes of the leader while upstreams come and go.

mod net;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

use net::{Network, announcement, route_table_with_service};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_fleet::frame::Request;
use verbenaslip_fleet::registry::{Announcement, Status};

const SECOND: Duration = Duration::from_secs(1);
const CORES: usize = 5;
/// More than 12, so that updates go through parent cores.
const ENTRIES: usize = 16;
const STEPS: usize = 14;
/// Seeds that CI runs; run others with `HISTORY_SEEDS=0..400`.
const SEEDS: Range<u64> = 0..12;

/// Simulates upstreams that announce themselves, and that depart or crash.
struct World {
    net: Network,
    random: Pcg64,
    /// Last announcement sequence of each running upstream.
    running: BTreeMap<usize, u64>,
    last_upstream: usize,
}

impl World {
    fn announce(&mut self, upstream: usize, draining: bool) {
        let core = self.random.random_range(0..CORES);
        self.announce_at(upstream, draining, core);
    }

    fn announce_at(&mut self, upstream: usize, draining: bool, core: usize) {
        let sequence = self.running.get(&upstream).map_or(1, |it| it + 1);
        self.running.insert(upstream, sequence);
        let [high, low] =
            u16::try_from(upstream).expect("upstream index fits in u16").to_be_bytes();
        let named = announcement(&name(upstream), sequence, draining);
        let moved = Announcement { address: ([10, 9, high, low], 80).into(), ..named };
        self.net.start_call(core, Request::Announce(Box::new(moved)));
    }

    fn announce_all(&mut self) {
        let running: Vec<usize> = self.running.keys().copied().collect();
        running.into_iter().for_each(|upstream| self.announce(upstream, false));
    }

    /// Starts some upstreams and ends others.
    fn change_upstreams(&mut self) {
        for _ in 0..self.random.random_range(0..4) {
            self.last_upstream += 1;
            self.announce(self.last_upstream, false);
        }
        let running: Vec<usize> = self.running.keys().copied().collect();
        for upstream in running {
            match self.random.random_range(0..12) {
                0 => {
                    self.running.remove(&upstream);
                    let withdrawal = net::withdraw(&name(upstream));
                    let core = self.random.random_range(0..CORES);
                    self.net.start_call(core, withdrawal);
                }
                // The upstream crashes without an announcement.
                1 => drop(self.running.remove(&upstream)),
                _ => {}
            }
        }
    }

    /// Adds upstreams that the leader and entries know, but no other core.
    fn add_upstreams_unknown_to_cores(&mut self, leader: usize) {
        self.net.drop_updates(true);
        for _ in 0..3 {
            self.last_upstream += 1;
            self.announce_at(self.last_upstream, false, leader);
        }
        self.net.run(Duration::from_millis(60));
        self.net.drop_updates(false);
    }

    /// Causes a temporary fault of the leader, another core or entries.
    fn cause_fault(&mut self) {
        let leaders = self.net.leaders();
        let leader = leaders.first().copied().unwrap_or(0);
        let core = self.random.random_range(0..CORES);
        let entries = [(); 4].map(|()| self.random.random_range(0..ENTRIES));
        match self.random.random_range(0..9) {
            0 => self.net.restart(leader),
            1 => {
                self.net.disconnect_core(leader);
                self.run(SECOND * 2);
                self.net.reconnect_core(leader);
            }
            2 => {
                self.net.pause(leader);
                self.run(SECOND * 2);
                self.net.resume(leader);
            }
            3 => self.net.restart(core),
            4 => {
                let entry = self.random.random_range(0..ENTRIES);
                self.net.disconnect_entry(entry);
                self.run(SECOND);
                self.net.reconnect_entry(entry);
            }
            5 => self.net.restart_entry(entries[0]),
            // Some entries lack the last changes of the lost leader.
            6 | 7 => {
                entries.iter().for_each(|entry| self.net.disconnect_entry(*entry));
                self.run(SECOND);
                self.net.restart(leader);
                self.run(SECOND);
                entries.iter().for_each(|entry| self.net.reconnect_entry(*entry));
            }
            // All cores except the lost leader lack its last changes, which entries have.
            _ => {
                self.add_upstreams_unknown_to_cores(leader);
                self.net.stop(leader);
                self.run(SECOND * 2);
                self.net.restart(leader);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.net.now() + time;
        while self.net.now() < end {
            self.change_upstreams();
            self.announce_all();
            self.net.run(Duration::from_millis(400));
        }
    }
}

fn name(upstream: usize) -> String {
    format!("u{upstream}")
}

#[test]
fn all_entries_know_the_same_upstreams_after_leader_changes() {
    // Guards against an upstream that some entries keep or never learn of, since leaders send only
    // changes.
    let seeds = std::env::var("HISTORY_SEEDS").ok();
    let bounds = seeds.as_deref().and_then(|text| text.split_once(".."));
    let parse = |text: &str| text.parse::<u64>().expect("a number");
    for seed in bounds.map_or(SEEDS, |(from, to)| parse(from)..parse(to)) {
        let mut world = World {
            net: Network::with_voters(CORES, ENTRIES, CORES),
            random: Pcg64::seed_from_u64(seed),
            running: BTreeMap::new(),
            last_upstream: 0,
        };
        world.net.run(SECOND * 4);
        world.net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(1))));
        for _ in 0..STEPS {
            world.run(SECOND);
            world.cause_fault();
        }
        // A crashed upstream counts as lost after a minute of silence.
        for _ in 0..56 {
            world.announce_all();
            world.net.run(Duration::from_millis(1_200));
        }
        let running: BTreeSet<String> = world.running.keys().map(|it| name(*it)).collect();
        for (entry, view) in world.net.entries().enumerate() {
            let ready = view.upstreams.values().filter(|it| it.status == Status::Ready);
            let ready: BTreeSet<String> =
                ready.map(|it| it.announcement.run.upstream.as_str().to_owned()).collect();
            assert_eq!(ready, running, "seed {seed}, entry {entry}: ready upstreams");
            let known = view.upstreams.len();
            assert_eq!(
                known,
                running.len(),
                "seed {seed}, entry {entry}: number of known upstreams"
            );
        }
    }
}
