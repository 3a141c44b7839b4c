//! What an instance makes of a leader's word of upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::link::Link;
use crate::registry::{Record, Status};

impl Link {
    /// Takes a leader's word of upstreams, as far as nothing newer is known of their runs.
    ///
    /// A leader that was elected a moment ago may know less than this instance: of a run that has said
    /// that it goes, or that an upstream has started again. Believed in that, it would turn requests to
    /// upstreams that no longer take any.
    pub(super) fn merge(&mut self, now: Duration, whole: bool, change: u64, records: Vec<Record>) {
        if !whole && records.is_empty() {
            return;
        }
        self.departures.remove_expired(now);
        let mut before = BTreeMap::new();
        if whole {
            before = std::mem::take(Arc::make_mut(&mut self.view.upstreams));
        }
        for told in records {
            let upstream = told.announcement.run.upstream.clone();
            let upstreams = Arc::make_mut(&mut self.view.upstreams);
            let known = before.remove(&upstream).or_else(|| upstreams.remove(&upstream));
            let then = known.as_ref().map(|it| it.status);
            // One that is lost may come back.
            let gone = Record { status: told.status.max(Status::Gone), ..told.clone() };
            let held = self.weigh(now, known, told);
            match (&mut self.history, &held) {
                (Some(history), Some(_)) if !whole => history.told(&upstream, change),
                (Some(history), None) => history.record_removal(change, gone),
                _ => {}
            }
            self.transitions.record(&upstream, then, held.as_ref().map(|it| it.status));
            if let Some(held) = held {
                Arc::make_mut(&mut self.view.upstreams).insert(upstream, held);
            }
        }
        for (upstream, known) in before {
            self.transitions.record(&upstream, Some(known.status), None);
        }
    }

    /// Chooses between what is known of an upstream and a leader's word; none when it has gone.
    fn weigh(&mut self, now: Duration, known: Option<Record>, mut told: Record) -> Option<Record> {
        let run = &told.announcement.run;
        if matches!(told.status, Status::Leaving | Status::Gone) {
            self.departures.record(now, run, told.status);
        }
        let newer = |it: &Record| it.announcement.run.incarnation > run.incarnation;
        if known.as_ref().is_some_and(newer) {
            return known;
        }
        match self.departures.status(run) {
            Some(Status::Gone) => None,
            None if told.status == Status::Lost => None,
            departed => {
                told.status = departed.unwrap_or(told.status);
                Some(told)
            }
        }
    }
}
