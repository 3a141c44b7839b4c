//! The part of the log that is held in memory.

use std::collections::VecDeque;

use crate::config::Config;
use crate::entry::{Entry, Payload, Position};
use crate::voter::Identity;

/// Holds the log entries after a base position, and the voter sets in force.
#[derive(Debug)]
pub(crate) struct Log {
    /// The last position before the entries. Everything up to the base is committed.
    base: Position,
    entries: VecDeque<Entry>,
    /// The voter set in force at the base, then one for each configuration entry; never empty.
    configs: Vec<IndexedConfig>,
}

/// Holds a voter set and the index from which it is in force.
#[derive(Debug)]
struct IndexedConfig {
    index: u64,
    config: Config,
}

impl Log {
    /// Returns an empty log after a base, with the voter set in force there.
    pub(crate) fn new(base: Position, config: Config) -> Self {
        let configs = vec![IndexedConfig { index: base.index, config }];
        Self { base, entries: VecDeque::new(), configs }
    }

    /// Returns the last position before the entries in memory.
    pub(crate) fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry.
    pub(crate) fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| entry.position)
    }

    /// Returns the term at an index, or `None` if the log does not have it in memory.
    pub(crate) fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.position.term)
    }

    /// Returns the entry at an index, if it is in memory.
    pub(crate) fn entry(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index)?.checked_sub(1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Appends an entry that follows the last one.
    pub(crate) fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.position.index, self.last().index + 1);
        if let Payload::Config(config) = &entry.payload {
            self.configs
                .push(IndexedConfig { index: entry.position.index, config: config.clone() });
        }
        self.entries.push_back(entry);
    }

    /// Removes the entry at an index and all after it, with the voter sets that they contain.
    pub(crate) fn truncate(&mut self, from: u64) {
        let kept_entries = from.saturating_sub(self.base.index).saturating_sub(1);
        self.entries.truncate(usize::try_from(kept_entries).unwrap_or(usize::MAX));
        let base = self.base.index;
        self.configs.retain(|indexed| indexed.index <= base || indexed.index < from);
    }

    /// Removes the entries up to an index, which becomes the base.
    pub(crate) fn compact(&mut self, through: u64) {
        let Some(term) = self.term(through) else { return };
        let removed = usize::try_from(through - self.base.index).unwrap_or(usize::MAX);
        self.entries.drain(..removed.min(self.entries.len()));
        self.base = Position { term, index: through };
        // The newest voter set at or before the base stays, because it is in force there.
        let newest_index =
            self.configs.iter().rposition(|indexed| indexed.index <= through).unwrap_or(0);
        self.configs.drain(..newest_index);
    }

    /// Returns the base for which the entries up to `end` stay within a maximum number and size, in
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

    /// Returns the voter set in force, whether committed or not.
    pub(crate) fn config(&self) -> &Config {
        &self.newest_config().config
    }

    /// Returns whether an identity is in the voter set in force at an index or in a later one.
    pub(crate) fn is_voter_since(&self, identity: Identity, index: u64) -> bool {
        let in_force = self.configs.iter().rposition(|indexed| indexed.index <= index).unwrap_or(0);
        self.configs[in_force..].iter().any(|indexed| indexed.config.contains(identity))
    }

    /// Returns the index from which the current voter set is in force.
    pub(crate) fn config_index(&self) -> u64 {
        self.newest_config().index
    }

    /// Returns the voter set in force at an index.
    pub(crate) fn config_at(&self, index: u64) -> Option<&Config> {
        self.configs.iter().rfind(|indexed| indexed.index <= index).map(|indexed| &indexed.config)
    }

    /// Returns the last position at which this log can match a log whose entry at or directly
    /// before the hint's index has the hint's term. Terms never decrease along a log.
    pub(crate) fn last_possible_match(&self, hint: Position) -> Position {
        let mut index = hint.index.min(self.last().index);
        while self.term(index).is_some_and(|term| term > hint.term) {
            index -= 1;
        }
        Position { term: self.term(index).unwrap_or(0), index }
    }

    /// Returns the entries from an index on, up to a size in bytes, but at least one if there is
    /// one.
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

    /// Returns the newest voter set with its index.
    fn newest_config(&self) -> &IndexedConfig {
        // The list starts with the voter set at the base, which is never truncated or compacted.
        &self.configs[self.configs.len() - 1]
    }
}
