//! What the plan is told by the settings.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Model;

/// Holds the plan's parameters.
#[data(float)]
pub struct Settings {
    /// The machine classes that may be started.
    pub sizes: Vec<MachineClass>,
    /// The models and how large they are.
    pub weights: Vec<Weights>,
    /// Bytes a second that the weight store gives to all.
    pub store: u64,
    /// The time from an order to a started machine.
    pub start: Duration,
    /// The part of its slots that a machine is planned to use, up to 1.
    pub use_of_slots: f64,
    /// How long a machine must have been too many before it is given back.
    pub hold: Duration,
    /// How long a machine may drain before it is stopped anyway.
    pub drain: Duration,
    /// The most machines that are asked for in all.
    pub most: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            sizes: Vec::new(),
            weights: Vec::new(),
            store: 2_000_000_000,
            start: Duration::from_secs(90),
            use_of_slots: 0.75,
            hold: Duration::from_secs(600),
            drain: Duration::from_secs(300),
            most: 16_000,
        }
    }
}

impl Settings {
    /// Returns the slots of a machine class; zero for one that may not be started.
    pub(crate) fn slots(&self, machine: &str) -> u32 {
        let size = self.sizes.iter().find(|size| &*size.name == machine);
        size.map_or(0, |size| size.slots)
    }

    /// Returns the seconds that the weight store needs for a model.
    pub(crate) fn load(&self, model: &Model) -> f64 {
        let weights = self.weights.iter().find(|weights| weights.model == *model);
        weights.map_or(0.0, |weights| weights.bytes as f64 / self.store.max(1) as f64)
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
pub struct Weights {
    /// The model.
    pub model: Model,
    /// How many bytes are loaded.
    pub bytes: u64,
}
