//! Connections to upstreams that are kept for the next request.

use std::collections::HashMap;
use std::time::Duration;

use verbenaslip_fleet::registry::Run;

use crate::http::Wire;

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

/// Keeps idle connections by the run of the upstream, never by its address alone.
#[derive(Debug, Default)]
pub struct Pool {
    idle: HashMap<Run, Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    wire: Wire,
    since: Duration,
    until: Duration,
}

impl Pool {
    /// Takes a connection that has been idle for no longer than `most`.
    pub fn take(&mut self, now: Duration, run: &Run, most: Duration) -> Option<Wire> {
        let idle = self.idle.get_mut(run)?;
        while let Some(mut kept) = idle.pop() {
            let old = now > kept.until || now.saturating_sub(kept.since) > most;
            // Whatever has come since the last answer belongs to no request.
            if !old && kept.wire.is_clean() {
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
        wire: Wire,
        stated: Option<Duration>,
        most: usize,
    ) {
        let keeps = stated.map_or(IDLE, |stated| stated.mul_f64(MARGIN));
        let idle = self.idle.entry(run.clone()).or_default();
        while idle.len() >= most {
            idle.remove(0);
        }
        idle.push(Idle { wire, since: now, until: now + keeps });
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
            idle.retain(|kept| now <= kept.until);
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
