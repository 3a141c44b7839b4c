//! Capacity plan: how many upstreams of which kind run in which availability zone.
//!
//! Reclaimable upstreams cost a fraction of on-demand ones, but all of them in an availability zone
//! may be reclaimed with seconds of notice, and for a while no new ones are available there. They
//! are therefore spread such that, without any one zone, there are still as many as the operators
//! started with. On-demand upstreams are kept only as far as reclaimable ones are missing and the
//! load needs them.

mod discovery;
mod pace;
mod size;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::AvailabilityZone;

use crate::order::{Outcome, Scale};
use crate::plan::discovery::Discovery;
use crate::plan::pace::Pace;
use crate::plan::size::Size;
use crate::registry::{Announcement, Record, Status};
use crate::route_table::Scaling;

/// Share of the base that must remain when one more zone is reclaimed. Zones are reclaimed in
/// series, and meanwhile no reclaimable upstreams are available anywhere. An on-demand upstream
/// takes seconds to start, so it is ordered before the next zone is reclaimed and not after.
const MIN_SHARE_AFTER_RECLAIM: f64 = 0.75;

/// How long fewer on-demand upstreams must suffice before some are given up: they cost several
/// times as much as reclaimable ones, but take seconds to come back.
const SURPLUS_TIME: Duration = Duration::from_secs(1);

/// Time beyond its boot time within which an ordered upstream should have announced itself.
const ANNOUNCEMENT_GRACE: Duration = Duration::from_secs(3);

/// The same while reclaimable upstreams are refused: upstreams that are given up then can't be
/// replaced until others have started, and the load goes up and down.
const SURPLUS_TIME_SCARCE: Duration = Duration::from_secs(6);

/// Time after a refusal during which reclaimable upstreams count as scarce: longer than the time
/// between two attempts in a zone.
const SCARCITY_TIME: Duration = Duration::from_secs(3);

/// Divisor of the wanted number that gives by how much the room of a zone must grow before the zone
/// is asked again: each order costs a call to the cloud.
const ROOM_STEPS: u32 = 4;

/// Number of boot times that replacing a whole fleet may take while its load is unknown.
const MAX_REPLACEMENT_BOOTS: u32 = 1;

/// How long a zone that refused an order is not asked again; a refused order costs next to nothing.
const REFUSAL_PAUSE: Duration = Duration::from_millis(1_500);

/// Identifies the upstreams that are counted together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UpstreamKind {
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// Whether the upstreams may be reclaimed.
    pub reclaimable: bool,
}

/// Holds the number of ready upstreams of a service by kind.
pub type Counts = BTreeMap<UpstreamKind, u32>;

/// Counts the ready upstreams by kind.
pub fn count_by_kind<'a>(records: impl Iterator<Item = &'a Record>) -> Counts {
    let mut counts: BTreeMap<(&AvailabilityZone, bool), u32> = BTreeMap::new();
    for record in records.filter(|record| record.status == Status::Ready) {
        let Announcement { zone, reclaimable, .. } = &record.announcement;
        *counts.entry((zone, *reclaimable)).or_default() += 1;
    }
    let kind = |(zone, reclaimable): (&AvailabilityZone, bool)| UpstreamKind {
        zone: zone.clone(),
        reclaimable,
    };
    counts.into_iter().map(|(counted, count)| (kind(counted), count)).collect()
}

/// Says how many upstreams a service needs.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    /// The base: how many upstreams the service started with.
    pub base: u32,
    /// How many upstreams the load would keep busy all the time; none if that is not known.
    pub busy_upstreams: Option<f64>,
}

/// Largest share of the base that is replaced while upstreams limit their requests: a limit may end
/// as soon as a replacement has started.
const MAX_REPLACED_SHARE: f64 = 0.25;

/// Returns the base to plan with for a service that started with `base` upstreams, of which
/// `limited` limit their requests.
pub fn base_with_replacements(base: u32, limited: u32) -> u32 {
    base + limited.min(scale(base, MAX_REPLACED_SHARE))
}

/// Share of its time for which an engine may be busy reading prompts so that first events stay
/// within the objective. An engine has other work as well, and prompts arrive in bursts.
const MAX_READING_SHARE: f64 = 0.5;

/// Smallest share of the base that is kept, whatever the load: callers come back suddenly after a
/// pause, and an ordered engine takes seconds to start.
const MIN_SHARE: f64 = 0.4;

impl Demand {
    /// Returns how many upstreams suffice for the load, which is never more than the base.
    fn sufficient(self) -> u32 {
        scale(self.base, self.needed_share().clamp(MIN_SHARE, 1.0))
    }

    /// Returns how many on-demand upstreams carry the load if all zones are reclaimed; zero if that
    /// takes too many, or if the load is not known.
    fn on_demand_alone(self) -> u32 {
        let needed_share = self.needed_share();
        if needed_share <= MAX_ON_DEMAND_SHARE { scale(self.base, needed_share) } else { 0 }
    }

    /// Returns the share of the base that the load needs; all of it if the load is not known.
    fn needed_share(self) -> f64 {
        self.busy_upstreams.map_or(1.0, |busy| self.share_for(busy))
    }

    /// Returns the share of the base that a load needs.
    fn share_for(self, busy: f64) -> f64 {
        busy / MAX_READING_SHARE / f64::from(self.base.max(1))
    }
}

/// Largest share of the base that on-demand upstreams cover in case all zones are reclaimed: at a
/// higher load they cost more than they are likely to save.
const MAX_ON_DEMAND_SHARE: f64 = 0.5;

/// Plans the upstreams of one service.
#[derive(Debug)]
pub struct Planner {
    service: Arc<str>,
    orders: BTreeMap<UpstreamKind, PendingOrder>,
    exhausted: BTreeMap<AvailabilityZone, Duration>,
    /// Since when there have been more on-demand upstreams than needed, and how many of them are
    /// kept.
    surplus: Option<(Duration, u32)>,
    /// When reclaimable upstreams were last refused.
    last_refusal: Option<Duration>,
    discovery: Discovery,
    pace: Pace,
    size: Size,
}

/// Says what the plan aims at.
#[derive(Clone, Copy, Debug)]
struct Target {
    /// The number of upstreams to plan with.
    size: u32,
    /// Whether reclaimable upstreams replace on-demand ones.
    replaces_on_demand: bool,
}

/// Holds the last order for one kind of upstreams.
#[derive(Debug)]
struct PendingOrder {
    id: u64,
    count: u32,
    /// How many upstreams of the kind the zone had room for.
    room: u32,
    expires_at: Duration,
    refused: bool,
}

impl Planner {
    /// Creates a planner without knowledge of earlier orders. `before` is the number that the
    /// previous leader planned, if there was one; upstreams announce themselves once per `period`.
    pub fn new(service: Arc<str>, period: Duration, before: Option<u32>) -> Self {
        Self {
            service,
            orders: BTreeMap::new(),
            exhausted: BTreeMap::new(),
            surplus: None,
            last_refusal: None,
            discovery: Discovery::new(period),
            pace: Pace::default(),
            size: Size::new(before),
        }
    }

    /// Records how many upstreams are known; returns whether these are all that run.
    pub fn update_count(&mut self, now: Duration, upstreams: u32) -> bool {
        self.discovery.update(now, upstreams)
    }

    /// Sets the number of instances that learn of each upstream that starts or stops.
    pub fn set_instances(&mut self, instances: usize) {
        self.pace.set_instances(instances);
    }

    /// Returns the orders to give now, with IDs from `next`.
    pub fn plan(
        &mut self,
        now: Duration,
        scaling: &Scaling,
        demand: Demand,
        current: &Counts,
        mut next: impl FnMut() -> u64,
    ) -> Vec<(u64, Scale)> {
        let all_known = self.update_count(now, current.values().sum());
        let Some(target) = self.target(now, scaling, demand, all_known) else { return Vec::new() };
        let demand = Demand { base: target.size, ..demand };
        let mut scaling = with_default_prices(scaling, current);
        if !target.replaces_on_demand {
            scaling.reclaimable_price_ratio = None;
        }
        let scaling = &scaling;
        self.exhausted.retain(|_, until| *until > now);
        let exhausted: BTreeSet<AvailabilityZone> = self.exhausted.keys().cloned().collect();
        let mut wanted = reclaimable_wanted(scaling, demand.base, &exhausted);
        if all_known {
            wanted.extend(self.on_demand(now, scaling, demand, current));
        }
        self.pace.refill(now);
        let mut orders = Vec::new();
        for (kind, target) in wanted {
            let existing = current.get(&kind).copied().unwrap_or(0);
            let room = room(scaling, &kind, current);
            let pending = self.orders.get(&kind).filter(|it| it.expires_at > now);
            let has_more_room = |it: &PendingOrder| room >= it.room + target.div_ceil(ROOM_STEPS);
            let is_waiting = |it: &PendingOrder| it.count == target && !has_more_room(it);
            if existing == target || pending.is_some_and(is_waiting) {
                continue;
            }
            let ordered = pending.filter(|it| !it.refused).map_or(existing, |it| it.count);
            let from =
                if target > existing { ordered.max(existing) } else { ordered.min(existing) };
            let count = self.pace.step(from, target);
            if count == from && count != target {
                continue;
            }
            let id = next();
            let expires_at = now + scaling.boot_time + ANNOUNCEMENT_GRACE;
            self.orders
                .insert(kind.clone(), PendingOrder { id, count, room, expires_at, refused: false });
            let UpstreamKind { zone, reclaimable } = kind;
            orders.push((id, Scale { service: self.service.clone(), zone, reclaimable, count }));
        }
        orders
    }

    /// Returns the number of upstreams planned by the load; none if the load was never known.
    pub fn planned_count(&self) -> Option<u32> {
        self.size.planned()
    }

    /// Returns what the plan aims at; none if the service is left as it is.
    ///
    /// Before the load is known, on-demand upstreams are only replaced if that takes no longer than
    /// one boot time. A large fleet would be replaced at a time when most of it may turn out not to
    /// be needed.
    fn target(
        &mut self,
        now: Duration,
        scaling: &Scaling,
        demand: Demand,
        all_known: bool,
    ) -> Option<Target> {
        if let Some(size) = self.size.update(now, scaling.boot_time, demand) {
            return Some(Target { size, replaces_on_demand: true });
        }
        if demand.base <= self.pace.within(scaling.boot_time * MAX_REPLACEMENT_BOOTS) {
            return Some(Target { size: demand.base, replaces_on_demand: true });
        }
        let idle = all_known.then(|| self.size.idle_count(now, scaling.boot_time, demand.base));
        let size = idle.filter(|idle| *idle < demand.base)?;
        Some(Target { size, replaces_on_demand: false })
    }

    /// Handles the outcome of an order; returns whether the order was for this service.
    pub fn handle_outcome(&mut self, now: Duration, id: u64, outcome: Outcome) -> bool {
        let Some((kind, pending)) = self.orders.iter_mut().find(|(_, pending)| pending.id == id)
        else {
            return false;
        };
        pending.refused = outcome != Outcome::Done;
        match outcome {
            Outcome::Done => {}
            Outcome::Refused if kind.reclaimable => {
                pending.expires_at = now + REFUSAL_PAUSE;
                self.last_refusal = Some(now);
                self.exhausted.insert(kind.zone.clone(), now + REFUSAL_PAUSE);
            }
            Outcome::Refused | Outcome::Busy | Outcome::Unknown => {
                pending.expires_at = now + REFUSAL_PAUSE
            }
        }
        true
    }

    /// Adds the on-demand upstreams that are ordered and still starting.
    ///
    /// The ordered number of a zone includes them. If they counted as missing, other zones would
    /// replace them. If the next order for their zone left them out, they would be stopped before
    /// they have served anything, and there would be too few upstreams for twice the time that one
    /// takes to start.
    fn with_ordered(&self, now: Duration, current: &Counts) -> Counts {
        let mut counts = current.clone();
        for (kind, pending) in &self.orders {
            if !kind.reclaimable && !pending.refused && pending.expires_at > now {
                let existing = counts.entry(kind.clone()).or_default();
                *existing = pending.count.max(*existing);
            }
        }
        counts
    }

    /// Returns the wanted number of on-demand upstreams where it differs from the current one.
    fn on_demand(
        &mut self,
        now: Duration,
        scaling: &Scaling,
        demand: Demand,
        current: &Counts,
    ) -> Vec<(UpstreamKind, u32)> {
        let current = &self.with_ordered(now, current);
        let existing: u32 =
            current.iter().filter(|(kind, _)| !kind.reclaimable).map(|it| *it.1).sum();
        let is_scarce = self.last_refusal.is_some_and(|at| now.saturating_sub(at) <= SCARCITY_TIME);
        let needed = on_demand_needed(demand, current, is_scarce);
        if needed >= existing {
            self.surplus = None;
            return add_on_demand(needed - existing, scaling, current);
        }
        let (since, most) = self.surplus.unwrap_or((now, needed));
        let (surplus_time, kept) = if is_scarce {
            (SURPLUS_TIME_SCARCE, most.max(needed))
        } else {
            (SURPLUS_TIME, needed)
        };
        self.surplus = Some((since, kept));
        if now.saturating_sub(since) < surplus_time {
            return Vec::new();
        }
        remove_on_demand(existing - kept, scaling, current)
    }
}

/// Adds a default price for zones that have upstreams but no price.
///
/// Upstreams in a zone without a price could otherwise not be given up, whatever the load.
fn with_default_prices(scaling: &Scaling, current: &Counts) -> Scaling {
    let mut scaling = scaling.clone();
    for kind in current.keys() {
        scaling.prices.entry(kind.zone.clone()).or_insert(DEFAULT_PRICE);
    }
    scaling
}

/// Price of an upstream in a zone that has no price.
const DEFAULT_PRICE: f64 = 1.0;

/// Returns how many upstreams of a kind a zone has room for, beside those of the other kind.
///
/// Upstreams ordered beyond that do not come. Unless they are ordered again once there is room, a
/// zone full of on-demand upstreams keeps them until the order expires.
fn room(scaling: &Scaling, kind: &UpstreamKind, current: &Counts) -> u32 {
    let other = UpstreamKind { zone: kind.zone.clone(), reclaimable: !kind.reclaimable };
    scaling.max_upstreams.saturating_sub(current.get(&other).copied().unwrap_or(0))
}

/// Returns how many on-demand upstreams are needed beside the reclaimable ones.
fn on_demand_needed(demand: Demand, current: &Counts, is_scarce: bool) -> u32 {
    let reclaimable = current.iter().filter(|(kind, _)| kind.reclaimable).map(|(_, count)| *count);
    let sum: u32 = reclaimable.clone().sum();
    let most = reclaimable.max().unwrap_or(0);
    let needed_now = demand.sufficient().saturating_sub(sum);
    let needed_after = scale(demand.base, MIN_SHARE_AFTER_RECLAIM).saturating_sub(sum - most);
    // Without any reclaimable upstreams, none can be lost.
    let alone = if is_scarce { demand.on_demand_alone() } else { 0 };
    if sum > 0 { needed_now.max(needed_after).max(alone) } else { needed_now }
}

/// Distributes additional on-demand upstreams, the cheapest zones first.
fn add_on_demand(count: u32, scaling: &Scaling, current: &Counts) -> Vec<(UpstreamKind, u32)> {
    let mut missing = count;
    let mut wanted = Vec::new();
    for zone in zones_by_price(scaling) {
        let [on_demand, reclaimable] = [false, true].map(|reclaimable| {
            current.get(&UpstreamKind { zone: zone.clone(), reclaimable }).copied().unwrap_or(0)
        });
        let room = scaling.max_upstreams.saturating_sub(on_demand + reclaimable);
        let added = missing.min(room);
        missing -= added;
        if added > 0 {
            wanted.push((UpstreamKind { zone, reclaimable: false }, on_demand + added));
        }
    }
    wanted
}

/// Gives up on-demand upstreams, the most expensive zones first.
fn remove_on_demand(count: u32, scaling: &Scaling, current: &Counts) -> Vec<(UpstreamKind, u32)> {
    let mut surplus = count;
    let mut wanted = Vec::new();
    for zone in zones_by_price(scaling).into_iter().rev() {
        let kind = UpstreamKind { zone, reclaimable: false };
        let existing = current.get(&kind).copied().unwrap_or(0);
        let removed = surplus.min(existing);
        surplus -= removed;
        if removed > 0 {
            wanted.push((kind, existing - removed));
        }
    }
    wanted
}

/// Returns the zones, the cheapest first.
fn zones_by_price(scaling: &Scaling) -> Vec<AvailabilityZone> {
    let mut zones: Vec<(&AvailabilityZone, &f64)> = scaling.prices.iter().collect();
    zones.sort_by(|one, other| one.1.total_cmp(other.1));
    zones.into_iter().map(|(zone, _)| zone.clone()).collect()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Counts are small.
fn scale(count: u32, by: f64) -> u32 {
    (f64::from(count) * by).ceil() as u32
}

/// Returns how many reclaimable upstreams are wanted in each zone that is not exhausted.
fn reclaimable_wanted(
    scaling: &Scaling,
    base: u32,
    exhausted: &BTreeSet<AvailabilityZone>,
) -> Vec<(UpstreamKind, u32)> {
    if scaling.reclaimable_price_ratio.is_none() {
        return Vec::new();
    }
    let zones: Vec<&AvailabilityZone> =
        scaling.prices.keys().filter(|zone| !exhausted.contains(*zone)).collect();
    let zones_after_loss = u32::try_from(zones.len()).unwrap_or(u32::MAX).saturating_sub(1).max(1);
    let each = base
        .div_ceil(zones_after_loss)
        .clamp(scaling.min_upstreams, scaling.max_upstreams.max(scaling.min_upstreams));
    let kind = |zone: &AvailabilityZone| UpstreamKind { zone: zone.clone(), reclaimable: true };
    zones.into_iter().map(|zone| (kind(zone), each)).collect()
}
