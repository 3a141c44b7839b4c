//! Which prompt blocks an upstream is thought to hold.

use std::collections::BTreeMap;

use verbenaslip_base::data;

/// Tokens in one block of a prompt: 64 bytes of text at 4 bytes a token.
pub(crate) const BLOCK_TOKENS: u32 = 16;

/// How sure an own dispatch makes that its blocks are cached afterwards.
const HINT: f32 = 0.9;
/// What remains of the trust in every block when events are lost in a gap.
const AFTER_GAP: f32 = 0.7;
/// The trust below which a block no longer counts.
const DOUBT: f32 = 0.3;
/// The most gaps that matter; after these no block is trusted any more.
const MOST_GAPS: u32 = 8;

/// Carries cache events of an upstream.
#[data]
pub struct Batch {
    /// The next sequence number that the upstream will use.
    pub next: u64,
    /// Whether events before these were lost.
    pub gap: bool,
    /// The events, oldest first.
    pub changes: Vec<Change>,
}

/// Tells of one block.
#[data(copy, ord, hash)]
pub enum Change {
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
    gaps: u32,
    next: u64,
}

/// Holds what is known of one block.
#[derive(Debug, Clone, Copy)]
struct Known {
    used: u64,
    trust: f32,
    gaps: u32,
}

impl Cache {
    /// Starts empty, for so many blocks at most.
    pub fn new(most: usize) -> Self {
        let (blocks, ages) = (BTreeMap::new(), BTreeMap::new());
        Self { most: most.max(1), blocks, ages, clock: 0, gaps: 0, next: 0 }
    }

    /// Takes events; those that were taken before are taken again without harm.
    pub fn events(&mut self, batch: &Batch) {
        if batch.gap {
            self.gaps = self.gaps.saturating_add(1);
        }
        self.next = self.next.max(batch.next);
        for change in &batch.changes {
            match *change {
                Change::Stored(block) => self.put(block, 1.0),
                Change::Evicted(block) => self.drop_block(block),
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
        self.gaps = 0;
        self.next = 0;
    }

    /// Returns the tokens of a prompt that are expected to be cached.
    pub fn tokens(&self, prefix: &[u64]) -> f64 {
        // A block's hash covers all before it, so the longest known one says it all.
        let known = prefix.iter().enumerate().rev().find_map(|(index, block)| {
            let trust = self.trust(*block);
            (trust >= DOUBT).then_some((index, trust))
        });
        let Some((index, trust)) = known else { return 0.0 };
        (index as f64 + 1.0) * f64::from(BLOCK_TOKENS) * f64::from(trust)
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
        let gaps = self.gaps.saturating_sub(known.gaps);
        if gaps >= MOST_GAPS {
            return 0.0;
        }
        known.trust * AFTER_GAP.powi(gaps as i32)
    }

    fn put(&mut self, block: u64, trust: f32) {
        self.clock += 1;
        let known = Known { used: self.clock, trust, gaps: self.gaps };
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
