//! The plan: from a forecast to orders.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use verbenaslip_base::announce::Market;
use verbenaslip_base::hash;
use verbenaslip_base::name::{Model, Upstream};

use crate::plan::forecast::Forecast;
use crate::plan::mix::{Capacity, Mix};
use crate::plan::offer::{Offer, Offers};
use crate::plan::order::{Machine, MachineState, Order, Pending, View};
use crate::plan::settings::{MachineClass, Settings};
use crate::plan::store::Store;

/// How long before it is needed a machine must be ready.
const EARLY: Duration = Duration::from_secs(60);
/// How far the plan looks before it gives a machine back.
const KEEP: u32 = 900;
/// Capacity above the need before a machine counts as too many.
const SURPLUS: f64 = 1.15;
/// How long an order is waited for before it is repeated.
const REPEAT: Duration = Duration::from_secs(5);
/// How long a started machine may take to appear before it counts as lost.
const LOST: Duration = Duration::from_secs(600);

/// Decides which machines to start and to give back.
#[derive(Debug)]
pub struct Planner {
    settings: Settings,
    forecast: Forecast,
    offers: Offers,
    store: Store,
    pending: BTreeMap<u128, Pending>,
    ordinals: BTreeMap<String, u32>,
    hour: u64,
    surplus: BTreeMap<Model, Duration>,
    draining: BTreeMap<Upstream, Duration>,
    loading: BTreeMap<(Upstream, Model), Duration>,
}

impl Planner {
    /// Starts with nothing learned.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            forecast: Forecast::default(),
            offers: Offers::default(),
            store: Store::default(),
            pending: BTreeMap::new(),
            ordinals: BTreeMap::new(),
            hour: 0,
            surplus: BTreeMap::new(),
            draining: BTreeMap::new(),
            loading: BTreeMap::new(),
        }
    }

    /// Learns of work; an instance that sees one of `n` arrivals tells `n` times its own work.
    pub fn record_work(&mut self, hour: u64, second: u32, model: &Model, work: f64, reserve: u32) {
        self.forecast.add(hour, second, model, work, reserve);
    }

    /// Learns how many requests a machine class runs at once, from an engine that runs on one.
    pub fn set_machine_class(&mut self, size: MachineClass) {
        match self.settings.sizes.iter_mut().find(|known| known.name == size.name) {
            Some(known) => *known = size,
            None => self.settings.sizes.push(size),
        }
    }

    /// Returns what was learned.
    pub fn forecast(&self) -> &Forecast {
        &self.forecast
    }

    /// Notes that a start was granted.
    pub fn record_started(&mut self, request: u128, name: &Upstream) {
        let Some(pending) = self.pending.get_mut(&request) else { return };
        pending.name = Some(name.clone());
        self.offers.granted(&pending.offer);
    }

    /// Notes that a start was refused; the next step tries the next best offer.
    pub fn record_refused(&mut self, now: Duration, request: u128, rng: &mut impl Rng) {
        let Some(pending) = self.pending.remove(&request) else { return };
        self.offers.refused(now, &pending.offer, rng);
    }

    /// Decides; called every few seconds on the leader.
    pub fn tick(&mut self, now: Duration, view: &View) -> Vec<Order> {
        self.forecast.turn(view.hour);
        if view.hour != self.hour {
            self.hour = view.hour;
            self.ordinals.clear();
        }
        self.settle(now, view);
        let mut orders = self.repeat(now);
        let models: Vec<Model> = self.forecast.models().cloned().collect();
        for model in &models {
            let mut capacity = self.capacity(view, model);
            self.load(now, view, model, &mut capacity, &mut orders);
            self.start(now, view, model, &mut capacity, &mut orders);
            self.give_back(now, view, model, &capacity, &mut orders);
        }
        self.stop(now, view, &mut orders);
        orders
    }

    /// Returns the slots needed for a model's expected work from now on.
    pub fn need(&self, view: &View, model: &Model, span: u32) -> u32 {
        let peak = self.forecast.peak(model, view.second, span);
        (peak / self.settings.use_of_slots.clamp(0.1, 1.0)).ceil().min(1e6) as u32
    }

    /// Drops what is done, lost or gone.
    fn settle(&mut self, now: Duration, view: &View) {
        let listed = |name: &Upstream| view.machines.iter().any(|machine| machine.name == *name);
        self.pending.retain(|_, pending| {
            let there = pending.name.as_ref().is_some_and(listed);
            !there && now.saturating_sub(pending.at) < LOST
        });
        self.draining.retain(|name, _| listed(name));
        self.loading.retain(|(name, model), at| {
            let loaded = |m: &Machine| m.name == *name && m.models.contains(model);
            listed(name) && !view.machines.iter().any(loaded) && now.saturating_sub(*at) < LOST
        });
    }

    /// Repeats starts whose answer was lost, under the same identity.
    fn repeat(&mut self, now: Duration) -> Vec<Order> {
        let mut orders = Vec::new();
        for (request, pending) in &mut self.pending {
            if pending.name.is_none() && now.saturating_sub(pending.told) >= REPEAT {
                pending.told = now;
                orders.push(order(*request, pending));
            }
        }
        orders
    }

    /// Sums up a model's capacity, with what is on its way.
    fn capacity(&self, view: &View, model: &Model) -> Capacity {
        let mut capacity = Capacity::default();
        for machine in self.serving(view, model) {
            capacity.add(&machine.zone, machine.market, self.settings.slots(&machine.class));
        }
        for pending in self.pending.values().filter(|pending| pending.model == *model) {
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

    /// Loads a model at machines without any, which is quicker and cheaper than a start.
    fn load(
        &mut self,
        now: Duration,
        view: &View,
        model: &Model,
        capacity: &mut Capacity,
        orders: &mut Vec<Order>,
    ) {
        let need = self.need(view, model, self.lead(now, model, 1));
        let seconds = self.settings.load(model);
        let empty =
            view.machines.iter().filter(|m| m.state == MachineState::Ready && m.models.is_empty());
        for machine in empty {
            let taken = self.loading.keys().any(|(name, _)| *name == machine.name);
            if taken || self.draining.contains_key(&machine.name) {
                continue;
            }
            if capacity.surviving() >= need {
                return;
            }
            // One that waits for the store counts as well: a machine started in its place would
            // have to load from the same store, and later.
            capacity.add(&machine.zone, machine.market, self.settings.slots(&machine.class));
            if !self.store.book(now, seconds) {
                continue;
            }
            self.loading.insert((machine.name.clone(), model.clone()), now);
            orders.push(Order::Load { upstream: machine.name.clone(), model: model.clone() });
        }
    }

    /// Starts what will be needed when a machine ordered now is ready.
    fn start(
        &mut self,
        now: Duration,
        view: &View,
        model: &Model,
        capacity: &mut Capacity,
        orders: &mut Vec<Order>,
    ) {
        let reserve = self.forecast.reserve(model);
        let mut lead = self.lead(now, model, 1);
        loop {
            let offers = self.allowed(now, view);
            let mix = Mix { need: self.need(view, model, lead), reserve, offers };
            let Some((offer, slots)) = mix.next(capacity) else { return };
            let (offer, slots) = (offer.clone(), slots);
            if self.machines(view) >= self.settings.most as usize {
                return;
            }
            // Loads queue at the store: the more machines start, the earlier they must.
            self.store.add(now, self.settings.load(model));
            lead = self.lead(now, model, 1);
            capacity.add(&offer.zone, offer.market, slots);
            orders.push(self.order(now, offer, model, slots));
        }
    }

    /// Returns how many machines there are or will be.
    fn machines(&self, view: &View) -> usize {
        view.machines.len() + self.pending.len()
    }

    /// Returns the offers that may be tried now, each with its slots.
    fn allowed<'a>(&self, now: Duration, view: &'a View) -> Vec<(&'a Offer, u32)> {
        let may = view.offers.iter().filter(|offer| self.offers.may(now, offer));
        let sized = may.map(|offer| (offer, self.settings.slots(&offer.class)));
        sized.filter(|(_, slots)| *slots > 0).collect()
    }

    /// Returns the seconds until so many more machines with a model would be ready.
    fn lead(&self, now: Duration, model: &Model, count: u32) -> u32 {
        let loads = self.settings.load(model) * f64::from(count) + self.store.backlog(now);
        (self.settings.start + EARLY).as_secs() as u32 + loads.ceil().min(3600.0) as u32
    }

    fn order(&mut self, now: Duration, offer: Offer, model: &Model, slots: u32) -> Order {
        let market = format!("{:?}", offer.market);
        let parts = [offer.zone.as_str(), &offer.class, &market, model.as_str()];
        let ordinal = self.ordinals.entry(parts.join("/")).or_default();
        let request = identity(self.hour, *ordinal, &parts);
        *ordinal += 1;
        let pending =
            Pending { offer, model: model.clone(), slots, at: now, told: now, name: None };
        let order = order(request, &pending);
        self.pending.insert(request, pending);
        order
    }

    /// Drains one machine that has been too many for a while.
    fn give_back(
        &mut self,
        now: Duration,
        view: &View,
        model: &Model,
        capacity: &Capacity,
        orders: &mut Vec<Order>,
    ) {
        let need = f64::from(self.need(view, model, KEEP)) * SURPLUS;
        let Some(name) = self.surplus_machine(view, model, capacity, need) else {
            self.surplus.remove(model);
            return;
        };
        let since = *self.surplus.entry(model.clone()).or_insert(now);
        if now.saturating_sub(since) < self.settings.hold {
            return;
        }
        self.draining.insert(name.clone(), now);
        orders.push(Order::Drain { name });
    }

    /// Returns the dearest machine without which the need is still met.
    fn surplus_machine(
        &self,
        view: &View,
        model: &Model,
        capacity: &Capacity,
        need: f64,
    ) -> Option<Upstream> {
        let spare = |machine: &&Machine| {
            let mut left = capacity.clone();
            left.take(&machine.zone, machine.market, self.settings.slots(&machine.class));
            let reserve = self.forecast.reserve(model) * f64::from(left.total());
            let kept =
                machine.market == Market::Reclaimable || f64::from(left.on_demand) >= reserve;
            kept && f64::from(left.surviving()) >= need
        };
        let price = |machine: &Machine| {
            let same = view.offers.iter().find(|offer| {
                let class = offer.class == machine.class && offer.market == machine.market;
                class && offer.zone == machine.zone
            });
            same.map_or(f64::MAX, |offer| offer.unit(self.settings.slots(&offer.class)))
        };
        let alone = |machine: &&Machine| machine.models.len() <= 1;
        let ready = |machine: &&Machine| machine.state == MachineState::Ready;
        let spares = self.serving(view, model).filter(ready).filter(alone).filter(spare);
        let dearest = spares.max_by(|a, b| price(a).total_cmp(&price(b)))?;
        Some(dearest.name.clone())
    }

    /// Stops what has drained.
    fn stop(&mut self, now: Duration, view: &View, orders: &mut Vec<Order>) {
        for (name, since) in &self.draining {
            let machine = view.machines.iter().find(|machine| machine.name == *name);
            let idle = machine.is_some_and(|machine| {
                machine.state == MachineState::Leaving && machine.running == 0
            });
            if idle || now.saturating_sub(*since) >= self.settings.drain {
                orders.push(Order::Stop { name: name.clone() });
            }
        }
    }
}

/// Names a start so that a new leader in the same hour, counting from the first again, repeats the
/// same orders instead of starting the same machines twice.
fn identity(hour: u64, ordinal: u32, parts: &[&str]) -> u128 {
    let (hour, ordinal) = (hour.to_le_bytes(), ordinal.to_le_bytes());
    let mut bytes: Vec<&[u8]> = vec![&hour, &ordinal];
    bytes.extend(parts.iter().map(|part| part.as_bytes()));
    hash::wide(&bytes)
}

fn order(request: u128, pending: &Pending) -> Order {
    Order::Start {
        id: request,
        zone: pending.offer.zone.clone(),
        class: pending.offer.class.clone(),
        market: pending.offer.market,
        model: pending.model.clone(),
    }
}
