//! One upstream as it is known here.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Load, Phase};
use verbenaslip_base::name::Model;

use crate::frame::{ContentHash, Key};
use crate::member::Handle;
use crate::time::Clock;

/// The longest name of an upstream, an availability zone or a model, in bytes.
const MAX_NAME: usize = 96;

/// The most models of one upstream.
const MAX_MODELS: usize = 64;

/// The most bytes of an announcement when it is passed on.
const MAX_SHEET: usize = 1_000;

/// Says how far an upstream is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseStatus {
    /// It was renewed within the lease.
    Confirmed,
    /// It was not, but this instance itself may be cut off.
    Doubtful,
    /// It was not.
    Lapsed,
}

/// Holds one upstream.
pub struct Record {
    pub(crate) announcement: Announcement,
    pub(crate) key: Key,
    pub(crate) check: ContentHash,
    pub(crate) fresh: Duration,
    pub(crate) vouchers: Vec<Handle>,
    pub(crate) lease_status: LeaseStatus,
    pub(crate) due: Duration,
    pub(crate) touched: Duration,
    pub(crate) told: bool,
    pub(crate) deadline: Option<Duration>,
    pub(crate) gauge: Gauged,
}

/// Holds when and how a load was learnt.
#[derive(Clone, Copy, Default)]
pub(crate) struct Gauged {
    /// The sequence of the announcement that said so.
    pub(crate) sequence: u64,
    /// When it was measured.
    pub(crate) at: Duration,
    /// When this instance last passed on a load of the upstream.
    pub(crate) told: Duration,
}

impl Record {
    /// Returns what the upstream said of itself, with the newest load known here.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns how far it is confirmed.
    pub fn lease_status(&self) -> LeaseStatus {
        self.lease_status
    }

    /// Tells whether it takes no new work ever again in this incarnation.
    pub fn is_leaving(&self) -> bool {
        matches!(self.announcement.phase, Phase::Leaving { .. })
    }

    /// Returns the newest load known here, with its age in milliseconds at the given time.
    pub fn load(&self, now: Duration) -> Load {
        let age = Clock::inner(now).saturating_sub(self.gauge.at).as_millis();
        Load { age: u32::try_from(age).unwrap_or(u32::MAX), ..self.announcement.load }
    }

    /// Returns the monotonic time at which it is taken away, when it has said so.
    pub fn deadline(&self) -> Option<Duration> {
        self.deadline.map(Clock::outer)
    }

    /// Tells whether it offers a model.
    pub fn offers(&self, model: &Model) -> bool {
        self.announcement.models.contains(model)
    }
}

/// Checks that an announcement is one that can be kept and passed on.
pub(crate) fn valid(announcement: &Announcement) -> bool {
    let fits = |name: &str| (1..=MAX_NAME).contains(&name.len());
    fits(announcement.upstream.as_str())
        && fits(announcement.zone.as_str())
        && announcement.models.len() <= MAX_MODELS
        && announcement.models.iter().all(|model| fits(model.as_str()))
        && postcard::to_stdvec(announcement).is_ok_and(|bytes| bytes.len() <= MAX_SHEET)
}

/// Tells whether a load differs from another by a step that matters to whoever routes.
pub(crate) fn differs(slots: u32, old: &Load, new: &Load) -> bool {
    let level = |load: &Load| {
        let running = u64::from(load.running) * 8 / u64::from(slots.max(1));
        (running, u32::BITS - load.waiting.leading_zeros(), load.memory / 125)
    };
    level(old) != level(new)
}
