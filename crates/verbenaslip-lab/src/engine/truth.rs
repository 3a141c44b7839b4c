//! What an engine really did, known outside verbenaslip.

use std::collections::BTreeMap;

use verbenaslip_base::data;

/// Tells what one back end did.
#[data(default)]
pub struct Truth {
    /// The back end's name.
    pub name: String,
    /// Unix milliseconds at which it began to leave.
    pub leaving_ms: Option<u64>,
    /// Requests that it refused as not run.
    pub refused: u64,
    /// Every run of every request.
    pub runs: Vec<Run>,
}

/// Tells of one run.
#[data]
pub struct Run {
    /// The request as named by verbenaslip, in hex.
    pub request: String,
    /// The attempt.
    pub attempt: u32,
    /// Stands for the prompt's text or the body, whatever the request was named.
    pub seed: u64,
    /// Unix milliseconds at which it was accepted.
    pub accepted_ms: u64,
    /// Unix milliseconds at which it began to compute; none if it never did.
    pub began_ms: Option<u64>,
    /// Unix milliseconds at which it ended.
    pub ended_ms: Option<u64>,
    /// How it began.
    pub start: Start,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Tokens of the prompt that it computed, always the last ones.
    pub computed: u32,
    /// Answer tokens that were handed in and computed as prompt, always the last ones before `from`.
    pub replayed: u32,
    /// The answer position after which it generated.
    pub from: u32,
    /// The last position generated.
    pub position: u32,
    /// How it ended.
    pub end: Option<End>,
    /// Whether the answer text handed in was the one that this prompt has.
    pub matches: bool,
}

impl Run {
    /// Returns a fresh run that is accepted and has not begun.
    pub fn new(request: impl Into<String>, attempt: u32, seed: u64, accepted_ms: u64) -> Self {
        Self {
            request: request.into(),
            attempt,
            seed,
            accepted_ms,
            began_ms: None,
            ended_ms: None,
            start: Start::Fresh,
            prompt: 0,
            computed: 0,
            replayed: 0,
            from: 0,
            position: 0,
            end: None,
            matches: true,
        }
    }
}

/// Says how a run began.
#[data(copy)]
#[serde(rename_all = "snake_case")]
pub enum Start {
    /// From the prompt.
    Fresh,
    /// From prompt and answer so far.
    Resume,
    /// From an imported KV cache.
    Import,
}

/// Says how a run ended.
#[data(copy)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// The answer was whole.
    Done,
    /// It was cancelled.
    Cancelled,
    /// Nobody read it for the grace.
    Abandoned,
    /// Its KV cache was exported.
    Exported,
}

/// Sums up the tokens of all runs of one request over all back ends.
#[data(copy, default)]
pub struct Tokens {
    /// Prompt tokens computed.
    pub prompt: u64,
    /// Answer tokens generated.
    pub generated: u64,
    /// Prompt and answer tokens computed that had been computed before for the same request.
    pub again: u64,
}

impl Truth {
    /// Sums up the tokens of many back ends' runs.
    pub fn tokens<'a>(truths: impl IntoIterator<Item = &'a Self>) -> Tokens {
        let mut requests: BTreeMap<u64, Vec<&Run>> = BTreeMap::new();
        for run in truths.into_iter().flat_map(|truth| &truth.runs) {
            requests.entry(run.seed).or_default().push(run);
        }
        let mut sum = Tokens::default();
        for runs in requests.values() {
            let one = of_request(runs);
            sum.prompt += one.prompt;
            sum.generated += one.generated;
            sum.again += one.again;
        }
        sum
    }
}

fn of_request(runs: &[&Run]) -> Tokens {
    let prompt: u64 = runs.iter().map(|run| u64::from(run.computed)).sum();
    // Every run computes the prompt's end, so the longest end covers all others.
    let prompt_once = runs.iter().map(|run| u64::from(run.computed)).max().unwrap_or_default();
    let generated = runs.iter().map(|run| u64::from(run.position - run.from)).sum();
    let spans = runs.iter().map(|run| (run.from.saturating_sub(run.replayed), run.position));
    let (all, once) = cover(spans.collect());
    Tokens { prompt, generated, again: (prompt - prompt_once) + (all - once) }
}

/// Returns the length of all spans and of their union.
fn cover(mut spans: Vec<(u32, u32)>) -> (u64, u64) {
    spans.sort_unstable();
    let mut all = 0;
    let mut once = 0;
    let mut reached = 0;
    for (from, to) in spans {
        all += u64::from(to.saturating_sub(from));
        once += u64::from(to.saturating_sub(from.max(reached)));
        reached = reached.max(to);
    }
    (all, once)
}
