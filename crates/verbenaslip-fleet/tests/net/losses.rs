//! Which cores count as lost, for tests that may not lose more than is tolerated.

#![allow(dead_code)] // Each test target uses a different part of this module.

use std::time::Duration;

/// How long a core counts as lost after it is back or, if it is new, after it has started
/// (`CatchUpS` on the platform's pages).
pub const CATCH_UP_TIME: Duration = Duration::from_secs(4);

/// Keeps which cores count as lost, by their places in the fleet.
///
/// The platform's pages (Losses): "A machine is lost while it is down, frozen, slowed or cut off. It
/// also remains lost for `CatchUpS` after it is back or, if it is new, after it starts. A machine
/// that is removed stops counting once its successor has had that time."
///
/// A disk is lost only while fewer other cores count as lost than are tolerated. Other faults come
/// at any time: "Losses may also overlap beyond it, as long as no more disks are lost than it
/// allows. In that case, service may be suspended until `RecoverS` after all are back". So a disk
/// that was lost before or during such an overlap counts until the overlap is over.
pub struct Losses {
    tolerated: usize,
    places: Vec<Place>,
}

/// Holds what has happened to the core at one place.
#[derive(Clone, Copy, Debug, Default)]
struct Place {
    /// Whether the core is disconnected or paused.
    is_away: bool,
    /// When the core last started or came back.
    back_at: Option<Duration>,
    /// Whether the place has lost a disk that counts.
    lost_disk: bool,
}

impl Place {
    fn is_lost(&self, now: Duration) -> bool {
        let is_recent = |back_at: Duration| now.saturating_sub(back_at) <= CATCH_UP_TIME;
        self.is_away || self.lost_disk || self.back_at.is_some_and(is_recent)
    }
}

impl Losses {
    /// Starts without losses.
    pub fn new(tolerated: usize, places: usize) -> Self {
        Self { tolerated, places: vec![Place::default(); places] }
    }

    /// Lets the lost disks count no longer whose cores have had their time, unless losses overlap
    /// beyond what is tolerated. Must be called before each change, since losses end by themselves.
    pub fn settle(&mut self, now: Duration) {
        if self.count(now) > self.tolerated {
            return;
        }
        for place in &mut self.places {
            let lost_disk = std::mem::take(&mut place.lost_disk);
            place.lost_disk = lost_disk && place.is_lost(now);
        }
    }

    pub fn count(&self, now: Duration) -> usize {
        self.places.iter().filter(|it| it.is_lost(now)).count()
    }

    pub fn is_lost(&mut self, now: Duration, place: usize) -> bool {
        self.settle(now);
        self.places[place].is_lost(now)
    }

    /// Returns whether the core at a place may lose its disk.
    pub fn may_lose_disk(&mut self, now: Duration, place: usize) -> bool {
        self.settle(now);
        self.count(now) - usize::from(self.places[place].is_lost(now)) < self.tolerated
    }

    /// Records that a core has gone away, or was there again at once.
    pub fn record(&mut self, now: Duration, place: usize, is_away: bool) {
        self.settle(now);
        self.places[place].is_away = is_away;
        self.places[place].back_at = Some(now);
    }

    pub fn record_lost_disk(&mut self, now: Duration, place: usize) {
        self.record(now, place, false);
        self.places[place].lost_disk = true;
    }
}
