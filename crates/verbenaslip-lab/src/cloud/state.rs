//! What a cloud has sold and taken back; all its time is handed in.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use verbenaslip_base::announce::Market;
use verbenaslip_base::name::AvailabilityZone;

use super::{Offer, Setup};

/// Orders a machine.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Order {
    pub(crate) request: serde_json::Value,
    pub(crate) zone: AvailabilityZone,
    pub(crate) machine: String,
    #[serde(deserialize_with = "market")]
    pub(crate) market: Market,
    pub(crate) model: String,
}

/// Says how a machine is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Phase {
    /// It starts.
    Starting,
    /// It runs.
    Running,
    /// It is taken at a time.
    Leaving,
    /// It is gone.
    Gone,
}

/// Holds one machine or adopted thing.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    pub(crate) zone: AvailabilityZone,
    pub(crate) machine: String,
    pub(crate) market: Market,
    pub(crate) phase: Phase,
    pub(crate) model: String,
    /// When it changes by itself: the start's end, or the notice's.
    pub(crate) due: Option<Duration>,
    /// Where the reclaim of an adopted thing is told.
    pub(crate) address: Option<SocketAddr>,
    /// Whether it runs outside this cloud.
    pub(crate) adopted: bool,
}

/// Tells of one reclaim.
#[derive(Clone, Debug)]
pub(crate) struct Notice {
    pub(crate) sequence: u64,
    pub(crate) name: String,
    pub(crate) until: Duration,
}

/// Says what has to be done with engines.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Action {
    /// Starts the engine of a machine.
    Start(String),
    /// Ends the engine of a machine hard.
    End(String),
    /// Tells something adopted of its reclaim.
    Tell(SocketAddr, Duration),
    /// Tells an engine of its reclaim.
    Reclaim(String, Duration),
}

/// Holds everything that a cloud knows.
pub(crate) struct State {
    offers: Vec<Offer>,
    start: Duration,
    refuse: bool,
    pub(crate) machines: BTreeMap<String, Machine>,
    orders: BTreeMap<String, String>,
    notices: Vec<Notice>,
    started: u64,
}

impl State {
    /// Returns the state of a cloud that has sold nothing.
    pub(crate) fn new(setup: &Setup) -> Self {
        Self {
            offers: setup.offers.clone(),
            start: setup.start,
            refuse: false,
            machines: BTreeMap::new(),
            orders: BTreeMap::new(),
            notices: Vec::new(),
            started: 0,
        }
    }

    /// Returns what is sold.
    pub(crate) fn offers(&self) -> &[Offer] {
        &self.offers
    }

    /// Refuses all starts, or no longer.
    pub(crate) fn refuse(&mut self, refuse: bool) {
        self.refuse = refuse;
    }

    /// Starts a machine, or returns nothing when there is no capacity.
    pub(crate) fn order(&mut self, now: Duration, order: &Order) -> Option<String> {
        let request = order.request.to_string();
        if let Some(name) = self.orders.get(&request) {
            return Some(name.clone());
        }
        let offer = self.offers.iter().find(|offer| sells(offer, order))?;
        let taken = self.machines.values().filter(|machine| occupies(machine, order)).count();
        if self.refuse || taken >= offer.capacity as usize {
            return None;
        }
        self.started += 1;
        let name = format!("{}-{}-{}", order.zone, order.machine, self.started);
        let machine = Machine {
            zone: order.zone.clone(),
            machine: order.machine.clone(),
            market: order.market,
            phase: Phase::Starting,
            model: order.model.clone(),
            due: Some(now + self.start),
            address: None,
            adopted: false,
        };
        self.machines.insert(name.clone(), machine);
        self.orders.insert(request, name.clone());
        Some(name)
    }

    /// Returns a machine's price.
    pub(crate) fn price(&self, machine: &Machine) -> u64 {
        let same = |offer: &&Offer| {
            offer.zone == machine.zone
                && offer.machine == machine.machine
                && offer.market == machine.market
        };
        self.offers.iter().find(same).map_or(0, |offer| offer.price)
    }

    /// Makes known something that runs already.
    pub(crate) fn adopt(&mut self, name: &str, zone: &str, address: Option<SocketAddr>) {
        let machine = Machine {
            zone: zone.into(),
            machine: "adopted".to_owned(),
            market: Market::Reclaimable,
            phase: Phase::Running,
            model: String::new(),
            due: None,
            address,
            adopted: true,
        };
        self.machines.insert(name.to_owned(), machine);
    }

    /// Gives a machine back.
    pub(crate) fn delete(&mut self, name: &str) -> Vec<Action> {
        let Some(machine) = self.machines.get_mut(name) else { return Vec::new() };
        if machine.adopted || machine.phase == Phase::Gone {
            return Vec::new();
        }
        machine.phase = Phase::Gone;
        machine.due = None;
        vec![Action::End(name.to_owned())]
    }

    /// Takes back whatever has the name or is in the availability zone.
    pub(crate) fn reclaim(&mut self, now: Duration, target: &str, notice: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        let mut found = false;
        let mut notices = Vec::new();
        for (name, machine) in &mut self.machines {
            if name != target && machine.zone.as_str() != target {
                continue;
            }
            found = true;
            if matches!(machine.phase, Phase::Gone | Phase::Leaving) {
                continue;
            }
            match (machine.adopted, machine.phase) {
                (true, _) => actions.extend(machine.address.map(|to| Action::Tell(to, notice))),
                (false, Phase::Running) => actions.push(Action::Reclaim(name.clone(), notice)),
                (false, _) => (),
            }
            machine.phase = Phase::Leaving;
            machine.due = Some(now + notice);
            notices.push(name.clone());
        }
        if !found {
            notices.push(target.to_owned());
        }
        for name in notices {
            let sequence = self.notices.len() as u64 + 1;
            self.notices.push(Notice { sequence, name, until: now + notice });
        }
        actions
    }

    /// Does what is due.
    pub(crate) fn step(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        for (name, machine) in &mut self.machines {
            if machine.due.is_none_or(|due| now < due) {
                continue;
            }
            machine.due = None;
            match machine.phase {
                Phase::Starting => {
                    machine.phase = Phase::Running;
                    actions.push(Action::Start(name.clone()));
                }
                Phase::Leaving => {
                    machine.phase = Phase::Gone;
                    if !machine.adopted {
                        actions.push(Action::End(name.clone()));
                    }
                }
                Phase::Running | Phase::Gone => (),
            }
        }
        actions
    }

    /// Returns the notices from a sequence on.
    pub(crate) fn notices(&self, since: u64) -> &[Notice] {
        let first = self.notices.partition_point(|notice| notice.sequence < since);
        &self.notices[first..]
    }

    /// Returns what to ask for after all notices so far.
    pub(crate) fn next(&self) -> u64 {
        self.notices.len() as u64 + 1
    }
}

fn sells(offer: &Offer, order: &Order) -> bool {
    offer.zone == order.zone && offer.machine == order.machine && offer.market == order.market
}

fn occupies(machine: &Machine, order: &Order) -> bool {
    machine.phase != Phase::Gone
        && machine.zone == order.zone
        && machine.machine == order.machine
        && machine.market == order.market
}

fn market<'de, D: serde::Deserializer<'de>>(input: D) -> Result<Market, D::Error> {
    match String::deserialize(input)?.as_str() {
        "reclaimable" => Ok(Market::Reclaimable),
        "on_demand" => Ok(Market::OnDemand),
        other => Err(serde::de::Error::unknown_variant(other, &["reclaimable", "on_demand"])),
    }
}
