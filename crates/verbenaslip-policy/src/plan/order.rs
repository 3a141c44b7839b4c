//! What the planner sees and what it orders.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::announce::Market;
use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};

use crate::plan::Offer;

/// Shows the planner the world as it is.
#[data]
pub struct View {
    /// Hours since some fixed time.
    pub hour: u64,
    /// Seconds since the top of the hour.
    pub second: u32,
    /// The prices of the day.
    pub offers: Vec<Offer>,
    /// All machines that serve models.
    pub machines: Vec<Machine>,
}

/// Describes a machine, as the cloud and its announcements tell.
#[data]
pub struct Machine {
    /// The name under which the cloud and the registry know it.
    pub name: Upstream,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// Its class.
    pub class: Arc<str>,
    /// How it is paid for.
    pub market: Market,
    /// How far it is.
    pub state: MachineState,
    /// The models that it has loaded, or is to load when it starts.
    pub models: Vec<Model>,
    /// Requests that it runs.
    pub running: u32,
}

/// Says how far a machine is.
#[data(copy, ord, hash)]
pub enum MachineState {
    /// Ordered, booting or loading.
    Starting,
    /// Takes work.
    Ready,
    /// Takes no new work.
    Leaving,
}

/// Orders a change of capacity.
#[data]
pub enum Order {
    /// Starts a machine; the same request is the same order, whoever repeats it.
    Start {
        /// The identity of the order.
        id: u128,
        /// Where.
        zone: AvailabilityZone,
        /// The machine class.
        class: Arc<str>,
        /// How it is paid for.
        market: Market,
        /// The model that it is to load.
        model: Model,
    },
    /// Lets a machine take no new work and finish what it runs.
    Drain {
        /// The machine.
        name: Upstream,
    },
    /// Gives a drained machine back.
    Stop {
        /// The machine.
        name: Upstream,
    },
    /// Loads a model at a machine that runs already.
    Load {
        /// The machine.
        upstream: Upstream,
        /// The model.
        model: Model,
    },
}

/// Remembers a start whose machine is not yet in the list.
#[derive(Debug, Clone)]
pub(crate) struct PendingStart {
    pub(crate) offer: Offer,
    pub(crate) model: Model,
    pub(crate) slots: u32,
    pub(crate) ordered_at: Duration,
    pub(crate) last_sent_at: Duration,
    pub(crate) name: Option<Upstream>,
}
