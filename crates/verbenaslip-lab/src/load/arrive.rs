//! Draws the requests of a plan.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::json;

use super::plan::{Plan, Work};
use crate::text;

/// How fast the burst at the top of the hour falls, in parts of an hour.
const FALL: f64 = 0.08;

/// Holds one request that a caller will send.
pub(crate) struct Request {
    pub(crate) id: u64,
    /// When it arrives, from the start.
    pub(crate) at: Duration,
    pub(crate) work: Arc<Work>,
    pub(crate) body: Bytes,
    /// Stands for its prompt or body in the back ends' truth.
    pub(crate) seed: u64,
    /// The answer that it must get.
    pub(crate) expected: String,
    /// Draws its key and its picks.
    pub(crate) draw: u64,
}

/// Draws all requests of a plan in the order of their arrival.
pub(crate) fn requests(plan: &Plan) -> Vec<Request> {
    let mut random = Pcg64::seed_from_u64(plan.seed);
    let works: Vec<Arc<Work>> = plan.works.iter().cloned().map(Arc::new).collect();
    if works.is_empty() || plan.entries.is_empty() {
        return Vec::new();
    }
    let peak = plan.rate * plan.burst.max(1.0);
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        at -= (1.0 - random.random::<f64>()).ln() / peak.max(f64::MIN_POSITIVE);
        if at >= plan.time.as_secs_f64() {
            return requests;
        }
        if random.random::<f64>() * peak < rate(plan, at) {
            let work = pick(&works, &mut random);
            let id = requests.len() as u64;
            requests.push(request(plan.seed, id, at, work, &mut random));
        }
    }
}

/// Returns the arrivals in a second at a time: a burst at each hour's top above a level rest, with the
/// plan's mean.
fn rate(plan: &Plan, at: f64) -> f64 {
    let hour = plan.hour.as_secs_f64().max(f64::MIN_POSITIVE);
    let part = at % hour / hour;
    let peak = plan.burst.max(1.0);
    // The burst's mean over an hour is FALL, so the rest keeps what is left of the mean.
    let rest = ((1.0 - peak * FALL) / (1.0 - FALL)).max(0.0);
    plan.rate * (rest + (peak - rest) * (-part / FALL).exp())
}

fn pick(works: &[Arc<Work>], random: &mut Pcg64) -> Arc<Work> {
    let sum: f64 = works.iter().map(|work| work.share).sum();
    let mut left = random.random::<f64>() * sum;
    for work in works {
        left -= work.share;
        if left < 0.0 {
            return work.clone();
        }
    }
    works[works.len() - 1].clone()
}

fn request(plan: u64, id: u64, at: f64, work: Arc<Work>, random: &mut Pcg64) -> Request {
    let thread = random.random_range(0..work.threads.max(1));
    // The plan's seed keeps apart the prompts of several runs against the same back ends.
    let own = format!("request {plan}-{id} {}", filler(random.random(), work.own as usize));
    let shared = filler(u64::from(thread) ^ text::seed(&work.name), work.shared as usize);
    let (body, seed, expected) =
        if work.service { call(&work, &own) } else { chat(&work, &shared, &own) };
    let at = Duration::from_secs_f64(at);
    Request { id, at, work, body, seed, expected, draw: random.random() }
}

fn chat(work: &Work, shared: &str, own: &str) -> (Bytes, u64, String) {
    let body = json!({
        "model": work.model,
        "stream": work.stream,
        "max_tokens": work.output,
        "messages": [
            {"role": "system", "content": shared},
            {"role": "user", "content": own},
        ],
    });
    let prompt = text::prompt(&body);
    let expected = text::expect(&prompt, work.output);
    (body.to_string().into(), text::seed(&prompt), expected)
}

fn call(work: &Work, own: &str) -> (Bytes, u64, String) {
    let body = json!({"order": own, "class": work.class}).to_string();
    let expected = text::reply(body.as_bytes());
    (body.clone().into(), text::body_seed(body.as_bytes()), expected)
}

fn filler(seed: u64, bytes: usize) -> String {
    let words = u32::try_from(bytes / text::TOKEN).unwrap_or(u32::MAX);
    let mut text = text::span(seed, 0, words);
    text.truncate(bytes);
    text
}
