//! What each kind of datagram does.

use std::net::SocketAddr;

use crate::frame::{
    Body, Digest, ForwardedAnnouncement, Frame, FreshnessMark, MemberList, Pull, Renewal, Report,
    Updates,
};
use crate::gossip::{Gossip, Output};
use crate::member::{Handle, MemberStatus, State};
use crate::pack::Source;
use crate::probe::Letter;
use crate::queue::{Queue, Subject};
use crate::registry::Renew;
use crate::roster::{Member, Merge};

/// The most instances named to one that joins.
const WELCOME: usize = 8;

/// The most lists of members in answer to one comparison.
const MAX_LISTS: usize = 3;

impl Gossip {
    /// Takes one datagram.
    pub(crate) fn receive(&mut self, from: SocketAddr, frame: Frame) {
        let Frame { from: sender, body } = frame;
        if sender == self.roster.handle() {
            return;
        }
        self.roster.heard(self.clock.now(), sender);
        self.recognize(from, sender, &body);
        match body {
            Body::Join(rumor) => self.welcome(from, &rumor),
            Body::Ping { target, probe } => self.pinged(from, target, probe),
            Body::Ack { probe } => self.prober.ack(probe, &mut self.letters),
            Body::IndirectPing { target, probe } => {
                let now = self.clock.now();
                self.prober.relay(now, sender, target, probe, &mut self.letters);
            }
            Body::Updates(spread) => self.learn(from, sender, spread),
            Body::PullResponse(mut spread) => {
                self.fill(sender, std::mem::take(&mut spread.announcements));
                self.learn(from, sender, spread);
            }
            Body::Digest(sync) => self.compared(from, sender, &sync),
            Body::MemberList(list) => self.listed(from, &list),
            Body::Pull(pull) => self.pulled(from, &pull),
            Body::Renewals(_) if self.foreign(sender) => {}
            Body::Renewals(renewals) => self.renewed(from, &renewals),
            Body::Report(report) => self.reported(sender, report),
        }
    }

    /// Asks a stranger who it is, and tells one that is held dead or replaced what is held of it.
    fn recognize(&mut self, from: SocketAddr, sender: Handle, body: &Body) {
        if matches!(body, Body::Join(_)) {
            return;
        }
        match self.roster.find(sender).map(Member::rumor) {
            None => {
                let pull = Pull { members: vec![sender], ..Pull::default() };
                self.send(from, Body::Pull(pull));
            }
            Some(rumor) if rumor.state == State::Dead => {
                let rumor = rumor.clone();
                self.tell(from, &[rumor]);
            }
            Some(_) => {}
        }
    }

    /// Names to one that joins whom it needs to find the rest; one that is known just greets.
    fn welcome(&mut self, from: SocketAddr, rumor: &MemberStatus) {
        if self.believe(from, rumor) != Merge::News {
            let own = self.roster.own().clone();
            self.tell(from, &[own]);
            return;
        }
        let region = &rumor.peer.region;
        let near = |member: &&Member| member.peer().region == *region;
        let present = self.roster.members().filter(|member| member.state() == State::Alive);
        let near: Vec<MemberStatus> = present.filter(near).map(|it| it.rumor().clone()).collect();
        let mut rumors = crate::probe::draw(near, WELCOME, &mut self.rng);
        let contacts = self.roster.contacts(region);
        rumors.extend(contacts.iter().filter_map(|name| self.roster.rumor(name)).cloned());
        rumors.push(self.roster.own().clone());
        self.tell(from, &rumors);
    }

    /// Takes in a rumor, and corrects its sender when something newer is held.
    fn believe(&mut self, from: SocketAddr, rumor: &MemberStatus) -> Merge {
        let name = &rumor.peer.instance;
        let merge = self.roster.merge(self.clock.now(), rumor);
        match merge {
            Merge::Known => {}
            Merge::Stale => {
                let held = self.roster.rumor(name).cloned();
                self.tell(from, held.as_slice());
            }
            Merge::Refuted | Merge::News => self.queue.push(Subject::Member(name.clone())),
        }
        merge
    }

    /// Answers a ping that means this incarnation; another one that lived here is over.
    fn pinged(&mut self, from: SocketAddr, target: Handle, probe: u32) {
        let own = self.roster.own().clone();
        if target == self.roster.handle() && own.state != State::Left {
            self.send(from, Body::Ack { probe });
        } else {
            self.send(from, Body::Join(own));
        }
    }

    fn learn(&mut self, from: SocketAddr, sender: Handle, spread: Updates) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        let mut pull = Pull::default();
        for rumor in &spread.members {
            self.believe(from, rumor);
        }
        if self.foreign(sender) {
            return;
        }
        for leaving in &spread.departures {
            self.registry.depart(now, leaving, &mut self.queue);
        }
        for sheet in spread.announcements {
            self.registry.sheet(now, lag, sheet, &mut self.queue);
        }
        for delta in &spread.deltas {
            if self.vouches(delta.voucher) {
                self.registry.change(now, delta, &mut self.queue, &mut pull);
            }
        }
        self.mark(&spread.marks, &mut pull);
        for gauge in &spread.loads {
            self.registry.measure(now, lag, gauge, &mut self.queue);
        }
        self.ask(sender, pull);
    }

    /// Takes the announcements that this instance had asked for; others know them already.
    fn fill(&mut self, sender: Handle, sheets: Vec<ForwardedAnnouncement>) {
        if self.foreign(sender) {
            return;
        }
        let (now, lag) = (self.clock.now(), self.clock.lag());
        let mut unsent = Queue::default();
        for sheet in sheets {
            self.registry.sheet(now, lag, sheet, &mut unsent);
        }
    }

    fn mark(&mut self, marks: &[FreshnessMark], pull: &mut Pull) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        for mark in marks {
            if self.vouches(mark.voucher) {
                self.registry.accept(now, lag, mark, &mut self.queue, pull);
            }
        }
    }

    /// Tells whether a sender is of another region, whose upstreams are not held here.
    fn foreign(&self, sender: Handle) -> bool {
        let region = &self.roster.own().peer.region;
        self.roster.find(sender).is_some_and(|member| member.peer().region != *region)
    }

    /// Tells whether an instance may vouch for upstreams here.
    fn vouches(&self, voucher: Handle) -> bool {
        let region = &self.roster.own().peer.region;
        let member = self.roster.find(voucher);
        member.is_some_and(|it| it.state().present() && it.peer().region == *region)
    }

    fn ask(&mut self, to: Handle, pull: Pull) {
        if !pull.is_empty() {
            self.letters.push(Letter { to, body: Body::Pull(pull) });
        }
    }

    fn compared(&mut self, from: SocketAddr, sender: Handle, sync: &Digest) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        self.roster.merge_areas(now, lag, &sync.contacts);
        let own = self.roster.sums().to_vec();
        let differs = |sum: &&crate::frame::RegionChecksum| !sync.checksums.contains(sum);
        let lists = own.iter().filter(differs).flat_map(|sum| self.roster.lists(sum.region_id));
        for list in lists.take(MAX_LISTS).collect::<Vec<MemberList>>() {
            self.send(from, Body::MemberList(list));
        }
        let known = |area| own.iter().any(|sum| sum.region_id == area);
        for sum in sync.checksums.iter().filter(|sum| !known(sum.region_id)).take(MAX_LISTS) {
            let area = sum.region_id;
            let first = Handle([0; 4]);
            let list = MemberList { region_id: area, first, end: None, members: Vec::new() };
            self.send(from, Body::MemberList(list));
        }
        if !self.vouches(sender) {
            return;
        }
        let mut pull = Pull::default();
        self.mark(&sync.marks, &mut pull);
        self.ask(sender, pull);
        self.show_newer(from, &sync.marks);
    }

    /// Answers a comparison with the marks that are newer here.
    fn show_newer(&mut self, from: SocketAddr, theirs: &[FreshnessMark]) {
        let now = self.clock.now();
        let known = |mark: &FreshnessMark| {
            theirs.iter().any(|it| it.voucher == mark.voucher && it.sequence >= mark.sequence)
        };
        let mut marks = self.registry.marks(now);
        marks.retain(|mark| !known(mark));
        let source = Source { roster: &self.roster, registry: &self.registry, now };
        for spread in source.show(marks) {
            self.send(from, Body::Updates(spread));
        }
    }

    fn listed(&mut self, from: SocketAddr, list: &MemberList) {
        let difference = self.roster.compare(list);
        self.tell(from, &difference.tell);
        if !difference.ask.is_empty() {
            let pull = Pull { members: difference.ask, ..Pull::default() };
            self.send(from, Body::Pull(pull));
        }
    }

    fn pulled(&mut self, from: SocketAddr, pull: &Pull) {
        let now = self.clock.now();
        let source = Source { roster: &self.roster, registry: &self.registry, now };
        for spread in source.answer(pull) {
            self.send(from, Body::PullResponse(spread));
        }
    }

    fn renewed(&mut self, from: SocketAddr, renewals: &[Renewal]) {
        let (now, lag) = (self.clock.now(), self.clock.lag());
        let mut pull = Pull::default();
        let mut spread = Updates::default();
        for renewal in renewals {
            match self.registry.renew(now, lag, renewal) {
                Renew::Done => {}
                Renew::Lacking => self.registry.ask_sheet(renewal.key, &mut pull),
                Renew::Leaving => spread.departures.extend(self.registry.leaving(renewal.key, now)),
            }
        }
        if !pull.is_empty() {
            self.send(from, Body::Pull(pull));
        }
        spread.departures.truncate(32);
        if !spread.is_empty() {
            self.send(from, Body::Updates(spread));
        }
    }

    fn reported(&mut self, sender: Handle, report: Report) {
        let Some(member) = self.roster.find(sender) else { return };
        let name = member.peer().instance.clone();
        let made = report.age.then(self.clock.now(), self.clock.lag());
        if self.vouches(sender) && self.reports.take(&name, made, report) {
            self.out.push(Output::ReportReceived(name));
        }
    }
}
