//! Calls from outside, answered by the leader whatever core they reach.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::Upstream;

use crate::core::{Core, Event, Output, address_of};
use crate::departure::Departure;
use crate::frame::{Frame, Request, Response};
use crate::registry::{Announcement, Change, Run, Status};
use crate::replicated_state::Command;
use crate::rollout::{Admission, Order};
use crate::view::Version;
use crate::voucher;

/// How long a call waits for an answer that is sure; its sender turns to another core after 1 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);

/// How long a call that was passed on waits for the leader before it is passed on again.
const FORWARD_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How long an upstream's leaving waits for every instance to know it. Whoever has not confirmed by
/// then has lost its connection, and gets the change as the first thing on the next one.
const PROPAGATION_TIMEOUT: Duration = Duration::from_millis(600);

/// How long an instance that answers and does not take the route table holds up its acknowledgement. Its sender
/// calls again meanwhile; after this one waits only as for an instance that is lost.
const ROUTE_TABLE_PROPAGATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Holds one call that is not answered yet.
#[derive(Debug)]
pub(crate) struct PendingCall {
    caller: Caller,
    request: Request,
    deadline: Duration,
    stage: Stage,
    /// What must be committed before the answer.
    departure: Option<Departure>,
}

/// Says where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    /// To a call at this core.
    Local(u64),
    /// To another core.
    Remote { address: SocketAddr, token: u64 },
}

/// Says what a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A leader.
    AwaitingLeader,
    /// The leader's answer.
    Forwarded { retry_at: Duration },
    /// The log.
    AwaitingCommit { token: u64 },
    /// Every instance that answers.
    AwaitingPropagation { change: u64, deadline: Duration },
    /// Every instance that answers, to have the route table that the log holds.
    AwaitingRouteTable,
}

impl Core {
    /// Takes a call at this core.
    pub(crate) fn handle_call(&mut self, id: u64, request: Request) {
        if let Request::Announce(announcement) = &request
            && self.vouches(announcement)
        {
            self.voucher.record(self.now, announcement);
            return self.respond(Caller::Local(id), Response::Acknowledged);
        }
        if announced_departure(&request)
            .is_some_and(|departure| self.voucher.has_acknowledged(self.now, &departure))
        {
            return self.respond(Caller::Local(id), Response::Acknowledged);
        }
        self.add_call(Caller::Local(id), request);
    }

    /// Tells whether this core answers an announcement by itself: nothing in it is new, and the leader is going
    /// to hear that the upstream is there.
    ///
    /// A core that is cut off from the leader turns its callers away instead. Answered there, an upstream would
    /// go on calling, while the leader takes it for silent.
    fn vouches(&self, announcement: &Announcement) -> bool {
        let known = self.link.view().upstreams.get(&announcement.run.upstream);
        !self.is_leading()
            && self.link.is_connected(self.now)
            && voucher::is_unchanged_renewal(known, self.link.departures(), announcement)
    }

    /// Takes a call that another core passes on.
    pub(crate) fn handle_forwarded_call(
        &mut self,
        address: SocketAddr,
        token: u64,
        request: Request,
    ) {
        let caller = Caller::Remote { address, token };
        // Passed on again, since the answer takes its time.
        if self.pending_calls.values().any(|call| call.caller == caller) {
            return;
        }
        // Passed on further it could go round between cores that each believe in another leader.
        if self.is_leading() {
            self.add_call(caller, request);
        } else {
            self.respond(caller, Response::Unavailable);
        }
    }

    /// Takes the leader's answer to a call that was passed on.
    pub(crate) fn handle_leader_response(&mut self, token: u64, response: Response) {
        let is_forwarded = |call: &PendingCall| matches!(call.stage, Stage::Forwarded { .. });
        if !self.pending_calls.get(&token).is_some_and(is_forwarded) {
            return;
        }
        match response {
            Response::Unavailable => self.set_stage(token, Stage::AwaitingLeader),
            response => self.finish_call(token, response),
        }
    }

    /// Takes the log's answer to a route table.
    pub(crate) fn handle_proposal_result(&mut self, token: u64, committed: bool) {
        let awaits_proposal = |stage: Stage| stage == Stage::AwaitingCommit { token };
        let Some(key) = self.find_call(awaits_proposal) else { return };
        if committed {
            match self.pending_calls.get(&key).map(|call| &call.request) {
                Some(Request::StartRollout(_)) => self.restart_call(key),
                _ => self.await_route_table(key),
            }
        } else {
            // Whether it is committed is not known; given again it changes nothing that it has not
            // changed already.
            self.set_stage(key, Stage::AwaitingLeader);
        }
    }

    /// Tells whether a call waits until every instance knows something.
    pub(crate) fn awaits_acknowledgements(&self) -> bool {
        let awaits = |stage: Stage| {
            matches!(stage, Stage::AwaitingPropagation { .. } | Stage::AwaitingRouteTable)
        };
        self.pending_calls.values().any(|call| awaits(call.stage))
    }

    /// Goes on with the calls that wait.
    pub(crate) fn advance_calls(&mut self) {
        let keys: Vec<u64> = self.pending_calls.keys().copied().collect();
        for key in keys {
            self.advance_call(key);
        }
    }

    /// Goes on with the calls that wait until every instance knows something, if more is known to all.
    ///
    /// Each instance confirms each push, and reports four times a second. If all calls were looked at each time,
    /// those of hundreds of upstreams that go together would take a leader of 300 entries all of its time: one
    /// would notice leavings that are acknowledged seconds late, though all knew of them.
    pub(crate) fn advance_acknowledged_calls(&mut self) {
        let progress = self.hub.acknowledged_by_all(self.now);
        let previous = std::mem::replace(&mut self.acknowledged_by_all, progress);
        if progress.change > previous.change || progress.revision > previous.revision {
            self.advance_calls();
        }
    }

    /// Waits until the route table that the log holds is in force at every instance that answers.
    ///
    /// An edit is acknowledged as in force. With hundreds of entries and much else to tell, some would get it
    /// seconds after the log has it: one would notice callers refused on a route that was acknowledged.
    fn await_route_table(&mut self, key: u64) {
        self.set_stage(key, Stage::AwaitingRouteTable);
        self.schedule_push();
        self.advance_call(key);
    }

    /// Tells whether the newest route table is in force, or has been held up by somebody for long enough.
    fn is_route_table_in_force(&self) -> bool {
        let is_acknowledged = self.has_gathered_reports()
            && self.acknowledged_by_all.revision >= self.replicated_state.revision();
        is_acknowledged
            || self.now.saturating_sub(self.route_table_applied_at)
                >= ROUTE_TABLE_PROPAGATION_TIMEOUT
    }

    fn add_call(&mut self, caller: Caller, request: Request) {
        let deadline = self.now + CALL_TIMEOUT;
        let key = self.next_token();
        self.pending_calls.insert(
            key,
            PendingCall {
                caller,
                request,
                deadline,
                stage: Stage::AwaitingLeader,
                departure: None,
            },
        );
        self.advance_call(key);
    }

    fn advance_call(&mut self, key: u64) {
        let Some(call) = self.pending_calls.get(&key) else { return };
        if call.deadline <= self.now {
            return self.time_out_call(key);
        }
        match call.stage {
            Stage::AwaitingLeader => self.serve_or_forward(key),
            Stage::Forwarded { retry_at } if self.is_leading() || retry_at <= self.now => {
                self.restart_call(key);
            }
            Stage::AwaitingPropagation { change, deadline } => {
                if !self.is_leading() {
                    return self.restart_call(key);
                }
                let is_settled = deadline <= self.now
                    || (self.has_gathered_reports() && self.acknowledged_by_all.change >= change);
                if is_settled && self.is_departure_committed(key) {
                    self.emit_departure_acknowledged(key, change);
                    self.finish_call(key, Response::Acknowledged);
                }
            }
            Stage::AwaitingRouteTable if !self.is_leading() => self.restart_call(key),
            Stage::AwaitingRouteTable if self.is_route_table_in_force() => {
                let revision = self.replicated_state.revision();
                self.finish_call(key, Response::RouteTableAdopted { revision });
            }
            Stage::Forwarded { .. } | Stage::AwaitingCommit { .. } | Stage::AwaitingRouteTable => {}
        }
    }

    fn restart_call(&mut self, key: u64) {
        self.set_stage(key, Stage::AwaitingLeader);
        self.serve_or_forward(key);
    }

    fn serve_or_forward(&mut self, key: u64) {
        if self.is_leading() {
            self.serve_call(key);
        } else {
            self.forward_call(key);
        }
    }

    /// Serves a call as the leader.
    fn serve_call(&mut self, key: u64) {
        let Some(call) = self.pending_calls.get(&key) else { return };
        match call.request.clone() {
            Request::AdoptRouteTable(proposed) => {
                if self.replicated_state.current_table().is_some()
                    && proposed.table.revision <= self.replicated_state.revision()
                {
                    return self.await_route_table(key);
                }
                let token = self.propose(&Command::SetRouteTable(proposed));
                self.set_stage(key, Stage::AwaitingCommit { token });
            }
            Request::ReadRouteTable => {
                let document =
                    self.replicated_state.current_table().map(|current| current.document.clone());
                self.finish_call(key, document.map_or(Response::NoRouteTable, Response::Document));
            }
            Request::Announce(announcement) => self.handle_announcement(key, *announcement),
            Request::Withdraw { upstream, incarnation } => {
                self.handle_withdrawal(key, upstream, incarnation)
            }
            Request::StartRollout(order) => self.start_rollout(key, order),
            Request::ReadRollout(service) => {
                let rollout = self.replicated_state.rollouts().get(&service).cloned();
                self.finish_call(key, Response::Rollout(rollout));
            }
        }
    }

    /// Waits until every instance that answers has the plan of a roll-out.
    ///
    /// An entry that hears of a candidate's upstreams before would send them requests as to any other.
    fn await_rollout_plan(&mut self, key: u64) {
        let change = self.announce_plans();
        let deadline = (self.now + PROPAGATION_TIMEOUT).max(self.gathering_ends_at());
        self.set_stage(key, Stage::AwaitingPropagation { change, deadline });
        self.advance_call(key);
    }

    /// Begins a roll-out, or answers for one that the log holds.
    fn start_rollout(&mut self, key: u64, order: Order) {
        let Some(current) = self.replicated_state.current_table() else {
            return self.finish_call(key, Response::Unavailable);
        };
        if current.table.service(&order.service).is_none() {
            return self.finish_call(key, Response::UnknownService(order.service));
        }
        let unix_ms = self.agreed_unix_ms();
        match self.replicated_state.rollouts().admission(&order, unix_ms) {
            Admission::Known => self.await_rollout_plan(key),
            Admission::Conflict(version) => self.finish_call(key, Response::Conflict(version)),
            Admission::New => {
                let token = self.propose(&Command::StartRollout { order, unix: unix_ms });
                self.set_stage(key, Stage::AwaitingCommit { token });
            }
        }
    }

    fn handle_announcement(&mut self, key: u64, announcement: Announcement) {
        let run = announcement.run.clone();
        let (is_departing, sequence) = (announcement.draining, announcement.sequence);
        let table = self.replicated_state.current_table().map(|current| &current.table);
        // Before the first route table every service may be one of those that it names.
        let is_listed = table.is_none_or(|table| table.service(&announcement.service).is_some());
        match self.registry.announce(self.now, announcement, is_listed) {
            Change::Unchanged => {
                let stale = self.registry.stale_announcement(self.now, &run, sequence);
                stale.into_iter().for_each(|stale| self.emit(Event::StaleAnnouncement(stale)));
            }
            Change::UnknownService => {
                self.emit(Event::UnknownService(run.clone()));
                // Another writer's word, also that the upstream goes, says nothing of the one that serves
                // under its name.
                if self.registry.current_run(&run.upstream).is_some() {
                    return self.finish_call(key, Response::Acknowledged);
                }
            }
            Change::Updated | Change::Leaving => {
                self.schedule_push();
                if !self.replicated_state.contains_run(&run) {
                    self.unproposed_joins.insert(run.upstream.clone());
                }
                self.emit_upstream(&run.upstream);
            }
        }
        if is_departing {
            self.record_departure(key, Departure { run, status: Status::Leaving });
        } else {
            self.finish_call(key, Response::Acknowledged);
        }
    }

    fn handle_withdrawal(&mut self, key: u64, upstream: Upstream, incarnation: Option<u64>) {
        let known = self.registry.current_run(&upstream).map_or(0, |run| run.incarnation);
        let run = Run { upstream, incarnation: incarnation.unwrap_or(known) };
        if self.registry.withdraw(self.now, &run) != Change::Unchanged {
            self.emit(Event::UpstreamWithdrawn(run.clone()));
        }
        self.record_departure(key, Departure { run, status: Status::Gone });
    }

    /// Waits until every instance knows that an upstream leaves, and whoever may lead next.
    ///
    /// Its sender stops to serve some time after the answer. An instance that did not know would go
    /// on sending requests there, and so would all of them on the word of a leader that had not heard
    /// of it and hears a late announcement; both show as requests lost at upstreams that left in good
    /// order. What the log holds every later leader has.
    fn record_departure(&mut self, key: u64, departure: Departure) {
        self.registry.depart(self.now, &departure);
        let is_committed = self.replicated_state.has_departed(&departure.run, departure.status);
        if !is_committed && !self.unproposed_departures.contains(&departure) {
            self.unproposed_departures.push(departure.clone());
            self.propose_departures();
        }
        self.schedule_push();
        let deadline = (self.now + PROPAGATION_TIMEOUT).max(self.gathering_ends_at());
        let change = self.registry.last_change();
        if let Some(call) = self.pending_calls.get_mut(&key) {
            call.departure = Some(departure);
        }
        self.set_stage(key, Stage::AwaitingPropagation { change, deadline });
        self.advance_call(key);
    }

    /// Takes an entry's word that an upstream has said in an answer that it goes.
    ///
    /// Its announcements may not come through, or say nothing of it. Known to the entries alone that it has answered,
    /// it would go on getting requests from all others.
    pub(crate) fn handle_reported_departure(&mut self, run: &Run) {
        let departure = Departure { run: run.clone(), status: Status::Leaving };
        let is_current = self.registry.current_run(&run.upstream) == Some(run);
        if !is_current || self.registry.depart(self.now, &departure) == Change::Unchanged {
            return;
        }
        self.unproposed_departures.push(departure);
        self.propose_departures();
        self.emit_upstream(&run.upstream);
        self.schedule_push();
    }

    /// Has the departures committed that have come in, one command at a time: where a whole
    /// availability zone leaves at once, the second command holds all that came during the first.
    pub(crate) fn propose_departures(&mut self) {
        if self.departures_proposal.is_some() || self.unproposed_departures.is_empty() {
            return;
        }
        let departures = std::mem::take(&mut self.unproposed_departures);
        let token =
            self.propose(&Command::AddDepartures { departures, unix: self.agreed_unix_ms() });
        self.departures_proposal = Some(token);
    }

    /// Tells whether the log holds the departure that a call waits for.
    fn is_departure_committed(&self, key: u64) -> bool {
        let departure = self.pending_calls.get(&key).and_then(|call| call.departure.as_ref());
        departure.is_none_or(|departure| {
            self.replicated_state.has_departed(&departure.run, departure.status)
        })
    }

    /// Tells who knew of a leaving when it was acknowledged.
    fn emit_departure_acknowledged(&mut self, key: u64, change: u64) {
        let Some(PendingCall { departure: Some(departure), deadline, .. }) =
            self.pending_calls.get(&key)
        else {
            return;
        };
        let departure = departure.clone();
        let waited = CALL_TIMEOUT.saturating_sub(deadline.saturating_sub(self.now));
        // An upstream that drains says so again with each announcement; all know it already.
        if waited.is_zero() {
            return;
        }
        let acks = self.hub.ack_counts(self.now, change);
        let version = Version { term: self.replica.term(), change };
        self.emit(Event::DepartureAcknowledged { departure, waited, version, acks });
    }

    fn forward_call(&mut self, key: u64) {
        // A core that is no voter yet hears of the leader only as an entry does.
        let leader = self.replica.leader().and_then(address_of);
        let leader = leader.or_else(|| self.link.leader(self.now));
        let own_address = self.link.local_peer().address;
        let Some(leader) = leader.filter(|leader| *leader != own_address) else { return };
        let retry_at = self.now + FORWARD_RETRY_INTERVAL;
        let Some(call) = self.pending_calls.get_mut(&key) else { return };
        call.stage = Stage::Forwarded { retry_at };
        let request = Box::new(call.request.clone());
        // It keeps its name each time it is passed on: the answer to an earlier time answers it as well.
        self.send(leader, Frame::Request { from: own_address, token: key, request });
    }

    fn find_call(&self, matches: impl Fn(Stage) -> bool) -> Option<u64> {
        self.pending_calls.iter().find(|(_, call)| matches(call.stage)).map(|(key, _)| *key)
    }

    fn set_stage(&mut self, key: u64, stage: Stage) {
        if let Some(call) = self.pending_calls.get_mut(&key) {
            call.stage = stage;
        }
    }

    fn time_out_call(&mut self, key: u64) {
        let Some(pending) = self.pending_calls.get(&key) else { return };
        let call = match pending.request {
            Request::AdoptRouteTable(_) => "adopt",
            Request::ReadRouteTable => "read",
            Request::Announce(_) => "announce",
            Request::Withdraw { .. } => "withdraw",
            Request::StartRollout(_) => "start_rollout",
            Request::ReadRollout(_) => "read_rollout",
        };
        self.emit(Event::CallTimedOut { call });
        self.finish_call(key, Response::Unavailable);
    }

    fn finish_call(&mut self, key: u64, response: Response) {
        let Some(PendingCall { caller, request, .. }) = self.pending_calls.remove(&key) else {
            return;
        };
        if response == Response::Acknowledged
            && matches!(caller, Caller::Local(_))
            && let Some(departure) = announced_departure(&request)
        {
            self.voucher.acknowledge(self.now, departure);
        }
        self.respond(caller, response);
    }

    fn respond(&mut self, caller: Caller, response: Response) {
        match caller {
            Caller::Local(id) => self.outputs.push(Output::Reply { id, response }),
            Caller::Remote { address, token } => {
                self.send(address, Frame::Response { token, response })
            }
        }
    }

    pub(crate) fn emit_upstream(&mut self, upstream: &Upstream) {
        if let Some(record) = self.registry.record(upstream).cloned() {
            self.emit(Event::Upstream { record: Box::new(record) });
        }
    }
}

/// Returns the departure that an announcement tells of, if it does.
fn announced_departure(request: &Request) -> Option<Departure> {
    let Request::Announce(announcement) = request else { return None };
    let departure = || Departure { run: announcement.run.clone(), status: Status::Leaving };
    announcement.draining.then(departure)
}
