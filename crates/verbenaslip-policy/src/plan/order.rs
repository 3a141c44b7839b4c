//! Defines the planner's view of the machines and its orders.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::announce::Market;
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};

use crate::plan::Offer;

/// Holds the state on which the planner decides.
#[data]
pub struct View {
    /// The hour, counted from a fixed point in time.
    pub hour: u64,
    /// Seconds since the start of the hour.
    pub second: u32,
    /// The offers of the cloud at the current prices.
    pub offers: Vec<Offer>,
    /// All machines that serve models.
    pub machines: Vec<Machine>,
}

/// Describes a machine, as reported by the cloud and its announcements.
#[data]
pub struct Machine {
    /// The name of the machine at the cloud and in the registry.
    pub name: Upstream,
    /// The availability zone.
    pub zone: AvailabilityZone,
    /// The cloud's name of the machine class.
    pub class: Arc<str>,
    /// The market: reclaimable or on-demand.
    pub market: Market,
    /// The state of the machine.
    pub state: MachineState,
    /// The models that the machine has loaded, or is ordered to load.
    pub models: Vec<Model>,
    /// The number of running requests.
    pub running: u32,
}

/// Names the state of a machine.
#[data(copy, ord, hash)]
pub enum MachineState {
    /// The machine is ordered, booting or loading.
    Starting,
    /// The machine accepts work.
    Ready,
    /// The machine accepts no new work.
    Leaving,
}

/// Describes an order that changes the capacity.
#[data]
pub enum Order {
    /// Starts a machine. Orders with the same identity are the same order, regardless of which
    /// leader sends them.
    Start {
        /// The identity of the order.
        id: u128,
        /// The availability zone.
        zone: AvailabilityZone,
        /// The cloud's name of the machine class.
        class: Arc<str>,
        /// The market: reclaimable or on-demand.
        market: Market,
        /// The model that the machine loads.
        model: Model,
    },
    /// Drains a machine: it accepts no new work and finishes its running requests.
    Drain {
        /// The name of the machine.
        name: Upstream,
    },
    /// Stops a drained machine.
    Stop {
        /// The name of the machine.
        name: Upstream,
    },
    /// Loads a model on a running machine.
    Load {
        /// The name of the machine.
        upstream: Upstream,
        /// The model to load.
        model: Model,
    },
}

/// Holds a start order whose machine is not listed yet.
#[derive(Debug, Clone)]
pub(crate) struct PendingStart {
    pub(crate) offer: Offer,
    pub(crate) model: Model,
    pub(crate) slots: u32,
    pub(crate) ordered_at: Duration,
    pub(crate) last_sent_at: Duration,
    pub(crate) name: Option<Upstream>,
}
