//! Map whose values are reported again until they are known to have arrived.

use std::collections::BTreeMap;

/// Holds the newest value of each key, with the report that first contained it.
///
/// Values are totals, so a lost or duplicated report does no harm. A report contains only values
/// that may not have arrived, so its cost depends on the number of changes instead of the size of
/// the map.
#[derive(Clone, Debug)]
pub(crate) struct DeltaMap<K, V> {
    values: BTreeMap<K, (V, u64)>,
}

impl<K, V> Default for DeltaMap<K, V> {
    fn default() -> Self {
        Self { values: BTreeMap::new() }
    }
}

impl<K: Ord + Clone, V: PartialEq + Clone> DeltaMap<K, V> {
    /// Sets a value as of the report with this number.
    pub(crate) fn insert(&mut self, report: u64, key: K, value: V) {
        match self.values.get_mut(&key) {
            Some(current) if current.0 == value => {}
            Some(current) => *current = (value, report),
            None => {
                self.values.insert(key, (value, report));
            }
        }
    }

    /// Returns the value of a key.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.values.get(key).map(|(value, _)| value)
    }

    /// Returns all values.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.values.iter().map(|(key, (value, _))| (key, value))
    }

    /// Returns the values that were first contained in a report after this number.
    pub(crate) fn changed_since(&self, report: u64) -> impl Iterator<Item = (&K, &V)> {
        let changed =
            self.values.iter().filter(move |(_, (_, first_report))| *first_report > report);
        changed.map(|(key, (value, _))| (key, value))
    }

    /// Returns whether a report up to this number contained exactly this value of a key.
    pub(crate) fn is_acknowledged(&self, key: &K, value: &V, report: u64) -> bool {
        self.values.get(key).is_some_and(|(known, first)| known == value && *first <= report)
    }

    /// Drops the value of a key.
    pub(crate) fn remove(&mut self, key: &K) {
        self.values.remove(key);
    }

    /// Drops the values whose keys are no longer needed.
    pub(crate) fn retain(&mut self, is_needed: impl Fn(&K) -> bool) {
        self.values.retain(|key, _| is_needed(key));
    }
}
