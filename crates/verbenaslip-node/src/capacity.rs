//! The capacity plan within the instance: what it learns everywhere and orders on the leader.
//!
//! Every instance learns the demand of its own callers, scaled by the number of instances, so that
//! whoever leads next can plan at once. Only the leader asks the cloud and orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::announce::{Kind, Market, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_gossip as gossip;
use verbenaslip_policy::plan::{
    Machine, MachineClass, MachineState, Offer, Order, Planner, Settings, View,
};

use crate::node::{Node, Pending};
use crate::notice::Notice;
use crate::output::Output;

/// Between two steps of the plan.
const PLAN_INTERVAL: Duration = Duration::from_secs(5);

/// How long a drained machine's streams get to end or move.
const DRAIN_NOTICE: Duration = Duration::from_secs(60);

/// Milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;

/// The weight of the newest run in the mean work of a model's requests.
const NEWEST_RUN_WEIGHT: f64 = 0.1;

/// Tells of a machine that the cloud lists.
#[data]
pub struct ListedMachine {
    /// The name under which the cloud and the registry know it.
    pub name: Upstream,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// Its class.
    pub class: Arc<str>,
    /// How it is paid for.
    pub market: Market,
}

/// Tells what the cloud offers and has given.
#[data(default)]
pub struct Survey {
    /// The prices of the day.
    pub offers: Vec<Offer>,
    /// The machines.
    pub machines: Vec<ListedMachine>,
}

/// Learns demand and holds what the cloud said last.
pub(crate) struct Capacity {
    planner: Planner,
    survey: Option<Survey>,
    mean_work_seconds: BTreeMap<verbenaslip_base::name::Model, f64>,
    next_plan: Duration,
}

impl Capacity {
    pub(crate) fn new(now: Duration) -> Self {
        let planner = Planner::new(Settings::default());
        Self { planner, survey: None, mean_work_seconds: BTreeMap::new(), next_plan: now }
    }
}

impl Node {
    /// Learns from a request that ran so long, or that was refused for want of capacity.
    pub(crate) fn learn_demand(&mut self, head: &Head, arrived: Duration, ran: Option<Duration>) {
        let mean = self.capacity.mean_work_seconds.entry(head.model.clone()).or_insert(0.0);
        let work = ran.map_or(*mean, |ran| ran.as_secs_f64());
        *mean += (work - *mean) * NEWEST_RUN_WEIGHT;
        let at = self.epoch_unix_ms.saturating_add(arrived.as_millis() as u64);
        let (hour, second) = (at / HOUR_MS, (at % HOUR_MS / 1_000) as u32);
        let row = self.hub.table().row(&head.team, &head.class);
        let reserve = row.map_or(0, |row| row.reserve_percent);
        let scaled = work * self.region_instances as f64;
        self.capacity.planner.record_work(hour, second, &head.model, scaled, reserve);
    }

    /// Plans, if this instance leads and there is a cloud.
    pub(crate) fn plan_capacity(&mut self) {
        if !self.setup.has_cloud || self.now < self.capacity.next_plan {
            return;
        }
        self.capacity.next_plan = self.now + PLAN_INTERVAL;
        if !self.leads() {
            // What the cloud said while another led is old when this instance leads.
            self.capacity.survey = None;
            return;
        }
        self.out.push(Output::Survey);
        let Some(survey) = self.capacity.survey.take() else { return };
        let view = self.plan_view(survey);
        for order in self.capacity.planner.tick(self.now, &view) {
            self.execute_plan_order(order);
        }
    }

    /// Takes what the cloud offers and has given.
    pub(crate) fn handle_survey(&mut self, survey: Survey) {
        self.capacity.survey = Some(survey);
    }

    /// Takes the cloud's answer to a start.
    pub(crate) fn handle_start_result(&mut self, request: u128, name: Option<&Upstream>) {
        match name {
            Some(name) => self.capacity.planner.record_started(request, name),
            None => self.capacity.planner.record_refused(self.now, request, &mut self.rng),
        }
    }

    /// Learns from a request that was refused for want of capacity.
    pub(crate) fn learn_refused_demand(&mut self, request: Request) {
        let Some(record) = self.records.get(&request) else { return };
        let (head, arrived) = (record.head.clone(), record.arrived);
        self.learn_demand(&head, arrived, None);
    }

    fn plan_view(&mut self, survey: Survey) -> View {
        let mut machines = Vec::new();
        for listed in survey.machines {
            let record = self.gossip.record(&listed.name);
            let announcement = record.map(gossip::Record::announcement);
            if let Some(announced) = announcement.filter(|it| it.kind == Kind::Engine) {
                let class = MachineClass { name: listed.class.clone(), slots: announced.slots };
                self.capacity.planner.set_machine_class(class);
            }
            let state = match announcement.map(|it| it.phase) {
                None | Some(Phase::Warming) => MachineState::Starting,
                Some(Phase::Ready) => MachineState::Ready,
                Some(Phase::Leaving { .. }) => MachineState::Leaving,
            };
            machines.push(Machine {
                state,
                models: announcement.map(|it| it.models.clone()).unwrap_or_default(),
                running: announcement.map_or(0, |it| it.load.running),
                name: listed.name,
                zone: listed.zone,
                class: listed.class,
                market: listed.market,
            });
        }
        let unix = self.unix_ms();
        let (hour, second) = (unix / HOUR_MS, (unix % HOUR_MS / 1_000) as u32);
        View { hour, second, offers: survey.offers, machines }
    }

    fn execute_plan_order(&mut self, order: Order) {
        self.notify(Notice::CapacityOrder(order.clone()));
        match order {
            Order::Start { .. } | Order::Stop { .. } => self.out.push(Output::Cloud(order)),
            // An upstream that will be stopped is told apart by nobody from one that is reclaimed:
            // it gets no new work anywhere, and its streams end or move in time.
            Order::Drain { name } => {
                let notice = DRAIN_NOTICE.as_millis() as u32;
                let input = gossip::Input::Reclaimed { upstream: name, notice };
                self.enqueue(Pending::Gossip(input));
            }
            Order::Load { upstream, model } => self.order_model_load(upstream, model),
        }
    }
}
