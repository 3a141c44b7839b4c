//! Who takes part, merged from what all say of each other.

mod compare;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Instance, Region};

use crate::frame::{RegionChecksum, RegionContact};
use crate::member::{Event, Handle, MemberStatus, Peer, RegionId, State};
use crate::rendezvous::{Board, Homes};

use compare::weigh;

/// How long a suspect has to refute before it counts as dead.
pub(crate) const SUSPICION: Duration = Duration::from_secs(5);

/// How long one who is gone is remembered, so that a stale rumor can't revive it.
const MEMORY: Duration = Duration::from_secs(3_600);

/// How long a death counts as recent when it is asked whether many went at once.
const RECENT: Duration = Duration::from_secs(30);

/// After which silence another region counts as out of reach.
const SILENCE: Duration = Duration::from_secs(30);

/// The most members kept, gone ones included; a flood of invented names ends here.
const MAX_MEMBERS: usize = 4_096;

/// The most of them who are gone; the longest gone is forgotten first.
const MAX_GONE: usize = 1_024;

/// The most availability zones known as lost.
const MAX_LOST: usize = 64;

/// The most other regions kept.
const MAX_AREAS: usize = 24;

/// Holds one member.
pub struct Member {
    rumor: MemberStatus,
    handle: Handle,
    area: RegionId,
    weight: u64,
    since: Duration,
}

impl Member {
    /// Returns who it is.
    pub fn peer(&self) -> &Peer {
        &self.rumor.peer
    }

    /// Returns what is believed of it.
    pub fn state(&self) -> State {
        self.rumor.state
    }

    /// Returns its handle.
    pub(crate) fn handle(&self) -> Handle {
        self.handle
    }

    /// Returns the rumor to pass on.
    pub(crate) fn rumor(&self) -> &MemberStatus {
        &self.rumor
    }
}

/// Says what became of a rumor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Merge {
    /// It was known or could not be taken.
    Known,
    /// What is held overrides it.
    Stale,
    /// It was false and about this instance, which has refuted it.
    Refuted,
    /// It was new and is held now.
    News,
}

/// Holds all members.
pub(crate) struct Roster {
    own: MemberStatus,
    handle: Handle,
    area: RegionId,
    near: Vec<Handle>,
    members: BTreeMap<Instance, Member>,
    handles: BTreeMap<Handle, Instance>,
    board: Board,
    areas: BTreeMap<RegionId, Reach>,
    lost: BTreeSet<AvailabilityZone>,
    events: Vec<Event>,
    retired: Vec<Handle>,
    sums: Vec<RegionChecksum>,
    last_heard: Duration,
    healthy: bool,
    revision: u64,
    changed: bool,
}

struct Reach {
    region: Region,
    heard: Duration,
    silent: bool,
}

impl Roster {
    /// Starts with this instance alone.
    pub(crate) fn open(own: Peer) -> Self {
        let (handle, area) = (own.handle(), RegionId::of(&own.region));
        let own = MemberStatus { peer: own, refutations: 0, state: State::Alive };
        let mut roster = Self {
            own,
            handle,
            area,
            near: Vec::new(),
            members: BTreeMap::new(),
            handles: BTreeMap::new(),
            board: Board::default(),
            areas: BTreeMap::new(),
            lost: BTreeSet::new(),
            events: Vec::new(),
            retired: Vec::new(),
            sums: Vec::new(),
            last_heard: Duration::ZERO,
            healthy: true,
            revision: 0,
            changed: true,
        };
        roster.arrange();
        roster
    }

    /// Returns what this instance says of itself.
    pub(crate) fn own(&self) -> &MemberStatus {
        &self.own
    }

    /// Returns this instance's handle.
    pub(crate) fn handle(&self) -> Handle {
        self.handle
    }

    /// Rises whenever the ranking may have changed.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }

    /// Goes through all others.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Goes through all others of this region.
    pub(crate) fn neighbours(&self) -> impl Iterator<Item = &Member> {
        self.members().filter(|member| member.area == self.area)
    }

    /// Returns the others of this region to whom datagrams make sense.
    pub(crate) fn near(&self) -> &[Handle] {
        &self.near
    }

    /// Finds another one by name.
    pub(crate) fn get(&self, instance: &Instance) -> Option<&Member> {
        self.members.get(instance)
    }

    /// Finds another one by handle.
    pub(crate) fn find(&self, handle: Handle) -> Option<&Member> {
        self.members.get(self.handles.get(&handle)?)
    }

    /// Returns the rumor about anybody, this instance included.
    pub(crate) fn rumor(&self, instance: &Instance) -> Option<&MemberStatus> {
        if *instance == self.own.peer.instance {
            return Some(&self.own);
        }
        Some(self.members.get(instance)?.rumor())
    }

    /// Returns the homes of a key in this region.
    pub(crate) fn rank(&self, key: u128) -> Homes {
        self.board.rank(&self.own.peer.region, key)
    }

    /// Returns the two instances of a region that talk with other regions.
    pub(crate) fn contacts(&self, region: &Region) -> Homes {
        let key = verbenaslip_base::hash::wide(&[b"contact", region.as_str().as_bytes()]);
        self.board.rank(region, key)
    }

    /// Returns the other regions that are known.
    pub(crate) fn regions(&self) -> Vec<Region> {
        self.areas.values().map(|reach| reach.region.clone()).collect()
    }

    /// Takes the events since the last call.
    pub(crate) fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Takes the handles whose incarnations are over or dead since the last call.
    pub(crate) fn retired(&mut self) -> Vec<Handle> {
        std::mem::take(&mut self.retired)
    }

    /// Changes what this instance says of itself; it does not come back from a final state.
    pub(crate) fn declare(&mut self, state: State) -> bool {
        let rumor = MemberStatus { state, ..self.own.clone() };
        let news = rumor.overrides(&self.own);
        if news {
            self.own = rumor;
            self.changed = true;
        }
        news
    }

    /// Takes in what somebody says of an instance.
    pub(crate) fn merge(&mut self, now: Duration, rumor: &MemberStatus) -> Merge {
        if rumor.peer.instance == self.own.peer.instance {
            return self.answer(rumor);
        }
        if !rumor.peer.valid() || !self.room_for(&rumor.peer.region) {
            return Merge::Known;
        }
        match self.members.get(&rumor.peer.instance) {
            None if !rumor.state.present() => return Merge::Known,
            None if self.members.len() >= MAX_MEMBERS => return Merge::Known,
            Some(held) if held.rumor.overrides(rumor) => return Merge::Stale,
            Some(held) if !rumor.overrides(&held.rumor) => return Merge::Known,
            _ => {}
        }
        self.replace(now, rumor);
        Merge::News
    }

    fn room_for(&self, region: &Region) -> bool {
        *region == self.own.peer.region
            || self.areas.len() < MAX_AREAS
            || self.areas.contains_key(&RegionId::of(region))
    }

    /// Refutes what is false about this instance.
    ///
    /// A peer that could not reach this instance calls it suspect or dead. One would notice a
    /// healthy instance that loses its duties. A higher refutation overrides that everywhere.
    fn answer(&mut self, rumor: &MemberStatus) -> Merge {
        let own = &self.own;
        if rumor.peer.incarnation > own.peer.incarnation {
            let event = Event::Replaced { incarnation: rumor.peer.incarnation };
            if !self.events.contains(&event) {
                self.events.push(event);
            }
            return Merge::Known;
        }
        if !rumor.overrides(own) {
            return if own.overrides(rumor) { Merge::Stale } else { Merge::Known };
        }
        self.own.refutations = rumor.refutations.saturating_add(1);
        self.changed = true;
        Merge::Refuted
    }

    fn replace(&mut self, now: Duration, rumor: &MemberStatus) {
        let name = &rumor.peer.instance;
        let old = self.members.get(name).map(|member| member.rumor.clone());
        self.tell(old.as_ref(), rumor);
        if let Some(old) = old.filter(|old| old.peer.incarnation != rumor.peer.incarnation) {
            self.drop_handle(old.peer.handle(), name);
        }
        let (handle, area) = (rumor.peer.handle(), RegionId::of(&rumor.peer.region));
        if !rumor.state.present() {
            self.retired.push(handle);
        }
        self.handles.entry(handle).or_insert_with(|| name.clone());
        if self.near.is_empty() {
            self.last_heard = now;
        }
        let weight = weigh(handle, rumor);
        let member = Member { rumor: rumor.clone(), handle, area, weight, since: now };
        self.members.insert(name.clone(), member);
        self.know_area(now, &rumor.peer.region);
        if !rumor.state.present() {
            self.forget();
        }
        self.changed = true;
    }

    fn tell(&mut self, old: Option<&MemberStatus>, new: &MemberStatus) {
        let name = new.peer.instance.clone();
        let same = old.filter(|old| old.peer.incarnation == new.peer.incarnation);
        if same.is_none() && old.is_some_and(|old| old.state.present()) {
            self.events.push(Event::Lost(name.clone()));
        }
        let before = same.map(|old| old.state);
        let known = before.is_some_and(State::present);
        if !known && new.state.present() {
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

    fn know_area(&mut self, now: Duration, region: &Region) {
        if *region == self.own.peer.region {
            return;
        }
        let reach = || Reach { region: region.clone(), heard: now, silent: false };
        self.areas.entry(RegionId::of(region)).or_insert_with(reach);
    }

    /// Forgets the longest gone while too many are remembered.
    fn forget(&mut self) {
        let gone = |member: &&Member| !member.state().present();
        if self.members().filter(gone).count() <= MAX_GONE {
            return;
        }
        let oldest = self.members().filter(gone).min_by_key(|member| member.since);
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

    /// Ranks and lists the members anew, once for all changes of a step.
    pub(crate) fn arrange(&mut self) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let own = Some(&self.own).filter(|own| own.state == State::Alive).map(|own| &own.peer);
        let alive = self.members.values().filter(|member| member.state() == State::Alive);
        let mut peers: Vec<&Peer> = alive.map(Member::peer).chain(own).collect();
        peers.sort();
        self.board = Board::of(peers.into_iter());
        let near = self.neighbours().filter(|member| member.state().present());
        self.near = near.map(Member::handle).collect();
        let fine = |member: &Member| matches!(member.state(), State::Alive | State::Leaving);
        self.healthy = self.members.values().all(fine);
        self.sums = self.sum_up();
        self.revision += 1;
        self.watch_zones();
    }

    /// Notes that a datagram of a member has arrived.
    pub(crate) fn heard(&mut self, now: Duration, handle: Handle) {
        let Some(name) = self.handles.get(&handle) else { return };
        let Some(member) = self.members.get(name) else { return };
        if member.area == self.area {
            self.last_heard = now;
        }
        if let Some(reach) = self.areas.get_mut(&member.area) {
            reach.heard = now;
        }
    }

    /// Returns when anybody of this region was last heard; none when nobody is there.
    pub(crate) fn last_heard(&self) -> Option<Duration> {
        (!self.near.is_empty()).then_some(self.last_heard)
    }

    /// Counts the neighbours who went or are in doubt recently, and all who were there.
    pub(crate) fn missing(&self, now: Duration) -> (usize, usize) {
        if self.healthy {
            return (0, self.near.len());
        }
        let (mut missing, mut all) = (0, 0);
        for member in self.neighbours() {
            let dead = member.state() == State::Dead && now - member.since < RECENT;
            let missed = dead || member.state() == State::Suspect;
            missing += usize::from(missed);
            all += usize::from(missed || member.state().present());
        }
        (missing, all)
    }

    /// Doubts a neighbour that did not answer a probe; one that was leaving has left.
    pub(crate) fn fail(&mut self, now: Duration, instance: &Instance) -> bool {
        let Some(member) = self.members.get(instance) else { return false };
        let state = match member.state() {
            State::Alive => State::Suspect,
            State::Leaving => State::Left,
            _ => return false,
        };
        let rumor = MemberStatus { state, ..member.rumor.clone() };
        self.replace(now, &rumor);
        true
    }

    /// Gives all suspects the full time again, for while this instance doubts itself.
    pub(crate) fn hold(&mut self, now: Duration) {
        for member in self.members.values_mut() {
            if member.state() == State::Suspect {
                member.since = now;
            }
        }
    }

    /// Makes up for a freeze of this instance, during which nobody could be heard.
    pub(crate) fn thaw(&mut self, now: Duration) {
        self.last_heard = now;
        for member in self.members.values_mut() {
            if member.state() == State::Suspect {
                member.since = now;
            }
        }
        for reach in self.areas.values_mut() {
            reach.heard = now;
        }
    }

    /// Declares suspects dead whose time is over, and returns them.
    pub(crate) fn bury(&mut self, now: Duration) -> Vec<Instance> {
        if self.healthy {
            return Vec::new();
        }
        let area = self.area;
        let due = |member: &&Member| {
            member.state() == State::Suspect
                && now - member.since >= SUSPICION
                && member.area == area
        };
        let dead: Vec<MemberStatus> = self.members().filter(due).map(|m| m.rumor.clone()).collect();
        for rumor in &dead {
            self.replace(now, &MemberStatus { state: State::Dead, ..rumor.clone() });
        }
        let old = |member: &&Member| !member.state().present() && now - member.since > MEMORY;
        let old: Vec<_> = self.members().filter(old).map(|m| m.peer().instance.clone()).collect();
        for name in &old {
            self.remove(name);
        }
        dead.into_iter().map(|rumor| rumor.peer.instance).collect()
    }

    /// Tells of availability zones that are lost or back as a whole.
    fn watch_zones(&mut self) {
        let mut zones: BTreeMap<AvailabilityZone, bool> = BTreeMap::new();
        for member in self.neighbours().filter(|member| member.state() != State::Left) {
            let live = matches!(member.state(), State::Alive | State::Leaving);
            *zones.entry(member.peer().zone.clone()).or_default() |= live;
        }
        zones.remove(&self.own.peer.zone);
        for (zone, live) in zones {
            if live && self.lost.remove(&zone) {
                self.events.push(Event::ZoneRecovered(zone));
            } else if !live && self.lost.len() < MAX_LOST && self.lost.insert(zone.clone()) {
                self.events.push(Event::ZoneLost(zone));
            }
        }
    }

    /// Tells of regions that have fallen silent or are heard again.
    pub(crate) fn watch_areas(&mut self, now: Duration) {
        for reach in self.areas.values_mut() {
            let silent = now.saturating_sub(reach.heard) > SILENCE;
            if silent != reach.silent {
                reach.silent = silent;
                let region = reach.region.clone();
                let event = if silent {
                    Event::RegionUnreachable(region)
                } else {
                    Event::RegionRecovered(region)
                };
                self.events.push(event);
            }
        }
    }

    /// Returns how long ago each other region was heard.
    pub(crate) fn areas(&self, now: Duration) -> Vec<RegionContact> {
        self.areas.iter().map(|(area, reach)| RegionContact::of(*area, now, reach.heard)).collect()
    }

    /// Takes in when somebody of this region heard another region.
    pub(crate) fn merge_areas(&mut self, now: Duration, lag: Duration, areas: &[RegionContact]) {
        for heard in areas {
            let age = Duration::from_millis(u64::from(heard.age_tenths) * 100) + lag;
            if let Some(reach) = self.areas.get_mut(&heard.region_id) {
                reach.heard = reach.heard.max(now.saturating_sub(age));
            }
        }
    }

    /// Returns the rumor about whoever a handle means, this instance included.
    pub(crate) fn named(&self, handle: Handle) -> Option<&MemberStatus> {
        if handle == self.handle {
            return Some(&self.own);
        }
        self.find(handle).map(Member::rumor)
    }
}
