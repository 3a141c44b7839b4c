//! Which instances hold a request besides its owner: the same answer at every instance.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::hash;
use verbenaslip_base::name::{AvailabilityZone, Instance};

/// How many homes are asked whether they know a key, each in another availability zone.
pub(crate) const HOMES: usize = 2;

/// Knows the instances and which of them seem alive.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    members: BTreeMap<Instance, Seen>,
}

/// Holds what is known of one instance.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    /// Its availability zone.
    pub(crate) zone: AvailabilityZone,
    /// Its start, zero when not known.
    pub(crate) boot: u64,
    /// Whether it seems alive.
    pub(crate) alive: bool,
    /// Whether it has stopped to answer and may still turn out to be alive.
    pub(crate) suspected: bool,
    /// When it was lost, if it was.
    pub(crate) lost: Option<Duration>,
}

impl Seen {
    /// Describes an instance that is there.
    pub(crate) fn alive(zone: AvailabilityZone, boot: u64) -> Self {
        Self { zone, boot, alive: true, suspected: false, lost: None }
    }

    /// Returns whether it seems alive and answers.
    fn answers(&self) -> bool {
        self.alive && !self.suspected
    }
}

impl View {
    /// Notes an instance.
    pub(crate) fn insert(&mut self, instance: Instance, seen: Seen) {
        self.members.insert(instance, seen);
    }

    /// Notes that an instance seems dead; returns whether it seemed alive before.
    pub(crate) fn lose(&mut self, instance: &Instance, now: Duration) -> bool {
        let Some(seen) = self.members.get_mut(instance) else {
            return false;
        };
        seen.lost.get_or_insert(now);
        std::mem::replace(&mut seen.alive, false)
    }

    /// Notes that an instance does not answer, or does again.
    pub(crate) fn suspect(&mut self, instance: &Instance, suspected: bool) {
        if let Some(seen) = self.members.get_mut(instance) {
            seen.suspected = suspected;
        }
    }

    /// Removes an instance that has stopped for good; returns whether it seemed alive before.
    pub(crate) fn remove(&mut self, instance: &Instance) -> bool {
        self.members.remove(instance).is_some_and(|seen| seen.alive)
    }

    /// Returns what is known of an instance.
    pub(crate) fn get(&self, instance: &Instance) -> Option<&Seen> {
        self.members.get(instance)
    }

    /// Returns whether an instance seems alive.
    pub(crate) fn alive(&self, instance: &Instance) -> bool {
        self.get(instance).is_some_and(|seen| seen.alive)
    }

    /// Returns whether an instance seems alive and answers.
    pub(crate) fn answers(&self, instance: &Instance) -> bool {
        self.get(instance).is_some_and(Seen::answers)
    }

    /// Returns the homes of a request: the best instance of each of the best availability zones.
    pub(crate) fn homes(&self, request: Request) -> Vec<Instance> {
        self.best(request, Seen::answers).into_iter().take(HOMES).collect()
    }

    /// Returns whether an instance that was lost since `after` would be a home if it were there.
    ///
    /// It may be cut off rather than dead, and hold what the others know nothing of.
    pub(crate) fn misses(&self, request: Request, after: Duration) -> bool {
        let recent = |seen: &Seen| seen.alive || seen.lost.is_some_and(|lost| lost >= after);
        let homes = self.best(request, recent);
        homes.iter().take(HOMES).any(|home| !self.answers(home))
    }

    /// Returns where a request can be held besides `own`, best first: other availability zones
    /// first, the homes before all.
    pub(crate) fn holders(&self, request: Request, own: &Instance) -> Vec<Instance> {
        let zone = self.get(own).map(|seen| &seen.zone);
        let homes = self.best(request, Seen::answers);
        let rest = self.ranked(request, Seen::answers);
        let all = homes.into_iter().chain(rest).filter(|instance| instance != own);
        let (mut far, mut near, mut known) = (Vec::new(), Vec::new(), BTreeSet::new());
        for instance in all.filter(|instance| known.insert(instance.clone())) {
            match self.get(&instance).map(|seen| &seen.zone) == zone {
                true => near.push(instance),
                false => far.push(instance),
            }
        }
        far.append(&mut near);
        far
    }

    /// Returns whether two instances are in different availability zones.
    pub(crate) fn apart(&self, one: &Instance, other: &Instance) -> bool {
        self.get(one).map(|seen| &seen.zone) != self.get(other).map(|seen| &seen.zone)
    }

    fn best(&self, request: Request, counts: impl Fn(&Seen) -> bool) -> Vec<Instance> {
        let mut zones = BTreeSet::new();
        let mut best = self.ranked(request, counts);
        best.retain(|instance| {
            self.get(instance).is_some_and(|seen| zones.insert(seen.zone.clone()))
        });
        best
    }

    fn ranked(&self, request: Request, counts: impl Fn(&Seen) -> bool) -> Vec<Instance> {
        let counted = self.members.iter().filter(|(_, seen)| counts(seen));
        let mut ranked: Vec<_> =
            counted.map(|(instance, _)| (score(request, instance), instance)).collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.into_iter().map(|(_, instance)| instance.clone()).collect()
    }
}

fn score(request: Request, instance: &Instance) -> u64 {
    hash::narrow(&[&request.0.to_le_bytes(), instance.as_str().as_bytes()])
}
