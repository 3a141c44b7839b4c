//! How many upstreams run where, and of which kind.
//!
//! Reclaimable upstreams cost a fraction of on-demand ones, but all of an availability zone may be
//! taken away with seconds of notice, and for a while none are to be had there. So they are spread
//! such that without any one zone there are still as many as the operators began with. On-demand ones are
//! kept only as far as these are missing and what callers ask for needs them.

mod pace;
mod size;
mod warmup;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::AvailabilityZone;

use crate::order::{Outcome, Scale};
use crate::plan::pace::Pace;
use crate::plan::size::Size;
use crate::plan::warmup::Warmup;
use crate::registry::{Announcement, Record, Status};
use crate::route_table::Scaling;

/// The part of the base that must be left when one more zone is reclaimed. Zones are reclaimed in
/// series, and while they are, no reclaimable ones are to be had anywhere; an on-demand one takes
/// seconds to start, so it is ordered before the next zone goes rather than after.
const SAFE: f64 = 0.75;

/// How long fewer on-demand upstreams must be enough before some are given up: they cost several times as much as
/// reclaimable ones, but take seconds to come back.
const PATIENCE: Duration = Duration::from_secs(1);

/// How long after its start an ordered upstream should have announced itself, beyond its boot.
const ANNOUNCED: Duration = Duration::from_secs(3);

/// The same while reclaimable ones are refused: those that are given up then can't be made up for before others
/// have started, and what callers ask for goes up and down.
const PATIENCE_SCARCE: Duration = Duration::from_secs(6);

/// How long after a refusal of reclaimable ones they count as scarce: longer than between two tries of a zone.
const SCARCE: Duration = Duration::from_secs(3);

/// Steps of room in which a zone is asked again for what it had no room for: each one costs a call to the cloud.
const ROOM_STEPS: u32 = 4;

/// Boots that the exchange of a whole fleet may take whose load is not known.
const EXCHANGE: u32 = 1;

/// How long a zone that refused an order is left alone; a refused order costs next to nothing.
const EXHAUSTED: Duration = Duration::from_millis(1_500);

/// Names what is counted apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// Whether they may be reclaimed.
    pub reclaimable: bool,
}

/// Counts the upstreams of a service that may get work.
pub type Counts = BTreeMap<Kind, u32>;

/// Counts the upstreams that may get work, by kind.
pub fn count_by_kind<'a>(records: impl Iterator<Item = &'a Record>) -> Counts {
    let mut counts: BTreeMap<(&AvailabilityZone, bool), u32> = BTreeMap::new();
    for record in records.filter(|record| record.status == Status::Ready) {
        let Announcement { zone, reclaimable, .. } = &record.announcement;
        *counts.entry((zone, *reclaimable)).or_default() += 1;
    }
    let kind =
        |(zone, reclaimable): (&AvailabilityZone, bool)| Kind { zone: zone.clone(), reclaimable };
    counts.into_iter().map(|(counted, count)| (kind(counted), count)).collect()
}

/// Says how many upstreams a service wants.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// With how many the fleet began.
    pub base: u32,
    /// How many would be busy all the time with what callers ask for; none where that is not known.
    pub busy_upstreams: Option<f64>,
}

/// The largest part of the base that is made up for where upstreams limit their requests: a limit may end as soon as
/// another one has started.
const REPLACED: f64 = 0.25;

/// Returns with how many upstreams a service is planned that began with a number, while some are `limited`.
pub fn base_with_replacements(base: u32, limited: u32) -> u32 {
    base + limited.min(scale(base, REPLACED))
}

/// The part of its time for which an engine may be busy reading prompts so that first events stay within
/// the objective. Reading is not all it does, and prompts come in clumps.
const READING: f64 = 0.5;

/// The least part of the base that is kept, whatever is asked for: callers come back at once after a
/// pause, and an ordered engine takes seconds to start.
const LEAST: f64 = 0.4;

impl Demand {
    /// Returns how many are enough for what callers ask for: never more than the base.
    fn enough(self) -> u32 {
        scale(self.base, self.part().clamp(LEAST, 1.0))
    }

    /// Returns how many on-demand ones carry the load if all zones are reclaimed; none where that takes too many, or the
    /// load is not known.
    fn alone(self) -> u32 {
        let part = self.part();
        if part <= ALONE { scale(self.base, part) } else { 0 }
    }

    /// Returns the part of the base that the load needs; all of it where the load is not known.
    fn part(self) -> f64 {
        self.busy_upstreams.map_or(1.0, |busy| self.part_of(busy))
    }

    /// Returns the part of the base that a load needs.
    fn part_of(self, busy: f64) -> f64 {
        busy / READING / f64::from(self.base.max(1))
    }
}

/// The largest part of the base that on-demand ones cover in case that all zones are reclaimed: at a higher load they
/// cost more than they are likely to save.
const ALONE: f64 = 0.5;

/// Plans the upstreams of one service.
#[derive(Debug)]
pub struct Planner {
    service: Arc<str>,
    orders: BTreeMap<Kind, Pending>,
    exhausted: BTreeMap<AvailabilityZone, Duration>,
    /// Since when there have been more on-demand ones than needed, and the most that were needed since.
    ample: Option<(Duration, u32)>,
    /// When reclaimable ones were refused last.
    refused: Option<Duration>,
    warmup: Warmup,
    pace: Pace,
    size: Size,
}

/// Says what a fleet is to be.
#[derive(Clone, Copy, Debug)]
struct Target {
    /// With how many upstreams it is planned.
    size: u32,
    /// Whether reclaimable upstreams take the place of the others.
    exchanged: bool,
}

#[derive(Debug)]
struct Pending {
    id: u64,
    count: u32,
    /// The most of the kind that its zone had room for.
    room: u32,
    until: Duration,
    refused: bool,
}

impl Planner {
    /// Starts without knowing what was ordered before, but the size under the leader before, where there was one;
    /// upstreams announce themselves once per `period`.
    pub fn new(service: Arc<str>, period: Duration, before: Option<u32>) -> Self {
        Self {
            service,
            orders: BTreeMap::new(),
            exhausted: BTreeMap::new(),
            ample: None,
            refused: None,
            warmup: Warmup::open(period),
            pace: Pace::default(),
            size: Size::open(before),
        }
    }

    /// Takes how many upstreams there are; returns whether these are all that run.
    pub fn update_count(&mut self, now: Duration, upstreams: u32) -> bool {
        self.warmup.take(now, upstreams)
    }

    /// Takes how many instances are told of each upstream that comes or goes.
    pub fn set_instances(&mut self, instances: usize) {
        self.pace.spread(instances);
    }

    /// Returns what is to be ordered now, with the names of the orders drawn from `next`.
    pub fn plan(
        &mut self,
        now: Duration,
        scaling: &Scaling,
        demand: Demand,
        have: &Counts,
        mut next: impl FnMut() -> u64,
    ) -> Vec<(u64, Scale)> {
        let warm = self.update_count(now, have.values().sum());
        let Some(target) = self.target(now, scaling, demand, warm) else { return Vec::new() };
        let demand = Demand { base: target.size, ..demand };
        let mut scaling = priced(scaling, have);
        if !target.exchanged {
            scaling.reclaimable_price_ratio = None;
        }
        let scaling = &scaling;
        self.exhausted.retain(|_, until| *until > now);
        let exhausted: BTreeSet<AvailabilityZone> = self.exhausted.keys().cloned().collect();
        let mut wanted = reclaimable(scaling, demand.base, &exhausted);
        if warm {
            wanted.extend(self.on_demand(now, scaling, demand, have));
        }
        self.pace.refill(now);
        let mut orders = Vec::new();
        for (kind, target) in wanted {
            let there = have.get(&kind).copied().unwrap_or(0);
            let room = room(scaling, &kind, have);
            let pending = self.orders.get(&kind).filter(|it| it.until > now);
            let more_room = |it: &Pending| room >= it.room + target.div_ceil(ROOM_STEPS);
            let waits = |it: &Pending| it.count == target && !more_room(it);
            if there == target || pending.is_some_and(waits) {
                continue;
            }
            let ordered = pending.filter(|it| !it.refused).map_or(there, |it| it.count);
            let from = if target > there { ordered.max(there) } else { ordered.min(there) };
            let count = self.pace.step(from, target);
            if count == from && count != target {
                continue;
            }
            let id = next();
            let until = now + scaling.boot_time + ANNOUNCED;
            self.orders.insert(kind.clone(), Pending { id, count, room, until, refused: false });
            let Kind { zone, reclaimable } = kind;
            orders.push((id, Scale { service: self.service.clone(), zone, reclaimable, count }));
        }
        orders
    }

    /// Returns with how many upstreams the service is planned by its load; none where that was never known.
    pub fn planned_count(&self) -> Option<u32> {
        self.size.known()
    }

    /// Says what the service is planned as; nothing as long as it is left as it is.
    ///
    /// Before the load is known, a fleet is only exchanged for a cheaper one if that takes no longer than a boot: all of
    /// a large one would be exchanged at a time when most of it may turn out not to be needed.
    fn target(
        &mut self,
        now: Duration,
        scaling: &Scaling,
        demand: Demand,
        warm: bool,
    ) -> Option<Target> {
        if let Some(size) = self.size.take(now, scaling.boot_time, demand) {
            return Some(Target { size, exchanged: true });
        }
        if demand.base <= self.pace.within(scaling.boot_time * EXCHANGE) {
            return Some(Target { size: demand.base, exchanged: true });
        }
        let idle = warm.then(|| self.size.idle(now, scaling.boot_time, demand.base));
        let size = idle.filter(|idle| *idle < demand.base)?;
        Some(Target { size, exchanged: false })
    }

    /// Takes what became of an order; returns whether it was one of this service.
    pub fn handle_outcome(&mut self, now: Duration, id: u64, outcome: Outcome) -> bool {
        let Some((kind, pending)) = self.orders.iter_mut().find(|(_, pending)| pending.id == id)
        else {
            return false;
        };
        pending.refused = outcome != Outcome::Done;
        match outcome {
            Outcome::Done => {}
            Outcome::Refused if kind.reclaimable => {
                pending.until = now + EXHAUSTED;
                self.refused = Some(now);
                self.exhausted.insert(kind.zone.clone(), now + EXHAUSTED);
            }
            Outcome::Refused | Outcome::Busy | Outcome::Unknown => pending.until = now + EXHAUSTED,
        }
        true
    }

    /// Adds the on-demand upstreams that are ordered and still start.
    ///
    /// The count of a zone includes them. Taken for missing, they would be made up for in other zones;
    /// left out of a zone's next count, they would be stopped before they have served anything, which
    /// shows as too few upstreams for twice the time that one takes to start.
    fn with_ordered(&self, now: Duration, have: &Counts) -> Counts {
        let mut counts = have.clone();
        for (kind, pending) in &self.orders {
            if !kind.reclaimable && !pending.refused && pending.until > now {
                let there = counts.entry(kind.clone()).or_default();
                *there = pending.count.max(*there);
            }
        }
        counts
    }

    /// Returns how many on-demand upstreams are wanted where that differs from what there is.
    fn on_demand(
        &mut self,
        now: Duration,
        scaling: &Scaling,
        demand: Demand,
        have: &Counts,
    ) -> Vec<(Kind, u32)> {
        let have = &self.with_ordered(now, have);
        let there: u32 = have.iter().filter(|(kind, _)| !kind.reclaimable).map(|it| *it.1).sum();
        let scarce = self.refused.is_some_and(|at| now.saturating_sub(at) <= SCARCE);
        let needed = needed(demand, have, scarce);
        if needed >= there {
            self.ample = None;
            return more(needed - there, scaling, have);
        }
        let (since, most) = self.ample.unwrap_or((now, needed));
        let (patience, kept) =
            if scarce { (PATIENCE_SCARCE, most.max(needed)) } else { (PATIENCE, needed) };
        self.ample = Some((since, kept));
        if now.saturating_sub(since) < patience {
            return Vec::new();
        }
        fewer(there - kept, scaling, have)
    }
}

/// Adds the zones that have upstreams and no price of their own, at the usual one.
///
/// Left out, their upstreams could not be given up, whatever callers ask for.
fn priced(scaling: &Scaling, have: &Counts) -> Scaling {
    let mut scaling = scaling.clone();
    for kind in have.keys() {
        scaling.prices.entry(kind.zone.clone()).or_insert(USUAL);
    }
    scaling
}

/// The price of an upstream in a zone that names none.
const USUAL: f64 = 1.0;

/// Returns how many of a kind a zone has room for, beside those of the other kind.
///
/// What is ordered beyond that doesn't come. Unless it is ordered again once there is room, a zone full of
/// on-demand upstreams keeps them for as long as an order is waited for.
fn room(scaling: &Scaling, kind: &Kind, have: &Counts) -> u32 {
    let other = Kind { zone: kind.zone.clone(), reclaimable: !kind.reclaimable };
    scaling.max_upstreams.saturating_sub(have.get(&other).copied().unwrap_or(0))
}

/// Returns how many on-demand upstreams are needed beside the reclaimable ones.
fn needed(demand: Demand, have: &Counts, scarce: bool) -> u32 {
    let cheap = have.iter().filter(|(kind, _)| kind.reclaimable).map(|(_, count)| *count);
    let sum: u32 = cheap.clone().sum();
    let most = cheap.max().unwrap_or(0);
    let now = demand.enough().saturating_sub(sum);
    let after = scale(demand.base, SAFE).saturating_sub(sum - most);
    // Where there is no reclaimable one left, none can be lost.
    let alone = if scarce { demand.alone() } else { 0 };
    if sum > 0 { now.max(after).max(alone) } else { now }
}

/// Spreads additional on-demand upstreams, the cheapest zones first.
fn more(count: u32, scaling: &Scaling, have: &Counts) -> Vec<(Kind, u32)> {
    let mut lack = count;
    let mut wanted = Vec::new();
    for zone in by_price(scaling) {
        let [there, cheap] = [false, true].map(|reclaimable| {
            have.get(&Kind { zone: zone.clone(), reclaimable }).copied().unwrap_or(0)
        });
        let room = scaling.max_upstreams.saturating_sub(there + cheap);
        let more = lack.min(room);
        lack -= more;
        if more > 0 {
            wanted.push((Kind { zone, reclaimable: false }, there + more));
        }
    }
    wanted
}

/// Gives up on-demand upstreams, in the dearest zones first.
fn fewer(count: u32, scaling: &Scaling, have: &Counts) -> Vec<(Kind, u32)> {
    let mut spare = count;
    let mut wanted = Vec::new();
    for zone in by_price(scaling).into_iter().rev() {
        let kind = Kind { zone, reclaimable: false };
        let there = have.get(&kind).copied().unwrap_or(0);
        let less = spare.min(there);
        spare -= less;
        if less > 0 {
            wanted.push((kind, there - less));
        }
    }
    wanted
}

/// Lists the zones, the cheapest first.
fn by_price(scaling: &Scaling) -> Vec<AvailabilityZone> {
    let mut zones: Vec<(&AvailabilityZone, &f64)> = scaling.prices.iter().collect();
    zones.sort_by(|one, other| one.1.total_cmp(other.1));
    zones.into_iter().map(|(zone, _)| zone.clone()).collect()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Counts are small.
fn scale(count: u32, by: f64) -> u32 {
    (f64::from(count) * by).ceil() as u32
}

/// Returns how many reclaimable upstreams are wanted in each zone that has some to give.
fn reclaimable(
    scaling: &Scaling,
    base: u32,
    exhausted: &BTreeSet<AvailabilityZone>,
) -> Vec<(Kind, u32)> {
    if scaling.reclaimable_price_ratio.is_none() {
        return Vec::new();
    }
    let zones: Vec<&AvailabilityZone> =
        scaling.prices.keys().filter(|zone| !exhausted.contains(*zone)).collect();
    let left = u32::try_from(zones.len()).unwrap_or(u32::MAX).saturating_sub(1).max(1);
    let each = base
        .div_ceil(left)
        .clamp(scaling.min_upstreams, scaling.max_upstreams.max(scaling.min_upstreams));
    let kind = |zone: &AvailabilityZone| Kind { zone: zone.clone(), reclaimable: true };
    zones.into_iter().map(|zone| (kind(zone), each)).collect()
}
