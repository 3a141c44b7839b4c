//! Whether a revision is in force everywhere.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;
use verbenaslip_table::Revision;

use crate::lease::{Grant, MAX_DURATION, with_margin};

/// Answers whether a revision is in force everywhere.
#[data]
pub struct Propagation {
    /// The instances that may still serve by an older table, or that pass leases on to such.
    pub awaited: Vec<Instance>,
    /// The time until the leases of earlier leaders have run out; none when they have.
    pub settling: Option<Duration>,
}

impl Propagation {
    /// Says whether every instance that takes work has the revision.
    pub fn is_complete(&self) -> bool {
        self.awaited.is_empty() && self.settling.is_none()
    }
}

/// Tells the lowest revision by which an instance, or one below it, may serve.
#[data]
pub struct Floor {
    /// The instance.
    pub instance: Instance,
    /// The revision.
    pub revision: Revision,
}

/// Keeps who holds a lease and which revision each has, at the leader and wherever leases are
/// passed on.
///
/// A holder that passes leases on reports the lowest revision by which it or any holder below it may
/// serve, its floor. Floors only rise: whoever passes a lease on names its own newest revision in
/// it, and that lease counts only once the revision is applied.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    holders: BTreeMap<Holder, HolderState>,
    settled_at: Duration,
}

impl Tracker {
    /// Begins as the leader's: the leases that earlier leaders granted are not known.
    ///
    /// Without the wait, an instance that an earlier leader granted a lease, and that is cut off
    /// since, would serve by an old table while the new leader says that the edit is in force.
    pub fn start_leading(&mut self, now: Duration) {
        self.settled_at = now.saturating_add(with_margin(MAX_DURATION));
    }

    /// Notes the floor that a holder reports; an older report that comes late changes nothing.
    pub fn record_floor(&mut self, holder: &Holder, floor: Revision) {
        if let Some(state) = self.holders.get_mut(holder) {
            state.floor = state.floor.max(floor);
        }
    }

    /// Notes that a holder is granted a lease.
    pub fn grant(&mut self, now: Duration, holder: Holder, revision: Revision, duration: Duration) {
        self.holders.retain(|_, state| state.drop_expired(now));
        let until = now.saturating_add(with_margin(duration));
        let state = self.holders.entry(holder).or_default();
        state.add(Grant { revision, until });
    }

    /// Returns the lowest revision by which any holder may serve; none when there is no holder.
    pub fn floor(&self, now: Duration) -> Option<Revision> {
        self.holders.values().filter_map(|state| state.floor(now)).min()
    }

    /// Returns the holders of leases that have not run out, with their floors.
    pub fn floors(&self, now: Duration) -> Vec<Floor> {
        let floor = |(holder, state): (&Holder, &HolderState)| {
            Some(Floor { instance: holder.instance.clone(), revision: state.floor(now)? })
        };
        self.holders.iter().filter_map(floor).collect()
    }

    /// Says whether a revision is in force everywhere, as far as this tracker's holders go.
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

/// Names one start of an instance: after a restart it has forgotten to whom it passed leases on,
/// so the floor that it reports then says nothing of the time before.
#[data(ord, hash)]
pub struct Holder {
    /// The instance.
    pub instance: Instance,
    /// Drawn at each start of its process.
    pub boot: u64,
}

#[derive(Clone, Debug, Default)]
struct HolderState {
    floor: Revision,
    grants: Vec<Grant>,
}

impl HolderState {
    /// Drops the grants that have run out; says whether any is left.
    fn drop_expired(&mut self, now: Duration) -> bool {
        self.grants.retain(|grant| grant.until > now);
        !self.grants.is_empty()
    }

    fn add(&mut self, grant: Grant) {
        // A later grant of the same revision, and the oldest where there are many, stand for both:
        // the lower revision for the longer time waits rather too long than too short.
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

/// Bounds the grants kept for each holder.
const MAX_GRANTS_PER_HOLDER: usize = 16;
