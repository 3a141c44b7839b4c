//! Connections to upstreams that are kept for the next request.

use std::collections::HashMap;
use std::time::Duration;

use verbenaslip_fleet::registry::Run;

use crate::http::Connection;

/// Idle connections kept for one upstream at most; more are hardly ever in use at one moment.
const KEPT: usize = 16;

/// The part of the connections that an upstream accepts which may be idle ones of all entries
/// together. The rest is for requests; beyond its number an upstream resets connections in use.
const IDLE_PART: u32 = 2;

/// Returns how many idle connections an entry keeps for an upstream that accepts so many.
pub fn share(connections: u32, entries: u32) -> usize {
    let share = connections / IDLE_PART / entries.max(1);
    usize::try_from(share).unwrap_or(KEPT).clamp(1, KEPT)
}

/// How long a connection is kept where the upstream does not say. Shorter than what upstreams are
/// known to allow, since a request that meets the closing may or may not have run.
const IDLE: Duration = Duration::from_secs(4);

/// The part of the time that an upstream states for which its connections are used.
const MARGIN: f64 = 0.7;

/// How long a connection may have been idle for a request that must run once at most, where the upstream
/// does not say how long it keeps it. It may be closed just when a request is sent, and then nobody knows
/// whether it ran.
const IDLE_ONCE: Duration = Duration::from_millis(400);

/// The same as a part of the time that the upstream states, far enough from its end.
const MARGIN_ONCE: f64 = 0.4;

/// Says how long a connection is kept that is idle from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Keep {
    /// For requests that may be repeated.
    pub any: Duration,
    /// For requests that must run once at most.
    pub once: Duration,
}

impl Keep {
    /// Decides by what the upstream states of how long it keeps it.
    pub fn stated(stated: Option<Duration>) -> Self {
        let Some(stated) = stated else { return Self { any: IDLE, once: IDLE_ONCE } };
        Self { any: stated.mul_f64(MARGIN), once: stated.mul_f64(MARGIN_ONCE) }
    }
}

/// Keeps idle connections by the run of the upstream, never by its address alone.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<Run, Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    wire: Connection,
    since: Duration,
    keep: Keep,
}

impl Idle {
    fn serves(&self, now: Duration, once: bool) -> bool {
        let most = if once { self.keep.once } else { self.keep.any };
        now.saturating_sub(self.since) <= most
    }
}

impl Pool {
    /// Takes a connection for a request; `once` says whether that must run once at most.
    pub fn take(&mut self, now: Duration, run: &Run, once: bool) -> Option<Connection> {
        let idle = self.idle.get_mut(run)?;
        // The last one has been idle for the shortest time; the others may still serve other requests.
        while idle.last().is_some_and(|kept| kept.serves(now, once)) {
            let mut kept = idle.pop()?;
            // Whatever has come since the last answer belongs to no request.
            if kept.wire.is_clean() {
                return Some(kept.wire);
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
        wire: Connection,
        stated: Option<Duration>,
        most: usize,
    ) {
        let keep = Keep::stated(stated);
        let idle = self.idle.entry(run.clone()).or_default();
        while idle.len() >= most {
            idle.remove(0);
        }
        idle.push(Idle { wire, since: now, keep });
    }

    /// Drops the connections of runs that are gone.
    pub fn forget(&mut self, gone: &[Run]) {
        for run in gone {
            self.idle.remove(run);
        }
    }

    /// Drops the connections whose time is over.
    pub fn sweep(&mut self, now: Duration) {
        for idle in self.idle.values_mut() {
            idle.retain(|kept| kept.serves(now, false));
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
