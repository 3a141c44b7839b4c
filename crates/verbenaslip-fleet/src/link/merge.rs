//! Merging of the leader's upstream records into the view.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::link::Link;
use crate::registry::{Record, Status};

impl Link {
    /// Applies the leader's records, except where this instance knows newer facts about a run.
    ///
    /// A newly elected leader may know less than this instance, such as that a run has announced
    /// its departure or that the upstream has restarted. Following it blindly would send requests
    /// to upstreams that no longer accept any.
    pub(super) fn merge_records(
        &mut self,
        now: Duration,
        is_full_list: bool,
        change: u64,
        records: Vec<Record>,
    ) {
        if !is_full_list && records.is_empty() {
            return;
        }
        self.departures.remove_expired(now);
        let mut unlisted = BTreeMap::new();
        if is_full_list {
            unlisted = std::mem::take(Arc::make_mut(&mut self.view.upstreams));
        }
        for received in records {
            let upstream = received.announcement.run.upstream.clone();
            let upstreams = Arc::make_mut(&mut self.view.upstreams);
            let known = unlisted.remove(&upstream).or_else(|| upstreams.remove(&upstream));
            let previous_status = known.as_ref().map(|it| it.status);
            // A lost run may come back, so it is recorded as gone instead.
            let removed = Record { status: received.status.max(Status::Gone), ..received.clone() };
            let chosen = self.choose_record(now, known, received);
            match (&mut self.history, &chosen) {
                (Some(history), Some(_)) if !is_full_list => {
                    history.record_change(&upstream, change)
                }
                (Some(history), None) => history.record_removal(change, removed),
                _ => {}
            }
            self.transitions.record(
                &upstream,
                previous_status,
                chosen.as_ref().map(|it| it.status),
            );
            if let Some(chosen) = chosen {
                Arc::make_mut(&mut self.view.upstreams).insert(upstream, chosen);
            }
        }
        for (upstream, known) in unlisted {
            self.transitions.record(&upstream, Some(known.status), None);
        }
    }

    /// Chooses between the known record of an upstream and the leader's; returns `None` if the
    /// upstream is gone.
    fn choose_record(
        &mut self,
        now: Duration,
        known: Option<Record>,
        mut received: Record,
    ) -> Option<Record> {
        let run = &received.announcement.run;
        if matches!(received.status, Status::Leaving | Status::Gone) {
            self.departures.record(now, run, received.status);
        }
        let is_newer = |it: &Record| it.announcement.run.incarnation > run.incarnation;
        if known.as_ref().is_some_and(is_newer) {
            return known;
        }
        match self.departures.status(run) {
            Some(Status::Gone) => None,
            None if received.status == Status::Lost => None,
            departure_status => {
                received.status = departure_status.unwrap_or(received.status);
                Some(received)
            }
        }
    }
}
