//! What the plan is told by the settings.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Model;

/// Holds the plan's parameters.
#[data(float)]
pub struct Settings {
    /// The machine classes that may be started.
    pub machine_classes: Vec<MachineClass>,
    /// The models and how large they are.
    pub models: Vec<ModelWeights>,
    /// Bytes a second that the weight store gives to all.
    pub weight_store_rate: u64,
    /// The time from an order to a started machine.
    pub start_time: Duration,
    /// The part of its slots that a machine is planned to use, up to 1.
    pub target_utilization: f64,
    /// How long a machine must have been too many before it is given back.
    pub surplus_hold: Duration,
    /// How long a machine may drain before it is stopped anyway.
    pub drain_timeout: Duration,
    /// The most machines that are asked for in all.
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
    /// Returns the slots of a machine class; zero for one that may not be started.
    pub(crate) fn slots(&self, class_name: &str) -> u32 {
        let class = self.machine_classes.iter().find(|class| &*class.name == class_name);
        class.map_or(0, |class| class.slots)
    }

    /// Returns the seconds that the weight store needs for a model.
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
    /// How many requests an engine on it runs at once.
    pub slots: u32,
}

/// Describes a model's weights.
#[data]
pub struct ModelWeights {
    /// The model.
    pub model: Model,
    /// How many bytes are loaded.
    pub bytes: u64,
}
