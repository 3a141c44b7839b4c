//! Members of the deployment, merged from the statuses that instances send.

mod compare;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Instance, Region};

use crate::frame::{RegionChecksum, RegionContact};
use crate::member::{Event, Handle, MemberStatus, Peer, RegionId, State};
use crate::rendezvous::{Homes, Ranking};

use compare::member_checksum;

/// Time that a suspect has to refute the suspicion before it is declared dead.
pub(crate) const SUSPICION_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which a gone member is remembered, so that a stale status cannot revive it.
const GONE_RETENTION: Duration = Duration::from_secs(3_600);

/// Time for which a death counts as recent when missing neighbours are counted.
const RECENT_DEATH: Duration = Duration::from_secs(30);

/// Time without contact after which another region counts as unreachable.
const REGION_SILENCE: Duration = Duration::from_secs(30);

/// Maximum number of members, including gone ones; limits floods of invented names.
const MAX_MEMBERS: usize = 4_096;

/// Maximum number of gone members; the one that has been gone longest is removed first.
const MAX_GONE: usize = 1_024;

/// Maximum number of availability zones recorded as lost.
const MAX_LOST_ZONES: usize = 64;

/// Maximum number of other regions.
const MAX_REGIONS: usize = 24;

/// Another instance and its state.
pub struct Member {
    status: MemberStatus,
    handle: Handle,
    region_id: RegionId,
    /// Contribution to the checksum of the member's region.
    checksum: u64,
    /// Time of the last change of the status, or of the last restart of a suspicion.
    changed_at: Duration,
}

impl Member {
    /// Returns the identity of the member.
    pub fn peer(&self) -> &Peer {
        &self.status.peer
    }

    /// Returns the state of the member.
    pub fn state(&self) -> State {
        self.status.state
    }

    /// Returns the handle of the member.
    pub(crate) fn handle(&self) -> Handle {
        self.handle
    }

    /// Returns the status to send to other instances.
    pub(crate) fn status(&self) -> &MemberStatus {
        &self.status
    }
}

/// Result of merging a status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MergeOutcome {
    /// The status was known already or could not be stored.
    Unchanged,
    /// The stored status overrides the given one.
    Stale,
    /// The status was wrong about this instance, which has refuted it.
    Refuted,
    /// The status was new and is stored now.
    Applied,
}

/// All members and this instance's own status.
pub(crate) struct Roster {
    own: MemberStatus,
    handle: Handle,
    region_id: RegionId,
    /// Neighbours that can receive datagrams.
    present: Vec<Handle>,
    members: BTreeMap<Instance, Member>,
    /// Names by handle; the first name keeps a handle.
    handles: BTreeMap<Handle, Instance>,
    ranking: Ranking,
    regions: BTreeMap<RegionId, OtherRegion>,
    /// Availability zones of this region without a live member.
    lost_zones: BTreeSet<AvailabilityZone>,
    events: Vec<Event>,
    /// Handles of incarnations that have ended since the last call of `take_retired`.
    retired: Vec<Handle>,
    checksums: Vec<RegionChecksum>,
    /// Time of the last datagram of a neighbour.
    last_heard: Duration,
    /// Whether no member is suspect, dead or left.
    all_healthy: bool,
    /// Number of recomputations of the ranking.
    revision: u64,
    /// Whether the ranking has to be recomputed.
    changed: bool,
}

struct OtherRegion {
    region: Region,
    last_heard: Duration,
    silent: bool,
}

impl Roster {
    /// Creates a roster that contains only this instance.
    pub(crate) fn new(own: Peer) -> Self {
        let (handle, region_id) = (own.handle(), RegionId::of(&own.region));
        let own = MemberStatus { peer: own, refutations: 0, state: State::Alive };
        let mut roster = Self {
            own,
            handle,
            region_id,
            present: Vec::new(),
            members: BTreeMap::new(),
            handles: BTreeMap::new(),
            ranking: Ranking::default(),
            regions: BTreeMap::new(),
            lost_zones: BTreeSet::new(),
            events: Vec::new(),
            retired: Vec::new(),
            checksums: Vec::new(),
            last_heard: Duration::ZERO,
            all_healthy: true,
            revision: 0,
            changed: true,
        };
        roster.refresh();
        roster
    }

    /// Returns this instance's own status.
    pub(crate) fn own(&self) -> &MemberStatus {
        &self.own
    }

    /// Returns this instance's handle.
    pub(crate) fn handle(&self) -> Handle {
        self.handle
    }

    /// Returns a number that is increased whenever the ranking may have changed.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Iterates over all other instances.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Iterates over all other instances of this region.
    pub(crate) fn neighbours(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.region_id == self.region_id)
    }

    /// Returns the other instances of this region that can receive datagrams.
    pub(crate) fn present(&self) -> &[Handle] {
        &self.present
    }

    /// Returns another instance by its name.
    pub(crate) fn get(&self, instance: &Instance) -> Option<&Member> {
        self.members.get(instance)
    }

    /// Returns another instance by its handle.
    pub(crate) fn by_handle(&self, handle: Handle) -> Option<&Member> {
        self.members.get(self.handles.get(&handle)?)
    }

    /// Returns the status of any instance, including this one.
    pub(crate) fn status_of(&self, instance: &Instance) -> Option<&MemberStatus> {
        if *instance == self.own.peer.instance {
            return Some(&self.own);
        }
        Some(self.members.get(instance)?.status())
    }

    /// Returns the homes of a key in this region.
    pub(crate) fn homes(&self, key: u128) -> Homes {
        self.ranking.homes(&self.own.peer.region, key)
    }

    /// Returns the two instances of a region that communicate with other regions.
    pub(crate) fn contacts(&self, region: &Region) -> Homes {
        let key = verbenaslip_base::hash::wide(&[b"contact", region.as_str().as_bytes()]);
        self.ranking.homes(region, key)
    }

    /// Returns the other known regions.
    pub(crate) fn regions(&self) -> Vec<Region> {
        self.regions.values().map(|other| other.region.clone()).collect()
    }

    /// Returns and clears the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Returns and clears the handles of incarnations that have ended since the last call.
    pub(crate) fn take_retired(&mut self) -> Vec<Handle> {
        std::mem::take(&mut self.retired)
    }

    /// Changes this instance's own state, unless a final state has been set; returns whether it
    /// did.
    pub(crate) fn set_own_state(&mut self, state: State) -> bool {
        let status = MemberStatus { state, ..self.own.clone() };
        let overrides = status.overrides(&self.own);
        if overrides {
            self.own = status;
            self.changed = true;
        }
        overrides
    }

    /// Merges a status that another instance has sent.
    pub(crate) fn merge(&mut self, now: Duration, status: &MemberStatus) -> MergeOutcome {
        if status.peer.instance == self.own.peer.instance {
            return self.handle_own_status(status);
        }
        if !status.peer.is_valid() || !self.has_room_for(&status.peer.region) {
            return MergeOutcome::Unchanged;
        }
        match self.members.get(&status.peer.instance) {
            None if !status.state.is_present() => return MergeOutcome::Unchanged,
            None if self.members.len() >= MAX_MEMBERS => return MergeOutcome::Unchanged,
            Some(existing) if existing.status.overrides(status) => return MergeOutcome::Stale,
            Some(existing) if !status.overrides(&existing.status) => {
                return MergeOutcome::Unchanged;
            }
            _ => {}
        }
        self.store(now, status);
        MergeOutcome::Applied
    }

    fn has_room_for(&self, region: &Region) -> bool {
        *region == self.own.peer.region
            || self.regions.len() < MAX_REGIONS
            || self.regions.contains_key(&RegionId::of(region))
    }

    /// Refutes a wrong status of this instance.
    ///
    /// A peer that could not reach this instance declares it suspect or dead, and a healthy
    /// instance would lose its duties. A higher refutation count overrides that status on all
    /// instances.
    fn handle_own_status(&mut self, status: &MemberStatus) -> MergeOutcome {
        let own = &self.own;
        if status.peer.incarnation > own.peer.incarnation {
            let event = Event::Replaced { incarnation: status.peer.incarnation };
            if !self.events.contains(&event) {
                self.events.push(event);
            }
            return MergeOutcome::Unchanged;
        }
        if !status.overrides(own) {
            return if own.overrides(status) {
                MergeOutcome::Stale
            } else {
                MergeOutcome::Unchanged
            };
        }
        self.own.refutations = status.refutations.saturating_add(1);
        self.changed = true;
        MergeOutcome::Refuted
    }

    fn store(&mut self, now: Duration, status: &MemberStatus) {
        let name = &status.peer.instance;
        let old = self.members.get(name).map(|member| member.status.clone());
        self.emit_changes(old.as_ref(), status);
        if let Some(old) = old.filter(|old| old.peer.incarnation != status.peer.incarnation) {
            self.drop_handle(old.peer.handle(), name);
        }
        let (handle, region_id) = (status.peer.handle(), RegionId::of(&status.peer.region));
        if !status.state.is_present() {
            self.retired.push(handle);
        }
        self.handles.entry(handle).or_insert_with(|| name.clone());
        if self.present.is_empty() {
            self.last_heard = now;
        }
        let checksum = member_checksum(handle, status);
        let member =
            Member { status: status.clone(), handle, region_id, checksum, changed_at: now };
        self.members.insert(name.clone(), member);
        self.add_region(now, &status.peer.region);
        if !status.state.is_present() {
            self.evict_gone();
        }
        self.changed = true;
    }

    fn emit_changes(&mut self, old: Option<&MemberStatus>, new: &MemberStatus) {
        let name = new.peer.instance.clone();
        let same = old.filter(|old| old.peer.incarnation == new.peer.incarnation);
        if same.is_none() && old.is_some_and(|old| old.state.is_present()) {
            self.events.push(Event::Lost(name.clone()));
        }
        let before = same.map(|old| old.state);
        let known = before.is_some_and(State::is_present);
        if !known && new.state.is_present() {
            self.events.push(Event::Joined(new.peer.clone()));
        }
        match new.state {
            State::Alive if before == Some(State::Suspect) => {
                self.events.push(Event::Cleared(name));
            }
            State::Suspect if before != Some(State::Suspect) => {
                self.events.push(Event::Suspected(name));
            }
            State::Leaving => self.events.push(Event::Leaving(name)),
            State::Dead if known => self.events.push(Event::Lost(name)),
            State::Left if known => self.events.push(Event::Left(name)),
            _ => {}
        }
    }

    fn drop_handle(&mut self, handle: Handle, instance: &Instance) {
        self.retired.push(handle);
        if self.handles.get(&handle) == Some(instance) {
            self.handles.remove(&handle);
        }
    }

    fn add_region(&mut self, now: Duration, region: &Region) {
        if *region == self.own.peer.region {
            return;
        }
        let other = || OtherRegion { region: region.clone(), last_heard: now, silent: false };
        self.regions.entry(RegionId::of(region)).or_insert_with(other);
    }

    /// Removes the member that has been gone longest when too many gone members are stored.
    fn evict_gone(&mut self) {
        let gone = |member: &&Member| !member.state().is_present();
        if self.members().filter(gone).count() <= MAX_GONE {
            return;
        }
        let oldest = self.members().filter(gone).min_by_key(|member| member.changed_at);
        if let Some(name) = oldest.map(|member| member.peer().instance.clone()) {
            self.remove(&name);
        }
    }

    fn remove(&mut self, name: &Instance) {
        if let Some(member) = self.members.remove(name) {
            self.changed = true;
            self.drop_handle(member.handle, name);
        }
    }

    /// Recomputes the ranking, the neighbours and the checksums, once for all changes of a step.
    pub(crate) fn refresh(&mut self) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let own = Some(&self.own).filter(|own| own.state == State::Alive).map(|own| &own.peer);
        let alive = self.members.values().filter(|member| member.state() == State::Alive);
        let mut peers: Vec<&Peer> = alive.map(Member::peer).chain(own).collect();
        peers.sort();
        self.ranking = Ranking::new(peers.into_iter());
        let present = self.neighbours().filter(|member| member.state().is_present());
        self.present = present.map(Member::handle).collect();
        let healthy = |member: &Member| matches!(member.state(), State::Alive | State::Leaving);
        self.all_healthy = self.members.values().all(healthy);
        self.checksums = self.compute_checksums();
        self.revision += 1;
        self.update_zones();
    }

    /// Records that a datagram of a member has arrived.
    pub(crate) fn record_contact(&mut self, now: Duration, handle: Handle) {
        let Some(name) = self.handles.get(&handle) else { return };
        let Some(member) = self.members.get(name) else { return };
        if member.region_id == self.region_id {
            self.last_heard = now;
        }
        if let Some(other) = self.regions.get_mut(&member.region_id) {
            other.last_heard = now;
        }
    }

    /// Returns when a neighbour was last heard from; `None` without present neighbours.
    pub(crate) fn last_heard(&self) -> Option<Duration> {
        (!self.present.is_empty()).then_some(self.last_heard)
    }

    /// Counts the neighbours that are suspect or died recently, and all neighbours including those.
    pub(crate) fn count_missing(&self, now: Duration) -> (usize, usize) {
        if self.all_healthy {
            return (0, self.present.len());
        }
        let (mut missing, mut all) = (0, 0);
        for member in self.neighbours() {
            let dead = member.state() == State::Dead && now - member.changed_at < RECENT_DEATH;
            let missed = dead || member.state() == State::Suspect;
            missing += usize::from(missed);
            all += usize::from(missed || member.state().is_present());
        }
        (missing, all)
    }

    /// Marks a neighbour that did not answer a probe as suspect, or as left if it was leaving.
    ///
    /// Returns whether the state has changed.
    pub(crate) fn handle_probe_failure(&mut self, now: Duration, instance: &Instance) -> bool {
        let Some(member) = self.members.get(instance) else { return false };
        let state = match member.state() {
            State::Alive => State::Suspect,
            State::Leaving => State::Left,
            _ => return false,
        };
        let status = MemberStatus { state, ..member.status.clone() };
        self.store(now, &status);
        true
    }

    /// Restarts the timeout of all suspicions, while this instance counts as isolated.
    pub(crate) fn restart_suspicions(&mut self, now: Duration) {
        for member in self.members.values_mut() {
            if member.state() == State::Suspect {
                member.changed_at = now;
            }
        }
    }

    /// Restarts all timeouts after a pause of the process, during which no member could be heard.
    pub(crate) fn resume_after_pause(&mut self, now: Duration) {
        self.last_heard = now;
        for member in self.members.values_mut() {
            if member.state() == State::Suspect {
                member.changed_at = now;
            }
        }
        for other in self.regions.values_mut() {
            other.last_heard = now;
        }
    }

    /// Declares suspects dead whose timeout has passed, and returns their names.
    ///
    /// It also removes members that have been gone longer than [`GONE_RETENTION`].
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<Instance> {
        if self.all_healthy {
            return Vec::new();
        }
        let region_id = self.region_id;
        let due = |member: &&Member| {
            member.state() == State::Suspect
                && now - member.changed_at >= SUSPICION_TIMEOUT
                && member.region_id == region_id
        };
        let dead: Vec<MemberStatus> =
            self.members().filter(due).map(|member| member.status.clone()).collect();
        for status in &dead {
            self.store(now, &MemberStatus { state: State::Dead, ..status.clone() });
        }
        let old = |member: &&Member| {
            !member.state().is_present() && now - member.changed_at > GONE_RETENTION
        };
        let old: Vec<_> =
            self.members().filter(old).map(|member| member.peer().instance.clone()).collect();
        for name in &old {
            self.remove(name);
        }
        dead.into_iter().map(|status| status.peer.instance).collect()
    }

    /// Emits events for availability zones that are lost or have recovered as a whole.
    fn update_zones(&mut self) {
        let mut zones: BTreeMap<AvailabilityZone, bool> = BTreeMap::new();
        for member in self.neighbours().filter(|member| member.state() != State::Left) {
            let live = matches!(member.state(), State::Alive | State::Leaving);
            *zones.entry(member.peer().zone.clone()).or_default() |= live;
        }
        zones.remove(&self.own.peer.zone);
        for (zone, live) in zones {
            if live && self.lost_zones.remove(&zone) {
                self.events.push(Event::ZoneRecovered(zone));
            } else if !live
                && self.lost_zones.len() < MAX_LOST_ZONES
                && self.lost_zones.insert(zone.clone())
            {
                self.events.push(Event::ZoneLost(zone));
            }
        }
    }

    /// Emits events for regions that have become unreachable or reachable.
    pub(crate) fn update_regions(&mut self, now: Duration) {
        for other in self.regions.values_mut() {
            let silent = now.saturating_sub(other.last_heard) > REGION_SILENCE;
            if silent != other.silent {
                other.silent = silent;
                let region = other.region.clone();
                let event = if silent {
                    Event::RegionUnreachable(region)
                } else {
                    Event::RegionRecovered(region)
                };
                self.events.push(event);
            }
        }
    }

    /// Returns the time since the last contact with each other region.
    pub(crate) fn region_contacts(&self, now: Duration) -> Vec<RegionContact> {
        self.regions
            .iter()
            .map(|(region_id, other)| RegionContact::of(*region_id, now, other.last_heard))
            .collect()
    }

    /// Merges the times at which other instances of this region heard from other regions.
    pub(crate) fn merge_contacts(
        &mut self,
        now: Duration,
        lag: Duration,
        contacts: &[RegionContact],
    ) {
        for contact in contacts {
            let age = Duration::from_millis(u64::from(contact.age_tenths) * 100) + lag;
            if let Some(other) = self.regions.get_mut(&contact.region_id) {
                other.last_heard = other.last_heard.max(now.saturating_sub(age));
            }
        }
    }

    /// Returns the status of the instance with a handle, including this one.
    pub(crate) fn status_by_handle(&self, handle: Handle) -> Option<&MemberStatus> {
        if handle == self.handle {
            return Some(&self.own);
        }
        self.by_handle(handle).map(Member::status)
    }
}
