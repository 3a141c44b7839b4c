//! Versioned set of the upstreams for which one instance vouches.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::frame::{ContentHash, Delta, DeltaEntry, FreshnessMark, Key};
use crate::member::Handle;
use crate::time::Age;

/// Maximum number of changes in one version, so that each version fits in a datagram.
const MAX_CHANGES_PER_VERSION: usize = 48;

/// Maximum number of entries in one delta.
const MAX_ENTRIES_PER_DELTA: usize = 72;

/// Maximum number of upstreams in one stream; limits floods of invented names.
const MAX_KEYS: usize = 8_192;

/// Maximum number of withdrawn upstreams that are remembered.
///
/// Receivers that lag behind the removed ones get the whole stream.
const MAX_WITHDRAWN: usize = 256;

/// Versioned set of the upstreams for which one instance vouches, and its latest mark.
#[derive(Default)]
pub(crate) struct Stream {
    /// Stored version.
    version: u32,
    /// Highest version known to exist.
    latest: u32,
    /// Lowest version from which deltas can still be computed.
    min_base: u32,
    /// Upstreams by key, including remembered withdrawn ones.
    items: BTreeMap<Key, Item>,
    /// Sequence number of the latest mark.
    mark_sequence: u32,
    /// Version that the latest mark covers.
    marked_version: u32,
    /// Time since which all upstreams of the marked version are renewed.
    renewed_since: Duration,
    /// Latest mark that could not be applied yet.
    deferred: Option<DeferredMark>,
}

/// Mark that cannot be applied before missing versions have arrived.
#[derive(Clone, Copy)]
pub(crate) struct DeferredMark {
    /// The deferred mark.
    pub(crate) mark: FreshnessMark,
    /// Time since which the mark renews the stream; `None` when its age is too high.
    pub(crate) renewed_since: Option<Duration>,
}

#[derive(Clone, Copy)]
struct Item {
    /// Version of the last change.
    version: u32,
    /// Hash of the content that is vouched for; `None` after a withdrawal.
    content_hash: Option<ContentHash>,
}

/// Change of this instance's own stream.
pub(crate) struct Change {
    /// Key of the upstream.
    pub(crate) key: Key,
    /// Hash of the content that is vouched for; `None` when it is no longer vouched for.
    pub(crate) content_hash: Option<ContentHash>,
}

/// How a delta or mark relates to the stored stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The delta or mark is known already.
    Known,
    /// The delta or mark is new and can be applied.
    New,
    /// The delta or mark cannot be applied before missing versions have been requested.
    Gap,
}

impl Stream {
    /// Returns the stored version.
    pub(crate) fn version(&self) -> u32 {
        self.version
    }

    /// Returns the version that the latest mark covers.
    pub(crate) fn marked_version(&self) -> u32 {
        self.marked_version
    }

    /// Iterates over the keys of the upstreams that are vouched for.
    pub(crate) fn keys(&self) -> impl Iterator<Item = Key> {
        self.items.iter().filter(|(_, item)| item.content_hash.is_some()).map(|(key, _)| *key)
    }

    /// Returns the hash of the content that is vouched for.
    pub(crate) fn content_hash(&self, key: Key) -> Option<ContentHash> {
        self.items.get(&key)?.content_hash
    }

    /// Returns the time of an upstream's last renewal according to the latest mark.
    ///
    /// Returns `None` if the mark does not cover the upstream with this content.
    pub(crate) fn renewed_since(&self, key: Key, content_hash: ContentHash) -> Option<Duration> {
        let item = self.items.get(&key)?;
        (item.content_hash == Some(content_hash) && item.version <= self.marked_version)
            .then_some(self.renewed_since)
    }

    /// Commits changes of this instance's own stream, and returns the new versions.
    pub(crate) fn commit(&mut self, changes: &[Change]) -> Vec<u32> {
        let mut versions = Vec::new();
        for part in changes.chunks(MAX_CHANGES_PER_VERSION) {
            self.version += 1;
            let version = self.version;
            for Change { key, content_hash } in part {
                self.items.insert(*key, Item { version, content_hash: *content_hash });
            }
            versions.push(version);
        }
        self.latest = self.version;
        self.prune_withdrawn();
        versions
    }

    /// Advances this instance's own mark to the current version.
    pub(crate) fn advance_mark(&mut self, renewed_since: Duration) {
        self.mark_sequence += 1;
        self.marked_version = self.version;
        self.renewed_since = renewed_since;
    }

    /// Returns the latest mark with its current age; `None` before the first mark.
    pub(crate) fn current_mark(&self, voucher: Handle, now: Duration) -> Option<FreshnessMark> {
        let age = Age::since(now, self.renewed_since);
        let mark = FreshnessMark {
            voucher,
            sequence: self.mark_sequence,
            version: self.marked_version,
            age,
        };
        (self.mark_sequence > 0).then_some(mark)
    }

    /// Returns whether a mark is new and can be applied.
    pub(crate) fn classify_mark(&self, mark: &FreshnessMark) -> Outcome {
        if mark.sequence <= self.mark_sequence {
            Outcome::Known
        } else if mark.version > self.version || self.latest > self.version {
            Outcome::Gap
        } else {
            Outcome::New
        }
    }

    /// Applies another instance's mark that [`Stream::classify_mark`] found to be new.
    ///
    /// A mark without a usable age still counts as seen, so that a duplicate cannot pass as fresh.
    pub(crate) fn apply_mark(&mut self, mark: &FreshnessMark, renewed_since: Option<Duration>) {
        self.mark_sequence = mark.sequence;
        let Some(renewed_since) = renewed_since else { return };
        if mark.version > self.marked_version {
            self.marked_version = mark.version;
            self.renewed_since = renewed_since;
        } else if mark.version == self.marked_version {
            self.renewed_since = self.renewed_since.max(renewed_since);
        }
    }

    /// Stores a mark until [`Stream::classify_mark`] finds that it can be applied.
    pub(crate) fn defer_mark(&mut self, mark: &FreshnessMark, renewed_since: Option<Duration>) {
        if self.deferred.is_none_or(|deferred| deferred.mark.sequence < mark.sequence) {
            self.deferred = Some(DeferredMark { mark: *mark, renewed_since });
        }
    }

    /// Returns the deferred mark once it can be applied.
    pub(crate) fn applicable_mark(&self) -> Option<DeferredMark> {
        self.deferred.filter(|deferred| self.classify_mark(&deferred.mark) == Outcome::New)
    }

    /// Returns whether a delta is new and can be applied.
    pub(crate) fn classify_delta(&self, delta: &Delta) -> Outcome {
        if delta.version <= self.version {
            Outcome::Known
        } else if delta.base > self.version || self.items.len() >= MAX_KEYS {
            Outcome::Gap
        } else {
            Outcome::New
        }
    }

    /// Applies another instance's delta that [`Stream::classify_delta`] found to be new.
    pub(crate) fn apply_delta(&mut self, delta: &Delta) {
        if delta.base == 0 {
            self.items.clear();
            self.min_base = 0;
        }
        for entry in &delta.entries {
            let version = delta.base.saturating_add(entry.version_offset);
            self.items.insert(entry.key, Item { version, content_hash: entry.content_hash });
        }
        self.version = delta.version;
        self.latest = self.latest.max(delta.latest);
        self.prune_withdrawn();
    }

    fn prune_withdrawn(&mut self) {
        let withdrawn = self.items.values().filter(|item| item.content_hash.is_none());
        let mut versions: Vec<u32> = withdrawn.map(|item| item.version).collect();
        if versions.len() <= MAX_WITHDRAWN {
            return;
        }
        versions.sort_unstable();
        self.min_base = versions[versions.len() / 2];
        let min_base = self.min_base;
        self.items.retain(|_, item| item.content_hash.is_some() || item.version > min_base);
    }

    /// Returns the changes of one version, except those that later versions override.
    pub(crate) fn delta_to(&self, voucher: Handle, version: u32) -> Option<Delta> {
        let base = version.checked_sub(1).filter(|base| *base >= self.min_base)?;
        let mut delta = self.empty_delta(voucher, base);
        delta.version = version;
        let changed = self.items.iter().filter(|(_, item)| item.version == version);
        let entry = |(key, item): (&Key, &Item)| DeltaEntry {
            key: *key,
            content_hash: item.content_hash,
            version_offset: 1,
        };
        delta.entries = changed.map(entry).collect();
        Some(delta)
    }

    /// Returns the changes after a version, in deltas that each fit in a datagram.
    pub(crate) fn deltas_since(&self, voucher: Handle, base: u32) -> Vec<Delta> {
        let base = if base < self.min_base || base > self.version { 0 } else { base };
        let mut by_version: BTreeMap<u32, Vec<Change>> = BTreeMap::new();
        for (key, item) in self.items.iter().filter(|(_, item)| item.version > base) {
            let change = Change { key: *key, content_hash: item.content_hash };
            by_version.entry(item.version).or_default().push(change);
        }
        let mut deltas: Vec<Delta> = Vec::new();
        let mut delta = self.empty_delta(voucher, base);
        for (version, changes) in by_version {
            if !delta.entries.is_empty()
                && delta.entries.len() + changes.len() > MAX_ENTRIES_PER_DELTA
            {
                let next = self.empty_delta(voucher, delta.version);
                deltas.push(std::mem::replace(&mut delta, next));
            }
            delta.version = version;
            let version_offset = version - delta.base;
            let entry =
                |Change { key, content_hash }| DeltaEntry { key, content_hash, version_offset };
            delta.entries.extend(changes.into_iter().map(entry));
        }
        delta.version = self.version;
        deltas.push(delta);
        deltas
    }

    fn empty_delta(&self, voucher: Handle, base: u32) -> Delta {
        Delta { voucher, base, version: base, latest: self.version, entries: Vec::new() }
    }
}
