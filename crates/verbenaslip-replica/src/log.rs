//! The part of the log that is held in memory.

use std::collections::VecDeque;

use crate::config::Config;
use crate::entry::{Entry, Payload, Position};
use crate::voter::Identity;

/// Holds the entries after a base, and the voter sets in force.
#[derive(Debug)]
pub(crate) struct Log {
    /// The last position before the entries; everything up to it is committed.
    base: Position,
    entries: VecDeque<Entry>,
    /// The set in force at the base, then one for each configuration entry; never empty.
    configs: Vec<IndexedConfig>,
}

/// Holds a voter set and the index from which it is in force.
#[derive(Debug)]
struct IndexedConfig {
    index: u64,
    config: Config,
}

impl Log {
    /// Starts after a base with the set in force there.
    pub(crate) fn new(base: Position, config: Config) -> Self {
        let configs = vec![IndexedConfig { index: base.index, config }];
        Self { base, entries: VecDeque::new(), configs }
    }

    /// Returns the last position before the entries held.
    pub(crate) fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// Returns the term at an index, none when it is not known here.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    /// Returns the entry at an index.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index)?.checked_sub(1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Adds an entry that follows the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        if let Payload::Config(config) = &entry.payload {
            self.configs
                .push(IndexedConfig { index: entry.position.index, config: config.clone() });
        }
        self.entries.push_back(entry);
    }

    /// Drops the entry at an index and all after it, and the voter sets that came with them.
    pub(crate) fn truncate(&mut self, from: u64) {
        let keep = from.saturating_sub(self.base.index).saturating_sub(1);
        self.entries.truncate(usize::try_from(keep).unwrap_or(usize::MAX));
        let base = self.base.index;
        self.configs.retain(|indexed| indexed.index <= base || indexed.index < from);
    }

    /// Drops the entries up to an index, which becomes the base.
    pub(crate) fn compact(&mut self, through: u64) {
        let Some(term) = self.term(through) else { return };
        let drop = usize::try_from(through - self.base.index).unwrap_or(usize::MAX);
        self.entries.drain(..drop.min(self.entries.len()));
        self.base = Position { term, index: through };
        // The newest set at or before the base stays: it is the one in force there.
        let newest = self.configs.iter().rposition(|indexed| indexed.index <= through).unwrap_or(0);
        self.configs.drain(..newest);
    }

    /// Returns the index before the tail that ends at an index and has at most so many entries and
    /// bytes.
    pub(crate) fn base_for_retention(&self, end: u64, entries: u64, bytes: usize) -> u64 {
        let lowest = end.saturating_sub(entries).max(self.base.index);
        let mut index = end;
        let mut size = 0;
        while index > lowest {
            size += self.entry(index).map_or(0, Entry::size);
            if size > bytes {
                break;
            }
            index -= 1;
        }
        index
    }

    /// Returns the voter set in force, committed or not.
    pub(crate) fn config(&self) -> &Config {
        &self.newest_config().config
    }

    /// Tells whether an identity is in the voter set that was in force at an index, or in a later one.
    pub(crate) fn is_voter_since(&self, identity: Identity, index: u64) -> bool {
        let in_force = self.configs.iter().rposition(|indexed| indexed.index <= index).unwrap_or(0);
        self.configs[in_force..].iter().any(|indexed| indexed.config.contains(identity))
    }

    /// Returns the index from which the voter set is in force.
    pub(crate) fn config_index(&self) -> u64 {
        self.newest_config().index
    }

    /// Returns the voter set in force at an index.
    pub(crate) fn config_at(&self, index: u64) -> Option<&Config> {
        self.configs.iter().rfind(|indexed| indexed.index <= index).map(|indexed| &indexed.config)
    }

    /// Returns the greatest position that can be equal to a log whose entry at the given index, or
    /// the one before it, is of the given term: terms never fall along a log.
    pub(crate) fn last_possible_match(&self, hint: Position) -> Position {
        let mut index = hint.index.min(self.last().index);
        while self.term(index).is_some_and(|term| term > hint.term) {
            index -= 1;
        }
        Position { term: self.term(index).unwrap_or(0), index }
    }

    /// Returns entries from an index on, at least one if there is one, then as many as fit.
    pub(crate) fn entries_from(&self, from: u64, bytes: usize) -> Vec<Entry> {
        let mut entries: Vec<Entry> = Vec::new();
        let mut size = 0;
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            size += entry.size();
            if size > bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index += 1;
        }
        entries
    }

    /// Returns the newest set with its index.
    fn newest_config(&self) -> &IndexedConfig {
        // The list begins with the base's set, which neither truncating nor compacting removes.
        &self.configs[self.configs.len() - 1]
    }
}
