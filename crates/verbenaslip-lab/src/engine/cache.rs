//! The bounded prefix cache and the events it publishes late and with gaps.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use verbenaslip_base::data;

use super::setup;

/// Holds the most recently used blocks of prompt and answer text.
pub(crate) struct Cache {
    setup: setup::Cache,
    /// Each held block with the tick of its last use.
    held: BTreeMap<u64, u64>,
    /// The held blocks from the least recently used.
    order: BTreeMap<u64, u64>,
    tick: u64,
    log: VecDeque<(Duration, Event)>,
    /// The sequence before which events were dropped.
    dropped: u64,
    sequence: u64,
    /// Sequences of single events that were lost.
    lost: VecDeque<u64>,
}

/// Tells of one block that the cache took in or let go.
#[data]
pub struct Event {
    /// Counts events from 1.
    pub sequence: u64,
    /// What happened.
    pub op: Op,
    /// The block's hash.
    pub block: u64,
}

/// Says what happened to a block.
#[data(copy)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// It was taken in.
    Stored,
    /// It was let go.
    Evicted,
}

/// Answers which events came since a sequence.
#[data]
pub struct Page {
    /// What to ask for next.
    pub next: u64,
    /// Whether events between were lost.
    pub gap: bool,
    /// The events.
    pub events: Vec<Event>,
}

impl Cache {
    /// Returns an empty cache.
    pub(crate) fn new(setup: setup::Cache) -> Self {
        Self {
            setup,
            held: BTreeMap::new(),
            order: BTreeMap::new(),
            tick: 0,
            log: VecDeque::new(),
            dropped: 0,
            sequence: 0,
            lost: VecDeque::new(),
        }
    }

    /// Returns how many of the blocks are held, from the first without a hole, and marks them used.
    pub(crate) fn hit(&mut self, blocks: &[u64]) -> usize {
        let hits = blocks.iter().take_while(|block| self.held.contains_key(block)).count();
        // The first blocks are marked last, so that a chain is let go from its end.
        for block in blocks[..hits].iter().rev() {
            self.touch(*block);
        }
        hits
    }

    /// Takes in blocks.
    pub(crate) fn store(&mut self, now: Duration, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            if self.setup.blocks == 0 {
                return;
            }
            if !self.held.contains_key(block) {
                self.note(now, Op::Stored, *block);
            }
            self.touch(*block);
        }
        while self.held.len() > self.setup.blocks as usize {
            let Some((_, block)) = self.order.pop_first() else { return };
            self.held.remove(&block);
            self.note(now, Op::Evicted, block);
        }
    }

    /// Returns the share of the cache in use, in thousandths.
    pub(crate) fn share(&self) -> u16 {
        if self.setup.blocks == 0 {
            return 0;
        }
        u16::try_from(self.held.len() * 1000 / self.setup.blocks as usize).unwrap_or(1000)
    }

    /// Returns the events from a sequence on that are old enough to be published.
    pub(crate) fn page(&self, now: Duration, since: u64) -> Page {
        let due = |(at, _): &&(Duration, Event)| *at + self.setup.delay <= now;
        let published: Vec<&Event> =
            self.log.iter().take_while(due).map(|(_, event)| event).collect();
        let newest = published.last().map_or(self.dropped, |event| event.sequence);
        let next = since.max(newest + 1);
        let lost = self.lost.iter().any(|lost| (since..next).contains(lost));
        Page {
            next,
            gap: lost || since <= self.dropped && self.dropped > 0,
            events: published
                .into_iter()
                .filter(|event| event.sequence >= since)
                .cloned()
                .collect(),
        }
    }

    /// Forgets everything, as a restart of the engine's worker does.
    pub(crate) fn clear(&mut self, now: Duration) {
        let blocks: Vec<u64> = self.held.keys().copied().collect();
        self.held.clear();
        self.order.clear();
        for block in blocks {
            self.note(now, Op::Evicted, block);
        }
    }

    fn touch(&mut self, block: u64) {
        self.tick += 1;
        if let Some(old) = self.held.insert(block, self.tick) {
            self.order.remove(&old);
        }
        self.order.insert(self.tick, block);
    }

    fn note(&mut self, now: Duration, op: Op, block: u64) {
        self.sequence += 1;
        let gap = u64::from(self.setup.gap);
        if gap > 0 && self.sequence.is_multiple_of(gap) {
            self.lost.push_back(self.sequence);
            return;
        }
        self.log.push_back((now, Event { sequence: self.sequence, op, block }));
        while self.log.len() > self.setup.events as usize {
            let Some((_, event)) = self.log.pop_front() else { return };
            self.dropped = event.sequence;
            while self.lost.front().is_some_and(|lost| *lost <= event.sequence) {
                self.lost.pop_front();
            }
        }
    }
}
