//! What each second of the hour brings.

use std::collections::BTreeMap;

use verbenaslip_base::name::Model;

/// Seconds in one step of the histogram.
const STEP: u32 = 10;
/// Steps in an hour.
const STEPS: usize = 360;
/// Seconds in an hour.
const HOUR: u32 = 3600;
/// The part of the newest hour in the learned one.
const GAIN: f64 = 0.4;
/// Steps over which work may be spread by waiting, so that a peak counts over that time.
const SMOOTH: usize = 2;
/// The most models that are followed; bounds memory.
const MOST_MODELS: usize = 64;

/// Learns the work that arrives at each part of the hour, for each model.
///
/// Work is in slot seconds: one request that holds a slot for two seconds is two.
#[derive(Debug, Default)]
pub struct Forecast {
    hour: Option<u64>,
    models: BTreeMap<Model, Hours>,
}

/// Holds the learned hour and the running one of a model.
#[derive(Debug)]
struct Hours {
    learned: Vec<f64>,
    running: Vec<f64>,
    hours: u32,
    reserved: f64,
    total: f64,
}

impl Forecast {
    /// Adds work that arrived in a second of an hour, with its row's reserve in hundredths.
    pub fn add(&mut self, hour: u64, second: u32, model: &Model, work: f64, reserve: u32) {
        self.turn(hour);
        if !work.is_finite() || work <= 0.0 {
            return;
        }
        if !self.models.contains_key(model) && self.models.len() >= MOST_MODELS {
            return;
        }
        let hours = self.models.entry(model.clone()).or_insert_with(Hours::new);
        if let Some(step) = hours.running.get_mut(step(second)) {
            *step += work;
        }
        hours.total += work;
        hours.reserved += work * f64::from(reserve.min(100)) / 100.0;
    }

    /// Ends the running hour when another begins.
    pub fn turn(&mut self, hour: u64) {
        let Some(running) = self.hour.replace(hour) else { return };
        if running != hour {
            self.models.values_mut().for_each(Hours::turn);
        }
    }

    /// Returns the most work a second that is expected in a time from a second of the hour on.
    pub fn peak(&self, model: &Model, second: u32, span: u32) -> f64 {
        let Some(hours) = self.models.get(model) else { return 0.0 };
        let first = step(second);
        let steps = (span.div_ceil(STEP) as usize + 1).min(STEPS);
        let ahead = (first..first + steps).map(|at| hours.expected(at, first));
        ahead.fold(0.0, f64::max)
    }

    /// Returns the models with any work.
    pub fn models(&self) -> impl Iterator<Item = &Model> {
        self.models.keys()
    }

    /// Returns the part of a model's work whose rows want on-demand machines.
    pub fn reserve(&self, model: &Model) -> f64 {
        let Some(hours) = self.models.get(model) else { return 0.0 };
        if hours.total > 0.0 { hours.reserved / hours.total } else { 0.0 }
    }
}

impl Hours {
    fn new() -> Self {
        let empty = vec![0.0; STEPS];
        Self { learned: empty.clone(), running: empty, hours: 0, reserved: 0.0, total: 0.0 }
    }

    fn turn(&mut self) {
        // The first hours weigh as much as they are few, so that a start from nothing is quick.
        let gain = GAIN.max(1.0 / f64::from(self.hours + 1));
        for (learned, running) in self.learned.iter_mut().zip(&mut self.running) {
            *learned += gain * (*running - *learned);
            *running = 0.0;
        }
        self.hours = self.hours.saturating_add(1);
        self.total *= 1.0 - GAIN;
        self.reserved *= 1.0 - GAIN;
    }

    /// Returns the work a second expected around a step, smoothed over the steps before it.
    fn expected(&self, at: usize, now: usize) -> f64 {
        let over = |hour: &[f64]| -> f64 {
            let steps = (0..SMOOTH).map(|back| hour[(at + STEPS - back) % STEPS]);
            steps.sum::<f64>() / (SMOOTH as f64 * f64::from(STEP))
        };
        // What has come in this very step of the running hour may be more than ever before.
        let seen = if at <= now + 1 { over(&self.running) } else { 0.0 };
        over(&self.learned).max(seen)
    }
}

fn step(second: u32) -> usize {
    ((second % HOUR) / STEP) as usize
}
