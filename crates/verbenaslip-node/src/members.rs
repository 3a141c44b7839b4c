//! Connects membership and the registry of upstreams to the other components.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::announce::Phase;
use verbenaslip_base::name::{AvailabilityZone, Instance, Upstream};
use verbenaslip_gossip::{self as gossip, LeaseStatus, MemberEvent, State, UpstreamEvent};
use verbenaslip_request::input as request;
use verbenaslip_state::{order, watch};

use crate::message::Message;
use crate::node::{Node, Pending};
use crate::notice::Notice;
use crate::operator::{CallId, Reply};
use crate::output::Output;
use crate::report::InstanceReport;

impl Node {
    /// Passes an input to the gossip component and handles its outputs.
    pub(crate) fn step_gossip(&mut self, input: gossip::Input) {
        let mut outputs = Vec::new();
        self.gossip.step(self.now, input, &mut outputs);
        for output in outputs {
            self.handle_gossip_output(output, None);
        }
    }

    /// Handles an upstream's announcement and replies to the call.
    pub(crate) fn handle_announcement(
        &mut self,
        call: CallId,
        announcement: Box<verbenaslip_base::announce::Announcement>,
    ) {
        let mut outputs = Vec::new();
        self.gossip.step(self.now, gossip::Input::Announced(announcement), &mut outputs);
        for output in outputs {
            self.handle_gossip_output(output, Some(call));
        }
    }

    /// Handles one output of the gossip component; `call` is the call that an announcement answers.
    fn handle_gossip_output(&mut self, output: gossip::Output, call: Option<CallId>) {
        match output {
            gossip::Output::Send { to, frame } => self.out.push(Output::Datagram { to, frame }),
            gossip::Output::AnnouncementResult(answer) => {
                if let Some(call) = call {
                    let reply = Reply::Announced(answer);
                    self.out.push(Output::Reply { call, reply });
                }
            }
            gossip::Output::Member(event) => self.handle_member_event(event),
            gossip::Output::Upstream(event) => self.handle_upstream_event(event),
            gossip::Output::ReportReceived(instance) => self.handle_report(&instance),
            gossip::Output::Isolated(isolated) => self.handle_isolation(isolated),
        }
    }

    /// Passes the list of live instances to the components that share work with them.
    pub(crate) fn update_members(&mut self) {
        let own = self.gossip.own().clone();
        let alive =
            |member: &&gossip::Member| matches!(member.state(), State::Alive | State::Suspect);
        let others: Vec<gossip::Peer> =
            self.gossip.members().filter(alive).map(|member| member.peer().clone()).collect();
        let here = others.iter().filter(|peer| peer.region == own.region);
        let mut instances: Vec<Instance> = here.map(|peer| peer.instance.clone()).collect();
        instances.push(own.instance);
        instances.sort();
        self.region_instances = instances.len();
        self.dispatcher.set_members(self.now, &instances);
        self.update_publishers(&others);
        let addresses: Vec<(Instance, SocketAddr)> =
            others.into_iter().map(|peer| (peer.instance, peer.address)).collect();
        self.out.push(Output::Addresses(addresses));
    }

    /// Sends this instance's report to the other instances.
    pub(crate) fn send_report(&mut self) {
        let limits = self.dispatcher.tick_limits(self.now);
        let voter = self.is_voter();
        let leads = self.leads();
        let share = InstanceReport { voter, leads, limits };
        self.enqueue(Pending::Gossip(gossip::Input::Report(share.encode())));
    }

    /// Passes the newest loads of all usable upstreams to the dispatcher.
    pub(crate) fn refresh_loads(&mut self) {
        let now = self.now;
        for record in self.gossip.usable(now) {
            let mut announcement = record.announcement().clone();
            announcement.load = record.load(now);
            self.dispatcher.handle_announcement(now, &announcement);
        }
    }

    fn update_publishers(&mut self, others: &[gossip::Peer]) {
        let peer = |peer: &gossip::Peer| watch::Peer {
            instance: peer.instance.clone(),
            zone: peer.zone.clone(),
            voter: self.voters.contains(&peer.instance),
        };
        let peers = others.iter().map(peer).collect();
        self.enqueue(Pending::Watch(watch::Input::Peers(peers)));
    }

    fn handle_member_event(&mut self, event: MemberEvent) {
        match event {
            MemberEvent::Joined(peer) => {
                let member = request::Member {
                    instance: peer.instance.clone(),
                    zone: peer.zone,
                    boot: peer.incarnation,
                };
                let (zone, incarnation) = (member.zone.clone(), member.boot);
                self.enqueue(Pending::Request(request::Input::Joined(member)));
                self.notify(Notice::Joined { instance: peer.instance, zone, incarnation });
            }
            MemberEvent::Suspected(instance) => {
                self.enqueue(Pending::Request(request::Input::Suspected(instance.clone())));
                self.notify(Notice::Suspected(instance));
            }
            MemberEvent::Cleared(instance) => {
                self.enqueue(Pending::Request(request::Input::Cleared(instance.clone())));
                let member = self.gossip.member(&instance);
                let incarnation = member.map_or(0, |member| member.peer().incarnation);
                self.notify(Notice::Recovered { instance, incarnation });
            }
            // A leaving instance still finishes its requests; treated as gone, they would run
            // twice.
            MemberEvent::Leaving(_) => {}
            MemberEvent::Left(instance) => {
                self.enqueue(Pending::Request(request::Input::Left(instance.clone())));
                self.notify(Notice::Left(instance));
            }
            MemberEvent::Lost(instance) => {
                self.enqueue(Pending::Request(request::Input::Lost(instance.clone())));
                let zone = self.gossip.member(&instance).map(|member| member.peer().zone.clone());
                self.notify(Notice::Lost { instance, zone });
            }
            MemberEvent::ZoneLost(zone) => self.notify(Notice::ZoneLost(zone)),
            MemberEvent::ZoneRecovered(_)
            | MemberEvent::RegionUnreachable(_)
            | MemberEvent::RegionRecovered(_) => {}
            MemberEvent::Replaced { incarnation } => {
                self.notify(Notice::Replaced { incarnation });
                self.out.push(Output::Drain);
            }
        }
        self.update_members();
    }

    fn handle_upstream_event(&mut self, event: UpstreamEvent) {
        match event {
            UpstreamEvent::Appeared(upstream) => {
                self.handle_usable_upstream(&upstream);
                if let Some(record) = self.gossip.record(&upstream) {
                    self.notify(Notice::Appeared(Box::new(record.announcement().clone())));
                }
            }
            UpstreamEvent::Changed(upstream) => {
                self.handle_usable_upstream(&upstream);
                if let Some(record) = self.gossip.record(&upstream) {
                    self.notify(Notice::Changed(Box::new(record.announcement().clone())));
                }
            }
            UpstreamEvent::Leaving { upstream, notice } => {
                if let Some(record) = self.gossip.record(&upstream) {
                    self.dispatcher.handle_announcement(self.now, record.announcement());
                }
                let leaving = request::Input::Leaving { upstream: upstream.clone(), notice };
                self.enqueue(Pending::Request(leaving));
                self.notify(Notice::Leaving { upstream, notice });
            }
            UpstreamEvent::Lapsed(upstream) => {
                // The dispatcher learns of each failed run later, when its request asks for a
                // retry.
                let _ = self.dispatcher.remove_upstream(self.now, &upstream);
                self.enqueue(Pending::Request(request::Input::Lapsed(upstream.clone())));
                self.step_orders(order::Input::Gone(upstream.clone()));
                let record = self.gossip.record(&upstream);
                let age = record.map_or(0, |record| record.load(self.now).age);
                let age = Duration::from_millis(u64::from(age));
                self.notify(Notice::Lapsed { upstream, age });
            }
            UpstreamEvent::ZoneDoubtful(zone) => {
                let known = self.upstreams_in(&zone).count();
                let in_doubt =
                    |record: &&gossip::Record| record.lease_status() != LeaseStatus::Confirmed;
                let lost = self.upstreams_in(&zone).filter(in_doubt).count();
                self.notify(Notice::ZoneDoubted { zone, lost, known });
            }
            UpstreamEvent::ZoneCleared(zone) => {
                let known = self.upstreams_in(&zone).count();
                self.notify(Notice::ZoneTrusted { zone, known });
            }
        }
    }

    fn handle_usable_upstream(&mut self, upstream: &Upstream) {
        let Some(record) = self.gossip.record(upstream) else { return };
        let announcement = record.announcement();
        self.dispatcher.handle_announcement(self.now, announcement);
        if announcement.phase == Phase::Ready {
            self.enqueue(Pending::Request(request::Input::Ready(upstream.clone())));
        }
        self.update_orderable_upstream(upstream);
    }

    fn handle_report(&mut self, instance: &Instance) {
        let reports = self.gossip.reports(self.now);
        let found = reports.into_iter().find(|report| report.instance == instance);
        let Some(share) = found.and_then(|report| InstanceReport::decode(report.bytes)) else {
            return;
        };
        self.dispatcher.handle_report(self.now, instance, &share.limits);
        if share.leads {
            self.leader = Some(instance.clone());
        }
        let known = self.voters.contains(instance);
        if share.voter && !known {
            self.voters.insert(instance.clone());
        }
        if !share.voter && known {
            self.voters.remove(instance);
        }
        if share.voter != known {
            self.update_members();
        }
    }

    fn handle_isolation(&mut self, isolated: bool) {
        if isolated {
            self.dispatcher.reset_shares(self.now);
        }
        let stays = |member: &&gossip::Member| member.state() != State::Left;
        let known = self.gossip.members().filter(stays).count() + 1;
        let alive = |member: &&gossip::Member| member.state() == State::Alive;
        let heard = self.gossip.members().filter(alive).count() + 1;
        self.notify(Notice::Isolated { isolated, heard, known });
    }

    fn upstreams_in<'a>(
        &'a self,
        zone: &'a AvailabilityZone,
    ) -> impl Iterator<Item = &'a gossip::Record> {
        self.gossip.records().filter(move |record| record.announcement().zone == *zone)
    }

    /// Sends a message about a request to another instance.
    pub(crate) fn send_request_message(
        &mut self,
        to: &Instance,
        message: verbenaslip_request::message::Message,
    ) {
        self.send(to, Message::Request(message));
    }
}
