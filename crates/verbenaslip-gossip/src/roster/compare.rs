//! Comparison of the members with those that another instance knows.

use std::collections::BTreeMap;

use super::Roster;
use crate::frame::{MemberList as List, MemberSummary, RegionChecksum};
use crate::member::{Handle, MemberStatus, RegionId};

/// Maximum number of members listed in one datagram.
const MAX_LISTED_MEMBERS: usize = 120;

impl Roster {
    /// Returns checksums over the present members of each region.
    pub(crate) fn checksums(&self) -> &[RegionChecksum] {
        &self.checksums
    }

    pub(super) fn compute_checksums(&self) -> Vec<RegionChecksum> {
        let mut checksums =
            BTreeMap::from([(self.region_id, member_checksum(self.handle, &self.own))]);
        for member in self.members().filter(|member| member.state().is_present()) {
            *checksums.entry(member.region_id).or_default() ^= member.checksum;
        }
        checksums
            .into_iter()
            .map(|(region_id, checksum)| RegionChecksum { region_id, checksum })
            .collect()
    }

    pub(super) fn summaries(&self, only: Option<RegionId>) -> Vec<(RegionId, MemberSummary)> {
        let summary = |handle, status: &MemberStatus| MemberSummary {
            handle,
            refutations: status.refutations,
            state: status.state,
        };
        let own = (self.region_id, summary(self.handle, &self.own));
        let present = self.members().filter(|member| member.state().is_present());
        let others =
            present.map(|member| (member.region_id, summary(member.handle, &member.status)));
        let all = others.chain([own]);
        let mut members: Vec<_> =
            all.filter(|(region_id, _)| only.is_none_or(|it| it == *region_id)).collect();
        members.sort_by_key(|(_, summary)| summary.handle);
        members
    }

    /// Returns the present members of a region, in as many lists as needed to fit in datagrams.
    pub(crate) fn member_lists(&self, region_id: RegionId) -> Vec<List> {
        let members: Vec<MemberSummary> =
            self.summaries(Some(region_id)).into_iter().map(|(_, summary)| summary).collect();
        let mut lists: Vec<List> = Vec::new();
        let mut end = None;
        for chunk in members.chunks(MAX_LISTED_MEMBERS).rev() {
            let first = chunk.first().map_or(Handle([0; 4]), |summary| summary.handle);
            lists.push(List { region_id, first, end, members: chunk.to_vec() });
            end = Some(first);
        }
        if let Some(list) = lists.last_mut() {
            list.first = Handle([0; 4]);
        }
        lists
    }

    /// Compares a received list with the stored members.
    pub(crate) fn compare(&self, list: &List) -> Difference {
        let mut difference = Difference::default();
        let theirs: BTreeMap<Handle, &MemberSummary> =
            list.members.iter().map(|summary| (summary.handle, summary)).collect();
        for summary in theirs.values() {
            self.compare_summary(summary, &mut difference);
        }
        let within = |handle| handle >= list.first && list.end.is_none_or(|end| handle < end);
        for (_, summary) in self.summaries(Some(list.region_id)) {
            if within(summary.handle) && !theirs.contains_key(&summary.handle) {
                difference.to_send.extend(self.status_by_handle(summary.handle).cloned());
            }
        }
        difference
    }

    pub(super) fn compare_summary(&self, summary: &MemberSummary, difference: &mut Difference) {
        let Some(known) = self.status_by_handle(summary.handle) else {
            difference.to_request.push(summary.handle);
            return;
        };
        let theirs = MemberStatus {
            refutations: summary.refutations,
            state: summary.state,
            ..known.clone()
        };
        if known.overrides(&theirs) {
            difference.to_send.push(known.clone());
        } else if theirs.overrides(known) {
            difference.to_request.push(summary.handle);
        }
    }
}

/// Difference between a received list and the stored members.
#[derive(Default)]
pub(crate) struct Difference {
    /// Statuses that the sender of the list lacks or has in an older version.
    pub(crate) to_send: Vec<MemberStatus>,
    /// Handles of members to request, which are unknown or older here.
    pub(crate) to_request: Vec<Handle>,
}

/// Returns the contribution of a member to the checksum of its region.
pub(super) fn member_checksum(handle: Handle, status: &MemberStatus) -> u64 {
    let state = [status.state as u8];
    verbenaslip_base::hash::narrow(&[&handle.0, &status.refutations.to_le_bytes(), &state])
}
