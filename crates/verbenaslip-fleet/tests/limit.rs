//! Sharing of upstreams' rate limits between entries while instances are lost.

mod net;

use std::collections::BTreeSet;
use std::time::Duration;

use net::{Network, announcement, route_table_with_service, run, withdraw};
use verbenaslip_fleet::core::Event;
use verbenaslip_fleet::frame::{Request, Response};
use verbenaslip_fleet::limit::{Limit, TimeSlot};

const SECOND: Duration = Duration::from_secs(1);

const ENTRIES: usize = 12;

/// Starts five cores and one upstream that every entry knows.
fn fleet() -> Network {
    let mut net = Network::with_voters(5, ENTRIES, 5);
    net.run(SECOND * 5);
    net.call(0, Request::AdoptRouteTable(Box::new(route_table_with_service(4))));
    announce(&mut net, 1);
    net.run(SECOND);
    net
}

fn announce(net: &mut Network, sequence: u64) {
    let announcement = Box::new(announcement("u", sequence, false));
    let core = net.leaders()[0];
    assert_eq!(net.call(core, Request::Announce(announcement)), Some(Response::Acknowledged));
}

/// Returns the rate limit that each entry knows.
fn rates(net: &Network) -> Vec<Option<f64>> {
    net.entries().map(|view| view.limits.get(&run("u", 0)).and_then(|it| it.rate)).collect()
}

#[test]
fn an_observed_limit_reaches_all_entries_and_each_has_its_own_time_slot() {
    // Guards against a limit that only the entries with an answer of the upstream observe.
    let mut net = fleet();
    net.observe_limit(3, run("u", 0), Some(2.0));
    net.run(SECOND);
    assert_eq!(rates(&net), [Some(2.0); ENTRIES]);
    let count = u32::try_from(ENTRIES).expect("entry count fits in u32");
    let slots: Vec<TimeSlot> = net.entries().filter_map(|view| view.time_slot).collect();
    assert!(slots.iter().all(|slot| slot.count == count), "{slots:?}");
    let indexes: BTreeSet<u32> = slots.iter().map(|slot| slot.index).collect();
    assert_eq!(indexes, (0..count).collect::<BTreeSet<_>>());
    let is_limit_change = |(_, event): &(usize, Event)| matches!(event, Event::LimitChanged(_));
    assert_eq!(
        net.take_events().iter().filter(|it| is_limit_change(it)).count(),
        1,
        "the change must be emitted once"
    );
}

#[test]
fn a_limit_survives_the_loss_of_the_leader_and_its_end_reaches_all() {
    // Guards against entries that return to the full rate, or keep the low one forever, once the
    // leader is lost.
    let mut net = fleet();
    net.observe_limit(3, run("u", 0), Some(2.0));
    net.run(SECOND);
    let leader = net.leaders()[0];
    net.stop(leader);
    net.run(SECOND * 5);
    assert_eq!(rates(&net), [Some(2.0); ENTRIES]);
    announce(&mut net, 2);
    net.observe_limit(7, run("u", 0), None);
    net.run(SECOND);
    assert_eq!(rates(&net), [None; ENTRIES]);
    // The entry that had observed the limit has learned of its end.
    assert_eq!(net.entry(3).limits.get(&run("u", 0)).map(|it| it.rate), Some(None));
}

#[test]
fn entries_report_limits_again_to_restarted_cores() {
    // Guards against a limit that is forgotten when all cores restart.
    let mut net = fleet();
    net.observe_limit(3, run("u", 0), Some(2.0));
    net.run(SECOND);
    (0..5).for_each(|core| net.restart(core));
    net.run(SECOND * 5);
    announce(&mut net, 2);
    net.run(SECOND);
    net.restart_entry(5);
    net.run(SECOND);
    assert_eq!(rates(&net), [Some(2.0); ENTRIES]);
}

#[test]
fn similar_rates_are_not_published_and_ended_runs_are_forgotten() {
    // Guards against an update to all entries after each answer, and against limits that
    // accumulate.
    let mut net = fleet();
    net.observe_limit(3, run("u", 0), Some(2.0));
    net.run(SECOND);
    let change = net.entry(0).version.change;
    for step in 0..8 {
        let rate = if step % 2 == 0 { 2.1 } else { 1.95 };
        net.observe_limit(step, run("u", 0), Some(rate));
        announce(&mut net, 2 + step as u64);
        net.run(SECOND / 2);
    }
    assert_eq!(net.entry(0).version.change, change);
    net.observe_limit(4, run("u", 0), Some(1.0));
    net.run(SECOND);
    assert_eq!(rates(&net), [Some(1.0); ENTRIES]);
    let core = net.leaders()[0];
    net.call(core, withdraw("u"));
    net.run(SECOND * 130);
    assert!(net.entries().all(|view| view.limits.is_empty()));
}

#[test]
fn the_newest_limit_wins_in_any_order() {
    // Guards against a delayed report that restores a limit which has ended.
    let limit = |rate, reported_at_ms| Limit { rate, reported_at_ms };
    let ended = limit(None, 20);
    assert!(limit(Some(1.0), 10).supersedes(None));
    assert!(!limit(Some(1.0), 10).supersedes(Some(&ended)));
    assert!(!ended.supersedes(None), "an unknown limit can't end");
    assert!(limit(Some(1.0), 30).supersedes(Some(&ended)));
    assert!(!limit(Some(1.05), 30).supersedes(Some(&limit(Some(1.0), 20))));
}

#[test]
fn an_entry_that_asks_for_more_time_slots_gets_its_own() {
    // Guards against slots that two entries hold, and against slots of entries that no longer ask for them.
    let mut net = fleet();
    let owners = |net: &Network| {
        let slots: Vec<TimeSlot> = net.entries().filter_map(|view| view.time_slot).collect();
        let owned = |slot: &TimeSlot| slot.index..slot.index + slot.width;
        let owned: BTreeSet<u32> = slots.iter().flat_map(owned).collect();
        let widths: Vec<u32> = slots.iter().map(|slot| slot.width).collect();
        assert!(slots.iter().all(|slot| slot.count == widths.iter().sum()), "{slots:?}");
        assert_eq!(owned.len(), widths.iter().sum::<u32>() as usize, "{slots:?}");
        widths
    };
    assert_eq!(owners(&net), [1; ENTRIES]);
    net.want_slots(3, 8);
    net.run(SECOND * 2);
    let mut wanted = [1; ENTRIES];
    wanted[3] = 8;
    assert_eq!(owners(&net), wanted);
    let leader = net.leaders()[0];
    net.stop(leader);
    net.run(SECOND * 5);
    assert_eq!(owners(&net), wanted);
    net.want_slots(3, 1);
    net.run(SECOND * 2);
    assert_eq!(owners(&net), [1; ENTRIES]);
}
