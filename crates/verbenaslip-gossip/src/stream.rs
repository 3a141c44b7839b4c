//! What one instance vouches for, as a versioned stream of changes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::frame::{ContentHash, Delta, DeltaEntry, FreshnessMark, Key};
use crate::member::Handle;
use crate::time::Age;

/// The most changes in one version, so that each version fits a datagram.
const MAX_CHANGES: usize = 48;

/// The most changes in one delta.
const MAX_ENTRIES: usize = 72;

/// The most upstreams in one stream; a flood of invented ones ends here.
const MAX_KEYS: usize = 8_192;

/// The most withdrawn upstreams remembered; beyond, late receivers get the whole stream anew.
const MAX_WITHDRAWN: usize = 256;

/// Holds what one instance vouches for.
#[derive(Default)]
pub(crate) struct Stream {
    version: u32,
    head: u32,
    floor: u32,
    held: BTreeMap<Key, Held>,
    tick: u32,
    marked: u32,
    born: Duration,
    parked: Option<Parked>,
}

/// A mark that can't be used before what comes between has arrived.
#[derive(Clone, Copy)]
pub(crate) struct Parked {
    /// The mark.
    pub(crate) mark: FreshnessMark,
    /// Since when it renews; none when it came too late.
    pub(crate) born: Option<Duration>,
}

#[derive(Clone, Copy)]
struct Held {
    version: u32,
    check: Option<ContentHash>,
}

/// A change of what this instance vouches for.
pub(crate) struct Change {
    /// The upstream.
    pub(crate) key: Key,
    /// The content vouched for; none when no longer.
    pub(crate) check: Option<ContentHash>,
}

/// Says what a delta or mark did to a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Nothing: it was known.
    Known,
    /// It was new.
    News,
    /// It can't be used before what comes between has been asked for.
    Gap,
}

impl Stream {
    /// Returns the version that is held.
    pub(crate) fn version(&self) -> u32 {
        self.version
    }

    /// Returns the version that the newest mark covers.
    pub(crate) fn marked(&self) -> u32 {
        self.marked
    }

    /// Goes through the upstreams vouched for.
    pub(crate) fn keys(&self) -> impl Iterator<Item = Key> {
        self.held.iter().filter(|(_, held)| held.check.is_some()).map(|(key, _)| *key)
    }

    /// Returns the content vouched for.
    pub(crate) fn check(&self, key: Key) -> Option<ContentHash> {
        self.held.get(&key)?.check
    }

    /// Returns since when an upstream with this content is surely renewed, by the newest mark.
    pub(crate) fn covers(&self, key: Key, check: ContentHash) -> Option<Duration> {
        let held = self.held.get(&key)?;
        (held.check == Some(check) && held.version <= self.marked).then_some(self.born)
    }

    /// Commits changes of this instance's own, and returns the versions made.
    pub(crate) fn commit(&mut self, changes: &[Change]) -> Vec<u32> {
        let mut versions = Vec::new();
        for part in changes.chunks(MAX_CHANGES) {
            self.version += 1;
            let version = self.version;
            for Change { key, check } in part {
                self.held.insert(*key, Held { version, check: *check });
            }
            versions.push(version);
        }
        self.head = self.version;
        self.prune();
        versions
    }

    /// Makes this instance's own next mark.
    pub(crate) fn mark(&mut self, born: Duration) {
        self.tick += 1;
        self.marked = self.version;
        self.born = born;
    }

    /// Returns the newest mark as it is told now; none before the first.
    pub(crate) fn said(&self, voucher: Handle, now: Duration) -> Option<FreshnessMark> {
        let age = Age::of(now, self.born);
        let mark = FreshnessMark { voucher, sequence: self.tick, version: self.marked, age };
        (self.tick > 0).then_some(mark)
    }

    /// Tells whether a mark would change something.
    pub(crate) fn weigh(&self, mark: &FreshnessMark) -> Outcome {
        if mark.sequence <= self.tick {
            Outcome::Known
        } else if mark.version > self.version || self.head > self.version {
            Outcome::Gap
        } else {
            Outcome::News
        }
    }

    /// Takes another instance's mark, which [`Stream::weigh`] found new.
    ///
    /// A mark without a usable age still counts as seen, so that it can't come again as fresh.
    pub(crate) fn accept(&mut self, mark: &FreshnessMark, born: Option<Duration>) {
        self.tick = mark.sequence;
        let Some(born) = born else { return };
        if mark.version > self.marked {
            self.marked = mark.version;
            self.born = born;
        } else if mark.version == self.marked {
            self.born = self.born.max(born);
        }
    }

    /// Keeps a mark for when [`Stream::weigh`] finds that it can be used.
    pub(crate) fn park(&mut self, mark: &FreshnessMark, born: Option<Duration>) {
        if self.parked.is_none_or(|parked| parked.mark.sequence < mark.sequence) {
            self.parked = Some(Parked { mark: *mark, born });
        }
    }

    /// Returns the kept mark once it can be used.
    pub(crate) fn parked(&self) -> Option<Parked> {
        self.parked.filter(|parked| self.weigh(&parked.mark) == Outcome::News)
    }

    /// Tells whether a delta would change something.
    pub(crate) fn weigh_delta(&self, delta: &Delta) -> Outcome {
        if delta.version <= self.version {
            Outcome::Known
        } else if delta.base > self.version || self.held.len() >= MAX_KEYS {
            Outcome::Gap
        } else {
            Outcome::News
        }
    }

    /// Takes another instance's delta, which [`Stream::weigh_delta`] found new.
    pub(crate) fn apply(&mut self, delta: &Delta) {
        if delta.base == 0 {
            self.held.clear();
            self.floor = 0;
        }
        for entry in &delta.entries {
            let version = delta.base.saturating_add(entry.version_offset);
            self.held.insert(entry.key, Held { version, check: entry.content_hash });
        }
        self.version = delta.version;
        self.head = self.head.max(delta.latest);
        self.prune();
    }

    fn prune(&mut self) {
        let withdrawn = self.held.values().filter(|held| held.check.is_none());
        let mut versions: Vec<u32> = withdrawn.map(|held| held.version).collect();
        if versions.len() <= MAX_WITHDRAWN {
            return;
        }
        versions.sort_unstable();
        self.floor = versions[versions.len() / 2];
        let floor = self.floor;
        self.held.retain(|_, held| held.check.is_some() || held.version > floor);
    }

    /// Returns the change that led to a version; what later ones override is left out.
    pub(crate) fn step(&self, voucher: Handle, version: u32) -> Option<Delta> {
        let base = version.checked_sub(1).filter(|base| *base >= self.floor)?;
        let mut delta = self.piece(voucher, base);
        delta.version = version;
        let changed = self.held.iter().filter(|(_, held)| held.version == version);
        let entry = |(key, held): (&Key, &Held)| DeltaEntry {
            key: *key,
            content_hash: held.check,
            version_offset: 1,
        };
        delta.entries = changed.map(entry).collect();
        Some(delta)
    }

    /// Returns the changes after a version, in deltas that each fit a datagram.
    pub(crate) fn since(&self, voucher: Handle, base: u32) -> Vec<Delta> {
        let base = if base < self.floor || base > self.version { 0 } else { base };
        let mut by_version: BTreeMap<u32, Vec<Change>> = BTreeMap::new();
        for (key, held) in self.held.iter().filter(|(_, held)| held.version > base) {
            let change = Change { key: *key, check: held.check };
            by_version.entry(held.version).or_default().push(change);
        }
        let mut deltas: Vec<Delta> = Vec::new();
        let mut delta = self.piece(voucher, base);
        for (version, changes) in by_version {
            if !delta.entries.is_empty() && delta.entries.len() + changes.len() > MAX_ENTRIES {
                let next = self.piece(voucher, delta.version);
                deltas.push(std::mem::replace(&mut delta, next));
            }
            delta.version = version;
            let after = version - delta.base;
            let entry = |Change { key, check }| DeltaEntry {
                key,
                content_hash: check,
                version_offset: after,
            };
            delta.entries.extend(changes.into_iter().map(entry));
        }
        delta.version = self.version;
        deltas.push(delta);
        deltas
    }

    fn piece(&self, voucher: Handle, base: u32) -> Delta {
        Delta { voucher, base, version: base, latest: self.version, entries: Vec::new() }
    }
}
