//! Selects the machines to add so that any one availability zone may be lost.

use std::collections::BTreeMap;

use verbenaslip_base::announce::Market;
use verbenaslip_base::data;
use verbenaslip_base::name::AvailabilityZone;

use crate::plan::offer::Offer;

/// Sums up the slots that exist or are being started.
#[data(default)]
pub struct Capacity {
    /// The number of slots in each zone.
    pub slots_by_zone: BTreeMap<AvailabilityZone, u32>,
    /// The number of slots on on-demand machines.
    pub on_demand_slots: u32,
}

impl Capacity {
    /// Adds slots of a machine.
    pub fn add(&mut self, zone: &AvailabilityZone, market: Market, slots: u32) {
        *self.slots_by_zone.entry(zone.clone()).or_default() += slots;
        if market == Market::OnDemand {
            self.on_demand_slots += slots;
        }
    }

    /// Removes slots of a machine.
    pub fn remove(&mut self, zone: &AvailabilityZone, market: Market, slots: u32) {
        if let Some(held) = self.slots_by_zone.get_mut(zone) {
            *held = held.saturating_sub(slots);
        }
        if market == Market::OnDemand {
            self.on_demand_slots = self.on_demand_slots.saturating_sub(slots);
        }
    }

    /// Returns the number of slots in all zones.
    pub fn total_slots(&self) -> u32 {
        self.slots_by_zone.values().sum()
    }

    /// Returns the slots that remain after the loss of the zone with the most slots.
    pub fn surviving_slots(&self) -> u32 {
        let zones = self.slots_by_zone.values().filter(|slots| **slots > 0).count();
        let largest = self.slots_by_zone.values().max().copied().unwrap_or(0);
        // With a single zone nothing survives its loss, however many machines are added to it.
        if zones <= 1 { 0 } else { self.total_slots() - largest }
    }
}

/// Describes capacity that meets a need even after the loss of any one zone.
#[derive(Debug)]
pub struct Mix<'a> {
    /// The number of slots needed after the loss of a zone.
    pub needed_slots: u32,
    /// The fraction of the slots wanted on on-demand machines, up to 1.
    pub reserve_fraction: f64,
    /// The available offers, each with the slots of its machine.
    pub offers: Vec<(&'a Offer, u32)>,
}

impl Mix<'_> {
    /// Returns the next machine to add, or `None` if the need is met or no offer helps.
    pub fn next_machine(&self, capacity: &Capacity) -> Option<(&Offer, u32)> {
        if capacity.surviving_slots() >= self.needed_slots {
            return None;
        }
        let zones = self.cheapest_zones();
        // Capacity in a single zone cannot survive its loss, but it meets the need as long as the
        // zone is up. Without this check, machines would be added endlessly.
        if zones.len() < 2
            && capacity.total_slots() >= self.needed_slots.max(1)
            && capacity.surviving_slots() == 0
        {
            return None;
        }
        let slots_in =
            |zone: &AvailabilityZone| capacity.slots_by_zone.get(zone).copied().unwrap_or(0);
        let largest = capacity.slots_by_zone.values().max().copied().unwrap_or(0);
        let zone = zones.iter().min_by_key(|zone| slots_in(zone))?;
        // If only the largest zone has offers, more machines there would not help.
        if zones.len() < 2 && slots_in(zone) >= largest && capacity.surviving_slots() > 0 {
            return None;
        }
        let below_reserve = f64::from(capacity.on_demand_slots)
            < self.reserve_fraction * f64::from(capacity.total_slots() + 1);
        let on_demand =
            below_reserve.then(|| self.cheapest_offer(zone, Some(Market::OnDemand))).flatten();
        on_demand.or_else(|| self.cheapest_offer(zone, None))
    }

    /// Returns the zones over which capacity is spread at the lowest cost.
    ///
    /// With `k` zones each zone needs `needed_slots / (k - 1)` slots, so the cost is the sum of the
    /// zones' prices per slot divided by `k - 1`. An expensive zone is left out if its price
    /// outweighs the benefit of the wider spread.
    fn cheapest_zones(&self) -> Vec<&AvailabilityZone> {
        let mut prices: Vec<(f64, &AvailabilityZone)> = Vec::new();
        for (offer, slots) in &self.offers {
            let price = offer.price_per_slot(*slots);
            match prices.iter_mut().find(|(_, zone)| *zone == &offer.zone) {
                Some(entry) => entry.0 = entry.0.min(price),
                None => prices.push((price, &offer.zone)),
            }
        }
        prices.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
        let cost = |k: usize| prices[..k].iter().map(|(p, _)| p).sum::<f64>() / (k as f64 - 1.0);
        let best = (2..=prices.len()).min_by(|a, b| cost(*a).total_cmp(&cost(*b)));
        let count = best.unwrap_or(prices.len());
        prices.into_iter().take(count).map(|(_, zone)| zone).collect()
    }

    fn cheapest_offer(
        &self,
        zone: &AvailabilityZone,
        market: Option<Market>,
    ) -> Option<(&Offer, u32)> {
        let fits = |offer: &Offer| offer.zone == *zone && market.is_none_or(|m| offer.market == m);
        let fitting = self.offers.iter().filter(|(offer, slots)| *slots > 0 && fits(offer));
        let best =
            fitting.min_by(|a, b| a.0.price_per_slot(a.1).total_cmp(&b.0.price_per_slot(b.1)))?;
        Some((best.0, best.1))
    }
}
