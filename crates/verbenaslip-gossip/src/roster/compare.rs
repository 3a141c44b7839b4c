//! Comparing who takes part with what others hold.

use std::collections::BTreeMap;

use super::Roster;
use crate::frame::{Roster as List, Seat, Sum};
use crate::member::{Area, Handle, Rumor};

/// The most members listed in one datagram.
const MAX_SEATS: usize = 120;

impl Roster {
    /// Returns a checksum over who is present in each region.
    pub(crate) fn sums(&self) -> &[Sum] {
        &self.sums
    }

    pub(super) fn sum_up(&self) -> Vec<Sum> {
        let mut sums = BTreeMap::from([(self.area, weigh(self.handle, &self.own))]);
        for member in self.members().filter(|member| member.state().present()) {
            *sums.entry(member.area).or_default() ^= member.weight;
        }
        sums.into_iter().map(|(area, sum)| Sum { area, sum }).collect()
    }

    pub(super) fn seats(&self, only: Option<Area>) -> Vec<(Area, Seat)> {
        let seat = |handle, rumor: &Rumor| Seat {
            handle,
            refutation: rumor.refutation,
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
    pub(crate) fn lists(&self, area: Area) -> Vec<List> {
        let seats: Vec<Seat> = self.seats(Some(area)).into_iter().map(|(_, seat)| seat).collect();
        let mut lists: Vec<List> = Vec::new();
        let mut next = None;
        for part in seats.chunks(MAX_SEATS).rev() {
            let first = part.first().map_or(Handle([0; 4]), |seat| seat.handle);
            lists.push(List { area, first, next, seats: part.to_vec() });
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
        let theirs: BTreeMap<Handle, &Seat> =
            list.seats.iter().map(|seat| (seat.handle, seat)).collect();
        for seat in theirs.values() {
            self.compare_seat(seat, &mut difference);
        }
        let within = |handle| handle >= list.first && list.next.is_none_or(|next| handle < next);
        for (_, seat) in self.seats(Some(list.area)) {
            if within(seat.handle) && !theirs.contains_key(&seat.handle) {
                difference.tell.extend(self.named(seat.handle).cloned());
            }
        }
        difference
    }

    pub(super) fn compare_seat(&self, seat: &Seat, difference: &mut Difference) {
        let Some(held) = self.named(seat.handle) else {
            difference.ask.push(seat.handle);
            return;
        };
        let theirs = Rumor { refutation: seat.refutation, state: seat.state, ..held.clone() };
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
    pub(crate) tell: Vec<Rumor>,
    /// Whom to ask the other one for.
    pub(crate) ask: Vec<Handle>,
}

/// Returns what a member adds to the checksum of its region.
pub(super) fn weigh(handle: Handle, rumor: &Rumor) -> u64 {
    let state = [rumor.state as u8];
    verbenaslip_base::hash::narrow(&[&handle.0, &rumor.refutation.to_le_bytes(), &state])
}
