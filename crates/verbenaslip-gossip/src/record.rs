//! What this instance knows of one upstream.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Load, Phase};
use verbenaslip_base::name::Model;

use crate::frame::{ContentHash, Key};
use crate::member::Handle;
use crate::time::Clock;

/// Maximum length of the name of an upstream, an availability zone or a model, in bytes.
const MAX_NAME_BYTES: usize = 96;

/// Maximum number of models that one upstream can offer.
const MAX_MODELS: usize = 64;

/// Maximum encoded size of an announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: usize = 1_000;

/// Whether an upstream's lease is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseStatus {
    /// The upstream was renewed within the lease.
    Confirmed,
    /// The lease has run out, but possibly only because this instance is cut off.
    Doubtful,
    /// The lease has run out.
    Lapsed,
}

/// Latest announcement of an upstream and the state of its lease.
pub struct Record {
    pub(crate) announcement: Announcement,
    pub(crate) key: Key,
    pub(crate) content_hash: ContentHash,
    /// Time of the last renewal by direct evidence.
    pub(crate) renewed_at: Duration,
    /// Instances that vouch for the upstream.
    pub(crate) vouchers: Vec<Handle>,
    pub(crate) lease_status: LeaseStatus,
    /// End of the lease when it was last updated.
    pub(crate) expires_at: Duration,
    /// Time of the last announcement or departure that was stored.
    pub(crate) changed_at: Duration,
    /// Whether the departure of this incarnation has been published.
    pub(crate) departure_published: bool,
    /// Time at which the upstream is taken away.
    pub(crate) deadline: Option<Duration>,
    pub(crate) load_source: LoadSource,
}

/// Origin of the latest load of an upstream.
#[derive(Clone, Copy, Default)]
pub(crate) struct LoadSource {
    /// Sequence number of the announcement that contained the load.
    pub(crate) sequence: u64,
    /// Time at which the load was measured.
    pub(crate) measured_at: Duration,
    /// Time at which this instance last sent on a load of the upstream.
    pub(crate) published_at: Duration,
}

impl Record {
    /// Returns the upstream's latest announcement, with the latest load known here.
    pub fn announcement(&self) -> &Announcement {
        &self.announcement
    }

    /// Returns whether the upstream's lease is current.
    pub fn lease_status(&self) -> LeaseStatus {
        self.lease_status
    }

    /// Returns whether the upstream takes no new work for the rest of its incarnation.
    pub fn is_leaving(&self) -> bool {
        matches!(self.announcement.phase, Phase::Leaving { .. })
    }

    /// Returns the latest load known here, with its age in milliseconds at the given time.
    pub fn load(&self, now: Duration) -> Load {
        let age = Clock::to_internal(now).saturating_sub(self.load_source.measured_at).as_millis();
        Load { age: u32::try_from(age).unwrap_or(u32::MAX), ..self.announcement.load }
    }

    /// Returns the monotonic time at which the upstream is taken away, if it has given a notice.
    pub fn deadline(&self) -> Option<Duration> {
        self.deadline.map(Clock::to_external)
    }

    /// Returns whether the upstream offers a model.
    pub fn offers(&self, model: &Model) -> bool {
        self.announcement.models.contains(model)
    }
}

/// Returns whether an announcement is small enough to be stored and forwarded.
pub(crate) fn is_valid(announcement: &Announcement) -> bool {
    let fits = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
    fits(announcement.upstream.as_str())
        && fits(announcement.zone.as_str())
        && announcement.models.len() <= MAX_MODELS
        && announcement.models.iter().all(|model| fits(model.as_str()))
        && postcard::to_stdvec(announcement)
            .is_ok_and(|bytes| bytes.len() <= MAX_ANNOUNCEMENT_BYTES)
}

/// Returns whether two loads differ by a step that matters for routing.
pub(crate) fn load_differs(slots: u32, old: &Load, new: &Load) -> bool {
    let level = |load: &Load| {
        let running = u64::from(load.running) * 8 / u64::from(slots.max(1));
        (running, u32::BITS - load.waiting.leading_zeros(), load.memory / 125)
    };
    level(old) != level(new)
}
