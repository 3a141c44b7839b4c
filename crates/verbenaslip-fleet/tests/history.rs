//! What instances know of upstreams once leaders have followed each other while upstreams come and go.

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
/// More than a dozen, so that updates go by way of other cores.
const ENTRIES: usize = 16;
const STEPS: usize = 14;
/// Seeds that CI plays; others are played by hand: `HISTORY_SEEDS=0..400`.
const SEEDS: Range<u64> = 0..12;

/// Plays upstreams that announce themselves, and go with or without a word.
struct World {
    net: Network,
    random: Pcg64,
    /// The last announcement of each upstream that is there.
    there: BTreeMap<usize, u64>,
    next: usize,
}

impl World {
    fn announce(&mut self, upstream: usize, draining: bool) {
        let core = self.random.random_range(0..CORES);
        self.announce_at(upstream, draining, core);
    }

    fn announce_at(&mut self, upstream: usize, draining: bool, core: usize) {
        let sequence = self.there.get(&upstream).map_or(1, |it| it + 1);
        self.there.insert(upstream, sequence);
        let [high, low] = u16::try_from(upstream).expect("few").to_be_bytes();
        let named = announcement(&name(upstream), sequence, draining);
        let announced = Announcement { address: ([10, 9, high, low], 80).into(), ..named };
        self.net.start_call(core, Request::Announce(Box::new(announced)));
    }

    fn announce_all(&mut self) {
        let there: Vec<usize> = self.there.keys().copied().collect();
        there.into_iter().for_each(|upstream| self.announce(upstream, false));
    }

    /// Has some upstreams come and some go.
    fn change(&mut self) {
        for _ in 0..self.random.random_range(0..4) {
            self.next += 1;
            self.announce(self.next, false);
        }
        let there: Vec<usize> = self.there.keys().copied().collect();
        for upstream in there {
            match self.random.random_range(0..12) {
                0 => {
                    self.there.remove(&upstream);
                    let withdrawn = net::withdraw(&name(upstream));
                    let core = self.random.random_range(0..CORES);
                    self.net.start_call(core, withdrawn);
                }
                // It ends without a word.
                1 => drop(self.there.remove(&upstream)),
                _ => {}
            }
        }
    }

    /// Has upstreams come of which entries hear, and no core but the leader does.
    fn change_past_cores(&mut self, leader: usize) {
        self.net.drop_updates(true);
        for _ in 0..3 {
            self.next += 1;
            self.announce_at(self.next, false, leader);
        }
        self.net.run(Duration::from_millis(60));
        self.net.drop_updates(false);
    }

    /// Has the leader, another core or an entry be lost for a while.
    fn harm(&mut self) {
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
            // Some entries lack the last changes of a leader that is lost.
            6 | 7 => {
                entries.iter().for_each(|entry| self.net.disconnect_entry(*entry));
                self.run(SECOND);
                self.net.restart(leader);
                self.run(SECOND);
                entries.iter().for_each(|entry| self.net.reconnect_entry(*entry));
            }
            // So do all cores but that one, which entries hear.
            _ => {
                self.change_past_cores(leader);
                self.net.stop(leader);
                self.run(SECOND * 2);
                self.net.restart(leader);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.net.now() + time;
        while self.net.now() < until {
            self.change();
            self.announce_all();
            self.net.run(Duration::from_millis(400));
        }
    }
}

fn name(upstream: usize) -> String {
    format!("u{upstream}")
}

#[test]
fn all_entries_know_the_same_upstreams_whoever_has_led() {
    // Guards against an upstream that some entries keep, or never learn of, as leaders tell what has changed alone.
    let seeds = std::env::var("HISTORY_SEEDS").ok();
    let bounds = seeds.as_deref().and_then(|text| text.split_once(".."));
    let parse = |text: &str| text.parse::<u64>().expect("a number");
    for seed in bounds.map_or(SEEDS, |(from, to)| parse(from)..parse(to)) {
        let mut world = World {
            net: Network::with_voters(CORES, ENTRIES, CORES),
            random: Pcg64::seed_from_u64(seed),
            there: BTreeMap::new(),
            next: 0,
        };
        world.net.run(SECOND * 4);
        world.net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(1))));
        for _ in 0..STEPS {
            world.run(SECOND);
            world.harm();
        }
        // What has ended without a word is lost after a minute of silence.
        for _ in 0..56 {
            world.announce_all();
            world.net.run(Duration::from_millis(1_200));
        }
        let there: BTreeSet<String> = world.there.keys().map(|it| name(*it)).collect();
        for (entry, view) in world.net.entries().enumerate() {
            let ready = view.upstreams.values().filter(|it| it.status == Status::Ready);
            let ready: BTreeSet<String> =
                ready.map(|it| it.announcement.run.upstream.as_str().to_owned()).collect();
            assert_eq!(ready, there, "seed {seed}, entry {entry}: those that are ready");
            let known = view.upstreams.len();
            assert_eq!(known, there.len(), "seed {seed}, entry {entry}: all that are known");
        }
    }
}
