//! A discrete stand-in for an engine: slots, a batch, a prefix cache, late reports.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Load, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_policy::route::CacheEvent;

/// Tokens of a prompt that one iteration computes at most.
const CHUNK: u32 = 2048;
/// Tokens in a block.
const BLOCK: u32 = 16;

/// One engine or plain service.
pub struct Engine {
    pub announcement: Announcement,
    pub alive: bool,
    pub stepping: bool,
    pub speed: Speed,
    pub waiting: Vec<Job>,
    pub batch: Vec<Job>,
    pub cache: Lru,
    pub events: Vec<CacheEvent>,
    pub reported: Load,
    pub busy: Duration,
    pub computed: u64,
    pub slowed: f64,
    order: u64,
}

/// How fast an engine is.
#[derive(Clone, Copy)]
pub struct Speed {
    pub base: f64,
    pub crowding: f64,
    pub prefill: f64,
    pub blocks: usize,
}

/// One run at an engine.
#[derive(Clone)]
pub struct Job {
    pub request: Request,
    pub attempt: u32,
    pub priority: i32,
    pub prompt: u32,
    pub tokens: u32,
    pub prefix: Vec<u64>,
    pub computed: u32,
    pub to_compute: u32,
    pub made: u32,
    order: u64,
}

/// Tells what an iteration brought.
pub enum Progress {
    First(Request, u32),
    Ended(Request, u32),
}

impl Engine {
    pub fn new(announcement: Announcement, speed: Speed) -> Self {
        Self {
            announcement,
            alive: true,
            stepping: false,
            speed,
            waiting: Vec::new(),
            batch: Vec::new(),
            cache: Lru::new(speed.blocks),
            events: Vec::new(),
            reported: Load::default(),
            busy: Duration::ZERO,
            computed: 0,
            slowed: 1.0,
            order: 0,
        }
    }

    pub fn ready(&self) -> bool {
        self.alive && self.announcement.phase == Phase::Ready
    }

    pub fn submit(&mut self, mut job: Job) {
        self.order += 1;
        job.order = self.order;
        self.waiting.push(job);
    }

    pub fn idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    /// Fills free slots, highest priority first, and returns how long the next iteration takes.
    pub fn begin(&mut self) -> Duration {
        self.waiting.sort_by_key(|job| (std::cmp::Reverse(job.priority), job.order));
        while self.batch.len() < self.announcement.slots as usize && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            let cached = self.cache.known(&job.prefix) as u32 * BLOCK;
            job.to_compute = job.prompt.saturating_sub(cached).max(1);
            self.batch.push(job);
        }
        let decoding = self.batch.iter().filter(|job| job.computed >= job.to_compute).count();
        let prefill = f64::from(self.chunk()) / self.speed.prefill;
        let decode = if decoding == 0 {
            0.0
        } else {
            self.speed.base + self.speed.crowding * decoding as f64
        };
        let took = Duration::from_secs_f64((prefill + decode).max(0.000_1) * self.slowed);
        self.busy += took;
        took
    }

    /// Ends the iteration.
    pub fn end(&mut self) -> Vec<Progress> {
        let mut progress = Vec::new();
        let chunk = self.chunk();
        let target = self.batch.iter().position(|job| job.computed < job.to_compute);
        for job in self.batch.iter_mut().filter(|job| job.computed >= job.to_compute) {
            job.made += 1;
        }
        if let Some(index) = target {
            let job = &mut self.batch[index];
            job.computed += chunk;
            self.computed += u64::from(chunk);
            if job.computed >= job.to_compute {
                job.made = 1;
                progress.push(Progress::First(job.request, job.attempt));
                let (stored, evicted) = self.cache.store(&job.prefix);
                self.events.extend(stored.into_iter().map(CacheEvent::Stored));
                self.events.extend(evicted.into_iter().map(CacheEvent::Evicted));
            }
        }
        self.batch.retain(|job| {
            let done = job.made >= job.tokens;
            if done {
                progress.push(Progress::Ended(job.request, job.attempt));
            }
            !done
        });
        progress
    }

    /// Returns the job whose prompt is computed whole at the end of this iteration.
    pub fn computed_next(&self) -> Option<&Job> {
        let job = self.batch.iter().find(|job| job.computed < job.to_compute)?;
        (job.to_compute - job.computed <= CHUNK).then_some(job)
    }

    fn chunk(&self) -> u32 {
        let job = self.batch.iter().find(|job| job.computed < job.to_compute);
        job.map_or(0, |job| (job.to_compute - job.computed).min(CHUNK))
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
            computed: 0,
            to_compute: 0,
            made: 0,
            order: 0,
        }
    }
}

/// Keeps the blocks used last.
pub struct Lru {
    most: usize,
    used: BTreeMap<u64, u64>,
    ages: BTreeMap<u64, u64>,
    clock: u64,
}

impl Lru {
    fn new(most: usize) -> Self {
        Self { most, used: BTreeMap::new(), ages: BTreeMap::new(), clock: 0 }
    }

    /// Returns how many blocks from the start are held.
    pub fn known(&self, prefix: &[u64]) -> usize {
        prefix.iter().take_while(|block| self.used.contains_key(block)).count()
    }

    /// Stores blocks, the first ones as the last used, and returns what is new and what had to go.
    fn store(&mut self, prefix: &[u64]) -> (Vec<u64>, Vec<u64>) {
        let (mut stored, mut evicted) = (Vec::new(), Vec::new());
        for block in prefix.iter().rev() {
            self.clock += 1;
            match self.used.insert(*block, self.clock) {
                Some(old) => drop(self.ages.remove(&old)),
                None => stored.push(*block),
            }
            self.ages.insert(self.clock, *block);
        }
        while self.used.len() > self.most {
            let Some((_, block)) = self.ages.pop_first() else { break };
            self.used.remove(&block);
            evicted.push(block);
        }
        (stored, evicted)
    }
}

/// Cache events that were published and are still on their way.
pub type Mail = VecDeque<(Duration, verbenaslip_policy::route::CacheBatch)>;
