//! Which prompt blocks an upstream is thought to hold.

use std::collections::BTreeMap;

use verbenaslip_base::data;

/// Tokens in one block of a prompt: 64 bytes of text at 4 bytes a token.
pub(crate) const BLOCK_TOKENS: u32 = 16;

/// How sure an own dispatch makes that its blocks are cached afterwards.
const HINT: f32 = 0.9;
/// The part of lost events that are thought to be evictions.
const EVICTIONS: f32 = 0.5;
/// The trust below which a block no longer counts.
const DOUBT: f32 = 0.3;
/// The fewest blocks against which lost events are weighed.
const FEWEST: usize = 64;

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
pub struct Cache {
    most: usize,
    blocks: BTreeMap<u64, Known>,
    ages: BTreeMap<u64, u64>,
    clock: u64,
    lost: u64,
    next: u64,
}

/// Holds what is known of one block.
#[derive(Debug, Clone, Copy)]
struct Known {
    used: u64,
    trust: f32,
    lost: u64,
}

impl Cache {
    /// Starts empty, for so many blocks at most.
    pub fn new(most: usize) -> Self {
        let (blocks, ages) = (BTreeMap::new(), BTreeMap::new());
        Self { most: most.max(1), blocks, ages, clock: 0, lost: 0, next: 0 }
    }

    /// Takes events; those that were taken before are taken again without harm.
    pub fn events(&mut self, batch: &CacheBatch) {
        if batch.gap {
            let first = batch.next_sequence.saturating_sub(batch.events.len() as u64);
            self.lost = self.lost.saturating_add(first.saturating_sub(self.next).max(1));
        }
        self.next = self.next.max(batch.next_sequence);
        for change in &batch.events {
            match *change {
                CacheEvent::Stored(block) => self.put(block, 1.0),
                CacheEvent::Evicted(block) => self.drop_block(block),
            }
        }
    }

    /// Notes that a prompt was sent there, so that its blocks will be cached.
    pub fn sent(&mut self, prefix: &[u64]) {
        // The last blocks are put first, so that the shared beginning is the last to be forgotten.
        for block in prefix.iter().rev().take(self.most) {
            let trust = self.trust(*block).max(HINT);
            self.put(*block, trust);
        }
    }

    /// Forgets everything, as after a restart of the upstream.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.ages.clear();
        self.lost = 0;
        self.next = 0;
    }

    /// Returns the tokens of a prompt that are expected to be cached.
    pub fn tokens(&self, prefix: &[u64]) -> f64 {
        // A block is only cached with all before it, so the known ones form a beginning whose end
        // is found in few steps; a hole that a lost event has left may shorten it.
        let known = prefix.partition_point(|block| self.trust(*block) >= DOUBT);
        let Some(last) = known.checked_sub(1).and_then(|last| prefix.get(last)) else { return 0.0 };
        known as f64 * f64::from(BLOCK_TOKENS) * f64::from(self.trust(*last))
    }

    /// Returns the sequence from which events are asked for next.
    pub fn next(&self) -> u64 {
        self.next
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
    pub(crate) fn resize(&mut self, most: usize) {
        self.most = most.max(1);
        self.shrink();
    }

    fn trust(&self, block: u64) -> f32 {
        let Some(known) = self.blocks.get(&block) else { return 0.0 };
        // Each lost event may have evicted any of the blocks, so trust falls by their share of all.
        let lost = self.lost.saturating_sub(known.lost) as f32 * EVICTIONS;
        known.trust * (1.0 - lost / self.blocks.len().max(FEWEST) as f32).max(0.0)
    }

    fn put(&mut self, block: u64, trust: f32) {
        self.clock += 1;
        let known = Known { used: self.clock, trust, lost: self.lost };
        if let Some(old) = self.blocks.insert(block, known) {
            self.ages.remove(&old.used);
        }
        self.ages.insert(self.clock, block);
        self.shrink();
    }

    fn drop_block(&mut self, block: u64) {
        if let Some(old) = self.blocks.remove(&block) {
            self.ages.remove(&old.used);
        }
    }

    fn shrink(&mut self) {
        while self.blocks.len() > self.most {
            let Some((_, block)) = self.ages.pop_first() else { return };
            self.blocks.remove(&block);
        }
    }
}
