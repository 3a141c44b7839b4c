//! Counts that are reported again until they are known to have arrived.

use std::collections::BTreeMap;

/// Holds the newest value of each key with the report that told it first.
///
/// Values are whole, so a report that is lost or doubled does no harm; and a report tells only those that may not have
/// arrived, so that it costs by what has changed, not by what there is.
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
    /// Takes a value for the report with this number.
    pub(crate) fn insert(&mut self, report: u64, key: K, value: V) {
        match self.values.get_mut(&key) {
            Some(current) if current.0 == value => {}
            Some(current) => *current = (value, report),
            None => {
                self.values.insert(key, (value, report));
            }
        }
    }

    /// Returns a value.
    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.values.get(key).map(|(value, _)| value)
    }

    /// Goes through all values.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        self.values.iter().map(|(key, (value, _))| (key, value))
    }

    /// Goes through the values that were told first after the report with this number.
    pub(crate) fn changed_since(&self, report: u64) -> impl Iterator<Item = (&K, &V)> {
        let changed =
            self.values.iter().filter(move |(_, (_, first_report))| *first_report > report);
        changed.map(|(key, (value, _))| (key, value))
    }

    /// Drops the values whose keys are of no more interest.
    pub(crate) fn retain(&mut self, is_needed: impl Fn(&K) -> bool) {
        self.values.retain(|key, _| is_needed(key));
    }
}
