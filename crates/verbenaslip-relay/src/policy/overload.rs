//! Whether this entry has more connections to serve than it has processor time for.
//!
//! A load balancer may hand one entry most of a zone's new connections. An entry that accepts more
//! than it can serve delays all of them alike, and their callers give up. A caller whose connection
//! is closed before anything was read retries through another entry at once.

use std::time::Duration;

/// Delay of a new connection above which the entry is overloaded. Each request passes through the
/// event loop some six times, and the shortest objectives are 150 ms.
const MAX_DELAY: Duration = Duration::from_millis(30);

/// Delay above which a new connection is closed during an overload.
const CLOSING_DELAY: Duration = Duration::from_millis(15);

/// Time in which no connection may have been served sooner, so that a single pause of the processor
/// is no overload.
const WINDOW: Duration = Duration::from_millis(200);

/// Minimum number of connections in that time.
const MIN_CONNECTIONS: u32 = 4;

/// Time without a closed connection after which an overload has ended.
const END_DELAY: Duration = Duration::from_secs(2);

/// Whether a new connection is served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is served.
    Served,
    /// It is closed before anything is read.
    Closed,
}

/// Describes a change of state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The entry is overloaded; the shortest delay of the last connections.
    Began(Duration),
    /// The overload has ended; the number of connections that were closed.
    Ended(u64),
}

/// Detects overload by the time that new connections wait for the event loop.
///
/// During an overload each connection is judged by its own delay. Closing all of them until the
/// delay is short again would let in a burst each time.
#[derive(Debug, Default)]
pub struct Overload {
    /// The connections since one was last served soon enough.
    window: Option<Window>,
    /// The present overload.
    episode: Option<Episode>,
}

/// Holds the delays of a span of time.
#[derive(Clone, Copy, Debug)]
struct Window {
    began_at: Duration,
    connections: u32,
    shortest_delay: Duration,
}

/// Holds what was closed during an overload.
#[derive(Clone, Copy, Debug)]
struct Episode {
    closed: u64,
    last_closed_at: Duration,
}

impl Overload {
    /// Decides on a new connection by how long it has waited; returns the change of state, if any.
    pub fn admit(&mut self, now: Duration, delay: Duration) -> (Verdict, Option<Change>) {
        let change = self.update(now, delay);
        let Some(episode) = self.episode.as_mut().filter(|_| delay >= CLOSING_DELAY) else {
            return (Verdict::Served, change);
        };
        episode.closed += 1;
        episode.last_closed_at = now;
        (Verdict::Closed, change)
    }

    fn update(&mut self, now: Duration, delay: Duration) -> Option<Change> {
        if let Some(Episode { closed, last_closed_at }) = self.episode {
            let has_ended = now.saturating_sub(last_closed_at) > END_DELAY;
            self.episode = self.episode.filter(|_| !has_ended);
            return has_ended.then_some(Change::Ended(closed));
        }
        if delay < MAX_DELAY {
            self.window = None;
            return None;
        }
        let new = Window { began_at: now, connections: 0, shortest_delay: delay };
        let window = self.window.get_or_insert(new);
        window.connections += 1;
        window.shortest_delay = window.shortest_delay.min(delay);
        let Window { began_at, connections, shortest_delay } = *window;
        if now.saturating_sub(began_at) < WINDOW || connections < MIN_CONNECTIONS {
            return None;
        }
        self.window = None;
        self.episode = Some(Episode { closed: 0, last_closed_at: now });
        Some(Change::Began(shortest_delay))
    }
}
