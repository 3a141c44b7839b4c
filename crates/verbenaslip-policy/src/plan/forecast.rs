//! What each second of the hour brings.

use std::collections::BTreeMap;

use verbenaslip_base::name::Model;

/// Seconds in one step of the histogram.
const STEP_SECONDS: u32 = 10;
/// Steps in an hour.
const STEPS_PER_HOUR: usize = 360;
/// Seconds in an hour.
const SECONDS_PER_HOUR: u32 = 3600;
/// The part of the newest hour in the learned one.
const NEW_HOUR_WEIGHT: f64 = 0.4;
/// Steps over which work may be spread by waiting, so that a peak counts over that time.
const SMOOTHING_STEPS: usize = 2;
/// The most models that are followed; bounds memory.
const MAX_MODELS: usize = 64;

/// Learns the work that arrives at each part of the hour, for each model.
///
/// Work is in slot seconds: one request that holds a slot for two seconds is two.
#[derive(Debug, Default)]
pub struct Forecast {
    hour: Option<u64>,
    models: BTreeMap<Model, HourProfile>,
}

/// Holds the learned hour and the running one of a model.
#[derive(Debug)]
struct HourProfile {
    learned: Vec<f64>,
    current: Vec<f64>,
    hours_seen: u32,
    reserved_work: f64,
    total_work: f64,
}

impl Forecast {
    /// Adds work that arrived in a second of an hour, with its row's reserve in hundredths.
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

    /// Ends the running hour when another begins.
    pub fn start_hour(&mut self, hour: u64) {
        let Some(previous) = self.hour.replace(hour) else { return };
        if previous != hour {
            self.models.values_mut().for_each(HourProfile::finish_hour);
        }
    }

    /// Returns the most work a second that is expected in a time from a second of the hour on.
    pub fn peak(&self, model: &Model, second: u32, span: u32) -> f64 {
        let Some(profile) = self.models.get(model) else { return 0.0 };
        let first = step_of(second);
        let steps = (span.div_ceil(STEP_SECONDS) as usize + 1).min(STEPS_PER_HOUR);
        let ahead = (first..first + steps).map(|at| profile.expected(at, first));
        ahead.fold(0.0, f64::max)
    }

    /// Returns the models with any work.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.models.keys()
    }

    /// Returns the part of a model's work whose rows want on-demand machines.
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
        // The first hours weigh as much as they are few, so that a start from nothing is quick.
        let weight = NEW_HOUR_WEIGHT.max(1.0 / f64::from(self.hours_seen + 1));
        for (learned, current) in self.learned.iter_mut().zip(&mut self.current) {
            *learned += weight * (*current - *learned);
            *current = 0.0;
        }
        self.hours_seen = self.hours_seen.saturating_add(1);
        self.total_work *= 1.0 - NEW_HOUR_WEIGHT;
        self.reserved_work *= 1.0 - NEW_HOUR_WEIGHT;
    }

    /// Returns the work a second expected around a step, smoothed over the steps before it.
    fn expected(&self, at: usize, now: usize) -> f64 {
        let mean_rate = |hour: &[f64]| -> f64 {
            let steps = (0..SMOOTHING_STEPS)
                .map(|back| hour[(at + STEPS_PER_HOUR - back) % STEPS_PER_HOUR]);
            steps.sum::<f64>() / (SMOOTHING_STEPS as f64 * f64::from(STEP_SECONDS))
        };
        // What has come in this very step of the running hour may be more than ever before.
        let observed = if at <= now + 1 { mean_rate(&self.current) } else { 0.0 };
        mean_rate(&self.learned).max(observed)
    }
}

fn step_of(second: u32) -> usize {
    ((second % SECONDS_PER_HOUR) / STEP_SECONDS) as usize
}
