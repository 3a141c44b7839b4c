//! Keeps room at the last upstreams of a software version for the streams that it has begun.
//!
//! While a version is replaced, few upstreams of it are left. Streams that have begun there can go
//! nowhere else, while a new prompt can go to an upstream of any version. New prompts therefore
//! leave a part of the slots of such upstreams free, as long as another version has room.

use std::collections::BTreeMap;
use std::sync::Arc;

/// Number of upstreams up to which a version counts as scarce.
const MAX_SCARCE: u32 = 2;

/// Fraction of an entry's part of the slots that new prompts may take at a scarce version.
const NEW_SHARE: f64 = 0.75;

/// Returns the scarce versions among those of a service's ready upstreams; none unless another
/// version has more upstreams.
pub fn scarce_versions<'a>(ready: impl Iterator<Item = &'a Arc<str>>) -> Vec<Arc<str>> {
    let mut counts: BTreeMap<&Arc<str>, u32> = BTreeMap::new();
    ready.for_each(|version| *counts.entry(version).or_default() += 1);
    if counts.values().all(|count| *count <= MAX_SCARCE) {
        return Vec::new();
    }
    let scarce = counts.into_iter().filter(|(_, count)| *count <= MAX_SCARCE);
    scarce.map(|(version, _)| version.clone()).collect()
}

/// Returns whether the room that is left at an upstream of a scarce version is kept free, when an
/// entry has `active` requests there.
pub fn is_reserved(active: u32, slots: u32, entries: u32) -> bool {
    let own_slots = f64::from(slots.max(1)) / f64::from(entries.max(1));
    f64::from(active + 1) > (own_slots * NEW_SHARE).max(1.0)
}
