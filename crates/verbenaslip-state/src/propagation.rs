//! Tracks whether a revision is in force on all instances.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;
use verbenaslip_table::Revision;

use crate::lease::{Grant, MAX_DURATION, with_margin};

/// Describes how far a revision has come into force.
#[data]
pub struct Propagation {
    /// The instances that may still serve by an older table, or grant leases to instances that do.
    pub awaited: Vec<Instance>,
    /// The time until the leases of earlier leaders have expired; `None` once they have.
    pub settling: Option<Duration>,
}

impl Propagation {
    /// Returns whether every instance that accepts work has the revision.
    pub fn is_complete(&self) -> bool {
        self.awaited.is_empty() && self.settling.is_none()
    }
}

/// The lowest revision by which an instance, or any instance that follows it, may serve.
#[data]
pub struct Floor {
    /// The instance.
    pub instance: Instance,
    /// The lowest revision.
    pub revision: Revision,
}

/// Tracks the lease holders and the revision of each, on the leader and on every instance that
/// grants leases.
///
/// A holder that grants leases itself reports its floor: the lowest revision by which it, or any
/// holder that follows it, may serve. Floors only rise: an instance that grants a lease names its
/// own newest revision in it, and the lease counts only once that revision is applied.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    holders: BTreeMap<Holder, HolderState>,
    settled_at: Duration,
}

impl Tracker {
    /// Starts tracking as the leader, which does not know the leases granted by earlier leaders.
    ///
    /// Without waiting for those leases to expire, an instance that an earlier leader granted a
    /// lease and that is now partitioned would serve by an old table while the new leader reports
    /// the edit as in force.
    pub fn start_leading(&mut self, now: Duration) {
        self.settled_at = now.saturating_add(with_margin(MAX_DURATION));
    }

    /// Records the floor that a holder reports; a lower floor from a delayed report has no effect.
    pub fn record_floor(&mut self, holder: &Holder, floor: Revision) {
        if let Some(state) = self.holders.get_mut(holder) {
            state.floor = state.floor.max(floor);
        }
    }

    /// Records that a holder is granted a lease.
    pub fn grant(&mut self, now: Duration, holder: Holder, revision: Revision, duration: Duration) {
        self.holders.retain(|_, state| state.drop_expired(now));
        let until = now.saturating_add(with_margin(duration));
        let state = self.holders.entry(holder).or_default();
        state.add_grant(Grant { revision, until });
    }

    /// Returns the lowest revision by which any holder may serve; `None` without holders.
    pub fn floor(&self, now: Duration) -> Option<Revision> {
        self.holders.values().filter_map(|state| state.floor(now)).min()
    }

    /// Returns the holders of unexpired leases with their floors.
    pub fn floors(&self, now: Duration) -> Vec<Floor> {
        let floor = |(holder, state): (&Holder, &HolderState)| {
            Some(Floor { instance: holder.instance.clone(), revision: state.floor(now)? })
        };
        self.holders.iter().filter_map(floor).collect()
    }

    /// Returns how far a revision is in force among the holders of this tracker.
    pub fn propagation(&self, now: Duration, revision: Revision) -> Propagation {
        let lagging = |state: &HolderState| state.floor(now).is_some_and(|floor| floor < revision);
        let lagging = self.holders.iter().filter(|(_, state)| lagging(state));
        let mut awaited: Vec<Instance> =
            lagging.map(|(holder, _)| holder.instance.clone()).collect();
        awaited.dedup();
        let settling = self.settled_at.checked_sub(now).filter(|wait| !wait.is_zero());
        Propagation { awaited, settling }
    }
}

/// Identifies one process lifetime of an instance.
///
/// After a restart an instance no longer knows to whom it granted leases, so the floor that it
/// reports does not cover the leases of the previous lifetime.
#[data(ord, hash)]
pub struct Holder {
    /// The instance.
    pub instance: Instance,
    /// A random number drawn at each start of the process.
    pub boot: u64,
}

#[derive(Clone, Debug, Default)]
struct HolderState {
    floor: Revision,
    grants: Vec<Grant>,
}

impl HolderState {
    /// Drops expired grants; returns whether any is left.
    fn drop_expired(&mut self, now: Duration) -> bool {
        self.grants.retain(|grant| grant.until > now);
        !self.grants.is_empty()
    }

    fn add_grant(&mut self, grant: Grant) {
        // Merges with the last grant of the same revision, or merges the two oldest if there are
        // too many. Combining the lower revision with the later expiry waits too long rather than
        // too short.
        if let Some(last) = self.grants.last_mut()
            && (last.revision == grant.revision)
        {
            last.until = last.until.max(grant.until);
            return;
        }
        if self.grants.len() >= MAX_GRANTS_PER_HOLDER {
            let oldest = self.grants.remove(0);
            if let Some(second) = self.grants.first_mut() {
                second.revision = second.revision.min(oldest.revision);
                second.until = second.until.max(oldest.until);
            }
        }
        self.grants.push(grant);
    }

    fn floor(&self, now: Duration) -> Option<Revision> {
        let live = self.grants.iter().filter(|grant| grant.until > now);
        live.map(|grant| grant.revision.max(self.floor)).min()
    }
}

/// Maximum number of grants kept per holder.
const MAX_GRANTS_PER_HOLDER: usize = 16;
