//! Which prompt blocks an upstream is thought to hold.

use std::collections::BTreeMap;

use verbenaslip_base::data;

/// Tokens in one block of a prompt: 64 bytes of text at 4 bytes a token.
pub(crate) const BLOCK_TOKENS: u32 = 16;

/// How sure an own dispatch makes that its blocks are cached afterwards.
const SENT_CONFIDENCE: f32 = 0.9;
/// The part of lost events that are thought to be evictions.
const EVICTED_FRACTION: f32 = 0.5;
/// The trust below which a block no longer counts.
const MIN_CONFIDENCE: f32 = 0.3;
/// The fewest blocks against which lost events are weighed.
const MIN_LOSS_BASE: usize = 64;

/// Carries cache events of an upstream, numbered without holes.
#[data]
pub struct CacheBatch {
    /// The number after the last of these events.
    pub next_sequence: u64,
    /// Whether events before these were lost.
    pub gap: bool,
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}

/// Tells of one block.
#[data(copy, ord, hash)]
pub enum CacheEvent {
    /// The block is cached now.
    Stored(u64),
    /// The block is cached no more.
    Evicted(u64),
}

/// Remembers a bounded number of blocks, the latest used ones.
#[derive(Debug)]
pub struct CacheIndex {
    max_blocks: usize,
    blocks: BTreeMap<u64, BlockState>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
    lost_events: u64,
    next_sequence: u64,
}

/// Holds what is known of one block.
#[derive(Debug, Clone, Copy)]
struct BlockState {
    last_used: u64,
    confidence: f32,
    lost_events: u64,
}

impl CacheIndex {
    /// Starts empty, for so many blocks at most.
    pub fn new(max_blocks: usize) -> Self {
        let (blocks, by_last_use) = (BTreeMap::new(), BTreeMap::new());
        Self {
            max_blocks: max_blocks.max(1),
            blocks,
            by_last_use,
            clock: 0,
            lost_events: 0,
            next_sequence: 0,
        }
    }

    /// Takes events; those that were taken before are taken again without harm.
    pub fn apply(&mut self, batch: &CacheBatch) {
        if batch.gap {
            let first = batch.next_sequence.saturating_sub(batch.events.len() as u64);
            self.lost_events =
                self.lost_events.saturating_add(first.saturating_sub(self.next_sequence).max(1));
        }
        self.next_sequence = self.next_sequence.max(batch.next_sequence);
        for event in &batch.events {
            match *event {
                CacheEvent::Stored(block) => self.insert(block, 1.0),
                CacheEvent::Evicted(block) => self.remove(block),
            }
        }
    }

    /// Notes that a prompt was sent there, so that its blocks will be cached.
    pub fn record_prompt(&mut self, prefix: &[u64]) {
        // The last blocks are put first, so that the shared beginning is the last to be forgotten.
        for block in prefix.iter().rev().take(self.max_blocks) {
            let confidence = self.confidence(*block).max(SENT_CONFIDENCE);
            self.insert(*block, confidence);
        }
    }

    /// Forgets everything, as after a restart of the upstream.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.by_last_use.clear();
        self.lost_events = 0;
        self.next_sequence = 0;
    }

    /// Returns the tokens of a prompt that are expected to be cached.
    pub fn cached_tokens(&self, prefix: &[u64]) -> f64 {
        // A block is only cached with all before it, so the known ones form a beginning whose end
        // is found in few steps; a hole that a lost event has left may shorten it.
        let known_blocks =
            prefix.partition_point(|block| self.confidence(*block) >= MIN_CONFIDENCE);
        let Some(last) = known_blocks.checked_sub(1).and_then(|last| prefix.get(last)) else {
            return 0.0;
        };
        known_blocks as f64 * f64::from(BLOCK_TOKENS) * f64::from(self.confidence(*last))
    }

    /// Returns the sequence from which events are asked for next.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns how many blocks are remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Changes the most blocks that are remembered.
    pub(crate) fn resize(&mut self, max_blocks: usize) {
        self.max_blocks = max_blocks.max(1);
        self.evict_oldest();
    }

    fn confidence(&self, block: u64) -> f32 {
        let Some(state) = self.blocks.get(&block) else { return 0.0 };
        // Each lost event may have evicted any of the blocks, so trust falls by their share of all.
        let lost = self.lost_events.saturating_sub(state.lost_events) as f32 * EVICTED_FRACTION;
        state.confidence * (1.0 - lost / self.blocks.len().max(MIN_LOSS_BASE) as f32).max(0.0)
    }

    fn insert(&mut self, block: u64, confidence: f32) {
        self.clock += 1;
        let state = BlockState { last_used: self.clock, confidence, lost_events: self.lost_events };
        if let Some(old) = self.blocks.insert(block, state) {
            self.by_last_use.remove(&old.last_used);
        }
        self.by_last_use.insert(self.clock, block);
        self.evict_oldest();
    }

    fn remove(&mut self, block: u64) {
        if let Some(old) = self.blocks.remove(&block) {
            self.by_last_use.remove(&old.last_used);
        }
    }

    fn evict_oldest(&mut self) {
        while self.blocks.len() > self.max_blocks {
            let Some((_, block)) = self.by_last_use.pop_first() else { return };
            self.blocks.remove(&block);
        }
    }
}
