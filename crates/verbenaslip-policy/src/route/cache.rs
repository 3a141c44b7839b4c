//! Estimates which prompt blocks an upstream has cached.

use std::collections::BTreeMap;

use verbenaslip_base::data;

/// Tokens in one prompt block: 64 bytes of text at 4 bytes per token.
pub(crate) const BLOCK_TOKENS: u32 = 16;

/// The confidence that the blocks of a prompt sent by this instance are cached afterwards.
const SENT_CONFIDENCE: f32 = 0.9;
/// The fraction of lost events that are assumed to be evictions.
const EVICTED_FRACTION: f32 = 0.5;
/// The confidence below which a block no longer counts as cached.
const MIN_CONFIDENCE: f32 = 0.3;
/// The minimum number of blocks to which lost events are related.
const MIN_LOSS_BASE: usize = 64;

/// Holds consecutively numbered cache events of an upstream.
#[data]
pub struct CacheBatch {
    /// The sequence number that follows the last of these events.
    pub next_sequence: u64,
    /// Whether events before these were lost.
    pub gap: bool,
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
}

/// Describes a change of one cached block.
#[data(copy, ord, hash)]
pub enum CacheEvent {
    /// The block is now cached.
    Stored(u64),
    /// The block is no longer cached.
    Evicted(u64),
}

/// Holds a bounded number of the most recently used blocks.
#[derive(Debug)]
pub struct CacheIndex {
    max_blocks: usize,
    blocks: BTreeMap<u64, BlockState>,
    by_last_use: BTreeMap<u64, u64>,
    clock: u64,
    lost_events: u64,
    next_sequence: u64,
}

/// Holds the state of one block.
#[derive(Debug, Clone, Copy)]
struct BlockState {
    last_used: u64,
    confidence: f32,
    lost_events: u64,
}

impl CacheIndex {
    /// Creates an empty index for at most `max_blocks` blocks.
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

    /// Applies events. Applying the same events again is harmless.
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

    /// Records that a prompt was sent to the upstream, so that its blocks will be cached.
    pub fn record_prompt(&mut self, prefix: &[u64]) {
        // The last blocks are inserted first, so that the shared beginning of prompts is evicted
        // last.
        for block in prefix.iter().rev().take(self.max_blocks) {
            let confidence = self.confidence(*block).max(SENT_CONFIDENCE);
            self.insert(*block, confidence);
        }
    }

    /// Removes everything, for example after a restart of the upstream.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.by_last_use.clear();
        self.lost_events = 0;
        self.next_sequence = 0;
    }

    /// Returns the expected number of cached tokens of a prompt.
    pub fn cached_tokens(&self, prefix: &[u64]) -> f64 {
        // A block is cached only together with all blocks before it, so the known blocks form a
        // prefix and a binary search finds its end. A gap left by a lost event may shorten the
        // result.
        let known_blocks =
            prefix.partition_point(|block| self.confidence(*block) >= MIN_CONFIDENCE);
        let Some(last) = known_blocks.checked_sub(1).and_then(|last| prefix.get(last)) else {
            return 0.0;
        };
        known_blocks as f64 * f64::from(BLOCK_TOKENS) * f64::from(self.confidence(*last))
    }

    /// Returns the sequence number from which events are requested next.
    pub fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Sets the maximum number of blocks.
    pub(crate) fn resize(&mut self, max_blocks: usize) {
        self.max_blocks = max_blocks.max(1);
        self.evict_oldest();
    }

    fn confidence(&self, block: u64) -> f32 {
        let Some(state) = self.blocks.get(&block) else { return 0.0 };
        // Each lost event may have evicted any block, so the confidence falls by the number of lost
        // evictions divided by the number of blocks.
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
