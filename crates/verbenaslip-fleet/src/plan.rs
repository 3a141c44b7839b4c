//! How many upstreams run where, and of which kind.
//!
//! Reclaimable upstreams cost a fraction of on-demand ones, but all of an availability zone may be
//! taken away with seconds of notice, and for a while none are to be had there. So they are spread
//! such that without any one zone there are still as many as the operators began with, and on-demand
//! ones are kept only as far as these are missing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::AvailabilityZone;

use crate::duty::{Outcome, Scale};
use crate::registry::{Record, Standing};
use crate::sheet::Scaling;

/// The part of the base below which on-demand upstreams are ordered again. One lost zone of two
/// leaves half; a few lost upstreams are not worth one that costs five times as much.
const SHORT: f64 = 0.7;

/// How long too few may run before on-demand ones are ordered: reclaimed ones may be replaced
/// elsewhere meanwhile.
const PATIENCE: Duration = Duration::from_secs(2);

/// How long after its start an ordered upstream should have announced itself, beyond its boot.
const ANNOUNCED: Duration = Duration::from_secs(3);

/// How long a zone that refused an order is left alone.
const DRY: Duration = Duration::from_secs(3);

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
pub fn count<'a>(records: impl Iterator<Item = &'a Record>) -> Counts {
    let mut counts = Counts::new();
    for record in records.filter(|record| record.standing == Standing::Ready) {
        let zone = record.announcement.zone.clone();
        let kind = Kind { zone, reclaimable: record.announcement.reclaimable };
        *counts.entry(kind).or_default() += 1;
    }
    counts
}

/// Plans the upstreams of one service.
#[derive(Debug)]
pub struct Planner {
    service: Arc<str>,
    orders: BTreeMap<Kind, Given>,
    dry: BTreeMap<AvailabilityZone, Duration>,
    short: Option<Duration>,
}

#[derive(Debug)]
struct Given {
    id: u64,
    count: u32,
    until: Duration,
}

impl Planner {
    /// Starts without knowing what was ordered before.
    pub fn open(service: Arc<str>) -> Self {
        Self { service, orders: BTreeMap::new(), dry: BTreeMap::new(), short: None }
    }

    /// Returns what is to be ordered now, with the names of the orders drawn from `next`.
    pub fn plan(
        &mut self,
        now: Duration,
        scaling: &Scaling,
        base: u32,
        have: &Counts,
        mut next: impl FnMut() -> u64,
    ) -> Vec<(u64, Scale)> {
        self.dry.retain(|_, until| *until > now);
        let dry: BTreeSet<AvailabilityZone> = self.dry.keys().cloned().collect();
        let mut wanted = reclaimable(scaling, base, &dry);
        wanted.extend(self.on_demand(now, scaling, base, have));
        let mut orders = Vec::new();
        for (kind, count) in wanted {
            let there = have.get(&kind).copied().unwrap_or(0);
            let waits =
                self.orders.get(&kind).is_some_and(|it| it.count == count && it.until > now);
            if there == count || waits {
                continue;
            }
            let id = next();
            let until = now + scaling.boot + ANNOUNCED;
            self.orders.insert(kind.clone(), Given { id, count, until });
            let Kind { zone, reclaimable } = kind;
            orders.push((id, Scale { service: self.service.clone(), zone, reclaimable, count }));
        }
        orders
    }

    /// Takes what became of an order; returns whether it was one of this service.
    pub fn ended(&mut self, now: Duration, id: u64, outcome: Outcome) -> bool {
        let Some((kind, given)) = self.orders.iter_mut().find(|(_, given)| given.id == id) else {
            return false;
        };
        match outcome {
            Outcome::Done => {}
            Outcome::Refused if kind.reclaimable => {
                given.until = now + DRY;
                self.dry.insert(kind.zone.clone(), now + DRY);
            }
            Outcome::Refused | Outcome::Unknown => given.until = now + DRY,
        }
        true
    }

    /// Returns how many on-demand upstreams are wanted where that differs from what there is.
    fn on_demand(
        &mut self,
        now: Duration,
        scaling: &Scaling,
        base: u32,
        have: &Counts,
    ) -> Vec<(Kind, u32)> {
        let sum = |reclaimable| {
            let kinds = have.iter().filter(|(kind, _)| kind.reclaimable == reclaimable);
            kinds.map(|(_, count)| *count).sum::<u32>()
        };
        let (cheap, dear) = (sum(true), sum(false));
        let short = f64::from(cheap + dear) < f64::from(base) * SHORT;
        self.short = if short { self.short.or(Some(now)) } else { None };
        let missing = self.short.is_some_and(|since| now.saturating_sub(since) >= PATIENCE);
        let mut zones: Vec<(&AvailabilityZone, f64)> =
            scaling.prices.iter().map(|(zone, price)| (zone, *price)).collect();
        zones.sort_by(|one, other| one.1.total_cmp(&other.1));
        let there = |zone: &AvailabilityZone| {
            let kind = Kind { zone: zone.clone(), reclaimable: false };
            have.get(&kind).copied().unwrap_or(0)
        };
        let mut wanted = Vec::new();
        if missing {
            let mut lack = base.saturating_sub(cheap + dear);
            for (zone, _) in zones {
                let more = lack.min(scaling.most.saturating_sub(there(zone)));
                lack -= more;
                if more > 0 {
                    let kind = Kind { zone: zone.clone(), reclaimable: false };
                    wanted.push((kind, there(zone) + more));
                }
            }
            return wanted;
        }
        let mut spare = (cheap + dear).saturating_sub(base).min(dear);
        for (zone, _) in zones.into_iter().rev() {
            let less = spare.min(there(zone));
            spare -= less;
            if less > 0 {
                let kind = Kind { zone: zone.clone(), reclaimable: false };
                wanted.push((kind, there(zone) - less));
            }
        }
        wanted
    }
}

/// Returns how many reclaimable upstreams are wanted in each zone that has some to give.
fn reclaimable(scaling: &Scaling, base: u32, dry: &BTreeSet<AvailabilityZone>) -> Vec<(Kind, u32)> {
    if scaling.reclaimable.is_none() {
        return Vec::new();
    }
    let zones: Vec<&AvailabilityZone> =
        scaling.prices.keys().filter(|zone| !dry.contains(*zone)).collect();
    let left = u32::try_from(zones.len()).unwrap_or(u32::MAX).saturating_sub(1).max(1);
    let each = base.div_ceil(left).clamp(scaling.least, scaling.most.max(scaling.least));
    let kind = |zone: &AvailabilityZone| Kind { zone: zone.clone(), reclaimable: true };
    zones.into_iter().map(|zone| (kind(zone), each)).collect()
}
