//! Learns how much work each second of the hour brings.

use std::collections::BTreeMap;

use verbenaslip_base::name::Model;

/// Seconds in one step of the histogram.
const STEP_SECONDS: u32 = 10;
const STEPS_PER_HOUR: usize = 360;
const SECONDS_PER_HOUR: u32 = 3600;
/// The weight of the newest hour in the learned profile.
const NEW_HOUR_WEIGHT: f64 = 0.4;
/// Steps over which work is averaged, because queueing can spread a peak over this time.
const SMOOTHING_STEPS: usize = 2;
/// The maximum number of models that are tracked; bounds memory.
const MAX_MODELS: usize = 64;

/// Learns the work that arrives in each part of the hour for each model.
///
/// Work is measured in slot seconds: a request that holds a slot for two seconds counts as two.
#[derive(Debug, Default)]
pub struct Forecast {
    hour: Option<u64>,
    models: BTreeMap<Model, HourProfile>,
}

/// Holds the learned profile of an hour and the current hour of one model.
#[derive(Debug)]
struct HourProfile {
    learned: Vec<f64>,
    current: Vec<f64>,
    hours_seen: u32,
    reserved_work: f64,
    total_work: f64,
}

impl Forecast {
    /// Adds work that arrived in a second of an hour. `reserve` is the percentage of its row that
    /// is kept on on-demand machines.
    pub fn add(&mut self, hour: u64, second: u32, model: &Model, work: f64, reserve: u32) {
        self.start_hour(hour);
        if !work.is_finite() || work <= 0.0 {
            return;
        }
        if !self.models.contains_key(model) && self.models.len() >= MAX_MODELS {
            return;
        }
        let profile = self.models.entry(model.clone()).or_insert_with(HourProfile::new);
        if let Some(step) = profile.current.get_mut(step_of(second)) {
            *step += work;
        }
        profile.total_work += work;
        profile.reserved_work += work * f64::from(reserve.min(100)) / 100.0;
    }

    /// Finishes the current hour if `hour` is a different one.
    pub fn start_hour(&mut self, hour: u64) {
        let Some(previous) = self.hour.replace(hour) else { return };
        if previous != hour {
            self.models.values_mut().for_each(HourProfile::finish_hour);
        }
    }

    /// Returns the highest expected work per second within `span` seconds after a second of the
    /// hour.
    pub fn peak(&self, model: &Model, second: u32, span: u32) -> f64 {
        let Some(profile) = self.models.get(model) else { return 0.0 };
        let first = step_of(second);
        let steps = (span.div_ceil(STEP_SECONDS) as usize + 1).min(STEPS_PER_HOUR);
        let ahead = (first..first + steps).map(|at| profile.expected(at, first));
        ahead.fold(0.0, f64::max)
    }

    /// Returns the models that have received work.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.models.keys()
    }

    /// Returns the fraction of a model's work that is reserved for on-demand machines.
    pub fn reserve_fraction(&self, model: &Model) -> f64 {
        let Some(profile) = self.models.get(model) else { return 0.0 };
        if profile.total_work > 0.0 { profile.reserved_work / profile.total_work } else { 0.0 }
    }
}

impl HourProfile {
    fn new() -> Self {
        let empty = vec![0.0; STEPS_PER_HOUR];
        Self {
            learned: empty.clone(),
            current: empty,
            hours_seen: 0,
            reserved_work: 0.0,
            total_work: 0.0,
        }
    }

    fn finish_hour(&mut self) {
        // The first hours get a higher weight, so that an empty profile is learned quickly.
        let weight = NEW_HOUR_WEIGHT.max(1.0 / f64::from(self.hours_seen + 1));
        for (learned, current) in self.learned.iter_mut().zip(&mut self.current) {
            *learned += weight * (*current - *learned);
            *current = 0.0;
        }
        self.hours_seen = self.hours_seen.saturating_add(1);
        self.total_work *= 1.0 - NEW_HOUR_WEIGHT;
        self.reserved_work *= 1.0 - NEW_HOUR_WEIGHT;
    }

    /// Returns the expected work per second around a step, averaged over the steps before it.
    fn expected(&self, at: usize, now: usize) -> f64 {
        let mean_rate = |hour: &[f64]| -> f64 {
            let steps = (0..SMOOTHING_STEPS)
                .map(|back| hour[(at + STEPS_PER_HOUR - back) % STEPS_PER_HOUR]);
            steps.sum::<f64>() / (SMOOTHING_STEPS as f64 * f64::from(STEP_SECONDS))
        };
        // The work of the current hour may already exceed what was learned.
        let observed = if at <= now + 1 { mean_rate(&self.current) } else { 0.0 };
        mean_rate(&self.learned).max(observed)
    }
}

fn step_of(second: u32) -> usize {
    ((second % SECONDS_PER_HOUR) / STEP_SECONDS) as usize
}
