//! What entries know of the versions of services after losses of cores and entries.

mod net;

use std::sync::Arc;
use std::time::Duration;

use net::{Network, announcement, route_table, run, withdraw};
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::origin::Build;
use verbenaslip_fleet::registry::{Announcement, Status};
use verbenaslip_fleet::{View, clock};

const SECOND: Duration = Duration::from_secs(1);
const CORES: usize = 3;

/// A fleet of three cores and two entries whose service has had one upstream, of version `v1`, for
/// longer than any stream lasts.
struct Fleet {
    net: Network,
    sequence: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut net = Network::new(CORES, 2);
        net.run(SECOND * 4);
        net.call(0, Request::AdoptRouteTable(Box::new(route_table(4))));
        let mut fleet = Self { net, sequence: 0 };
        for _ in 0..70 {
            fleet.announce("old");
            fleet.net.run(SECOND);
        }
        fleet
    }

    /// Announces the upstream `old` of version `v1`, or `new` of version `v2`, at each core.
    fn announce(&mut self, name: &str) {
        self.sequence += 1;
        let is_old = name == "old";
        let announcement = Announcement {
            version: if is_old { "v1" } else { "v2" }.into(),
            address: ([10, 9, 0, if is_old { 1 } else { 2 }], 80).into(),
            ..announcement(name, self.sequence, false)
        };
        for core in 0..CORES {
            self.net.start_call(core, Request::Announce(Box::new(announcement.clone())));
        }
    }

    fn lose_power(&mut self) {
        (0..CORES).for_each(|core| self.net.restart(core));
        (0..2).for_each(|entry| self.net.restart_entry(entry));
    }

    /// Returns the version that an entry takes for the only one in the last ten seconds, by the
    /// history and by its list, if it hears a leader.
    fn only_version(&self, entry: usize) -> Option<Arc<str>> {
        let (view, now): (&View, _) = (self.net.entry(entry), self.net.now());
        let heard_at = view.leader_heard_at?;
        if now.saturating_sub(heard_at) > SECOND {
            return None;
        }
        let now_ms = clock::unix_ms(now, view.time_offset_ms);
        let version = view.version_history.only_version(now_ms, "pool", now_ms - 10_000)?;
        let mut present = view.upstreams.values().map(|it| &it.announcement.version);
        present.all(|it| it == version).then(|| version.clone())
    }

    /// Runs for four seconds, with an announcement of these upstreams in each; returns after what time
    /// an entry took this version for the only one.
    fn time_to_claim(&mut self, version: &str, announced: &[&str]) -> Option<Duration> {
        let since = self.net.now();
        for _ in 0..4 {
            for _ in 0..100 {
                self.net.run(SECOND / 100);
                if (0..2).any(|it| self.only_version(it).as_deref() == Some(version)) {
                    return Some(self.net.now() - since);
                }
            }
            announced.iter().for_each(|name| self.announce(name));
        }
        None
    }

    fn run_until_led(&mut self) {
        while self.net.leaders().is_empty() {
            self.net.run(SECOND / 200);
        }
    }
}

// Guards against a history read by the clock of one machine, which alone leads just after a loss of all.
#[test]
fn a_clock_that_jumped_ahead_hides_no_version_that_has_just_left() {
    for jumped in 0..CORES {
        let mut fleet = Fleet::new();
        fleet.announce("new");
        fleet.net.run(SECOND);
        assert_eq!(fleet.net.call(0, withdraw("old")), Some(Response::Acknowledged));
        fleet.net.run(SECOND);
        assert_eq!(fleet.only_version(0), None);
        fleet.net.set_clock_skew(jumped, 15_000);
        fleet.lose_power();
        let claimed = fleet.time_to_claim("v2", &["new"]);
        assert_eq!(claimed, None, "clock of core {jumped}: v2 is taken for the only version");
    }
}

// Guards against a time that the log takes from one machine, which alone leads just after a loss of all.
#[test]
fn a_version_that_leaves_by_a_clock_that_jumped_back_left_no_earlier() {
    for jumped in 0..CORES {
        let mut fleet = Fleet::new();
        fleet.announce("new");
        fleet.net.run(SECOND);
        fleet.net.set_clock_skew(jumped, -15_000);
        fleet.lose_power();
        fleet.run_until_led();
        let leader = fleet.net.leaders()[0];
        assert_eq!(fleet.net.call(leader, withdraw("old")), Some(Response::Acknowledged));
        let claimed = fleet.time_to_claim("v2", &["new"]);
        assert_eq!(claimed, None, "clock of core {jumped}: v2 is taken for the only version");
    }
}

// Guards against a version that serves before the log has it and is forgotten in a loss of all.
#[test]
fn a_version_that_has_served_is_known_after_a_loss_of_all() {
    let new = run("new", 0).upstream;
    for stall in [Duration::ZERO, SECOND / 2] {
        let mut fleet = Fleet::new();
        if stall > Duration::ZERO {
            (0..CORES).for_each(|core| fleet.net.stall_disk(core));
        }
        fleet.announce("new");
        let until = fleet.net.now() + stall.max(SECOND / 2);
        let serves =
            |fleet: &Fleet| (0..2).any(|entry| fleet.net.entry(entry).upstreams.contains_key(&new));
        while !serves(&fleet) && fleet.net.now() < until {
            fleet.net.run(SECOND / 200);
        }
        let has_served = serves(&fleet);
        fleet.net.run(if has_served { stall } else { Duration::ZERO });
        (0..CORES).for_each(|core| fleet.net.resume_disk(core));
        fleet.lose_power();
        fleet.run_until_led();
        let claimed = fleet.time_to_claim("v1", &["old", "new"]);
        assert!(
            !has_served || claimed.is_none(),
            "disks stalled for {stall:?}: v1 is taken for the only version after {claimed:?}"
        );
    }
}

// Guards against taking a version that the cores no longer hear for one that no entry sends to.
#[test]
fn a_version_that_a_cut_off_entry_still_uses_has_not_left() {
    let mut fleet = Fleet::new();
    fleet.announce("new");
    fleet.net.run(SECOND);
    fleet.net.disconnect_entry(0);
    for _ in 0..80 {
        fleet.announce("new");
        fleet.net.run(SECOND);
        let old = fleet.net.entry(0).upstreams.get(&run("old", 0).upstream);
        assert_eq!(old.map(|it| it.status), Some(Status::Ready), "the cut-off entry uses v1");
        assert_ne!(fleet.only_version(1).as_deref(), Some("v2"), "v1 serves at the other entry");
    }
}

// Guards against a history that is committed while the lease lapses, and kept from entries after that.
#[test]
fn a_version_that_joined_during_a_lapse_of_the_lease_is_in_the_history() {
    for delay in (0..1_080).step_by(240) {
        let mut fleet = Fleet::new();
        let leader = fleet.net.leaders()[0];
        let followers = || (0..CORES).filter(|core| *core != leader);
        followers().for_each(|core| fleet.net.pause(core));
        fleet.net.run(Duration::from_millis(delay));
        fleet.announce("new");
        // Longer than a lease, and shorter than the time after which another core starts an election.
        fleet.net.run(Duration::from_millis(1_080 - delay));
        assert!(fleet.net.leaders().is_empty());
        followers().for_each(|core| fleet.net.resume(core));
        fleet.net.run(SECOND * 2);
        assert_eq!(fleet.net.leaders(), [leader]);
        for entry in 0..2 {
            let view = fleet.net.entry(entry);
            let is_known = view.version_history.version("pool", Build::of("pool", "v2")).is_some();
            assert!(is_known, "announced {delay} ms after the followers were paused");
        }
    }
}

// Guards against an entry that asks only some cores for a record, and takes the others for untold.
#[test]
fn cores_that_were_told_of_streams_are_asked_under_a_new_leader_too() {
    let mut net = Network::new(5, 2);
    net.run(SECOND * 4);
    net.call(0, Request::AdoptRouteTable(Box::new(route_table(4))));
    net.run(SECOND * 2);
    let told = net.entry(0).cores.clone();
    assert_eq!(told.len(), 5);
    let leader = net.leaders()[0];
    net.restart(leader);
    for _ in 0..600 {
        net.run(SECOND / 200);
        let asked = &net.entry(1).cores;
        let forgotten: Vec<_> = told.iter().filter(|core| !asked.contains(core)).collect();
        assert!(forgotten.is_empty(), "{forgotten:?} serve and are not asked");
    }
}
