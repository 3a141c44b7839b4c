//! Instances and their liveness, and which instances hold a request besides its owner.
//!
//! Every instance with the same view computes the same holders.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::hash;
use verbenaslip_base::name::{AvailabilityZone, Instance};

/// Number of home instances of a key, each in another availability zone.
pub(crate) const HOME_COUNT: usize = 2;

/// Known instances and their liveness.
#[derive(Clone, Debug, Default)]
pub(crate) struct Membership {
    /// All known instances, this one included.
    members: BTreeMap<Instance, MemberState>,
}

/// What is known of one instance.
#[derive(Clone, Debug)]
pub(crate) struct MemberState {
    /// Availability zone.
    pub(crate) zone: AvailabilityZone,
    /// Boot number; zero if unknown.
    pub(crate) boot: u64,
    /// Whether the instance is considered alive.
    pub(crate) alive: bool,
    /// Whether the instance has stopped responding but is not considered dead.
    pub(crate) suspected: bool,
    /// When the instance was lost, if it was.
    pub(crate) lost_at: Option<Duration>,
}

impl MemberState {
    /// Returns the state of an instance that is alive.
    pub(crate) fn alive(zone: AvailabilityZone, boot: u64) -> Self {
        Self { zone, boot, alive: true, suspected: false, lost_at: None }
    }

    /// Returns whether the instance is considered alive and responds.
    fn is_responsive(&self) -> bool {
        self.alive && !self.suspected
    }
}

impl Membership {
    /// Adds or replaces an instance.
    pub(crate) fn insert(&mut self, instance: Instance, member: MemberState) {
        self.members.insert(instance, member);
    }

    /// Marks an instance as lost; returns whether it was considered alive before.
    pub(crate) fn mark_lost(&mut self, instance: &Instance, now: Duration) -> bool {
        let Some(member) = self.members.get_mut(instance) else {
            return false;
        };
        member.lost_at.get_or_insert(now);
        std::mem::replace(&mut member.alive, false)
    }

    /// Records whether an instance is suspected not to respond.
    pub(crate) fn set_suspected(&mut self, instance: &Instance, suspected: bool) {
        if let Some(member) = self.members.get_mut(instance) {
            member.suspected = suspected;
        }
    }

    /// Removes an instance that has stopped permanently; returns whether it was considered alive.
    pub(crate) fn remove(&mut self, instance: &Instance) -> bool {
        self.members.remove(instance).is_some_and(|member| member.alive)
    }

    /// Returns what is known of an instance.
    pub(crate) fn get(&self, instance: &Instance) -> Option<&MemberState> {
        self.members.get(instance)
    }

    /// Returns whether an instance is considered alive.
    pub(crate) fn is_alive(&self, instance: &Instance) -> bool {
        self.get(instance).is_some_and(|member| member.alive)
    }

    /// Returns whether an instance is considered alive and responds.
    pub(crate) fn is_responsive(&self, instance: &Instance) -> bool {
        self.get(instance).is_some_and(MemberState::is_responsive)
    }

    /// Returns the home instances of a request: the highest-ranked instance of each of the
    /// highest-ranked availability zones.
    pub(crate) fn homes(&self, request: Request) -> Vec<Instance> {
        self.best_per_zone(request, MemberState::is_responsive)
            .into_iter()
            .take(HOME_COUNT)
            .collect()
    }

    /// Returns whether an instance lost since `after` would be a home instance if it were present.
    ///
    /// Such an instance may be partitioned rather than dead, and hold state that the others lack.
    pub(crate) fn is_home_missing(&self, request: Request, after: Duration) -> bool {
        let recent =
            |member: &MemberState| member.alive || member.lost_at.is_some_and(|lost| lost >= after);
        let homes = self.best_per_zone(request, recent);
        homes.iter().take(HOME_COUNT).any(|home| !self.is_responsive(home))
    }

    /// Returns where a request can be stored besides `own`, best first: instances in other
    /// availability zones come first, and home instances come before the rest.
    pub(crate) fn holders(&self, request: Request, own: &Instance) -> Vec<Instance> {
        let zone = self.get(own).map(|member| &member.zone);
        let homes = self.best_per_zone(request, MemberState::is_responsive);
        let rest = self.ranked(request, MemberState::is_responsive);
        let all = homes.into_iter().chain(rest).filter(|instance| instance != own);
        let (mut other_zones, mut same_zone, mut known) = (Vec::new(), Vec::new(), BTreeSet::new());
        for instance in all.filter(|instance| known.insert(instance.clone())) {
            match self.get(&instance).map(|member| &member.zone) == zone {
                true => same_zone.push(instance),
                false => other_zones.push(instance),
            }
        }
        other_zones.append(&mut same_zone);
        other_zones
    }

    /// Returns whether two instances are in different availability zones.
    pub(crate) fn in_different_zones(&self, one: &Instance, other: &Instance) -> bool {
        self.get(one).map(|member| &member.zone) != self.get(other).map(|member| &member.zone)
    }

    fn best_per_zone(
        &self,
        request: Request,
        is_candidate: impl Fn(&MemberState) -> bool,
    ) -> Vec<Instance> {
        let mut zones = BTreeSet::new();
        let mut best = self.ranked(request, is_candidate);
        best.retain(|instance| {
            self.get(instance).is_some_and(|member| zones.insert(member.zone.clone()))
        });
        best
    }

    fn ranked(
        &self,
        request: Request,
        is_candidate: impl Fn(&MemberState) -> bool,
    ) -> Vec<Instance> {
        let counted = self.members.iter().filter(|(_, member)| is_candidate(member));
        let mut ranked: Vec<_> =
            counted.map(|(instance, _)| (score(request, instance), instance)).collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.into_iter().map(|(_, instance)| instance.clone()).collect()
    }
}

fn score(request: Request, instance: &Instance) -> u64 {
    hash::narrow(&[&request.0.to_le_bytes(), instance.as_str().as_bytes()])
}
