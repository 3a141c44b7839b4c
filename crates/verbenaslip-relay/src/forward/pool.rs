//! Idle connections to upstreams, kept for later requests.

use std::collections::HashMap;
use std::time::Duration;

use verbenaslip_fleet::registry::Run;

use crate::http::Connection;

/// Limit on the idle connections to one upstream; more are hardly ever in use at one moment.
const MAX_IDLE: usize = 16;

/// Divisor for the share of an upstream's connections that the idle ones of all entries together
/// may take. The rest is for requests: an upstream that accepts no more connections resets
/// connections in use.
const IDLE_DIVISOR: u32 = 2;

/// Returns how many idle connections an entry keeps to an upstream that accepts `connections`.
pub fn idle_share(connections: u32, entries: u32) -> usize {
    let share = connections / IDLE_DIVISOR / entries.max(1);
    usize::try_from(share).unwrap_or(MAX_IDLE).clamp(1, MAX_IDLE)
}

/// Idle time after which a connection is dropped if the upstream states none. It is shorter than
/// what upstreams are known to allow, since a request that meets a closing connection may or may
/// not have run.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// Fraction of the stated idle time for which a connection is used.
const IDLE_FRACTION: f64 = 0.7;

/// Idle time up to which a connection serves a request that must run at most once, if the upstream
/// states none. If the upstream closed the connection just as the request was sent, nobody would
/// know whether it ran.
const DEFAULT_IDLE_ONCE: Duration = Duration::from_millis(400);

/// Fraction of the stated idle time for requests that must run at most once, far enough from its
/// end.
const IDLE_FRACTION_ONCE: f64 = 0.4;

/// Holds how long a connection may stay idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IdleLimit {
    /// Limit for requests that may be repeated.
    pub repeatable: Duration,
    /// Limit for requests that must run at most once.
    pub run_once: Duration,
}

impl IdleLimit {
    /// Returns the limits for the idle time that the upstream states, if it states one.
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

/// Holds idle connections by the run of the upstream, never by its address alone.
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
    /// Takes a connection for a request; `run_once` states whether the request must run at most
    /// once.
    ///
    /// Connections for which `is_trusted` is false are dropped.
    pub fn take(
        &mut self,
        now: Duration,
        run: &Run,
        run_once: bool,
        is_trusted: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(run)?;
        // The last connection has been idle for the shortest time; the others may still serve
        // other requests.
        while idle.last().is_some_and(|kept| kept.is_usable(now, run_once)) {
            let mut kept = idle.pop()?;
            // Bytes that have arrived since the last answer belong to no request.
            if kept.connection.is_open_and_empty() && is_trusted(&kept.connection) {
                return Some(kept.connection);
            }
        }
        None
    }

    /// Keeps a connection, and at most `max_idle` for the same run; `keep_alive` is how long the
    /// upstream keeps it, if stated.
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

    /// Keeps a connection that no request has used, unless there is another one to the same run.
    pub fn put_first(&mut self, now: Duration, run: &Run, connection: Connection) {
        let limit = IdleLimit::from_keep_alive(None);
        let idle = self.idle.entry(run.clone()).or_default();
        if idle.is_empty() {
            idle.push(Idle { connection, since: now, limit });
        }
    }

    /// Drops the connections of runs that are gone.
    pub fn remove_runs(&mut self, runs: &[Run]) {
        for run in runs {
            self.idle.remove(run);
        }
    }

    /// Drops the connections that have been idle for too long, have ended, or have received bytes,
    /// which belong to no request.
    pub fn remove_expired(&mut self, now: Duration) {
        for idle in self.idle.values_mut() {
            // A gateway that is stopping waits for the end of the connections through it.
            idle.retain_mut(|kept| {
                kept.is_usable(now, false) && kept.connection.is_open_and_empty()
            });
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
