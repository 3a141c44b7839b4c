//! Simulates an engine with slots, a batch, a prefix cache and delayed load reports.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Load, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_policy::route::CacheEvent;

/// The maximum number of prompt tokens computed in one iteration.
const MAX_CHUNK_TOKENS: u32 = 2048;
/// Tokens in one prompt block.
const BLOCK_TOKENS: u32 = 16;

/// A simulated engine or plain service.
pub struct Engine {
    pub announcement: Announcement,
    pub alive: bool,
    pub iterating: bool,
    pub speed: Speed,
    pub waiting: Vec<Job>,
    pub batch: Vec<Job>,
    pub cache: Lru,
    pub events: Vec<CacheEvent>,
    pub reported_load: Load,
    pub busy_time: Duration,
    pub computed_tokens: u64,
    pub slowdown: f64,
    order: u64,
}

/// The speed of an engine and the size of its cache.
#[derive(Clone, Copy)]
pub struct Speed {
    pub base_seconds: f64,
    pub seconds_per_job: f64,
    pub prefill_tokens_per_second: f64,
    pub cache_blocks: usize,
}

/// A run of a request at an engine.
#[derive(Clone)]
pub struct Job {
    pub request: Request,
    pub attempt: u32,
    pub priority: i32,
    pub prompt: u32,
    pub tokens: u32,
    pub prefix: Vec<u64>,
    pub computed_tokens: u32,
    pub tokens_to_compute: u32,
    pub produced_tokens: u32,
    order: u64,
}

/// Describes the result of an iteration for one request: the request and its attempt.
pub enum Progress {
    FirstToken(Request, u32),
    Completed(Request, u32),
}

impl Engine {
    pub fn new(announcement: Announcement, speed: Speed) -> Self {
        Self {
            announcement,
            alive: true,
            iterating: false,
            speed,
            waiting: Vec::new(),
            batch: Vec::new(),
            cache: Lru::new(speed.cache_blocks),
            events: Vec::new(),
            reported_load: Load::default(),
            busy_time: Duration::ZERO,
            computed_tokens: 0,
            slowdown: 1.0,
            order: 0,
        }
    }

    pub fn is_ready(&self) -> bool {
        self.alive && self.announcement.phase == Phase::Ready
    }

    pub fn submit(&mut self, mut job: Job) {
        self.order += 1;
        job.order = self.order;
        self.waiting.push(job);
    }

    pub fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    /// Fills free slots in order of priority and returns the duration of the next iteration.
    pub fn begin_iteration(&mut self) -> Duration {
        self.waiting.sort_by_key(|job| (std::cmp::Reverse(job.priority), job.order));
        while self.batch.len() < self.announcement.slots as usize && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            let cached = self.cache.cached_prefix_len(&job.prefix) as u32 * BLOCK_TOKENS;
            job.tokens_to_compute = job.prompt.saturating_sub(cached).max(1);
            self.batch.push(job);
        }
        let decoding =
            self.batch.iter().filter(|job| job.computed_tokens >= job.tokens_to_compute).count();
        let prefill = f64::from(self.chunk_tokens()) / self.speed.prefill_tokens_per_second;
        let decode = if decoding == 0 {
            0.0
        } else {
            self.speed.base_seconds + self.speed.seconds_per_job * decoding as f64
        };
        let took = Duration::from_secs_f64((prefill + decode).max(0.000_1) * self.slowdown);
        self.busy_time += took;
        took
    }

    /// Ends the iteration and returns its results.
    pub fn end_iteration(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        let chunk_tokens = self.chunk_tokens();
        let target = self.batch.iter().position(|job| job.computed_tokens < job.tokens_to_compute);
        for job in self.batch.iter_mut().filter(|job| job.computed_tokens >= job.tokens_to_compute)
        {
            job.produced_tokens += 1;
        }
        if let Some(index) = target {
            let job = &mut self.batch[index];
            job.computed_tokens += chunk_tokens;
            self.computed_tokens += u64::from(chunk_tokens);
            if job.computed_tokens >= job.tokens_to_compute {
                job.produced_tokens = 1;
                progress.push(Progress::FirstToken(job.request, job.attempt));
                let (stored, evicted) = self.cache.store(&job.prefix);
                self.events.extend(stored.into_iter().map(CacheEvent::Stored));
                self.events.extend(evicted.into_iter().map(CacheEvent::Evicted));
            }
        }
        self.batch.retain(|job| {
            let done = job.produced_tokens >= job.tokens;
            if done {
                progress.push(Progress::Completed(job.request, job.attempt));
            }
            !done
        });
        progress
    }

    /// Returns the job whose prefill ends with this iteration.
    pub fn finishing_prefill(&self) -> Option<&Job> {
        let job = self.batch.iter().find(|job| job.computed_tokens < job.tokens_to_compute)?;
        (job.tokens_to_compute - job.computed_tokens <= MAX_CHUNK_TOKENS).then_some(job)
    }

    fn chunk_tokens(&self) -> u32 {
        let job = self.batch.iter().find(|job| job.computed_tokens < job.tokens_to_compute);
        job.map_or(0, |job| (job.tokens_to_compute - job.computed_tokens).min(MAX_CHUNK_TOKENS))
    }
}

impl Job {
    pub fn new(request: Request, attempt: u32, prompt: u32, tokens: u32) -> Self {
        Self {
            request,
            attempt,
            priority: 0,
            prompt,
            tokens: tokens.max(1),
            prefix: Vec::new(),
            computed_tokens: 0,
            tokens_to_compute: 0,
            produced_tokens: 0,
            order: 0,
        }
    }
}

/// Holds the least recently used (LRU) cache of prompt blocks.
pub struct Lru {
    max_blocks: usize,
    last_use: BTreeMap<u64, u64>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
}

impl Lru {
    fn new(max_blocks: usize) -> Self {
        Self { max_blocks, last_use: BTreeMap::new(), by_last_use: BTreeMap::new(), clock: 0 }
    }

    /// Returns the number of cached blocks at the start of `prefix`.
    pub fn cached_prefix_len(&self, prefix: &[u64]) -> usize {
        prefix.iter().take_while(|block| self.last_use.contains_key(block)).count()
    }

    /// Stores blocks so that the first ones count as most recently used, and returns the new and
    /// the evicted blocks.
    fn store(&mut self, prefix: &[u64]) -> (Vec<u64>, Vec<u64>) {
        let (mut stored, mut evicted) = (Vec::new(), Vec::new());
        for block in prefix.iter().rev() {
            self.clock += 1;
            match self.last_use.insert(*block, self.clock) {
                Some(old) => drop(self.by_last_use.remove(&old)),
                None => stored.push(*block),
            }
            self.by_last_use.insert(self.clock, *block);
        }
        while self.last_use.len() > self.max_blocks {
            let Some((_, block)) = self.by_last_use.pop_first() else { break };
            self.last_use.remove(&block);
            evicted.push(block);
        }
        (stored, evicted)
    }
}

/// Published cache events that have not arrived yet.
pub type PendingEvents = VecDeque<(Duration, verbenaslip_policy::route::CacheBatch)>;
