//! Rendezvous hashing over availability zones and their instances.

use std::collections::BTreeMap;

use verbenaslip_base::name::{AvailabilityZone, Instance, Region};
use verbenaslip_base::{data, hash};

use crate::member::Peer;

/// The two instances that share responsibility for a key.
///
/// They are in different availability zones if at least two zones have live instances.
#[data]
pub struct Homes {
    /// Top-ranked instance of the top-ranked availability zone; `None` when no instance is alive.
    pub first: Option<Instance>,
    /// Top-ranked instance of the second availability zone, or the second instance of a single
    /// zone.
    pub second: Option<Instance>,
}

impl Homes {
    /// Iterates over the homes, the first one first.
    pub fn iter(&self) -> impl Iterator<Item = &Instance> {
        self.first.iter().chain(self.second.iter())
    }
}

/// Ranks the live instances of each region for any key.
///
/// All instances that see the same members compute the same ranking, in whatever order they learned
/// of them. A change of one instance moves only the keys of which it is a home.
#[derive(Default)]
pub(crate) struct Ranking {
    regions: BTreeMap<Region, Vec<Zone>>,
}

struct Zone {
    name: AvailabilityZone,
    weight: u64,
    candidates: Vec<Candidate>,
}

impl Zone {
    fn new(name: AvailabilityZone, candidate: Candidate) -> Self {
        let weight = hash::narrow(&[b"zone", name.as_str().as_bytes()]);
        Self { name, weight, candidates: vec![candidate] }
    }
}

struct Candidate {
    weight: u64,
    instance: Instance,
}

impl Ranking {
    /// Creates a ranking of the given live instances, which must be sorted.
    pub(crate) fn new<'a>(alive: impl Iterator<Item = &'a Peer>) -> Self {
        let mut ranking = Self::default();
        for peer in alive {
            let weight = hash::narrow(&[peer.instance.as_str().as_bytes()]);
            let candidate = Candidate { weight, instance: peer.instance.clone() };
            let zones = ranking.regions.entry(peer.region.clone()).or_default();
            match zones.iter_mut().find(|zone| zone.name == peer.zone) {
                Some(zone) => zone.candidates.push(candidate),
                None => zones.push(Zone::new(peer.zone.clone(), candidate)),
            }
        }
        ranking
    }

    /// Returns the homes of a key in a region.
    pub(crate) fn homes(&self, region: &Region, key: u128) -> Homes {
        let zones = self.regions.get(region).map_or(&[][..], Vec::as_slice);
        let (first, second) = top_two(zones, key, |zone| zone.weight);
        let Some(zone) = first else {
            return Homes { first: None, second: None };
        };
        let (candidate, runner_up) = top_two(&zone.candidates, key, |candidate| candidate.weight);
        let other =
            second.and_then(|zone| top_two(&zone.candidates, key, |candidate| candidate.weight).0);
        let name = |candidate: &Candidate| candidate.instance.clone();
        Homes { first: candidate.map(name), second: other.or(runner_up).map(name) }
    }
}

/// Returns the two items with the highest weights for a key.
fn top_two<T>(items: &[T], key: u128, weight: impl Fn(&T) -> u64) -> (Option<&T>, Option<&T>) {
    let (mut first, mut second) = (None, None);
    for item in items {
        let score = mix(weight(item) ^ mix(key as u64 ^ mix((key >> 64) as u64)));
        if first.is_none_or(|(best, _)| score > best) {
            second = first;
            first = Some((score, item));
        } else if second.is_none_or(|(best, _)| score > best) {
            second = Some((score, item));
        }
    }
    (first.map(|(_, item)| item), second.map(|(_, item)| item))
}

/// Mixes the bits of a word with the finalizer of splitmix64.
fn mix(word: u64) -> u64 {
    let word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
