//! Sums of what several senders report about upstreams.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use crate::measurement::average::Average;
use crate::measurement::difference::{Difference, clamp_gauges};
use crate::measurement::{Figure, Figures, MAX_FIGURE_AGE, MAX_REPORTED_TOTALS, RunKey, Totals};
use crate::usage::EntryRun;

/// Silence after which the gauges of a sender no longer count. Its totals then start a new
/// baseline: an entry that reported to another core stayed there for at least this time, and that
/// core has counted what the entry measured meanwhile.
const MAX_SILENCE: Duration = Duration::from_secs(1);

/// Silence after which a sender is forgotten.
const SENDER_RETENTION: Duration = Duration::from_secs(30);

/// Time for which a sender must have been heard, without a full report, before a run that it reports
/// for the first time counts from zero; within it the sender has repeated all totals that this
/// instance lacks.
const MIN_HEARD_TIME: Duration = Duration::from_secs(2);

/// Maximum number of events in the totals of a run that counts from zero; more than a sender
/// measures at one run between two heartbeats.
const MAX_FIRST_EVENTS: u64 = 16;

/// Adds up the totals of several senders.
#[derive(Debug, Default)]
pub struct Collector {
    senders: BTreeMap<SocketAddr, Sender>,
    runs: BTreeMap<RunKey, RunState>,
}

/// Holds what one sender has reported.
#[derive(Debug)]
struct Sender {
    incarnation: u64,
    sequence: u64,
    /// Start of the current period in which the sender has been heard without a full report.
    settling_since: Duration,
    last_heard: Duration,
    /// Whether the gauges of the sender count.
    is_live: bool,
    reported: BTreeMap<RunKey, Totals>,
}

/// Holds the sums of one run.
#[derive(Debug)]
struct RunState {
    /// Sums of all differences, and of the gauges of the live senders.
    totals: Totals,
    average: Average,
    /// Number of live senders that have reported the run.
    holders: u32,
    /// When the run was last reported, or `None` if not since the averages were reset.
    measured_at: Option<Duration>,
}

impl Collector {
    /// Records the totals in heartbeat number `sequence` of a sender; `known` contains the figures
    /// of the fleet, as far as this instance knows them.
    pub fn record(
        &mut self,
        now: Duration,
        origin: EntryRun,
        sequence: u64,
        reports: &[Totals],
        known: &Figures,
    ) {
        let EntryRun { address, incarnation } = origin;
        match self.senders.get(&address) {
            None if reports.is_empty() => return,
            Some(sender) if incarnation == sender.incarnation && sequence <= sender.sequence => {
                return;
            }
            Some(sender) if sender.incarnation != incarnation => {
                self.leave(address);
                self.senders.remove(&address);
            }
            _ => {}
        }
        let sender = self.senders.entry(address).or_insert_with(|| Sender {
            incarnation,
            sequence,
            settling_since: now,
            last_heard: now,
            is_live: true,
            reported: BTreeMap::new(),
        });
        let has_returned = !sender.is_live || now.saturating_sub(sender.last_heard) > MAX_SILENCE;
        if !sender.is_live {
            sender.is_live = true;
            for report in sender.reported.values() {
                let run = run(&mut self.runs, report.key);
                run.add_gauges(report);
                run.measured_at = Some(now);
            }
        }
        // A full report may omit further totals that this instance lacks.
        if has_returned || reports.len() >= MAX_REPORTED_TOTALS {
            sender.settling_since = now;
        }
        (sender.sequence, sender.last_heard) = (sequence, now);
        let is_settled = now.saturating_sub(sender.settling_since) >= MIN_HEARD_TIME;
        for report in reports.iter().take(MAX_REPORTED_TOTALS).map(clamp_gauges) {
            let run = run(&mut self.runs, report.key);
            let previous = sender.reported.insert(report.key, report);
            if let Some(previous) = &previous {
                run.remove_gauges(previous);
            }
            run.add_gauges(&report);
            run.measured_at = Some(now);
            let counts_from_zero = is_settled && is_first_use(&report);
            let baseline = previous
                .or_else(|| counts_from_zero.then(|| Totals::new(report.key)))
                .filter(|_| !has_returned);
            let measured = baseline.and_then(|it| Difference::between(&it, &report));
            if let Some(measured) = measured {
                let fleet_rate = known.get(&report.key).and_then(|it| it.stream_rate);
                run.add(now, &measured.clamped(fleet_rate.or(run.average.stream_rate())));
            }
        }
    }

    /// Drops the gauges of a sender that reports elsewhere.
    pub fn leave(&mut self, address: SocketAddr) {
        let Some(sender) = self.senders.get_mut(&address).filter(|it| it.is_live) else { return };
        sender.is_live = false;
        for report in sender.reported.values() {
            if let Some(run) = self.runs.get_mut(&report.key) {
                run.remove_gauges(report);
                run.measured_at = run.measured_at.max(Some(sender.last_heard));
            }
        }
    }

    /// Drops the gauges of the senders that are silent, and forgets senders that have been silent
    /// for long.
    pub fn expire(&mut self, now: Duration) {
        let silent = |sender: &Sender, time| now.saturating_sub(sender.last_heard) > time;
        let quiet = self.senders.iter().filter(|(_, it)| it.is_live && silent(it, MAX_SILENCE));
        let quiet: Vec<SocketAddr> = quiet.map(|(address, _)| *address).collect();
        quiet.into_iter().for_each(|address| self.leave(address));
        self.senders.retain(|_, sender| !silent(sender, SENDER_RETENTION));
    }

    /// Drops everything about runs that no longer exist.
    pub fn retain(&mut self, exists: impl Fn(&RunKey) -> bool) {
        let gone: BTreeSet<RunKey> = self.runs.keys().filter(|key| !exists(key)).copied().collect();
        if gone.is_empty() {
            return;
        }
        self.runs.retain(|key, _| !gone.contains(key));
        self.senders
            .values_mut()
            .for_each(|sender| sender.reported.retain(|key, _| !gone.contains(key)));
    }

    /// Drops the gauges of all senders.
    pub fn leave_all(&mut self) {
        let senders: Vec<SocketAddr> = self.senders.keys().copied().collect();
        senders.into_iter().for_each(|address| self.leave(address));
    }

    /// Resets all averages and gauges; the sums stay.
    pub fn reset_averages(&mut self) {
        self.leave_all();
        for run in self.runs.values_mut() {
            (run.average, run.measured_at) = (Average::default(), None);
        }
    }

    /// Returns whether nothing has been reported.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the sums of each run since this process started, with the gauges of the live
    /// senders.
    pub fn totals(&self) -> Vec<Totals> {
        self.runs.values().map(|run| run.totals).collect()
    }

    /// Returns the figures of the runs that were reported within [`MAX_FIGURE_AGE`].
    pub fn figures(&self, now: Duration) -> Figures {
        let live = self.senders.values().filter(|sender| sender.is_live);
        // A heartbeat also confirms the totals that it omits because they have not changed.
        let confirmed_at = live.map(|sender| sender.last_heard).min();
        let figure = |(key, run): (&RunKey, &RunState)| {
            let confirmed_at = confirmed_at.filter(|_| run.holders > 0);
            let measured_at = run.measured_at?.max(confirmed_at.unwrap_or_default());
            let is_recent = now.saturating_sub(measured_at) < MAX_FIGURE_AGE;
            is_recent.then(|| (*key, run.figure(now, measured_at)))
        };
        self.runs.iter().filter_map(figure).collect()
    }
}

impl RunState {
    fn add(&mut self, now: Duration, measured: &Difference) {
        measured.add_to(&mut self.totals);
        self.average.add(now, measured);
    }

    fn add_gauges(&mut self, report: &Totals) {
        self.holders += 1;
        self.totals.pending_tokens += report.pending_tokens;
        self.totals.active += report.active;
    }

    fn remove_gauges(&mut self, report: &Totals) {
        self.holders = self.holders.saturating_sub(1);
        self.totals.pending_tokens =
            self.totals.pending_tokens.saturating_sub(report.pending_tokens);
        self.totals.active = self.totals.active.saturating_sub(report.active);
    }

    fn figure(&self, now: Duration, measured_at: Duration) -> Figure {
        let Totals { pending_tokens, active, .. } = self.totals;
        self.average.figure(now, pending_tokens, active, measured_at)
    }
}

/// Returns the sums of a run, which start at zero.
fn run(runs: &mut BTreeMap<RunKey, RunState>, key: RunKey) -> &mut RunState {
    runs.entry(key).or_insert_with(|| RunState {
        totals: Totals::new(key),
        average: Average::default(),
        holders: 0,
        measured_at: None,
    })
}

/// Returns whether totals can all have been measured since the last heartbeat.
fn is_first_use(report: &Totals) -> bool {
    let events = [report.first_events, report.answers, report.failures, report.refusals];
    events.iter().all(|count| *count <= MAX_FIRST_EVENTS)
}
