//! Idle connections to upstreams, kept for later requests.

use std::collections::HashMap;
use std::time::Duration;

use verbenaslip_fleet::registry::Run;

use crate::http::Connection;
use crate::http::connection::IdleState;

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

/// Limit on the time for which an upstream says that it keeps an idle connection.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(600);

/// Time after an answer within which a connection serves no request that must run at most once.
/// Bytes that an upstream in trouble sends right after an answer have arrived by then; on a
/// connection in use, they would be read in place of the next answer.
const SETTLING_TIME: Duration = Duration::from_millis(5);

/// Time for which no connections are kept to an upstream that has sent bytes that belong to no
/// request.
const STRAY_PERIOD: Duration = Duration::from_secs(10);

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
        let Some(keep_alive) = keep_alive.map(|it| it.min(MAX_KEEP_ALIVE)) else {
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
    /// When connections are kept again to runs that have sent bytes that belong to no request.
    strays: HashMap<Run, Duration>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Duration,
    limit: IdleLimit,
    /// Identity of the last request on the connection, if there was one.
    last_id: Option<Box<str>>,
}

impl Idle {
    fn is_usable(&self, now: Duration, run_once: bool) -> bool {
        let max_idle = if run_once { self.limit.run_once } else { self.limit.repeatable };
        now.saturating_sub(self.since) <= max_idle
    }

    /// Returns whether the connection suits a request.
    fn suits(&self, now: Duration, purpose: Purpose<'_>) -> bool {
        let is_settled = self.last_id.is_none()
            || !purpose.run_once
            || now.saturating_sub(self.since) >= SETTLING_TIME;
        // A second answer to the same request could not be told from the one that is due.
        let is_other = self.last_id.as_deref() != Some(purpose.id);
        is_settled && is_other && self.is_usable(now, purpose.run_once)
    }
}

/// Describes the request for which a connection is taken.
#[derive(Clone, Copy, Debug)]
pub struct Purpose<'a> {
    /// Identity of the request.
    pub id: &'a str,
    /// Whether the request must run at most once.
    pub run_once: bool,
}

impl Pool {
    /// Takes a connection for a request.
    ///
    /// Connections for which `is_trusted` is false are dropped.
    pub fn take(
        &mut self,
        now: Duration,
        run: &Run,
        purpose: Purpose<'_>,
        is_trusted: impl Fn(&Connection) -> bool,
    ) -> Option<Connection> {
        let idle = self.idle.get_mut(run)?;
        // The last connection has been idle for the shortest time; the others may still serve
        // other requests.
        while let Some(index) = idle.iter().rposition(|kept| kept.suits(now, purpose)) {
            let mut kept = idle.remove(index);
            match kept.connection.check_idle() {
                IdleState::Silent if is_trusted(&kept.connection) => return Some(kept.connection),
                IdleState::Silent | IdleState::Ended => {}
                IdleState::Stray => {
                    self.record_stray(now, run);
                    return None;
                }
            }
        }
        None
    }

    /// Keeps a connection after the answer to the request `id`, and at most `max_idle` for the same
    /// run; `keep_alive` is how long the upstream keeps it, if stated.
    pub fn put(
        &mut self,
        now: Duration,
        run: &Run,
        (connection, id): (Connection, &str),
        keep_alive: Option<Duration>,
        max_idle: usize,
    ) {
        if self.strays.get(run).is_some_and(|until| now < *until) {
            return;
        }
        let limit = IdleLimit::from_keep_alive(keep_alive);
        let idle = self.idle.entry(run.clone()).or_default();
        while idle.len() >= max_idle {
            idle.remove(0);
        }
        idle.push(Idle { connection, since: now, limit, last_id: Some(id.into()) });
    }

    /// Keeps a connection that no request has used, unless there is another one to the same run.
    pub fn put_first(&mut self, now: Duration, run: &Run, connection: Connection) {
        let limit = IdleLimit::from_keep_alive(None);
        let idle = self.idle.entry(run.clone()).or_default();
        if idle.is_empty() {
            idle.push(Idle { connection, since: now, limit, last_id: None });
        }
    }

    /// Records that an upstream has sent bytes that belong to no request: its connections are
    /// dropped, since more may be on their way on any of them, and none are kept for a while.
    pub fn record_stray(&mut self, now: Duration, run: &Run) {
        metrics::counter!("verbenaslip_stray_bytes_total").increment(1);
        self.idle.remove(run);
        self.strays.insert(run.clone(), now + STRAY_PERIOD);
    }

    /// Drops the connections of runs that are gone.
    pub fn remove_runs(&mut self, runs: &[Run]) {
        for run in runs {
            self.idle.remove(run);
            self.strays.remove(run);
        }
    }

    /// Drops the connections that have been idle for too long, have ended, or have received bytes,
    /// which belong to no request.
    pub fn remove_expired(&mut self, now: Duration) {
        let mut strays = Vec::new();
        for (run, idle) in &mut self.idle {
            // A gateway that is stopping waits for the end of the connections through it.
            idle.retain_mut(|kept| {
                let state = kept.connection.check_idle();
                if state == IdleState::Stray {
                    strays.push(run.clone());
                }
                state == IdleState::Silent && kept.is_usable(now, false)
            });
        }
        self.idle.retain(|_, idle| !idle.is_empty());
        self.strays.retain(|_, until| now < *until);
        strays.iter().for_each(|run| self.record_stray(now, run));
    }
}
