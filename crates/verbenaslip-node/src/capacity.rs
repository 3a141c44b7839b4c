//! Plans capacity: every instance learns the demand, and the leader orders machines.
//!
//! Each instance learns the demand of its own callers and scales it by the number of instances, so
//! that any new leader can plan at once. Only the leader asks the cloud and orders machines.

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

/// Interval between two steps of the plan.
const PLAN_INTERVAL: Duration = Duration::from_secs(5);

/// Time that the streams of a drained machine have to end or move to another upstream.
const DRAIN_NOTICE: Duration = Duration::from_secs(60);

/// Number of milliseconds in an hour.
const HOUR_MS: u64 = 3_600_000;

/// Weight of the newest run in the mean work per request of a model.
const NEWEST_RUN_WEIGHT: f64 = 0.1;

/// Describes a machine that the cloud lists.
#[data]
pub struct ListedMachine {
    /// Name of the machine in the cloud and in the registry of upstreams.
    pub name: Upstream,
    /// Availability zone in which the machine runs.
    pub zone: AvailabilityZone,
    /// Machine class.
    pub class: Arc<str>,
    /// Market on which the machine was bought.
    pub market: Market,
}

/// Lists the offers of the cloud and the machines that are running.
#[data(default)]
pub struct Survey {
    /// Current prices.
    pub offers: Vec<Offer>,
    /// Machines that the cloud has started.
    pub machines: Vec<ListedMachine>,
}

/// Holds the learned demand and the last answer of the cloud.
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
    /// Learns from a request that ran for the given time or was refused for lack of capacity.
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

    /// Runs a step of the capacity plan if this instance leads and a cloud is configured.
    pub(crate) fn plan_capacity(&mut self) {
        if !self.setup.has_cloud || self.now < self.capacity.next_plan {
            return;
        }
        self.capacity.next_plan = self.now + PLAN_INTERVAL;
        if !self.leads() {
            // A survey from the time of another leader is outdated once this instance leads.
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

    /// Stores the offers and machines that the cloud reported.
    pub(crate) fn handle_survey(&mut self, survey: Survey) {
        self.capacity.survey = Some(survey);
    }

    /// Handles the cloud's answer to a start order.
    pub(crate) fn handle_start_result(&mut self, request: u128, name: Option<&Upstream>) {
        match name {
            Some(name) => self.capacity.planner.record_started(request, name),
            None => self.capacity.planner.record_refused(self.now, request, &mut self.rng),
        }
    }

    /// Learns from a request that was refused for lack of capacity.
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
            // An upstream that will be stopped is treated like one that the cloud reclaims: it gets
            // no new work, and its streams end or move in time.
            Order::Drain { name } => {
                let notice = DRAIN_NOTICE.as_millis() as u32;
                let input = gossip::Input::Reclaimed { upstream: name, notice };
                self.enqueue(Pending::Gossip(input));
            }
            Order::Load { upstream, model } => self.order_model_load(upstream, model),
        }
    }
}
