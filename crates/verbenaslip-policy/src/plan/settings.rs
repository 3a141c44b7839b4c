//! Defines the settings of the planner.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Model;

/// Holds the settings of the planner.
#[data(float)]
pub struct Settings {
    /// The machine classes that may be started.
    pub machine_classes: Vec<MachineClass>,
    /// The models and the sizes of their weights.
    pub models: Vec<ModelWeights>,
    /// The total rate of the weight store, in bytes per second.
    pub weight_store_rate: u64,
    /// The time from an order until the machine has started.
    pub start_time: Duration,
    /// The fraction of its slots that a machine is planned to use, up to 1.
    pub target_utilization: f64,
    /// How long a machine must be surplus before it is drained.
    pub surplus_hold: Duration,
    /// How long a machine may drain before it is stopped anyway.
    pub drain_timeout: Duration,
    /// The maximum number of machines.
    pub max_machines: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            machine_classes: Vec::new(),
            models: Vec::new(),
            weight_store_rate: 2_000_000_000,
            start_time: Duration::from_secs(90),
            target_utilization: 0.75,
            surplus_hold: Duration::from_secs(600),
            drain_timeout: Duration::from_secs(300),
            max_machines: 16_000,
        }
    }
}

impl Settings {
    /// Returns the slots of a machine class; zero for an unknown class, which may not be started.
    pub(crate) fn slots(&self, class_name: &str) -> u32 {
        let class = self.machine_classes.iter().find(|class| &*class.name == class_name);
        class.map_or(0, |class| class.slots)
    }

    /// Returns the seconds that the weight store needs to deliver a model.
    pub(crate) fn load_seconds(&self, model: &Model) -> f64 {
        let weights = self.models.iter().find(|weights| weights.model == *model);
        weights.map_or(0.0, |weights| weights.bytes as f64 / self.weight_store_rate.max(1) as f64)
    }
}

/// Describes a machine class.
#[data]
pub struct MachineClass {
    /// The cloud's name of the class.
    pub name: Arc<str>,
    /// The number of requests that an engine on such a machine runs at once.
    pub slots: u32,
}

/// Describes the weights of a model.
#[data]
pub struct ModelWeights {
    /// The model.
    pub model: Model,
    /// The number of bytes to load.
    pub bytes: u64,
}
