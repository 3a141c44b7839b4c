//! Which upstreams this entry reaches directly, and which only through other entries.
//!
//! An upstream that cannot be reached from here may be down, or only the path to it may be cut. The
//! two differ in whether another entry reaches it, so only a failure that a connection through
//! another entry has bypassed counts against a path. Upstreams of one service in one availability
//! zone share a path. Some of them may be cut off and others not, so each run is tracked as well.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_fleet::registry::Run;

/// Number of steps between a path that is cut and one that is whole. Each direct connection is a
/// step up and each bypassed failure a step down, so a path that loses one packet in ten stays
/// near the upper end.
const STEPS: u8 = 4;

/// Time between two probes of a path that is not whole; with four steps, traffic returns within a
/// second and a half.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two probes of a run that only gateways reach.
const RUN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two checks of a whole path that is only suspected to be cut.
const SUSPICION_INTERVAL: Duration = Duration::from_secs(2);

/// Shortest time after which a direct connection is given up for one through another entry; many
/// times the longest round trip within a region.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Factor of the usual time to connect after which a direct connection is given up.
const HEDGE_FACTOR: u32 = 3;

/// Weight of the newest sample in the usual time to connect.
const CONNECT_TIME_WEIGHT: f64 = 0.1;

/// Identifies the path that a group of upstreams shares.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// Service of the upstreams.
    pub service: Arc<str>,
    /// Availability zone of the upstreams.
    pub zone: AvailabilityZone,
}

/// Describes how a direct connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing came back in time, so open connections may hang as well.
    Hung,
    /// The connection was refused; resets of open connections would have been noticed.
    Refused,
}

/// Describes a change of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The path is cut: all new connections take other ways.
    Cut,
    /// The path is whole again; it was not for this time.
    Restored {
        /// Time since the path was last whole.
        after: Duration,
    },
}

/// Holds what is known of one path.
#[derive(Debug)]
struct Path {
    /// Steps between cut, at zero, and whole.
    level: u8,
    /// Whether the path was cut and has not been whole since.
    is_reported: bool,
    /// Whether open connections may hang.
    hangs: bool,
    /// When the path was last whole.
    impaired_since: Duration,
    /// When the next probe may start.
    next_probe_at: Duration,
    /// Whether the path is to be probed although it is whole.
    suspected: bool,
    /// When an answer last arrived over the path.
    heard_at: Duration,
    /// Usual time to connect, in seconds.
    connect_time: f64,
}

impl Path {
    fn is_whole(&self) -> bool {
        self.level == STEPS
    }
}

/// Holds what is known of one run of an upstream, once a connection to it has failed.
#[derive(Debug)]
struct RunPath {
    group: Group,
    /// Whether the last direct connection opened.
    is_reachable: bool,
    next_probe_at: Duration,
    /// Whether a request has been sent to the run since its last probe.
    in_use: bool,
}

/// Describes a probe that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The path to be probed.
    pub group: Group,
    /// The run to be probed, or `None` for any run of the group.
    pub run: Option<Run>,
}

/// Tracks the paths of one entry.
#[derive(Debug, Default)]
pub struct Paths {
    paths: BTreeMap<Group, Path>,
    runs: BTreeMap<Run, RunPath>,
}

impl Paths {
    /// Returns whether a new connection should be direct; `fraction`, between zero and one, decides
    /// while traffic returns in steps.
    pub fn prefers_direct(&mut self, group: &Group, run: &Run, fraction: f64) -> bool {
        if let Some(run_path) = self.runs.get_mut(run).filter(|it| !it.is_reachable) {
            run_path.in_use = true;
            return false;
        }
        self.paths.get(group).is_none_or(|it| fraction * f64::from(STEPS) < f64::from(it.level))
    }

    /// Returns whether a direct connection may open.
    pub fn may_reach(&self, group: &Group, run: &Run) -> bool {
        match self.runs.get(run) {
            Some(run_path) => run_path.is_reachable,
            None => self.paths.get(group).is_none_or(|it| it.level > 0),
        }
    }

    /// Returns after which time a direct connection is given up for one through another entry.
    pub fn hedge_delay(&self, group: &Group) -> Duration {
        let usual = self.paths.get(group).map_or(0.0, |it| it.connect_time);
        let delay = Duration::from_secs_f64(usual) * HEDGE_FACTOR;
        delay.max(MIN_HEDGE_DELAY)
    }

    /// Returns whether open connections of a path may be used.
    pub fn trusts_open_connections(&self, group: &Group) -> bool {
        self.paths.get(group).is_none_or(|it| !it.hangs)
    }

    /// Returns whether direct connections of a path have recently failed.
    pub fn is_impaired(&self, group: &Group) -> bool {
        self.paths.get(group).is_some_and(|it| !it.is_whole())
    }

    /// Returns whether no new connection of a path should be direct.
    pub fn is_cut(&self, group: &Group) -> bool {
        self.paths.get(group).is_some_and(|it| it.level == 0)
    }

    /// Returns the number of paths that were cut and have not been whole since.
    pub fn cut_count(&self) -> usize {
        self.paths.values().filter(|it| it.is_reported).count()
    }

    /// Records a direct connection that opened after `connect_time`.
    pub fn record_direct(
        &mut self,
        now: Duration,
        group: &Group,
        run: &Run,
        connect_time: Duration,
    ) -> Option<Change> {
        if let Some(run_path) = self.runs.get_mut(run) {
            run_path.is_reachable = true;
        }
        let path = self.path(now, group);
        path.suspected = false;
        path.heard_at = now;
        let sample = connect_time.as_secs_f64();
        path.connect_time += (sample - path.connect_time) * CONNECT_TIME_WEIGHT;
        if path.is_whole() {
            return None;
        }
        path.level += 1;
        let restored = path.is_whole();
        path.hangs &= !restored;
        let was_reported = restored && std::mem::take(&mut path.is_reported);
        was_reported.then(|| Change::Restored { after: now.saturating_sub(path.impaired_since) })
    }

    /// Records a direct connection that failed, while one through another entry opened.
    ///
    /// What cuts one path often cuts all, so the others are probed as well.
    pub fn record_bypassed(
        &mut self,
        now: Duration,
        group: &Group,
        run: &Run,
        fault: Fault,
    ) -> Option<Change> {
        let run_path = self.runs.entry(run.clone()).or_insert_with(|| RunPath {
            group: group.clone(),
            is_reachable: false,
            next_probe_at: now,
            in_use: false,
        });
        (run_path.is_reachable, run_path.next_probe_at) = (false, now + RUN_PROBE_INTERVAL);
        for path in self.paths.values_mut() {
            path.suspect(now);
        }
        let path = self.path(now, group);
        path.suspected = false;
        if path.is_whole() {
            path.impaired_since = now;
            path.next_probe_at = now;
        }
        path.hangs |= fault == Fault::Hung;
        path.level = path.level.saturating_sub(1);
        let is_new = path.level == 0 && !path.is_reported;
        path.is_reported |= is_new;
        is_new.then_some(Change::Cut)
    }

    /// Records that an answer has arrived over a path.
    pub fn record_heard(&mut self, now: Duration, group: &Group) {
        if let Some(path) = self.paths.get_mut(group) {
            path.heard_at = now;
        }
    }

    /// Records that a request has been unanswered for `silence`; returns whether the path should be
    /// probed, since nothing else has arrived over it either.
    pub fn record_silence(&mut self, now: Duration, group: &Group, silence: Duration) -> bool {
        let path = self.path(now, group);
        let is_silent = now.saturating_sub(path.heard_at) >= silence;
        is_silent && path.suspect(now)
    }

    /// Takes the probes that are due: of paths that are not whole, and of runs that are in use and
    /// cannot be reached.
    pub fn take_due_probes(&mut self, now: Duration) -> Vec<Probe> {
        let due = self
            .paths
            .iter_mut()
            .filter(|(_, it)| it.suspected || (!it.is_whole() && it.next_probe_at <= now));
        let mut probes: Vec<Probe> = due
            .map(|(group, path)| {
                path.suspected = false;
                path.next_probe_at =
                    now + if path.is_whole() { SUSPICION_INTERVAL } else { PROBE_INTERVAL };
                Probe { group: group.clone(), run: None }
            })
            .collect();
        for (run, path) in &mut self.runs {
            if !path.is_reachable && path.in_use && path.next_probe_at <= now {
                (path.in_use, path.next_probe_at) = (false, now + RUN_PROBE_INTERVAL);
                probes.push(Probe { group: path.group.clone(), run: Some(run.clone()) });
            }
        }
        probes
    }

    /// Returns when the next probe is due; `None` while all paths are whole and all runs can be
    /// reached.
    pub fn next_probe_at(&self) -> Option<Duration> {
        let paths = self.paths.values().filter(|it| it.suspected || !it.is_whole());
        let paths = paths.map(|it| if it.suspected { Duration::ZERO } else { it.next_probe_at });
        let runs = self.runs.values().filter(|it| !it.is_reachable && it.in_use);
        let runs = runs.map(|it| it.next_probe_at);
        paths.chain(runs).min()
    }

    /// Forgets runs that have ended, and paths that are not whole and that no run uses any more.
    pub fn forget(&mut self, runs: &[Run], is_in_use: impl Fn(&Group) -> bool) {
        for run in runs {
            self.runs.remove(run);
        }
        self.paths.retain(|group, path| path.is_whole() || is_in_use(group));
    }

    fn path(&mut self, now: Duration, group: &Group) -> &mut Path {
        self.paths.entry(group.clone()).or_insert_with(|| Path {
            level: STEPS,
            is_reported: false,
            hangs: false,
            impaired_since: now,
            next_probe_at: Duration::ZERO,
            suspected: false,
            heard_at: now,
            connect_time: 0.0,
        })
    }
}

impl Path {
    /// Marks a whole path for a probe, unless it was probed a moment ago; returns whether it did.
    fn suspect(&mut self, now: Duration) -> bool {
        let marks = self.is_whole() && !self.suspected && self.next_probe_at <= now;
        self.suspected |= marks;
        marks
    }
}
