//! Converts the forecast to capacity orders.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use verbenaslip_base::announce::Market;
use verbenaslip_base::hash;
use verbenaslip_base::name::{Model, Upstream};

use crate::plan::forecast::Forecast;
use crate::plan::mix::{Capacity, Mix};
use crate::plan::offer::{Offer, OfferBackoff};
use crate::plan::order::{Machine, MachineState, Order, PendingStart, View};
use crate::plan::settings::{MachineClass, Settings};
use crate::plan::weight_store::WeightStore;

/// How long before it is needed a machine must be ready.
const READY_MARGIN: Duration = Duration::from_secs(60);
/// How many seconds of the forecast must be covered without a machine before the machine is
/// drained.
const SURPLUS_LOOKAHEAD_SECONDS: u32 = 900;
/// The factor by which the remaining capacity must exceed the need before a machine counts as
/// surplus.
const SURPLUS_FACTOR: f64 = 1.15;
/// How long the planner waits for an answer before it repeats an order.
const REPEAT_AFTER: Duration = Duration::from_secs(5);
/// How long a started machine may take to appear before it counts as lost.
const LOST_AFTER: Duration = Duration::from_secs(600);

/// Decides which machines to start, load, drain and stop.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    forecast: Forecast,
    offers: OfferBackoff,
    weight_store: WeightStore,
    pending_starts: BTreeMap<u128, PendingStart>,
    ordinals: BTreeMap<String, u32>,
    hour: u64,
    surplus_since: BTreeMap<Model, Duration>,
    draining: BTreeMap<Upstream, Duration>,
    loading: BTreeMap<(Upstream, Model), Duration>,
}

impl Planner {
    /// Creates a planner without learned work.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            forecast: Forecast::default(),
            offers: OfferBackoff::default(),
            weight_store: WeightStore::default(),
            pending_starts: BTreeMap::new(),
            ordinals: BTreeMap::new(),
            hour: 0,
            surplus_since: BTreeMap::new(),
            draining: BTreeMap::new(),
            loading: BTreeMap::new(),
        }
    }

    /// Records arrived work in slot seconds. An instance that sees one of `n` arrivals passes `n`
    /// times its own work.
    pub fn record_work(&mut self, hour: u64, second: u32, model: &Model, work: f64, reserve: u32) {
        self.forecast.add(hour, second, model, work, reserve);
    }

    /// Sets the number of requests that a machine class runs at once, as announced by an engine on
    /// such a machine.
    pub fn set_machine_class(&mut self, class: MachineClass) {
        match self.settings.machine_classes.iter_mut().find(|known| known.name == class.name) {
            Some(known) => *known = class,
            None => self.settings.machine_classes.push(class),
        }
    }

    /// Returns the learned forecast.
    pub fn forecast(&self) -> &Forecast {
        &self.forecast
    }

    /// Records that a start was granted.
    pub fn record_started(&mut self, id: u128, name: &Upstream) {
        let Some(pending) = self.pending_starts.get_mut(&id) else { return };
        pending.name = Some(name.clone());
        self.offers.record_grant(&pending.offer);
    }

    /// Records that a start was refused. The next tick tries the next best offer.
    pub fn record_refused(&mut self, now: Duration, id: u128, rng: &mut impl Rng) {
        let Some(pending) = self.pending_starts.remove(&id) else { return };
        self.offers.record_refusal(now, &pending.offer, rng);
    }

    /// Returns the orders to carry out now; called every few seconds on the leader.
    pub fn tick(&mut self, now: Duration, view: &View) -> Vec<Order> {
        self.forecast.start_hour(view.hour);
        if view.hour != self.hour {
            self.hour = view.hour;
            self.ordinals.clear();
        }
        self.drop_finished(now, view);
        let mut orders = self.repeat_unanswered_starts(now);
        let models: Vec<Model> = self.forecast.models().cloned().collect();
        for model in &models {
            let mut capacity = self.capacity(view, model);
            self.order_loads(now, view, model, &mut capacity, &mut orders);
            self.order_starts(now, view, model, &mut capacity, &mut orders);
            self.drain_surplus(now, view, model, &capacity, &mut orders);
        }
        self.stop_drained(now, view, &mut orders);
        orders
    }

    /// Returns the slots needed for a model's expected work within `span` seconds.
    pub fn needed_slots(&self, view: &View, model: &Model, span: u32) -> u32 {
        let peak = self.forecast.peak(model, view.second, span);
        (peak / self.settings.target_utilization.clamp(0.1, 1.0)).ceil().min(1e6) as u32
    }

    /// Drops pending starts, drains and loads that are finished or lost.
    fn drop_finished(&mut self, now: Duration, view: &View) {
        let listed = |name: &Upstream| view.machines.iter().any(|machine| machine.name == *name);
        self.pending_starts.retain(|_, pending| {
            let is_listed = pending.name.as_ref().is_some_and(listed);
            !is_listed && now.saturating_sub(pending.ordered_at) < LOST_AFTER
        });
        self.draining.retain(|name, _| listed(name));
        self.loading.retain(|(name, model), at| {
            let loaded = |m: &Machine| m.name == *name && m.models.contains(model);
            listed(name)
                && !view.machines.iter().any(loaded)
                && now.saturating_sub(*at) < LOST_AFTER
        });
    }

    /// Repeats starts that were not answered, with the same identity.
    fn repeat_unanswered_starts(&mut self, now: Duration) -> Vec<Order> {
        let mut orders = Vec::new();
        for (id, pending) in &mut self.pending_starts {
            if pending.name.is_none() && now.saturating_sub(pending.last_sent_at) >= REPEAT_AFTER {
                pending.last_sent_at = now;
                orders.push(start_order(*id, pending));
            }
        }
        orders
    }

    /// Returns the capacity of a model, including machines that are being started.
    fn capacity(&self, view: &View, model: &Model) -> Capacity {
        let mut capacity = Capacity::default();
        for machine in self.serving(view, model) {
            capacity.add(&machine.zone, machine.market, self.settings.slots(&machine.class));
        }
        for pending in self.pending_starts.values().filter(|pending| pending.model == *model) {
            capacity.add(&pending.offer.zone, pending.offer.market, pending.slots);
        }
        capacity
    }

    /// Returns the machines that serve or will serve a model.
    fn serving<'a>(
        &'a self,
        view: &'a View,
        model: &'a Model,
    ) -> impl Iterator<Item = &'a Machine> {
        view.machines.iter().filter(move |machine| {
            let loading = self.loading.contains_key(&(machine.name.clone(), model.clone()));
            let stays = machine.state != MachineState::Leaving
                && !self.draining.contains_key(&machine.name);
            stays && (machine.models.contains(model) || loading)
        })
    }

    /// Orders loads of a model on machines without a model, which is faster and cheaper than a
    /// start.
    fn order_loads(
        &mut self,
        now: Duration,
        view: &View,
        model: &Model,
        capacity: &mut Capacity,
        orders: &mut Vec<Order>,
    ) {
        let need = self.needed_slots(view, model, self.lead_seconds(now, model, 1));
        let seconds = self.settings.load_seconds(model);
        let empty =
            view.machines.iter().filter(|m| m.state == MachineState::Ready && m.models.is_empty());
        for machine in empty {
            let is_loading = self.loading.keys().any(|(name, _)| *name == machine.name);
            if is_loading || self.draining.contains_key(&machine.name) {
                continue;
            }
            if capacity.surviving_slots() >= need {
                return;
            }
            // A machine that waits for the weight store counts as well. A machine started instead
            // would have to load from the same store, and later.
            capacity.add(&machine.zone, machine.market, self.settings.slots(&machine.class));
            if !self.weight_store.try_book(now, seconds) {
                continue;
            }
            self.loading.insert((machine.name.clone(), model.clone()), now);
            orders.push(Order::Load { upstream: machine.name.clone(), model: model.clone() });
        }
    }

    /// Orders starts for the capacity that is needed by the time a machine ordered now is ready.
    fn order_starts(
        &mut self,
        now: Duration,
        view: &View,
        model: &Model,
        capacity: &mut Capacity,
        orders: &mut Vec<Order>,
    ) {
        let reserve = self.forecast.reserve_fraction(model);
        let mut lead = self.lead_seconds(now, model, 1);
        loop {
            let offers = self.available_offers(now, view);
            let mix = Mix {
                needed_slots: self.needed_slots(view, model, lead),
                reserve_fraction: reserve,
                offers,
            };
            let Some((offer, slots)) = mix.next_machine(capacity) else { return };
            let (offer, slots) = (offer.clone(), slots);
            if self.machine_count(view) >= self.settings.max_machines as usize {
                return;
            }
            // Loads queue at the weight store, so the more machines start, the earlier they must be
            // ordered.
            self.weight_store.add_load(now, self.settings.load_seconds(model));
            lead = self.lead_seconds(now, model, 1);
            capacity.add(&offer.zone, offer.market, slots);
            orders.push(self.new_start(now, offer, model, slots));
        }
    }

    /// Returns the number of machines that exist or are being started.
    fn machine_count(&self, view: &View) -> usize {
        view.machines.len() + self.pending_starts.len()
    }

    /// Returns the offers that may be tried now, each with the slots of its machine.
    fn available_offers<'a>(&self, now: Duration, view: &'a View) -> Vec<(&'a Offer, u32)> {
        let available = view.offers.iter().filter(|offer| self.offers.is_available(now, offer));
        let with_slots = available.map(|offer| (offer, self.settings.slots(&offer.class)));
        with_slots.filter(|(_, slots)| *slots > 0).collect()
    }

    /// Returns the seconds until `count` more machines with a model would be ready.
    fn lead_seconds(&self, now: Duration, model: &Model, count: u32) -> u32 {
        let loads = self.settings.load_seconds(model) * f64::from(count)
            + self.weight_store.backlog_seconds(now);
        (self.settings.start_time + READY_MARGIN).as_secs() as u32 + loads.ceil().min(3600.0) as u32
    }

    fn new_start(&mut self, now: Duration, offer: Offer, model: &Model, slots: u32) -> Order {
        let market = format!("{:?}", offer.market);
        let parts = [offer.zone.as_str(), &offer.class, &market, model.as_str()];
        let ordinal = self.ordinals.entry(parts.join("/")).or_default();
        let id = start_id(self.hour, *ordinal, &parts);
        *ordinal += 1;
        let pending = PendingStart {
            offer,
            model: model.clone(),
            slots,
            ordered_at: now,
            last_sent_at: now,
            name: None,
        };
        let order = start_order(id, &pending);
        self.pending_starts.insert(id, pending);
        order
    }

    /// Drains one machine that has been surplus for long enough.
    fn drain_surplus(
        &mut self,
        now: Duration,
        view: &View,
        model: &Model,
        capacity: &Capacity,
        orders: &mut Vec<Order>,
    ) {
        let need =
            f64::from(self.needed_slots(view, model, SURPLUS_LOOKAHEAD_SECONDS)) * SURPLUS_FACTOR;
        let Some(name) = self.surplus_machine(view, model, capacity, need) else {
            self.surplus_since.remove(model);
            return;
        };
        let since = *self.surplus_since.entry(model.clone()).or_insert(now);
        if now.saturating_sub(since) < self.settings.surplus_hold {
            return;
        }
        self.draining.insert(name.clone(), now);
        orders.push(Order::Drain { name });
    }

    /// Returns the most expensive machine without which the need is still met.
    fn surplus_machine(
        &self,
        view: &View,
        model: &Model,
        capacity: &Capacity,
        need: f64,
    ) -> Option<Upstream> {
        let is_spare = |machine: &&Machine| {
            let mut remaining = capacity.clone();
            remaining.remove(&machine.zone, machine.market, self.settings.slots(&machine.class));
            let reserve =
                self.forecast.reserve_fraction(model) * f64::from(remaining.total_slots());
            let keeps_reserve = machine.market == Market::Reclaimable
                || f64::from(remaining.on_demand_slots) >= reserve;
            keeps_reserve && f64::from(remaining.surviving_slots()) >= need
        };
        let price = |machine: &Machine| {
            let matching = view.offers.iter().find(|offer| {
                let same_kind = offer.class == machine.class && offer.market == machine.market;
                same_kind && offer.zone == machine.zone
            });
            matching
                .map_or(f64::MAX, |offer| offer.price_per_slot(self.settings.slots(&offer.class)))
        };
        let serves_only_this = |machine: &&Machine| machine.models.len() <= 1;
        let is_ready = |machine: &&Machine| machine.state == MachineState::Ready;
        let candidates =
            self.serving(view, model).filter(is_ready).filter(serves_only_this).filter(is_spare);
        let most_expensive = candidates.max_by(|a, b| price(a).total_cmp(&price(b)))?;
        Some(most_expensive.name.clone())
    }

    /// Stops the machines that have drained or whose drain timeout has passed.
    fn stop_drained(&mut self, now: Duration, view: &View, orders: &mut Vec<Order>) {
        for (name, since) in &self.draining {
            let machine = view.machines.iter().find(|machine| machine.name == *name);
            let idle = machine.is_some_and(|machine| {
                machine.state == MachineState::Leaving && machine.running == 0
            });
            if idle || now.saturating_sub(*since) >= self.settings.drain_timeout {
                orders.push(Order::Stop { name: name.clone() });
            }
        }
    }
}

/// Returns the identity of a start order.
///
/// A new leader in the same hour numbers its starts from zero again, so it repeats the same
/// identities instead of starting the same machines twice.
fn start_id(hour: u64, ordinal: u32, parts: &[&str]) -> u128 {
    let (hour, ordinal) = (hour.to_le_bytes(), ordinal.to_le_bytes());
    let mut bytes: Vec<&[u8]> = vec![&hour, &ordinal];
    bytes.extend(parts.iter().map(|part| part.as_bytes()));
    hash::wide(&bytes)
}

fn start_order(id: u128, pending: &PendingStart) -> Order {
    Order::Start {
        id,
        zone: pending.offer.zone.clone(),
        class: pending.offer.class.clone(),
        market: pending.offer.market,
        model: pending.model.clone(),
    }
}
