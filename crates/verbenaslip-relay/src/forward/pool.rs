//! Connections to upstreams that are kept for the next request.

use std::collections::HashMap;
use std::time::Duration;

use verbenaslip_fleet::registry::Run;

use crate::http::Connection;

/// Idle connections kept for one upstream at most; more are hardly ever in use at one moment.
const MAX_IDLE: usize = 16;

/// The part of the connections that an upstream accepts which may be idle ones of all entries
/// together. The rest is for requests; beyond its number an upstream resets connections in use.
const IDLE_DIVISOR: u32 = 2;

/// Returns how many idle connections an entry keeps for an upstream that accepts so many.
pub fn idle_share(connections: u32, entries: u32) -> usize {
    let share = connections / IDLE_DIVISOR / entries.max(1);
    usize::try_from(share).unwrap_or(MAX_IDLE).clamp(1, MAX_IDLE)
}

/// How long a connection is kept where the upstream does not say. Shorter than what upstreams are
/// known to allow, since a request that meets the closing may or may not have run.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// The part of the time that an upstream states for which its connections are used.
const IDLE_FRACTION: f64 = 0.7;

/// How long a connection may have been idle for a request that must run once at most, where the upstream
/// does not say how long it keeps it. It may be closed just when a request is sent, and then nobody knows
/// whether it ran.
const DEFAULT_IDLE_ONCE: Duration = Duration::from_millis(400);

/// The same as a part of the time that the upstream states, far enough from its end.
const IDLE_FRACTION_ONCE: f64 = 0.4;

/// Says how long a connection is kept that is idle from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimit {
    /// For requests that may be repeated.
    pub repeatable: Duration,
    /// For requests that must run once at most.
    pub run_once: Duration,
}

impl IdleLimit {
    /// Decides by what the upstream states of how long it keeps it.
    pub fn from_keep_alive(keep_alive: Option<Duration>) -> Self {
        let Some(keep_alive) = keep_alive else {
            return Self { repeatable: DEFAULT_IDLE, run_once: DEFAULT_IDLE_ONCE };
        };
        Self {
            repeatable: keep_alive.mul_f64(IDLE_FRACTION),
            run_once: keep_alive.mul_f64(IDLE_FRACTION_ONCE),
        }
    }
}

/// Keeps idle connections by the run of the upstream, never by its address alone.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<Run, Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Duration,
    limit: IdleLimit,
}

impl Idle {
    fn is_usable(&self, now: Duration, run_once: bool) -> bool {
        let max_idle = if run_once { self.limit.run_once } else { self.limit.repeatable };
        now.saturating_sub(self.since) <= max_idle
    }
}

impl Pool {
    /// Takes a connection for a request; `once` says whether that must run once at most.
    pub fn take(&mut self, now: Duration, run: &Run, run_once: bool) -> Option<Connection> {
        let idle = self.idle.get_mut(run)?;
        // The last one has been idle for the shortest time; the others may still serve other requests.
        while idle.last().is_some_and(|kept| kept.is_usable(now, run_once)) {
            let mut kept = idle.pop()?;
            // Whatever has come since the last answer belongs to no request.
            if kept.connection.is_open_and_empty() {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection, with no more than `most` of the same run; `stated` is for how long
    /// the upstream keeps it.
    pub fn put(
        &mut self,
        now: Duration,
        run: &Run,
        connection: Connection,
        keep_alive: Option<Duration>,
        max_idle: usize,
    ) {
        let limit = IdleLimit::from_keep_alive(keep_alive);
        let idle = self.idle.entry(run.clone()).or_default();
        while idle.len() >= max_idle {
            idle.remove(0);
        }
        idle.push(Idle { connection, since: now, limit });
    }

    /// Drops the connections of runs that are gone.
    pub fn remove_runs(&mut self, runs: &[Run]) {
        for run in runs {
            self.idle.remove(run);
        }
    }

    /// Drops the connections whose time is over.
    pub fn remove_expired(&mut self, now: Duration) {
        for idle in self.idle.values_mut() {
            idle.retain(|kept| kept.is_usable(now, false));
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
