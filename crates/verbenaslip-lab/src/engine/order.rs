//! Orders to load models or change role, with fencing numbers checked or not.

use std::collections::BTreeMap;

use verbenaslip_base::data;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::Model;

/// Holds what orders have made of the engine.
pub(crate) struct Orders {
    fenced: bool,
    held: Fence,
    last: Option<Order>,
    role: Role,
    /// Each model with the time from which it is loaded, on the engine's clock in milliseconds.
    models: BTreeMap<Model, u64>,
    log: Vec<Envelope>,
}

/// Orders something of an engine.
#[data]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Loads a model.
    Load(Model),
    /// Gives a model up.
    Unload(Model),
    /// Changes the role.
    Role(Role),
}

/// Says which part of the work an engine does.
#[data(copy)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes prompts only.
    Prefill,
    /// Generates tokens only.
    Decode,
    /// Does both.
    Both,
}

/// Carries an order with its fencing number and its expiry.
#[data]
pub struct Envelope {
    /// The leader's term.
    pub term: u64,
    /// The log index at which it was committed.
    pub index: u64,
    /// Milliseconds from its sending after which it must not be obeyed.
    pub expires_ms: u64,
    /// What is ordered.
    pub order: Order,
}

/// Says what became of an order.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It was obeyed.
    Applied,
    /// It was refused, because the engine holds a greater fencing number or the same with another
    /// order.
    Held(Fence),
    /// It came too late.
    Expired,
}

/// Shows what the engine holds.
#[data]
pub struct State {
    /// The fencing number of the last order obeyed.
    pub held: Fence,
    /// The models loaded.
    pub models: Vec<Model>,
    /// The role.
    pub role: Role,
}

impl Orders {
    /// Starts with models that are loaded from the start.
    pub(crate) fn new(fenced: bool, models: &[Model]) -> Self {
        Self {
            fenced,
            held: Fence::default(),
            last: None,
            role: Role::Both,
            models: models.iter().map(|model| (model.clone(), 0)).collect(),
            log: Vec::new(),
        }
    }

    /// Obeys or refuses an order that waited for some milliseconds; a model ordered counts as loaded
    /// from `ready`.
    pub(crate) fn apply(&mut self, waited: u64, ready: u64, envelope: &Envelope) -> Outcome {
        if envelope.expires_ms <= waited {
            return Outcome::Expired;
        }
        let fence = Fence { term: envelope.term, index: envelope.index };
        if self.fenced && fence < self.held {
            return Outcome::Held(self.held);
        }
        if fence == self.held && self.last.as_ref() == Some(&envelope.order) {
            return Outcome::Applied;
        }
        // Two leaders that believe in the same number must not both be obeyed.
        if self.fenced && fence == self.held && self.last.is_some() {
            return Outcome::Held(self.held);
        }
        self.held = fence;
        self.last = Some(envelope.order.clone());
        self.log.push(envelope.clone());
        match &envelope.order {
            Order::Load(model) => {
                self.models.entry(model.clone()).or_insert(ready);
            }
            Order::Unload(model) => {
                self.models.remove(model);
            }
            Order::Role(role) => self.role = *role,
        }
        Outcome::Applied
    }

    /// Sets when a model that was ordered is loaded.
    pub(crate) fn ready(&mut self, model: &Model, at: u64) {
        if let Some(ready) = self.models.get_mut(model) {
            *ready = at;
        }
    }

    /// Returns the models loaded.
    pub(crate) fn models(&self, now: u64) -> Vec<Model> {
        let loaded = self.models.iter().filter(|(_, ready)| **ready <= now);
        loaded.map(|(model, _)| model.clone()).collect()
    }

    /// Shows what is held.
    pub(crate) fn state(&self, now: u64) -> State {
        State { held: self.held, models: self.models(now), role: self.role }
    }

    /// Returns every order obeyed, in the order of obeying.
    pub(crate) fn log(&self) -> &[Envelope] {
        &self.log
    }
}
