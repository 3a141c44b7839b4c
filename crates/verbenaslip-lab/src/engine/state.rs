//! The engine's state: what waits, what runs in the batch, and what both have cost.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::sync::watch;
use verbenaslip_base::announce::Load;
use verbenaslip_base::name::Model;

use super::announce;
use super::cache::Cache;
use super::fault::{Faults, Flaw};
use super::kv::{Block, Store};
use super::order::Orders;
use super::run::{Key, Phase, Progress, Run};
use super::setup::Setup;
use super::truth::{self, End, Start, Truth};
use crate::text;

/// Holds everything that an engine knows; all its time is handed in.
pub(crate) struct State {
    pub(crate) setup: Setup,
    /// The runs that have not ended.
    runs: BTreeMap<Key, Run>,
    /// The runs that have ended and can be read again.
    ended: BTreeMap<Key, Run>,
    /// The same in the order of their ends.
    ends: VecDeque<(Duration, Key)>,
    pub(crate) cache: Cache,
    pub(crate) faults: Faults,
    pub(crate) orders: Orders,
    pub(crate) kv: Store,
    pub(crate) leaving: Option<Leaving>,
    pub(crate) leaving_ms: Option<u64>,
    pub(crate) refused: u64,
    past: Vec<truth::Run>,
    loads: VecDeque<(Duration, Load)>,
    accepted: u64,
    next_token: Duration,
}

/// Says when an engine that leaves will be gone; none when it leaves once its runs have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Leaving {
    pub(crate) until: Option<Duration>,
}

/// Asks for a run.
pub(crate) struct Job {
    pub(crate) key: Key,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) limit: u32,
    pub(crate) priority: i32,
    pub(crate) resume: Option<Resume>,
    pub(crate) handle: Option<String>,
}

/// Holds the answer so far.
pub(crate) struct Resume {
    pub(crate) text: String,
    pub(crate) tokens: u32,
}

/// Says why a run was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refused {
    /// The model is not loaded.
    Model,
    /// The KV cache is not here.
    Handle,
    /// The attempt is known already.
    Known,
    /// The engine is gone to requests.
    Leaving,
}

impl State {
    /// Returns the state of an engine that starts now.
    pub(crate) fn new(setup: Setup) -> Self {
        Self {
            cache: Cache::new(setup.cache),
            orders: Orders::new(setup.fenced, &setup.models),
            faults: Faults::default(),
            kv: Store::default(),
            runs: BTreeMap::new(),
            ended: BTreeMap::new(),
            ends: VecDeque::new(),
            leaving: None,
            leaving_ms: None,
            refused: 0,
            past: Vec::new(),
            loads: VecDeque::new(),
            accepted: 0,
            next_token: Duration::ZERO,
            setup,
        }
    }

    /// Accepts a run into the queue.
    pub(crate) fn accept(&mut self, now: Duration, unix: u64, job: Job) -> Result<(), Refused> {
        let model = Model::from(job.model.as_str());
        if !self.orders.models(millis(now)).contains(&model) {
            return Err(Refused::Model);
        }
        if self.leaving.is_some_and(|leaving| leaving.until.is_none()) {
            return Err(Refused::Leaving);
        }
        if self.find(job.key).is_some() {
            return Err(Refused::Known);
        }
        let block = match &job.handle {
            None => None,
            Some(handle) => Some(self.kv.get(handle).cloned().ok_or(Refused::Handle)?),
        };
        self.accepted += 1;
        let key = job.key;
        let run = self.run(now, unix, job, block.as_ref());
        self.runs.insert(key, run);
        Ok(())
    }

    /// Returns a run that is known.
    pub(crate) fn find(&mut self, key: Key) -> Option<&mut Run> {
        self.runs.get_mut(&key).or_else(|| self.ended.get_mut(&key))
    }

    fn run(&mut self, now: Duration, unix: u64, job: Job, block: Option<&Block>) -> Run {
        let truth = truth_of(&job, block, unix);
        let cursor = job.resume.as_ref().map_or(truth.from, |resume| resume.tokens);
        let answer = job.resume.map(|resume| resume.text).unwrap_or_default();
        let prompt_bytes = job.prompt.len();
        let flaw = self.faults.flaw();
        Run {
            // An engine goes on from the text it is given: a wrong text gives a wrong answer.
            seed: if truth.matches { truth.seed } else { !truth.seed },
            text: (job.prompt + &answer).into(),
            prompt_bytes,
            cursor,
            limit: job.limit,
            imported: block.map(|block| block.position),
            priority: job.priority,
            rank: self.accepted,
            model: job.model,
            phase: Phase::Waiting,
            deaf: flaw == Some(Flaw::Deaf),
            flaw,
            readers: 0,
            left: now,
            progress: watch::Sender::new(Progress { position: truth.position, end: None }),
            truth,
        }
    }

    /// Does what is due; returns when something is due next.
    pub(crate) fn step(&mut self, now: Duration, unix: u64) -> Option<Duration> {
        if now < self.faults.frozen {
            return Some(self.faults.frozen);
        }
        self.abandon(now, unix);
        self.admit(now, unix);
        self.start_decoding(now);
        self.generate(now, unix);
        self.admit(now, unix);
        self.next(now)
    }

    /// Ends a run; says whether it was still going on.
    pub(crate) fn end(&mut self, now: Duration, unix: u64, key: Key, end: End) -> bool {
        let Some(mut run) = self.runs.remove(&key) else { return false };
        run.end(unix, end);
        if run.truth.began_ms.is_some() {
            let text = format!(
                "{}{}",
                &run.text[..run.prompt_bytes],
                text::span(run.seed, 0, run.truth.position)
            );
            let blocks = text::blocks(&text);
            self.cache.store(now, &blocks);
        }
        self.ended.insert(key, run);
        self.ends.push_back((now, key));
        true
    }

    /// Ends a run and keeps its KV cache to be handed on.
    pub(crate) fn export(&mut self, now: Duration, unix: u64, key: Key) -> Option<Block> {
        let run = self.runs.get(&key)?;
        if run.phase != Phase::Decode {
            return None;
        }
        let block = Block {
            handle: format!("{:032x}-{}", key.0, key.1),
            seed: run.seed,
            prompt: run.truth.prompt,
            position: run.truth.position,
        };
        self.kv.put(block.clone());
        self.end(now, unix, key, End::Exported);
        Some(block)
    }

    /// Tells what was done.
    pub(crate) fn truth(&self) -> Truth {
        let mut runs = self.past.clone();
        let known = self.ended.values().chain(self.runs.values());
        runs.extend(known.map(|run| run.truth.clone()));
        Truth {
            name: self.setup.upstream.to_string(),
            leaving_ms: self.leaving_ms,
            refused: self.refused,
            runs,
        }
    }

    /// Says whether a run goes on, and whether it obeys a cancel.
    pub(crate) fn cancellable(&self, key: Key) -> Option<bool> {
        self.runs.get(&key).map(|run| !run.deaf)
    }

    /// Returns how many runs have not ended.
    pub(crate) fn open(&self) -> usize {
        self.runs.len()
    }

    /// Measures the load.
    pub(crate) fn sample(&mut self, now: Duration) {
        let running = self.runs.values().filter(|run| run.running()).count();
        let waiting = self.runs.values().filter(|run| run.phase == Phase::Waiting).count();
        let load = Load {
            running: u32::try_from(running).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            memory: self.cache.share(),
            age: 0,
        };
        self.loads.push_back((now, load));
        let lag = self.setup.pace.lag;
        while self.loads.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.loads.pop_front();
        }
    }

    /// Reports the load as it was a lag ago.
    pub(crate) fn load(&self, now: Duration) -> Load {
        let Some((at, load)) = self.loads.front() else { return Load::default() };
        let age = now.saturating_sub(*at).as_millis();
        Load { age: u32::try_from(age).unwrap_or(u32::MAX), ..*load }
    }

    /// Returns the phase to announce.
    pub(crate) fn phase(&self, now: Duration) -> announce::Phase {
        match self.leaving {
            Some(leaving) => announce::Phase::Leaving(leaving.until),
            None if now < self.setup.warm => announce::Phase::Warming,
            None => announce::Phase::Ready,
        }
    }

    fn abandon(&mut self, now: Duration, unix: u64) {
        let grace = self.setup.grace;
        let unread = |run: &Run| run.readers == 0 && run.left + grace <= now;
        let keys: Vec<Key> =
            self.runs.iter().filter(|(_, run)| unread(run)).map(|(key, _)| *key).collect();
        for key in keys {
            self.end(now, unix, key, End::Abandoned);
        }
        while self.ends.front().is_some_and(|(at, _)| *at + self.setup.keep <= now) {
            let Some((_, key)) = self.ends.pop_front() else { return };
            self.past.extend(self.ended.remove(&key).map(|run| run.truth));
        }
    }

    fn admit(&mut self, now: Duration, unix: u64) {
        let mut running = self.runs.values().filter(|run| run.running()).count();
        while running < self.setup.slots as usize {
            let waiting = self.runs.iter().filter(|(_, run)| run.phase == Phase::Waiting);
            let first = waiting.min_by_key(|(_, run)| (-i64::from(run.priority), run.rank));
            let Some((key, _)) = first else { return };
            let key = *key;
            self.begin(now, unix, key);
            running += 1;
        }
    }

    fn begin(&mut self, now: Duration, unix: u64, key: Key) {
        let Some(run) = self.runs.get_mut(&key) else { return };
        let blocks = text::blocks(&run.text);
        let cached = self.cache.hit(&blocks) * text::BLOCK;
        let cold = run.begin(unix, cached);
        let time = self.faults.stretch(now, self.setup.pace.prefill * cold);
        run.phase = Phase::Prefill(now + time);
    }

    fn start_decoding(&mut self, now: Duration) {
        for run in self.runs.values_mut() {
            if matches!(run.phase, Phase::Prefill(until) if until <= now) {
                run.phase = Phase::Decode;
                if run.imported.is_none() {
                    self.cache.store(now, &text::blocks(&run.text));
                }
            }
        }
    }

    fn generate(&mut self, now: Duration, unix: u64) {
        if now < self.next_token {
            return;
        }
        let decoding: Vec<Key> = self
            .runs
            .iter()
            .filter(|(_, run)| run.phase == Phase::Decode)
            .map(|(key, _)| *key)
            .collect();
        let Some(more) = u32::try_from(decoding.len()).ok().and_then(|count| count.checked_sub(1))
        else {
            return;
        };
        for key in decoding {
            let Some(run) = self.runs.get_mut(&key) else { continue };
            if run.truth.position >= run.limit || run.generate() {
                self.end(now, unix, key, End::Done);
            }
        }
        let pace = self.setup.pace;
        let step = self.faults.stretch(now, pace.token + pace.batch * more);
        self.next_token += step;
        // An engine that was idle or frozen does not make up for it with a burst.
        if self.next_token <= now {
            self.next_token = now + step;
        }
    }

    fn next(&self, now: Duration) -> Option<Duration> {
        let token = || self.next_token.max(now);
        self.runs
            .values()
            .filter_map(|run| match run.phase {
                Phase::Prefill(until) => Some(until),
                Phase::Decode => Some(token()),
                Phase::Waiting if run.readers == 0 => Some(run.left + self.setup.grace),
                Phase::Waiting => None,
            })
            .min()
    }
}

/// Tells of a run that is accepted now.
fn truth_of(job: &Job, block: Option<&Block>, unix: u64) -> truth::Run {
    let seed = text::seed(&job.prompt);
    let mut truth = truth::Run::new(format!("{:032x}", job.key.0), job.key.1, seed, unix);
    truth.prompt = text::tokens(job.prompt.len());
    if let Some(resume) = &job.resume {
        truth.start = Start::Resume;
        truth.from = resume.tokens;
        truth.matches = resume.text == text::span(seed, 0, resume.tokens);
    }
    if let Some(block) = block {
        truth.start = Start::Import;
        // What the cache covers beyond the text handed in is sent again, not computed again.
        truth.from = truth.from.max(block.position);
        truth.matches &= block.seed == seed;
    }
    truth.position = truth.from;
    truth
}

/// Returns a time in whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
