//! Keeps room at the last upstreams of a software version for the streams that it has begun.
//!
//! While a version is replaced, few upstreams of it are left. Streams that have begun there can go
//! nowhere else, while a new prompt can go to an upstream of any version. New prompts therefore
//! leave a part of the slots of such upstreams free, as long as another version has room.

use std::sync::Arc;

use verbenaslip_fleet::registry::Announcement;

use crate::policy::builds::{VersionCount, count_versions};

/// Number of upstreams up to which a version counts as scarce.
const MAX_SCARCE: u32 = 2;

/// Fraction of an entry's part of the slots that new prompts may take at a scarce version.
const NEW_SHARE: f64 = 0.75;

/// Names a software version of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceVersion {
    /// The service.
    pub service: Arc<str>,
    /// The version.
    pub version: Arc<str>,
}

/// Returns the scarce versions among those of the ready upstreams; none unless another version of the
/// service has more upstreams.
pub fn scarce_versions<'a>(ready: impl Iterator<Item = &'a Announcement>) -> Vec<ServiceVersion> {
    let counts = count_versions(ready);
    let has_ample_version = |service: &str| {
        counts.iter().any(|it| *it.announcement.service == *service && it.upstreams > MAX_SCARCE)
    };
    let scarce = counts
        .iter()
        .filter(|it| it.upstreams <= MAX_SCARCE && has_ample_version(&it.announcement.service));
    let named = scarce.map(|VersionCount { announcement, .. }| ServiceVersion {
        service: announcement.service.clone(),
        version: announcement.version.clone(),
    });
    named.collect()
}

/// Returns whether the room that is left at an upstream of a scarce version is kept free, when an
/// entry has `active` requests there.
pub fn is_reserved(active: u32, slots: u32, entries: u32) -> bool {
    let own_slots = f64::from(slots.max(1)) / f64::from(entries.max(1));
    f64::from(active + 1) > (own_slots * NEW_SHARE).max(1.0)
}
