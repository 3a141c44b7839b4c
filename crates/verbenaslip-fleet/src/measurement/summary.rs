//! Lists the runs whose figures differ most from the others of their service, for the event log.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Upstream;

use crate::measurement::{Figure, Figures, RunKey};
use crate::upstream::Record;

/// Maximum number of upstreams in a summary.
const MAX_LISTED: usize = 16;

/// Wait that is added to both waits when they are compared, in milliseconds; differences between
/// shorter waits do not matter.
const WAIT_SCALE_MS: f64 = 50.0;

/// Lists upstreams with their figures.
pub type Listed = Vec<(Upstream, Figure)>;

/// Summarizes the figures of one service.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The service.
    pub service: Arc<str>,
    /// Number of upstreams with a figure.
    pub figures: usize,
    /// Age of the oldest figure.
    pub oldest_age: Duration,
    /// Median of the known stream rates in events per second; zero if none is known.
    pub median_stream_rate: f64,
    /// Median of the mean waits in milliseconds.
    pub median_wait_ms: f64,
    /// The upstreams that differ most from these medians, the most different one first.
    pub upstreams: Listed,
}

/// Summarizes the figures of each service.
pub fn summarize<'a>(
    now: Duration,
    figures: &Figures,
    records: impl Iterator<Item = &'a Record>,
) -> Vec<Summary> {
    let mut services: BTreeMap<Arc<str>, Listed> = BTreeMap::new();
    for record in records {
        let run = &record.announcement.run;
        if let Some(figure) = figures.get(&RunKey::of(run)) {
            let listed = services.entry(record.announcement.service.clone()).or_default();
            listed.push((run.upstream.clone(), *figure));
        }
    }
    services.into_iter().map(|(service, listed)| summarize_service(now, service, listed)).collect()
}

fn summarize_service(now: Duration, service: Arc<str>, mut upstreams: Listed) -> Summary {
    let median_stream_rate =
        median(upstreams.iter().filter_map(|(_, it)| it.stream_rate).collect());
    let median_wait_ms = median(upstreams.iter().map(|(_, it)| it.wait_ms).collect());
    let difference = |figure: &Figure| {
        let rate = figure.stream_rate.map_or(0.0, |it| (it / median_stream_rate).ln().abs());
        let wait = (figure.wait_ms + WAIT_SCALE_MS) / (median_wait_ms + WAIT_SCALE_MS);
        rate.max(wait.ln().abs())
    };
    upstreams.sort_by(|(_, left), (_, right)| difference(right).total_cmp(&difference(left)));
    let age = |figure: &Figure| now.saturating_sub(figure.measured_at);
    let oldest_age = upstreams.iter().map(|(_, it)| age(it)).max().unwrap_or_default();
    let figures = upstreams.len();
    upstreams.truncate(MAX_LISTED);
    Summary { service, figures, oldest_age, median_stream_rate, median_wait_ms, upstreams }
}

/// Returns the median, or zero without values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or_default()
}
