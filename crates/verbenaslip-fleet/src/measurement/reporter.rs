//! Selection of the totals that a heartbeat contains.

use crate::delta_map::DeltaMap;
use crate::measurement::{MAX_REPORTED_TOTALS, RunKey, Totals};

/// Selects the totals that the receiver of heartbeats may not have.
#[derive(Debug, Default)]
pub(crate) struct Reporter {
    /// Totals by run, with the heartbeat that first contained each of them. All that are not
    /// acknowledged yet were contained in the last heartbeat.
    sent: DeltaMap<RunKey, Totals>,
    /// The last run of the last heartbeat that could not contain all changes.
    cursor: Option<RunKey>,
}

impl Reporter {
    /// Returns the totals that heartbeat number `sequence` contains: those that changed after
    /// heartbeat number `acknowledged`, at most [`MAX_REPORTED_TOTALS`]. The remaining ones follow
    /// in the next heartbeats.
    pub(crate) fn select(
        &mut self,
        sequence: u64,
        acknowledged: u64,
        mut totals: Vec<Totals>,
    ) -> Vec<Totals> {
        if totals.is_empty() {
            *self = Self::default();
            return totals;
        }
        totals.sort_unstable_by_key(|it| it.key);
        let is_current = |key: &RunKey| totals.binary_search_by_key(key, |it| it.key).is_ok();
        self.sent.retain(is_current);
        totals.retain(|it| !self.sent.is_acknowledged(&it.key, it, acknowledged));
        if totals.len() > MAX_REPORTED_TOTALS {
            let begin = totals.partition_point(|it| Some(it.key) <= self.cursor);
            totals.rotate_left(begin);
            // An acknowledgement of this heartbeat must not cover them.
            totals[MAX_REPORTED_TOTALS..].iter().for_each(|it| self.sent.remove(&it.key));
            totals.truncate(MAX_REPORTED_TOTALS);
            self.cursor = totals.last().map(|it| it.key);
        }
        totals.iter().for_each(|it| self.sent.insert(sequence, it.key, *it));
        totals
    }
}
