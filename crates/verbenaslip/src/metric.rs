//! Metrics of one instance, rendered for `/metrics`.
//!
//! [`list`] defines every metric once and gives [`Metric`] a method that records it. Each instance
//! has a recorder of its own, so that several in one process don't add up, and no listener:
//! `admin` serves what [`Metric::render`] returns.

mod label;
pub mod list;

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use metrics::{Key, Label as Pair, Level, Metadata, Recorder, SharedString, Unit};
use metrics_exporter_prometheus::{
    Matcher, PrometheusBuilder, PrometheusHandle, PrometheusRecorder,
};
use metrics_util::MetricKindMask;

use verbenaslip_base::name::{AvailabilityZone, Instance};

pub use self::label::Label;
pub use self::list::{CATALOGUE, Entry, Kind};
use crate::event;

/// Bounds of the buckets for whole answers and waits, in seconds.
const ANSWER: [f64; 16] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.4, 2.0, 4.0, 8.0, 15.0, 30.0, 60.0, 120.0, 300.0];
/// Bounds of the buckets for first tokens, in seconds; the target of 1.4 s is one of them.
const FIRST_TOKEN: [f64; 14] =
    [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1.0, 1.4, 2.0, 4.0, 8.0, 30.0];
/// Bounds of the buckets between tokens, in seconds; the target of 32 ms is one of them.
const INTER_TOKEN: [f64; 13] =
    [0.002, 0.004, 0.008, 0.016, 0.024, 0.032, 0.048, 0.064, 0.128, 0.25, 0.5, 1.0, 2.0];
/// Bounds of the buckets for steps of the control thread and syncs, in seconds.
const STEP: [f64; 12] =
    [10e-6, 25e-6, 50e-6, 100e-6, 250e-6, 500e-6, 1e-3, 2.5e-3, 5e-3, 10e-3, 50e-3, 250e-3];
/// The time after which a metric that did not change is left out: more than the hour from one
/// burst to the next.
///
/// Upstreams come and go for as long as an instance runs; without this each would leave its
/// metrics in memory for good.
const FORGET: Duration = Duration::from_secs(3 * 3_600);
/// The most different classes that metrics tell apart.
const CLASSES: usize = 256;
/// What the recorder is told of where a metric comes from.
const META: Metadata<'static> = Metadata::new("verbenaslip", Level::INFO, None);

/// Records the metrics of one instance.
pub struct Metric {
    recorder: PrometheusRecorder,
    handle: PrometheusHandle,
    classes: Mutex<BTreeSet<SharedString>>,
}

impl Metric {
    /// Starts with nothing recorded; all metrics carry the instance and its availability zone.
    pub fn open(instance: &Instance, zone: &AvailabilityZone) -> Self {
        let recorder = builder()
            .add_global_label("instance", instance.as_str())
            .add_global_label("instance_zone", zone.as_str())
            .idle_timeout(MetricKindMask::ALL, Some(FORGET))
            .build_recorder();
        let handle = recorder.handle();
        let metric = Self { recorder, handle, classes: Mutex::default() };
        metric.describe();
        metric
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> String {
        self.upkeep();
        self.handle.render()
    }

    /// Sums up what histograms have gathered; to be called every few seconds.
    ///
    /// Histograms keep each recorded time until then, so an instance that nobody scrapes would
    /// grow by 8 bytes a token for as long as it runs.
    pub fn upkeep(&self) {
        for (number, total) in event::totals() {
            let event = format!("V{number}");
            let key = self.key("verbenaslip_events_total", vec![("event", event.into())]);
            self.recorder.register_counter(&key, &META).absolute(total);
        }
        self.handle.run_upkeep();
    }

    /// Names a metric with its labels, of which there are boundedly many.
    fn key(&self, name: &'static str, labels: Labels) -> Key {
        let labels: Vec<Pair> = labels
            .into_iter()
            .map(|(name, value)| {
                let value = if name == "class" { self.class(value) } else { value };
                Pair::new(name, value)
            })
            .collect();
        Key::from_parts(name, labels)
    }

    /// Returns a class as it is, or [`label::OTHER`] when too many different ones came before.
    ///
    /// Callers write the class themselves. Without this a caller that sends a new one with each
    /// request would fill the memory with metrics, which shows as a slowly growing process.
    fn class(&self, value: SharedString) -> SharedString {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        if classes.contains(&value) {
            return value;
        }
        if classes.len() >= CLASSES {
            return SharedString::const_str(label::OTHER);
        }
        classes.insert(value.clone());
        value
    }

    /// Records the time of several tokens at once, which is cheaper than one by one.
    pub fn inter_tokens(&self, team: impl Label, class: impl Label, time: Duration, count: usize) {
        let labels = vec![("team", team.text()), ("class", class.text())];
        let key = self.key("verbenaslip_inter_token_seconds", labels);
        self.recorder.register_histogram(&key, &META).record_many(time.as_secs_f64(), count);
    }

    pub(crate) fn counter(&self, name: &'static str, labels: Labels, count: u64) {
        self.recorder.register_counter(&self.key(name, labels), &META).increment(count);
    }

    pub(crate) fn gauge(&self, name: &'static str, labels: Labels, value: f64) {
        self.recorder.register_gauge(&self.key(name, labels), &META).set(value);
    }

    pub(crate) fn histogram(&self, name: &'static str, labels: Labels, time: Duration) {
        self.recorder.register_histogram(&self.key(name, labels), &META).record(time.as_secs_f64());
    }

    /// Tells the recorder what each metric means.
    fn describe(&self) {
        for entry in CATALOGUE {
            let (name, text) = (entry.name.into(), entry.text.into());
            match entry.kind {
                Kind::Counter => self.recorder.describe_counter(name, None, text),
                Kind::Gauge => self.recorder.describe_gauge(name, None, text),
                Kind::Histogram => {
                    self.recorder.describe_histogram(name, Some(Unit::Seconds), text);
                }
            }
        }
    }
}

/// Pairs of a label's name and value.
type Labels = Vec<(&'static str, SharedString)>;

/// Sets the buckets of each histogram by its full name: of two suffixes that fit, the recorder
/// takes either.
fn builder() -> PrometheusBuilder {
    let histograms = CATALOGUE.iter().filter(|entry| entry.kind == Kind::Histogram);
    histograms.fold(PrometheusBuilder::new(), |builder, entry| {
        let matcher = Matcher::Full(entry.name.into());
        let bounds = bounds(entry.name);
        builder.set_buckets_for_metric(matcher, bounds).expect("each list of bounds has some")
    })
}

/// Returns the bounds of a histogram's buckets.
fn bounds(name: &str) -> &'static [f64] {
    match name.trim_start_matches("verbenaslip_").trim_end_matches("_seconds") {
        "first_token" | "upstream_first_token" => &FIRST_TOKEN,
        "inter_token" => &INTER_TOKEN,
        "step" | "sync" => &STEP,
        _ => &ANSWER,
    }
}
