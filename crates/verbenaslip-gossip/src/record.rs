//! One upstream as it is known here.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Load, Phase};
use verbenaslip_base::name::Model;

use crate::frame::{ContentHash, Key};
use crate::member::Handle;
use crate::time::Clock;

/// The longest name of an upstream, an availability zone or a model, in bytes.
const MAX_NAME_BYTES: usize = 96;

/// The most models of one upstream.
const MAX_MODELS: usize = 64;

/// The most bytes of an announcement when it is passed on.
const MAX_ANNOUNCEMENT_BYTES: usize = 1_000;

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
    pub(crate) content_hash: ContentHash,
    pub(crate) renewed_at: Duration,
    pub(crate) vouchers: Vec<Handle>,
    pub(crate) lease_status: LeaseStatus,
    pub(crate) expires_at: Duration,
    pub(crate) changed_at: Duration,
    pub(crate) departure_published: bool,
    pub(crate) deadline: Option<Duration>,
    pub(crate) load_source: LoadSource,
}

/// Holds when and how a load was learnt.
#[derive(Clone, Copy, Default)]
pub(crate) struct LoadSource {
    /// The sequence of the announcement that said so.
    pub(crate) sequence: u64,
    /// When it was measured.
    pub(crate) measured_at: Duration,
    /// When this instance last passed on a load of the upstream.
    pub(crate) published_at: Duration,
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
        let age = Clock::to_internal(now).saturating_sub(self.load_source.measured_at).as_millis();
        Load { age: u32::try_from(age).unwrap_or(u32::MAX), ..self.announcement.load }
    }

    /// Returns the monotonic time at which it is taken away, when it has said so.
    pub fn deadline(&self) -> Option<Duration> {
        self.deadline.map(Clock::to_external)
    }

    /// Tells whether it offers a model.
    pub fn offers(&self, model: &Model) -> bool {
        self.announcement.models.contains(model)
    }
}

/// Checks that an announcement is one that can be kept and passed on.
pub(crate) fn is_valid(announcement: &Announcement) -> bool {
    let fits = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
    fits(announcement.upstream.as_str())
        && fits(announcement.zone.as_str())
        && announcement.models.len() <= MAX_MODELS
        && announcement.models.iter().all(|model| fits(model.as_str()))
        && postcard::to_stdvec(announcement)
            .is_ok_and(|bytes| bytes.len() <= MAX_ANNOUNCEMENT_BYTES)
}

/// Tells whether a load differs from another by a step that matters to whoever routes.
pub(crate) fn load_differs(slots: u32, old: &Load, new: &Load) -> bool {
    let level = |load: &Load| {
        let running = u64::from(load.running) * 8 / u64::from(slots.max(1));
        (running, u32::BITS - load.waiting.leading_zeros(), load.memory / 125)
    };
    level(old) != level(new)
}
