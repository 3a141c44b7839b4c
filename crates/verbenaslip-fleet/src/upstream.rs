//! What an upstream announces about itself, and its status in the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::{AvailabilityZone, Upstream};

/// Identifies one run of an upstream.
///
/// An upstream may restart under the same name, and then has none of its earlier state. Everything
/// that is known of an upstream is therefore tracked per run: what it has cached, which requests it
/// runs, how often it failed, and whether it is leaving or gone.
#[data(ord, hash)]
pub struct Run {
    /// The upstream.
    pub upstream: Upstream,
    /// The start time in Unix milliseconds; zero if upstreams don't report it and take another name
    /// after each start.
    pub incarnation: u64,
}

/// Holds what an upstream announces about itself.
#[data]
pub struct Announcement {
    /// The run that sends the announcement.
    pub run: Run,
    /// The service of the upstream.
    pub service: Arc<str>,
    /// The address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// The availability zone in which the upstream runs.
    pub zone: AvailabilityZone,
    /// The version of the upstream's software.
    pub version: Arc<str>,
    /// The number of requests that the upstream runs at once.
    pub slots: u32,
    /// Whether the upstream is about to stop.
    pub draining: bool,
    /// The remaining time for which the upstream is slow after its start.
    pub warmup_left: Duration,
    /// Whether the upstream may be reclaimed.
    pub reclaimable: bool,
    /// The remaining time for which the upstream serves, if it knows.
    pub leaves_in: Option<Duration>,
    /// The sequence number, which rises with each announcement of the run.
    pub sequence: u64,
}

/// Says whether an upstream may receive requests.
#[data(copy, ord, hash)]
pub enum Status {
    /// The upstream announces itself.
    Ready,
    /// The upstream has been silent for longer than allowed.
    Silent,
    /// The upstream is about to stop and accepts no new requests.
    Leaving,
    /// The upstream has stopped.
    Gone,
    /// The upstream has been silent for so long that it is given up. It never announced its
    /// departure, so it may come back, for example after a long network partition.
    Lost,
}

/// Holds one upstream as all instances know it.
#[data]
pub struct Record {
    /// The last announcement of the upstream.
    pub announcement: Announcement,
    /// Whether the upstream may receive requests.
    pub status: Status,
}

/// Returns whether two announcements differ in anything that other instances must know.
pub(crate) fn differs_for_others(old: &Announcement, new: &Announcement) -> bool {
    let relevant_parts = |it: &Announcement| {
        let state = (it.slots, it.draining, it.warmup_left.is_zero(), it.reclaimable);
        (it.address, it.service.clone(), it.version.clone(), state)
    };
    relevant_parts(old) != relevant_parts(new) || old.leaves_in.is_some() != new.leaves_in.is_some()
}
