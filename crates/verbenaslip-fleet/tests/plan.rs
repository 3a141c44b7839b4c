//! How many upstreams run where, as zones are reclaimed.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_fleet::order::Outcome;
use verbenaslip_fleet::plan::{Counts, Demand, Planner, UpstreamKind, base_with_replacements};
use verbenaslip_fleet::route_table::Scaling;

const BASE: u32 = 12;
/// Between two announcements of an upstream.
const ANNOUNCE: Duration = Duration::from_millis(1_200);

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn scaling() -> Scaling {
    let prices = [("a", 0.85), ("b", 1.2), ("c", 1.0)];
    Scaling {
        min_upstreams: 1,
        max_upstreams: 8,
        boot_time: Duration::from_secs(4),
        reclaimable_price_ratio: Some(0.18),
        prices: prices.into_iter().map(|(zone, it)| (AvailabilityZone::from(zone), it)).collect(),
    }
}

fn kind(zone: &str, reclaimable: bool) -> UpstreamKind {
    UpstreamKind { zone: AvailabilityZone::from(zone), reclaimable }
}

fn counts(dear: [u32; 3], cheap: [u32; 3]) -> Counts {
    let zones = ["a", "b", "c"];
    let dear = zones.iter().zip(dear).map(|(zone, count)| (kind(zone, false), count));
    let cheap = zones.iter().zip(cheap).map(|(zone, count)| (kind(zone, true), count));
    dear.chain(cheap).filter(|(_, count)| *count > 0).collect()
}

/// Plans once and returns what is wanted, by kind.
fn plan(planner: &mut Planner, now: Duration, have: &Counts) -> BTreeMap<UpstreamKind, (u64, u32)> {
    plan_for(planner, now, Demand { base: BASE, busy_upstreams: None }, have)
}

fn plan_for(
    planner: &mut Planner,
    now: Duration,
    demand: Demand,
    have: &Counts,
) -> BTreeMap<UpstreamKind, (u64, u32)> {
    let mut id = 0;
    let orders = planner.plan(now, &scaling(), demand, have, || {
        id += 1;
        id
    });
    let kind = |zone, reclaimable| UpstreamKind { zone, reclaimable };
    orders.into_iter().map(|(id, it)| (kind(it.zone, it.reclaimable), (id, it.count))).collect()
}

/// Returns a planner that has known its upstreams for a while.
fn steady(have: &Counts) -> Planner {
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    plan(&mut planner, at(0), have);
    plan(&mut planner, at(2_000), have);
    planner
}

fn wants(
    orders: &BTreeMap<UpstreamKind, (u64, u32)>,
    zone: &str,
    reclaimable: bool,
) -> Option<u32> {
    orders.get(&kind(zone, reclaimable)).map(|(_, count)| *count)
}

#[test]
fn without_any_one_zone_there_are_as_many_as_at_the_beginning() {
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    let orders = plan(&mut planner, at(0), &counts([4, 4, 4], [0, 0, 0]));
    for zone in ["a", "b", "c"] {
        assert_eq!(wants(&orders, zone, true), Some(6));
        assert_eq!(wants(&orders, zone, false), None, "none goes before others have come");
    }
}

#[test]
fn on_demand_ones_go_as_reclaimable_ones_come_the_dearest_first() {
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    let have = counts([4, 4, 4], [2, 2, 2]);
    for millis in [0, 2_000] {
        let orders = plan(&mut planner, at(millis), &have);
        assert!(orders.keys().all(|kind| kind.reclaimable), "not before it lasts");
    }
    let orders = plan(&mut planner, at(5_500), &have);
    assert_eq!(wants(&orders, "b", false), Some(0));
    assert_eq!(wants(&orders, "c", false), Some(2));
    assert_eq!(wants(&orders, "a", false), None);
}

#[test]
fn an_order_is_not_given_again_while_it_is_carried_out() {
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    let have = counts([4, 4, 4], [0, 0, 0]);
    assert!(!plan(&mut planner, at(0), &have).is_empty());
    assert!(plan(&mut planner, at(1_000), &have).is_empty());
    assert!(!plan(&mut planner, at(8_000), &have).is_empty(), "it has come to nothing");
}

#[test]
fn a_zone_that_has_none_is_made_up_for_elsewhere() {
    // Symptom: too few upstreams for some seconds after a reclaim. Sequence: one zone loses all its
    // reclaimable upstreams and has no others. Cause: the other zones kept as they were.
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    let full = counts([0, 0, 0], [6, 6, 6]);
    assert!(plan(&mut planner, at(0), &full).is_empty());
    let lost = counts([0, 0, 0], [6, 6, 0]);
    let orders = plan(&mut planner, at(1_000), &lost);
    let (id, count) = orders[&kind("c", true)];
    assert_eq!(count, 6);
    assert!(planner.handle_outcome(at(1_100), id, Outcome::Refused));
    let orders = plan(&mut planner, at(1_200), &lost);
    assert_eq!(wants(&orders, "a", true), Some(8));
    assert_eq!(wants(&orders, "b", true), Some(8));
    let orders = plan(&mut planner, at(3_000), &lost);
    assert!(wants(&orders, "c", true).is_some(), "the zone is asked again");
}

#[test]
fn a_lost_zone_is_made_up_for_before_the_next_one_goes() {
    // Symptom: first events take seconds. Sequence: the zones are reclaimed one after the other
    // within seconds, and no reclaimable upstreams are to be had anywhere. Cause: on-demand ones
    // ordered only when too few were left.
    let mut planner = steady(&counts([0, 0, 0], [6, 6, 6]));
    let orders = plan(&mut planner, at(3_000), &counts([0, 0, 0], [6, 6, 0]));
    assert_eq!(wants(&orders, "a", false), Some(2), "as many as fit beside the others");
    assert_eq!(wants(&orders, "c", false), Some(1));
}

#[test]
fn on_demand_ones_that_start_are_neither_stopped_nor_ordered_twice() {
    // Symptom: first events take seconds for twice as long as an upstream takes to start. Sequence: a zone
    // is reclaimed, on-demand upstreams are ordered; while they start, a reclaimable one announces
    // itself, and another zone goes. Cause: each plan counted those that serve, and ordered a zone's
    // count from them, without those that it had ordered a moment before.
    let mut planner = steady(&counts([0, 0, 0], [6, 6, 6]));
    let lost = counts([0, 0, 0], [6, 6, 0]);
    let orders = plan(&mut planner, at(3_000), &lost);
    assert_eq!(wants(&orders, "a", false), Some(2));
    assert_eq!(wants(&orders, "c", false), Some(1));
    let orders = plan(&mut planner, at(4_000), &counts([0, 0, 0], [6, 6, 1]));
    assert!(orders.keys().all(|kind| kind.reclaimable), "{orders:?}");
    let orders = plan(&mut planner, at(4_200), &counts([0, 0, 0], [6, 0, 0]));
    assert_eq!(wants(&orders, "a", false), None, "there is no room for more");
    assert_eq!(
        wants(&orders, "c", false),
        Some(7),
        "one ordered before, and six for the second zone"
    );
}

#[test]
fn two_lost_zones_bring_on_demand_ones_back_the_cheapest_first() {
    let mut planner = steady(&counts([0, 0, 0], [6, 6, 6]));
    let lost = counts([0, 0, 0], [0, 6, 0]);
    let orders = plan(&mut planner, at(3_000), &lost);
    assert_eq!(wants(&orders, "a", false), Some(8));
    assert_eq!(wants(&orders, "c", false), Some(1));
}

#[test]
fn a_leader_that_has_not_heard_of_all_upstreams_stops_none() {
    // Symptom: twenty healthy upstreams are stopped at once. Sequence: all cores lose power, the new
    // leader hears of the upstreams one after the other and orders some more than it knows of, which
    // is fewer than there are. Cause: a count ordered from an incomplete list.
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    for (millis, known) in [(0, 1), (300, 3), (700, 6), (1_200, 10), (1_800, 12)] {
        let orders = plan(&mut planner, at(millis), &counts([known, 0, 0], [0, 0, 0]));
        assert!(orders.keys().all(|kind| kind.reclaimable), "at {millis}");
    }
}

#[test]
fn on_demand_ones_follow_what_callers_ask_for() {
    // Symptom: upstreams are the largest price of a quiet day. Sequence: for half a minute there are no
    // reclaimable ones; callers ask for little. Cause: as many on-demand ones as the fleet began with,
    // whatever is asked for.
    let demand = |busy| Demand { base: BASE, busy_upstreams: Some(busy) };
    let have = counts([4, 4, 4], [0, 0, 0]);
    let settle = |busy, have: &Counts| {
        let mut planner = steady(have);
        plan_for(&mut planner, at(3_000), demand(busy), have);
        plan_for(&mut planner, at(4_500), demand(busy), have)
    };
    let on_demand = |busy, have: &Counts| {
        let orders = settle(busy, have);
        let count = |zone| {
            let there = have.get(&kind(zone, false)).copied().unwrap_or(0);
            wants(&orders, zone, false).unwrap_or(there)
        };
        ["a", "b", "c"].map(count).iter().sum::<u32>()
    };
    assert_eq!(on_demand(6.0, &have), 12, "the usual load needs all");
    assert_eq!(on_demand(2.9, &have), 6, "half of it half of them");
    assert_eq!(on_demand(0.1, &have), 5, "some stay for those who come back");
    assert_eq!(on_demand(30.0, &have), 12, "never more than the base");
    let few = counts([2, 2, 2], [0, 0, 0]);
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    for millis in [0, 2_000] {
        let orders = plan_for(&mut planner, at(millis), demand(2.9), &few);
        assert!(orders.keys().all(|kind| kind.reclaimable), "six are enough");
    }
    let orders = plan_for(&mut planner, at(3_000), demand(5.0), &few);
    assert_eq!(
        wants(&orders, "a", false),
        Some(6),
        "a rise brings four more, where they cost least"
    );
    // While a zone of reclaimable ones may still be lost, its loss is provided for as before.
    let exposed = counts([5, 0, 0], [0, 4, 0]);
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    plan_for(&mut planner, at(0), demand(1.0), &exposed);
    let orders = plan_for(&mut planner, at(2_000), demand(1.0), &exposed);
    assert_eq!(wants(&orders, "a", false), Some(8));
    assert_eq!(wants(&orders, "c", false), Some(1));
}

#[test]
fn thousands_of_upstreams_are_exchanged_a_few_hundred_at_a_time() {
    // Symptom: a fleet of 300 entries serves three requests in ten, and no edit is taken. Sequence: a leader
    // orders 3,000 reclaimable upstreams; four seconds later all of them announce themselves at once, and as
    // many on-demand ones are given up at once. Cause: a plan that changes a whole fleet in one order.
    let scaling = Scaling { max_upstreams: 4_000, ..scaling() };
    let mut have = counts([1_000; 3], [0; 3]);
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    planner.set_instances(300);
    let mut id = 0;
    let mut changed = Vec::new();
    for tenth in 0..600 {
        let now = at(tenth * 100);
        // A load that needs all of them.
        let demand = Demand { base: 3_000, busy_upstreams: Some(600.0) };
        let orders = planner.plan(now, &scaling, demand, &have, || {
            id += 1;
            id
        });
        let before: u32 = orders.len().try_into().expect("few");
        let mut moved = 0;
        for (id, order) in orders {
            planner.handle_outcome(now, id, Outcome::Done);
            let there = have.entry(kind(order.zone.as_str(), order.reclaimable)).or_default();
            moved += there.abs_diff(order.count);
            *there = order.count;
        }
        changed.push((before, moved));
    }
    let most = changed.windows(10).map(|second| second.iter().map(|it| it.1).sum::<u32>()).max();
    assert!(most <= Some(400), "{most:?} upstreams change in a second");
    let orders: u32 = changed.iter().map(|it| it.0).sum();
    assert!(orders <= 150, "{orders} orders");
    let reclaimable: u32 = have.iter().filter(|(kind, _)| kind.reclaimable).map(|it| it.1).sum();
    assert_eq!(reclaimable, 4_500, "all of them in the end");
}

/// Plans at a time, and has the cloud refuse every reclaimable one that is ordered.
fn plan_scarce(
    planner: &mut Planner,
    now: Duration,
    demand: Demand,
    have: &Counts,
) -> BTreeMap<UpstreamKind, (u64, u32)> {
    let orders = plan_for(planner, now, demand, have);
    let refused = orders.iter().filter(|(kind, _)| kind.reclaimable);
    refused.for_each(|(_, (id, _))| {
        planner.handle_outcome(now, *id, Outcome::Refused);
    });
    orders
}

#[test]
fn while_reclaimable_ones_are_refused_on_demand_ones_carry_a_low_load_alone() {
    // Guards against two zones that go within a second after a first one, when callers ask for little.
    let planned = |busy| {
        let demand = Demand { base: BASE, busy_upstreams: Some(busy) };
        let mut planner = steady(&counts([0, 0, 0], [6, 6, 6]));
        let lost = counts([0, 0, 0], [6, 6, 0]);
        let first = plan_scarce(&mut planner, at(3_000), demand, &lost);
        let again = plan_for(&mut planner, at(3_100), demand, &lost);
        let on_demand = |orders: BTreeMap<UpstreamKind, (u64, u32)>| {
            orders.into_iter().filter(|it| !it.0.reclaimable).map(|(kind, it)| (kind, it.1))
        };
        let ordered: BTreeMap<UpstreamKind, u32> =
            on_demand(first).chain(on_demand(again)).collect();
        ordered.values().sum::<u32>()
    };
    assert_eq!(planned(2.9), 6, "six are enough for this load");
    assert_eq!(
        planned(0.1),
        3,
        "an idle fleet changes no more of its upstreams than one zone may take"
    );
    assert_eq!(planned(6.0), 3, "for the usual load as many as one more zone may take");
}

#[test]
fn on_demand_ones_that_start_are_not_given_up_for_a_dip_in_the_load() {
    // Guards against running upstreams given up, and starting ones stopped, while none can replace them.
    let demand = |busy| Demand { base: BASE, busy_upstreams: Some(busy) };
    let mut planner = steady(&counts([2, 0, 0], [6, 6, 6]));
    let first = plan_scarce(&mut planner, at(3_000), demand(5.0), &counts([2, 0, 0], [0, 0, 6]));
    let none = counts([2, 0, 0], [0, 0, 0]);
    let mut ordered: BTreeMap<UpstreamKind, u32> =
        first.into_iter().map(|(kind, (_, count))| (kind, count)).collect();
    for tenth in 0..50 {
        let busy = if (10..30).contains(&tenth) { 2.5 } else { 5.0 };
        let orders = plan_scarce(&mut planner, at(3_100 + tenth * 100), demand(busy), &none);
        for (kind, (_, count)) in orders.into_iter().filter(|it| !it.0.reclaimable) {
            let before = ordered.insert(kind.clone(), count).unwrap_or(0);
            assert!(count >= before, "{kind:?} from {before} to {count} after {tenth}00 ms");
        }
    }
}

#[test]
fn a_zone_is_asked_for_reclaimable_ones_as_soon_as_it_has_room() {
    // Guards against on-demand ones kept for as long as an order is waited for that a full zone can't carry out.
    let mut planner = steady(&counts([8, 0, 0], [0, 6, 6]));
    let orders = plan(&mut planner, at(3_000), &counts([8, 0, 0], [0, 6, 6]));
    assert_eq!(wants(&orders, "a", true), None, "it was ordered at the start");
    let orders = plan(&mut planner, at(3_200), &counts([3, 0, 0], [0, 6, 6]));
    assert_eq!(wants(&orders, "a", true), Some(6));
    let orders = plan(&mut planner, at(3_300), &counts([3, 0, 0], [0, 6, 6]));
    assert_eq!(wants(&orders, "a", true), None, "and not again without more room");
}

#[test]
fn a_cloud_that_is_busy_is_not_taken_for_one_without_reclaimable_upstreams() {
    // Guards against on-demand ones ordered for the whole load because too many calls were made in a second.
    let demand = Demand { base: BASE, busy_upstreams: Some(2.0) };
    let have = counts([0, 0, 0], [6, 6, 5]);
    let mut planner = steady(&counts([0, 0, 0], [6, 6, 6]));
    let orders = plan_for(&mut planner, at(3_000), demand, &have);
    let (id, _) = orders[&kind("c", true)];
    planner.handle_outcome(at(3_050), id, Outcome::Busy);
    let orders = plan_for(&mut planner, at(3_100), demand, &have);
    assert!(orders.is_empty(), "{orders:?}");
    let orders = plan_for(&mut planner, at(5_000), demand, &have);
    assert_eq!(wants(&orders, "c", true), Some(6), "it is asked again");
    assert_eq!(orders.len(), 1, "{orders:?}");
}

#[test]
fn upstreams_that_limit_their_requests_are_made_up_for_within_bounds() {
    // Guards against a plan that counts an upstream in need as a whole one, and against a doubled fleet.
    let have = counts([0, 0, 0], [6, 6, 6]);
    let mut planner = steady(&have);
    let planned = |planner: &mut Planner, limited| {
        let demand = Demand { base: base_with_replacements(BASE, limited), busy_upstreams: None };
        plan_for(planner, at(10_000), demand, &have)
    };
    assert!(planned(&mut planner, 0).is_empty());
    let orders = planned(&mut planner, 2);
    assert_eq!(["a", "b", "c"].map(|zone| wants(&orders, zone, true)), [Some(7); 3]);
    assert_eq!(base_with_replacements(BASE, 12), 15);
}

/// Returns a large fleet's scaling: its upstreams take as long to start as those of a small one.
fn large() -> Scaling {
    Scaling { min_upstreams: 18, max_upstreams: 1_179, ..scaling() }
}

/// Lets a planner order for a time, with upstreams that come and go as ordered.
fn order(planner: &mut Planner, have: &mut Counts, demand: Demand, from: u64, until: u64) -> u32 {
    let mut changed = 0;
    for millis in (from..until).step_by(100) {
        for (_, order) in planner.plan(at(millis), &large(), demand, have, || 1) {
            let kind = UpstreamKind { zone: order.zone, reclaimable: order.reclaimable };
            let before = have.insert(kind, order.count).unwrap_or(0);
            changed += before.abs_diff(order.count);
        }
    }
    changed
}

fn sum(have: &Counts) -> u32 {
    have.values().sum()
}

#[test]
fn a_large_fleet_that_nobody_asks_for_anything_is_halved_from_time_to_time() {
    // Guards against thousands of upstreams that are exchanged before anybody has asked for anything, and against as
    // many that are paid for while nobody does.
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    let mut have = counts([970, 970, 969], [0, 0, 0]);
    let idle = Demand { base: 2_909, busy_upstreams: None };
    assert_eq!(order(&mut planner, &mut have, idle, 0, 9_000), 0, "callers may be about to come");
    order(&mut planner, &mut have, idle, 9_000, 17_000);
    let half = sum(&have);
    assert!((1_454..=1_900).contains(&half), "{half} of 2,909 after two boots");
    order(&mut planner, &mut have, idle, 17_000, 120_000);
    assert!(sum(&have) <= 80, "{have:?} in the end");
}

#[test]
fn a_large_fleet_follows_its_load_down_and_up() {
    // Guards against three thousand upstreams that are paid for where two hundred serve.
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    let mut have = counts([970, 970, 969], [0, 0, 0]);
    let demand = |busy| Demand { base: 2_909, busy_upstreams: Some(busy) };
    order(&mut planner, &mut have, demand(60.0), 0, 20_000);
    let quiet = sum(&have);
    assert!((120..=600).contains(&quiet), "{quiet} for a load of 60");
    let dip = order(&mut planner, &mut have, demand(20.0), 20_000, 27_000);
    assert_eq!(dip, 0, "none are given up for a dip shorter than two boots");
    order(&mut planner, &mut have, demand(180.0), 27_000, 30_000);
    let burst = sum(&have);
    assert!(burst >= 360, "{burst} for a load of 180");
    let back = order(&mut planner, &mut have, demand(180.0), 30_000, 60_000);
    assert!(back <= sum(&have), "{back} changes while the load stays");
}

#[test]
fn a_new_leader_plans_with_the_size_of_the_one_before_until_it_knows_the_load() {
    // Guards against a new leader that orders as many upstreams as the fleet began with.
    let mut planner = Planner::new("pool".into(), ANNOUNCE, Some(372));
    let mut have = counts([0, 0, 0], [186, 186, 186]);
    let unknown = Demand { base: 2_909, busy_upstreams: None };
    assert_eq!(order(&mut planner, &mut have, unknown, 0, 5_000), 0);
    let busy = Demand { base: 2_909, busy_upstreams: Some(60.0) };
    assert_eq!(order(&mut planner, &mut have, busy, 5_000, 10_000), 0);
}

#[test]
fn a_small_fleet_is_made_cheaper_before_its_load_is_known() {
    // Guards against on-demand upstreams that are paid for until the first request has come.
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    let orders = plan(&mut planner, at(0), &counts([4, 4, 4], [0, 0, 0]));
    assert_eq!(wants(&orders, "a", true), Some(6));
}

#[test]
fn upstreams_in_a_zone_without_a_price_are_given_up_as_well() {
    // Guards against a fifth of a fleet that is paid for all day, since nobody has said what it costs.
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    let mut have = counts([700, 700, 700], [0, 0, 0]);
    have.insert(kind("d", false), 800);
    let demand = Demand { base: 2_900, busy_upstreams: Some(60.0) };
    order(&mut planner, &mut have, demand, 0, 20_000);
    assert_eq!(have[&kind("d", false)], 0, "{have:?}");
}

#[test]
fn a_load_that_goes_up_and_down_a_little_costs_no_orders() {
    // Guards against upstreams that are ordered and given up with each wave of callers.
    let mut planner = Planner::new("pool".into(), ANNOUNCE, None);
    let mut have = counts([970, 970, 969], [0, 0, 0]);
    let demand = |busy| Demand { base: 2_909, busy_upstreams: Some(busy) };
    order(&mut planner, &mut have, demand(60.0), 0, 30_000);
    let mut changed = 0;
    for second in 30..60 {
        let busy = if second % 4 < 2 { 64.0 } else { 57.0 };
        changed +=
            order(&mut planner, &mut have, demand(busy), second * 1_000, (second + 1) * 1_000);
    }
    assert!(changed <= 60, "{changed} changes for a load between 57 and 64");
}
