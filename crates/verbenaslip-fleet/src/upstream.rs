//! An upstream as it announces itself, and how the fleet sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Upstream};

/// Names one run of an upstream.
///
/// An upstream may start again under the name that it had. It holds nothing of before then, so whatever
/// is known of an upstream is known of a run: what it has cached and under way, how often it failed,
/// that it leaves or has gone.
#[data(ord, hash)]
pub struct Run {
    /// The upstream.
    pub upstream: Upstream,
    /// The time of its start, in Unix milliseconds; zero where upstreams don't say it, and have another
    /// name after each start.
    pub incarnation: u64,
}

/// Holds what an upstream announces of itself.
#[data]
pub struct Announcement {
    /// This run of the upstream.
    pub run: Run,
    /// The service that it serves.
    pub service: Arc<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: AvailabilityZone,
    /// The version of its software.
    pub version: Arc<str>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to go.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub warmup_left: Duration,
    /// Whether it may be reclaimed.
    pub reclaimable: bool,
    /// How long it still serves, when it knows.
    pub leaves_in: Option<Duration>,
    /// Rises with each announcement of this run.
    pub sequence: u64,
}

/// Says whether an upstream may get work.
#[data(copy, ord, hash)]
pub enum Status {
    /// It announces itself.
    Ready,
    /// It has been silent for longer than it should.
    Silent,
    /// It is about to go and takes no new work.
    Leaving,
    /// It has gone.
    Gone,
    /// It has been silent for so long that nothing more is expected of it; one that was cut off for long may
    /// come back, as it never said that it goes.
    Lost,
}

/// Holds one upstream as all instances see it.
#[data]
pub struct Record {
    /// What it last announced.
    pub announcement: Announcement,
    /// Whether it may get work.
    pub status: Status,
}

/// Tells whether an announcement says something that others must know.
pub(crate) fn differs_for_others(old: &Announcement, new: &Announcement) -> bool {
    let relevant_parts = |it: &Announcement| {
        let state = (it.slots, it.draining, it.warmup_left.is_zero(), it.reclaimable);
        (it.address, it.service.clone(), it.version.clone(), state)
    };
    relevant_parts(old) != relevant_parts(new) || old.leaves_in.is_some() != new.leaves_in.is_some()
}
