//! What the decisions want done, done; and what traffic reports, as inputs.

use verbenaslip_base::announce::Kind;
use verbenaslip_node::{Input, Output};

use crate::control::outside::Ask;
use crate::control::{Running, Used, call, cloud, tally};
use crate::event::Event;
use crate::peers::Via;
use crate::server::Ended;
use crate::traffic::Report;

/// The time that a drain ordered by an operator may take.
const DRAIN: std::time::Duration = std::time::Duration::from_secs(60);

impl Running {
    pub(super) fn carry(&mut self, output: Output) {
        let traffic = &self.control.traffic;
        match output {
            Output::Send { address, message, .. } => {
                if let Ok(bytes) = postcard::to_stdvec(&message) {
                    self.tally.sent(tally::kind(&message), bytes.len());
                    self.control.peers.send(address, Via::Stream, bytes);
                }
            }
            Output::Datagram { to, frame } => {
                if let Some(bytes) = frame.encode() {
                    self.tally.sent(tally::DATAGRAM, bytes.len());
                    self.control.peers.send(to, Via::Datagram, bytes);
                }
            }
            Output::Store { sequence: mark, write } => {
                if let Some(disk) = &self.control.disk {
                    disk.write(mark, write);
                }
            }
            Output::Verdict { ticket, verdict } => traffic.verdict(ticket, verdict),
            Output::NotOwner(ticket) => traffic.absent(ticket),
            Output::Run(run) => {
                self.runs(&run);
                if run.kind == Kind::Engine {
                    let (address, at) = (run.address, self.now());
                    self.used.insert(run.upstream.clone(), Used { address, at });
                }
                self.control.traffic.run(run);
            }
            Output::Cancel(live) => traffic.cancel(&live),
            Output::Mirror { request, epoch, to } => traffic.mirror(request, epoch, to),
            Output::TakeOwnership { request, epoch } => traffic.own(request, epoch),
            Output::Forget { request, epoch } => traffic.forget(request, epoch),
            Output::Order { address, delivery: give } => {
                let expires = give.expiry.saturating_sub(self.now());
                let (upstream, fence, task) = (give.upstream, give.fence, give.task);
                let order = format!("{task:?}").into();
                Event::OrderGiven { order, upstream: upstream.clone(), fence }.log();
                self.control.metric.orders("given", 1);
                self.control.outside.ask(Ask::Order { address, upstream, fence, expires, task });
            }
            Output::ReadState { address, upstream, question } => {
                self.control.outside.ask(Ask::Read { address, upstream, question });
            }
            Output::Survey => self.ask_cloud(cloud::Ask::Survey),
            Output::Cloud(order) => self.ask_cloud(cloud::Ask::Order(order)),
            Output::Reply { call, reply } => self.reply(call, reply),
            Output::Addresses(addresses) => traffic.peers(addresses.into_iter().collect()),
            Output::Notice(notice) => self.notice(notice),
            Output::Drain => self.stop("an operator", DRAIN),
            Output::Stopped => {
                self.ended.get_or_insert(Ended::Drained);
            }
        }
    }

    fn ask_cloud(&self, ask: cloud::Ask) {
        if let Some(cloud) = &self.control.cloud {
            cloud.ask(ask);
        }
    }

    fn reply(
        &mut self,
        call: verbenaslip_node::operator::CallId,
        reply: verbenaslip_node::operator::Reply,
    ) {
        if let Some(sender) = self.calls.remove(&call) {
            // The caller may have given up; then nobody takes the reply.
            let _ = sender.try_send(call::reply(reply));
        }
    }
}

/// Translates what the traffic threads report; none for what decisions need not know.
pub(super) fn input(report: Report) -> Option<Input> {
    Some(match report {
        Report::Arrived { arrival, due } => Input::Arrived { arrival, timeout: due },
        Report::Gone { ticket } | Report::Served { ticket } => Input::ConnectionClosed(ticket),
        Report::Run { attempt, event } => Input::RunEvent { attempt, event },
        Report::RelayLost { ticket, after, .. } => Input::RelayLost { ticket, after },
        Report::Mirrored { request, position, whole, .. }
        | Report::Copied { request, position, whole, .. } => {
            Input::Mirrored { request, position, complete: whole }
        }
        Report::Subscribed { ticket, request, after } => {
            Input::Subscribed { ticket, request, after }
        }
        Report::MirrorLost { .. } => return None,
    })
}
