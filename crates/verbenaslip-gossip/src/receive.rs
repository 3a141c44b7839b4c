//! Handling of each kind of datagram.

use std::net::SocketAddr;

use crate::frame::{
    Body, Digest, ForwardedAnnouncement, Frame, FreshnessMark, MemberList, Pull, Renewal, Report,
    Updates,
};
use crate::gossip::{Gossip, Output};
use crate::member::{Handle, MemberStatus, State};
use crate::pack::Source;
use crate::probe::Outgoing;
use crate::queue::{Queue, Subject};
use crate::registry::RenewalOutcome;
use crate::roster::{Member, MergeOutcome};

/// Maximum number of random members that are sent to a joining instance.
const MAX_JOIN_MEMBERS: usize = 8;

/// Maximum number of member lists sent for one digest.
const MAX_MEMBER_LISTS: usize = 3;

impl Gossip {
    /// Handles one datagram.
    pub(crate) fn handle_frame(&mut self, from: SocketAddr, frame: Frame) {
        let Frame { from: sender, body } = frame;
        if sender == self.roster.handle() {
            return;
        }
        self.roster.record_contact(self.clock.now(), sender);
        self.identify_sender(from, sender, &body);
        match body {
            Body::Join(status) => self.handle_join(from, &status),
            Body::Ping { target, probe } => self.handle_ping(from, target, probe),
            Body::Ack { probe } => self.prober.handle_ack(probe, &mut self.outbox),
            Body::IndirectPing { target, probe } => {
                let now = self.clock.now();
                self.prober.handle_indirect_ping(now, sender, target, probe, &mut self.outbox);
            }
            Body::Updates(updates) => self.handle_updates(from, sender, updates),
            Body::PullResponse(mut updates) => {
                self.handle_requested(sender, std::mem::take(&mut updates.announcements));
                self.handle_updates(from, sender, updates);
            }
            Body::Digest(digest) => self.handle_digest(from, sender, &digest),
            Body::MemberList(list) => self.handle_member_list(from, &list),
            Body::Pull(pull) => self.handle_pull(from, &pull),
            Body::Renewals(_) if self.is_other_region(sender) => {}
            Body::Renewals(renewals) => self.handle_renewals(from, &renewals),
            Body::Report(report) => self.handle_report(sender, report),
        }
    }

    /// Requests the status of an unknown sender, and tells a sender that it is considered dead.
    fn identify_sender(&mut self, from: SocketAddr, sender: Handle, body: &Body) {
        if matches!(body, Body::Join(_)) {
            return;
        }
        match self.roster.by_handle(sender).map(Member::status) {
            None => {
                let pull = Pull { members: vec![sender], ..Pull::default() };
                self.send(from, Body::Pull(pull));
            }
            Some(status) if status.state == State::Dead => {
                let status = status.clone();
                self.send_statuses(from, &[status]);
            }
            Some(_) => {}
        }
    }

    /// Sends a new instance the members that it needs to find the others.
    ///
    /// A known instance only gets this instance's own status.
    fn handle_join(&mut self, from: SocketAddr, status: &MemberStatus) {
        if self.merge_status(from, status) != MergeOutcome::Applied {
            let own = self.roster.own().clone();
            self.send_statuses(from, &[own]);
            return;
        }
        let region = &status.peer.region;
        let neighbours = |member: &&Member| member.peer().region == *region;
        let present = self.roster.members().filter(|member| member.state() == State::Alive);
        let neighbours: Vec<MemberStatus> =
            present.filter(neighbours).map(|it| it.status().clone()).collect();
        let mut statuses = crate::probe::sample(neighbours, MAX_JOIN_MEMBERS, &mut self.rng);
        let contacts = self.roster.contacts(region);
        statuses.extend(contacts.iter().filter_map(|name| self.roster.status_of(name)).cloned());
        statuses.push(self.roster.own().clone());
        self.send_statuses(from, &statuses);
    }

    /// Merges a status and sends its sender the stored one if that is newer.
    fn merge_status(&mut self, from: SocketAddr, status: &MemberStatus) -> MergeOutcome {
        let name = &status.peer.instance;
        let outcome = self.roster.merge(self.clock.now(), status);
        match outcome {
            MergeOutcome::Unchanged => {}
            MergeOutcome::Stale => {
                let known = self.roster.status_of(name).cloned();
                self.send_statuses(from, known.as_slice());
            }
            MergeOutcome::Refuted | MergeOutcome::Applied => {
                self.queue.push(Subject::Member(name.clone()))
            }
        }
        outcome
    }

    /// Answers a ping for this incarnation; a ping for an earlier one at this address gets a join.
    fn handle_ping(&mut self, from: SocketAddr, target: Handle, probe: u32) {
        let own = self.roster.own().clone();
        if target == self.roster.handle() && own.state != State::Left {
            self.send(from, Body::Ack { probe });
        } else {
            self.send(from, Body::Join(own));
        }
    }

    fn handle_updates(&mut self, from: SocketAddr, sender: Handle, updates: Updates) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        let mut pull = Pull::default();
        for status in &updates.members {
            self.merge_status(from, status);
        }
        if self.is_other_region(sender) {
            return;
        }
        for departure in &updates.departures {
            self.registry.handle_departure(now, departure, &mut self.queue);
        }
        for forwarded in updates.announcements {
            self.registry.handle_forwarded(now, lag, forwarded, &mut self.queue);
        }
        for delta in &updates.deltas {
            if self.may_vouch(delta.voucher) {
                self.registry.handle_delta(now, delta, &mut self.queue, &mut pull);
            }
        }
        self.handle_marks(&updates.marks, &mut pull);
        for load in &updates.loads {
            self.registry.handle_load(now, lag, load, &mut self.queue);
        }
        self.send_pull(sender, pull);
    }

    /// Stores requested announcements without sending them on, because others know them already.
    fn handle_requested(&mut self, sender: Handle, announcements: Vec<ForwardedAnnouncement>) {
        if self.is_other_region(sender) {
            return;
        }
        let (now, lag) = (self.clock.now(), self.clock.lag());
        let mut unsent = Queue::default();
        for forwarded in announcements {
            self.registry.handle_forwarded(now, lag, forwarded, &mut unsent);
        }
    }

    fn handle_marks(&mut self, marks: &[FreshnessMark], pull: &mut Pull) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        for mark in marks {
            if self.may_vouch(mark.voucher) {
                self.registry.handle_mark(now, lag, mark, &mut self.queue, pull);
            }
        }
    }

    /// Returns whether a sender is in another region, whose upstreams are not stored here.
    fn is_other_region(&self, sender: Handle) -> bool {
        let region = &self.roster.own().peer.region;
        self.roster.by_handle(sender).is_some_and(|member| member.peer().region != *region)
    }

    /// Returns whether an instance may vouch for upstreams of this region.
    fn may_vouch(&self, voucher: Handle) -> bool {
        let region = &self.roster.own().peer.region;
        let member = self.roster.by_handle(voucher);
        member.is_some_and(|it| it.state().is_present() && it.peer().region == *region)
    }

    fn send_pull(&mut self, to: Handle, pull: Pull) {
        if !pull.is_empty() {
            self.outbox.push(Outgoing { to, body: Body::Pull(pull) });
        }
    }

    fn handle_digest(&mut self, from: SocketAddr, sender: Handle, digest: &Digest) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        self.roster.merge_contacts(now, lag, &digest.contacts);
        let own = self.roster.checksums().to_vec();
        let differs =
            |checksum: &&crate::frame::RegionChecksum| !digest.checksums.contains(checksum);
        let lists = own
            .iter()
            .filter(differs)
            .flat_map(|checksum| self.roster.member_lists(checksum.region_id));
        for list in lists.take(MAX_MEMBER_LISTS).collect::<Vec<MemberList>>() {
            self.send(from, Body::MemberList(list));
        }
        let known = |region_id| own.iter().any(|checksum| checksum.region_id == region_id);
        for checksum in digest
            .checksums
            .iter()
            .filter(|checksum| !known(checksum.region_id))
            .take(MAX_MEMBER_LISTS)
        {
            let region_id = checksum.region_id;
            let first = Handle([0; 4]);
            let list = MemberList { region_id, first, end: None, members: Vec::new() };
            self.send(from, Body::MemberList(list));
        }
        if !self.may_vouch(sender) {
            return;
        }
        let mut pull = Pull::default();
        self.handle_marks(&digest.marks, &mut pull);
        self.send_pull(sender, pull);
        self.send_newer_marks(from, &digest.marks);
    }

    /// Answers a digest with the marks that are newer here.
    fn send_newer_marks(&mut self, from: SocketAddr, theirs: &[FreshnessMark]) {
        let now = self.clock.now();
        let known = |mark: &FreshnessMark| {
            theirs.iter().any(|it| it.voucher == mark.voucher && it.sequence >= mark.sequence)
        };
        let mut marks = self.registry.marks(now);
        marks.retain(|mark| !known(mark));
        let source = Source { roster: &self.roster, registry: &self.registry, now };
        for updates in source.pack_marks(marks) {
            self.send(from, Body::Updates(updates));
        }
    }

    fn handle_member_list(&mut self, from: SocketAddr, list: &MemberList) {
        let difference = self.roster.compare(list);
        self.send_statuses(from, &difference.to_send);
        if !difference.to_request.is_empty() {
            let pull = Pull { members: difference.to_request, ..Pull::default() };
            self.send(from, Body::Pull(pull));
        }
    }

    fn handle_pull(&mut self, from: SocketAddr, pull: &Pull) {
        let now = self.clock.now();
        let source = Source { roster: &self.roster, registry: &self.registry, now };
        for updates in source.pack_pull_response(pull) {
            self.send(from, Body::PullResponse(updates));
        }
    }

    fn handle_renewals(&mut self, from: SocketAddr, renewals: &[Renewal]) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        let mut pull = Pull::default();
        let mut updates = Updates::default();
        for renewal in renewals {
            match self.registry.handle_renewal(now, lag, renewal) {
                RenewalOutcome::Done => {}
                RenewalOutcome::UnknownContent => {
                    self.registry.request_announcement(renewal.key, &mut pull)
                }
                RenewalOutcome::Departed => {
                    updates.departures.extend(self.registry.departure(renewal.key, now))
                }
            }
        }
        if !pull.is_empty() {
            self.send(from, Body::Pull(pull));
        }
        updates.departures.truncate(32);
        if !updates.is_empty() {
            self.send(from, Body::Updates(updates));
        }
    }

    fn handle_report(&mut self, sender: Handle, report: Report) {
        let Some(member) = self.roster.by_handle(sender) else { return };
        let name = member.peer().instance.clone();
        let created_at = report.age.to_time(self.clock.now(), self.clock.lag());
        if self.may_vouch(sender) && self.reports.handle_report(&name, created_at, report) {
            self.outputs.push(Output::ReportReceived(name));
        }
    }
}
