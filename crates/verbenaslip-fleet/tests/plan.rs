//! The capacity plan while availability zones are reclaimed.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_fleet::order::Outcome;
use verbenaslip_fleet::plan::{Counts, Demand, Planner, UpstreamKind, base_with_replacements};
use verbenaslip_fleet::route_table::Scaling;

const BASE: u32 = 12;
/// Time between two announcements of an upstream.
const ANNOUNCEMENT_PERIOD: Duration = Duration::from_millis(1_200);

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

fn counts(on_demand: [u32; 3], reclaimable: [u32; 3]) -> Counts {
    let zones = ["a", "b", "c"];
    let on_demand = zones.iter().zip(on_demand).map(|(zone, count)| (kind(zone, false), count));
    let reclaimable = zones.iter().zip(reclaimable).map(|(zone, count)| (kind(zone, true), count));
    on_demand.chain(reclaimable).filter(|(_, count)| *count > 0).collect()
}

/// Plans once for an unknown load, and returns the ID and the number of each order by kind.
fn plan(
    planner: &mut Planner,
    now: Duration,
    current: &Counts,
) -> BTreeMap<UpstreamKind, (u64, u32)> {
    plan_for(planner, now, Demand { base: BASE, busy_upstreams: None }, current)
}

fn plan_for(
    planner: &mut Planner,
    now: Duration,
    demand: Demand,
    current: &Counts,
) -> BTreeMap<UpstreamKind, (u64, u32)> {
    let mut id = 0;
    let orders = planner.plan(now, &scaling(), demand, current, || {
        id += 1;
        id
    });
    let kind = |zone, reclaimable| UpstreamKind { zone, reclaimable };
    orders.into_iter().map(|(id, it)| (kind(it.zone, it.reclaimable), (id, it.count))).collect()
}

/// Returns a planner that has known its upstreams for a while.
fn steady(current: &Counts) -> Planner {
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    plan(&mut planner, at(0), current);
    plan(&mut planner, at(2_000), current);
    planner
}

fn wanted(
    orders: &BTreeMap<UpstreamKind, (u64, u32)>,
    zone: &str,
    reclaimable: bool,
) -> Option<u32> {
    orders.get(&kind(zone, reclaimable)).map(|(_, count)| *count)
}

#[test]
fn the_initial_number_remains_without_any_one_zone() {
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    let orders = plan(&mut planner, at(0), &counts([4, 4, 4], [0, 0, 0]));
    for zone in ["a", "b", "c"] {
        assert_eq!(wanted(&orders, zone, true), Some(6));
        assert_eq!(
            wanted(&orders, zone, false),
            None,
            "none is given up before replacements have started"
        );
    }
}

#[test]
fn reclaimable_upstreams_replace_the_most_expensive_on_demand_ones_first() {
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    let current = counts([4, 4, 4], [2, 2, 2]);
    for millis in [0, 2_000] {
        let orders = plan(&mut planner, at(millis), &current);
        assert!(orders.keys().all(|kind| kind.reclaimable), "none is given up at once");
    }
    let orders = plan(&mut planner, at(5_500), &current);
    assert_eq!(wanted(&orders, "b", false), Some(0));
    assert_eq!(wanted(&orders, "c", false), Some(2));
    assert_eq!(wanted(&orders, "a", false), None);
}

#[test]
fn an_order_is_not_repeated_while_it_is_carried_out() {
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    let current = counts([4, 4, 4], [0, 0, 0]);
    assert!(!plan(&mut planner, at(0), &current).is_empty());
    assert!(plan(&mut planner, at(1_000), &current).is_empty());
    assert!(!plan(&mut planner, at(8_000), &current).is_empty(), "the order has expired");
}

#[test]
fn other_zones_replace_an_exhausted_zone() {
    // Guards against too few upstreams for some seconds after a reclaim: one zone loses all its
    // reclaimable upstreams and has no others, and the other zones keep their numbers.
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    let full = counts([0, 0, 0], [6, 6, 6]);
    assert!(plan(&mut planner, at(0), &full).is_empty());
    let lost = counts([0, 0, 0], [6, 6, 0]);
    let orders = plan(&mut planner, at(1_000), &lost);
    let (id, count) = orders[&kind("c", true)];
    assert_eq!(count, 6);
    assert!(planner.handle_outcome(at(1_100), id, Outcome::Refused));
    let orders = plan(&mut planner, at(1_200), &lost);
    assert_eq!(wanted(&orders, "a", true), Some(8));
    assert_eq!(wanted(&orders, "b", true), Some(8));
    let orders = plan(&mut planner, at(3_000), &lost);
    assert!(wanted(&orders, "c", true).is_some(), "the zone is asked again");
}

#[test]
fn a_lost_zone_is_replaced_before_the_next_one_is_lost() {
    // Guards against first events that take seconds: the zones are reclaimed one after the other
    // within seconds, no reclaimable upstreams are available anywhere, and on-demand ones are
    // ordered only when too few upstreams are left.
    let mut planner = steady(&counts([0, 0, 0], [6, 6, 6]));
    let orders = plan(&mut planner, at(3_000), &counts([0, 0, 0], [6, 6, 0]));
    assert_eq!(wanted(&orders, "a", false), Some(2), "as many as the zone has room for");
    assert_eq!(wanted(&orders, "c", false), Some(1));
}

#[test]
fn starting_on_demand_upstreams_are_neither_stopped_nor_ordered_twice() {
    // Guards against first events that take seconds for twice as long as an upstream takes to
    // start: a zone is reclaimed and on-demand upstreams are ordered. While they start, a
    // reclaimable one announces itself, and another zone is reclaimed. A plan that counts only
    // serving upstreams orders a zone's number without those that it ordered a moment before.
    let mut planner = steady(&counts([0, 0, 0], [6, 6, 6]));
    let lost = counts([0, 0, 0], [6, 6, 0]);
    let orders = plan(&mut planner, at(3_000), &lost);
    assert_eq!(wanted(&orders, "a", false), Some(2));
    assert_eq!(wanted(&orders, "c", false), Some(1));
    let orders = plan(&mut planner, at(4_000), &counts([0, 0, 0], [6, 6, 1]));
    assert!(orders.keys().all(|kind| kind.reclaimable), "{orders:?}");
    let orders = plan(&mut planner, at(4_200), &counts([0, 0, 0], [6, 0, 0]));
    assert_eq!(wanted(&orders, "a", false), None, "there is no room for more");
    assert_eq!(
        wanted(&orders, "c", false),
        Some(7),
        "one ordered before, and six for the second zone"
    );
}

#[test]
fn two_lost_zones_are_replaced_on_demand_in_the_cheapest_zones_first() {
    let mut planner = steady(&counts([0, 0, 0], [6, 6, 6]));
    let lost = counts([0, 0, 0], [0, 6, 0]);
    let orders = plan(&mut planner, at(3_000), &lost);
    assert_eq!(wanted(&orders, "a", false), Some(8));
    assert_eq!(wanted(&orders, "c", false), Some(1));
}

#[test]
fn a_leader_that_does_not_know_all_upstreams_stops_none() {
    // Guards against twenty healthy upstreams that are stopped at once: all cores lose power, and
    // the new leader learns of the upstreams one after the other. An order for some more than it
    // knows of would be for fewer than there are.
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    for (millis, known) in [(0, 1), (300, 3), (700, 6), (1_200, 10), (1_800, 12)] {
        let orders = plan(&mut planner, at(millis), &counts([known, 0, 0], [0, 0, 0]));
        assert!(orders.keys().all(|kind| kind.reclaimable), "at {millis}");
    }
}

#[test]
fn on_demand_upstreams_follow_the_load() {
    // Guards against upstreams as the largest cost of a quiet day: for half a minute there are no
    // reclaimable upstreams, and the load is low. There need not be as many on-demand upstreams as
    // the fleet started with.
    let demand = |busy| Demand { base: BASE, busy_upstreams: Some(busy) };
    let current = counts([4, 4, 4], [0, 0, 0]);
    let settle = |busy, current: &Counts| {
        let mut planner = steady(current);
        plan_for(&mut planner, at(3_000), demand(busy), current);
        plan_for(&mut planner, at(4_500), demand(busy), current)
    };
    let on_demand = |busy, current: &Counts| {
        let orders = settle(busy, current);
        let count = |zone| {
            let existing = current.get(&kind(zone, false)).copied().unwrap_or(0);
            wanted(&orders, zone, false).unwrap_or(existing)
        };
        ["a", "b", "c"].map(count).iter().sum::<u32>()
    };
    assert_eq!(on_demand(6.0, &current), 12, "the usual load needs all");
    assert_eq!(on_demand(2.9, &current), 6, "half of the load needs half of them");
    assert_eq!(on_demand(0.1, &current), 5, "some stay for callers who come back");
    assert_eq!(on_demand(30.0, &current), 12, "never more than the base");
    let few = counts([2, 2, 2], [0, 0, 0]);
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    for millis in [0, 2_000] {
        let orders = plan_for(&mut planner, at(millis), demand(2.9), &few);
        assert!(orders.keys().all(|kind| kind.reclaimable), "six are enough");
    }
    let orders = plan_for(&mut planner, at(3_000), demand(5.0), &few);
    assert_eq!(wanted(&orders, "a", false), Some(6), "a rise adds four in the cheapest zone");
    // While a zone of reclaimable upstreams may still be lost, its loss is provided for as before.
    let exposed = counts([5, 0, 0], [0, 4, 0]);
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    plan_for(&mut planner, at(0), demand(1.0), &exposed);
    let orders = plan_for(&mut planner, at(2_000), demand(1.0), &exposed);
    assert_eq!(wanted(&orders, "a", false), Some(8));
    assert_eq!(wanted(&orders, "c", false), Some(1));
}

#[test]
fn thousands_of_upstreams_are_replaced_a_few_hundred_at_a_time() {
    // Guards against a fleet of 300 entries that serves three requests in ten and accepts no edits:
    // a leader orders 3,000 reclaimable upstreams, four seconds later all of them announce
    // themselves at once, and as many on-demand ones are given up at once.
    let scaling = Scaling { max_upstreams: 4_000, ..scaling() };
    let mut current = counts([1_000; 3], [0; 3]);
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    planner.set_instances(300);
    let mut id = 0;
    let mut changed = Vec::new();
    for tenth in 0..600 {
        let now = at(tenth * 100);
        // This load needs all upstreams.
        let demand = Demand { base: 3_000, busy_upstreams: Some(600.0) };
        let orders = planner.plan(now, &scaling, demand, &current, || {
            id += 1;
            id
        });
        let order_count: u32 = orders.len().try_into().expect("the number of orders fits");
        let mut moved = 0;
        for (id, order) in orders {
            planner.handle_outcome(now, id, Outcome::Done);
            let existing = current.entry(kind(order.zone.as_str(), order.reclaimable)).or_default();
            moved += existing.abs_diff(order.count);
            *existing = order.count;
        }
        changed.push((order_count, moved));
    }
    let most = changed.windows(10).map(|second| second.iter().map(|it| it.1).sum::<u32>()).max();
    assert!(most <= Some(400), "{most:?} upstreams change in a second");
    let orders: u32 = changed.iter().map(|it| it.0).sum();
    assert!(orders <= 150, "{orders} orders");
    let reclaimable: u32 = current.iter().filter(|(kind, _)| kind.reclaimable).map(|it| it.1).sum();
    assert_eq!(reclaimable, 4_500, "all of them are replaced in the end");
}

/// Plans at a time, and has the cloud refuse all reclaimable upstreams that are ordered.
fn plan_scarce(
    planner: &mut Planner,
    now: Duration,
    demand: Demand,
    current: &Counts,
) -> BTreeMap<UpstreamKind, (u64, u32)> {
    let orders = plan_for(planner, now, demand, current);
    let refused = orders.iter().filter(|(kind, _)| kind.reclaimable);
    refused.for_each(|(_, (id, _))| {
        planner.handle_outcome(now, *id, Outcome::Refused);
    });
    orders
}

#[test]
fn on_demand_upstreams_carry_a_low_load_while_reclaimable_ones_are_refused() {
    // Guards against the loss of two zones within a second after a first one, while the load is
    // low.
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
        "an idle fleet replaces only what the loss of one more zone may take"
    );
    assert_eq!(
        planned(6.0),
        3,
        "the usual load replaces only what the loss of one more zone may take"
    );
}

#[test]
fn starting_on_demand_upstreams_are_kept_during_a_dip_in_the_load() {
    // Guards against running upstreams that are given up, and starting ones that are stopped, while
    // none can replace them.
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
fn reclaimable_upstreams_are_ordered_as_soon_as_a_zone_has_room() {
    // Guards against on-demand upstreams that are kept until an order expires which a full zone
    // can't carry out.
    let mut planner = steady(&counts([8, 0, 0], [0, 6, 6]));
    let orders = plan(&mut planner, at(3_000), &counts([8, 0, 0], [0, 6, 6]));
    assert_eq!(wanted(&orders, "a", true), None, "the upstreams were ordered at the start");
    let orders = plan(&mut planner, at(3_200), &counts([3, 0, 0], [0, 6, 6]));
    assert_eq!(wanted(&orders, "a", true), Some(6));
    let orders = plan(&mut planner, at(3_300), &counts([3, 0, 0], [0, 6, 6]));
    assert_eq!(wanted(&orders, "a", true), None, "not ordered again without more room");
}

#[test]
fn a_busy_cloud_does_not_count_as_exhausted() {
    // Guards against on-demand upstreams that are ordered for the whole load because too many calls
    // were made in a second.
    let demand = Demand { base: BASE, busy_upstreams: Some(2.0) };
    let current = counts([0, 0, 0], [6, 6, 5]);
    let mut planner = steady(&counts([0, 0, 0], [6, 6, 6]));
    let orders = plan_for(&mut planner, at(3_000), demand, &current);
    let (id, _) = orders[&kind("c", true)];
    planner.handle_outcome(at(3_050), id, Outcome::Busy);
    let orders = plan_for(&mut planner, at(3_100), demand, &current);
    assert!(orders.is_empty(), "{orders:?}");
    let orders = plan_for(&mut planner, at(5_000), demand, &current);
    assert_eq!(wanted(&orders, "c", true), Some(6), "the zone is asked again");
    assert_eq!(orders.len(), 1, "{orders:?}");
}

#[test]
fn upstreams_that_limit_their_requests_are_replaced_within_bounds() {
    // Guards against a plan that counts an upstream with limited requests as a whole one, and
    // against a doubled fleet.
    let current = counts([0, 0, 0], [6, 6, 6]);
    let mut planner = steady(&current);
    let planned = |planner: &mut Planner, limited| {
        let demand = Demand { base: base_with_replacements(BASE, limited), busy_upstreams: None };
        plan_for(planner, at(10_000), demand, &current)
    };
    assert!(planned(&mut planner, 0).is_empty());
    let orders = planned(&mut planner, 2);
    assert_eq!(["a", "b", "c"].map(|zone| wanted(&orders, zone, true)), [Some(7); 3]);
    assert_eq!(base_with_replacements(BASE, 12), 15);
}

/// Returns the scaling of a large fleet, whose upstreams take as long to start as those of a small
/// one.
fn large_scaling() -> Scaling {
    Scaling { min_upstreams: 18, max_upstreams: 1_179, ..scaling() }
}

/// Runs a planner for a time, with upstreams that start and stop as ordered; returns the number of
/// upstreams that changed.
fn run_planner(
    planner: &mut Planner,
    current: &mut Counts,
    demand: Demand,
    from: u64,
    until: u64,
) -> u32 {
    let mut changed = 0;
    for millis in (from..until).step_by(100) {
        for (_, order) in planner.plan(at(millis), &large_scaling(), demand, current, || 1) {
            let kind = UpstreamKind { zone: order.zone, reclaimable: order.reclaimable };
            let before = current.insert(kind, order.count).unwrap_or(0);
            changed += before.abs_diff(order.count);
        }
    }
    changed
}

fn total(current: &Counts) -> u32 {
    current.values().sum()
}

#[test]
fn a_large_fleet_without_requests_is_halved_repeatedly() {
    // Guards against thousands of upstreams that are replaced before the first request, and against
    // paying for as many while there are no requests.
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    let mut current = counts([970, 970, 969], [0, 0, 0]);
    let idle = Demand { base: 2_909, busy_upstreams: None };
    assert_eq!(
        run_planner(&mut planner, &mut current, idle, 0, 9_000),
        0,
        "callers may be about to come"
    );
    run_planner(&mut planner, &mut current, idle, 9_000, 17_000);
    let half = total(&current);
    assert!((1_454..=1_900).contains(&half), "{half} of 2,909 after two boot times");
    run_planner(&mut planner, &mut current, idle, 17_000, 120_000);
    assert!(total(&current) <= 80, "{current:?} in the end");
}

#[test]
fn a_large_fleet_follows_its_load_down_and_up() {
    // Guards against paying for three thousand upstreams where two hundred suffice.
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    let mut current = counts([970, 970, 969], [0, 0, 0]);
    let demand = |busy| Demand { base: 2_909, busy_upstreams: Some(busy) };
    run_planner(&mut planner, &mut current, demand(60.0), 0, 20_000);
    let low_load_total = total(&current);
    assert!((120..=600).contains(&low_load_total), "{low_load_total} for a load of 60");
    let changed_in_dip = run_planner(&mut planner, &mut current, demand(20.0), 20_000, 27_000);
    assert_eq!(changed_in_dip, 0, "none are given up for a dip shorter than two boot times");
    run_planner(&mut planner, &mut current, demand(180.0), 27_000, 30_000);
    let burst_total = total(&current);
    assert!(burst_total >= 360, "{burst_total} for a load of 180");
    let changed_after_burst =
        run_planner(&mut planner, &mut current, demand(180.0), 30_000, 60_000);
    assert!(
        changed_after_burst <= total(&current),
        "{changed_after_burst} changes while the load stays"
    );
}

#[test]
fn a_new_leader_keeps_the_planned_number_until_it_knows_the_load() {
    // Guards against a new leader that orders as many upstreams as the fleet started with.
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, Some(372));
    let mut current = counts([0, 0, 0], [186, 186, 186]);
    let unknown = Demand { base: 2_909, busy_upstreams: None };
    assert_eq!(run_planner(&mut planner, &mut current, unknown, 0, 5_000), 0);
    let busy = Demand { base: 2_909, busy_upstreams: Some(60.0) };
    assert_eq!(run_planner(&mut planner, &mut current, busy, 5_000, 10_000), 0);
}

#[test]
fn a_small_fleet_is_made_cheaper_before_its_load_is_known() {
    // Guards against paying for on-demand upstreams until the first request arrives.
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    let orders = plan(&mut planner, at(0), &counts([4, 4, 4], [0, 0, 0]));
    assert_eq!(wanted(&orders, "a", true), Some(6));
}

#[test]
fn upstreams_in_a_zone_without_a_price_are_given_up_as_well() {
    // Guards against paying all day for a fifth of a fleet because its zone has no price.
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    let mut current = counts([700, 700, 700], [0, 0, 0]);
    current.insert(kind("d", false), 800);
    let demand = Demand { base: 2_900, busy_upstreams: Some(60.0) };
    run_planner(&mut planner, &mut current, demand, 0, 20_000);
    assert_eq!(current[&kind("d", false)], 0, "{current:?}");
}

#[test]
fn small_changes_of_the_load_cause_few_orders() {
    // Guards against upstreams that are ordered and given up with each wave of callers.
    let mut planner = Planner::new("pool".into(), ANNOUNCEMENT_PERIOD, None);
    let mut current = counts([970, 970, 969], [0, 0, 0]);
    let demand = |busy| Demand { base: 2_909, busy_upstreams: Some(busy) };
    run_planner(&mut planner, &mut current, demand(60.0), 0, 30_000);
    let mut changed = 0;
    for second in 30..60 {
        let busy = if second % 4 < 2 { 64.0 } else { 57.0 };
        changed += run_planner(
            &mut planner,
            &mut current,
            demand(busy),
            second * 1_000,
            (second + 1) * 1_000,
        );
    }
    assert!(changed <= 60, "{changed} changes for a load between 57 and 64");
}
