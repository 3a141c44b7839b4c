//! Comparing who takes part with what others hold.

use std::collections::BTreeMap;

use super::Roster;
use crate::frame::{MemberList as List, MemberSummary, RegionChecksum};
use crate::member::{Handle, MemberStatus, RegionId};

/// The most members listed in one datagram.
const MAX_SEATS: usize = 120;

impl Roster {
    /// Returns a checksum over who is present in each region.
    pub(crate) fn sums(&self) -> &[RegionChecksum] {
        &self.sums
    }

    pub(super) fn sum_up(&self) -> Vec<RegionChecksum> {
        let mut sums = BTreeMap::from([(self.area, weigh(self.handle, &self.own))]);
        for member in self.members().filter(|member| member.state().present()) {
            *sums.entry(member.area).or_default() ^= member.weight;
        }
        sums.into_iter()
            .map(|(area, sum)| RegionChecksum { region_id: area, checksum: sum })
            .collect()
    }

    pub(super) fn seats(&self, only: Option<RegionId>) -> Vec<(RegionId, MemberSummary)> {
        let seat = |handle, rumor: &MemberStatus| MemberSummary {
            handle,
            refutations: rumor.refutations,
            state: rumor.state,
        };
        let own = (self.area, seat(self.handle, &self.own));
        let present = self.members().filter(|member| member.state().present());
        let others = present.map(|member| (member.area, seat(member.handle, &member.rumor)));
        let all = others.chain([own]);
        let mut seats: Vec<_> = all.filter(|(area, _)| only.is_none_or(|it| it == *area)).collect();
        seats.sort_by_key(|(_, seat)| seat.handle);
        seats
    }

    /// Lists who is present in a region, in as many lists as fit datagrams.
    pub(crate) fn lists(&self, area: RegionId) -> Vec<List> {
        let seats: Vec<MemberSummary> =
            self.seats(Some(area)).into_iter().map(|(_, seat)| seat).collect();
        let mut lists: Vec<List> = Vec::new();
        let mut next = None;
        for part in seats.chunks(MAX_SEATS).rev() {
            let first = part.first().map_or(Handle([0; 4]), |seat| seat.handle);
            lists.push(List { region_id: area, first, end: next, members: part.to_vec() });
            next = Some(first);
        }
        if let Some(list) = lists.last_mut() {
            list.first = Handle([0; 4]);
        }
        lists
    }

    /// Compares a list with what is held: whom the sender lacks or has wrong, and whom to ask for.
    pub(crate) fn compare(&self, list: &List) -> Difference {
        let mut difference = Difference::default();
        let theirs: BTreeMap<Handle, &MemberSummary> =
            list.members.iter().map(|seat| (seat.handle, seat)).collect();
        for seat in theirs.values() {
            self.compare_seat(seat, &mut difference);
        }
        let within = |handle| handle >= list.first && list.end.is_none_or(|next| handle < next);
        for (_, seat) in self.seats(Some(list.region_id)) {
            if within(seat.handle) && !theirs.contains_key(&seat.handle) {
                difference.tell.extend(self.named(seat.handle).cloned());
            }
        }
        difference
    }

    pub(super) fn compare_seat(&self, seat: &MemberSummary, difference: &mut Difference) {
        let Some(held) = self.named(seat.handle) else {
            difference.ask.push(seat.handle);
            return;
        };
        let theirs =
            MemberStatus { refutations: seat.refutations, state: seat.state, ..held.clone() };
        if held.overrides(&theirs) {
            difference.tell.push(held.clone());
        } else if theirs.overrides(held) {
            difference.ask.push(seat.handle);
        }
    }
}

/// Says how two rosters differ.
#[derive(Default)]
pub(crate) struct Difference {
    /// What the other one should know.
    pub(crate) tell: Vec<MemberStatus>,
    /// Whom to ask the other one for.
    pub(crate) ask: Vec<Handle>,
}

/// Returns what a member adds to the checksum of its region.
pub(super) fn weigh(handle: Handle, rumor: &MemberStatus) -> u64 {
    let state = [rumor.state as u8];
    verbenaslip_base::hash::narrow(&[&handle.0, &rumor.refutations.to_le_bytes(), &state])
}
