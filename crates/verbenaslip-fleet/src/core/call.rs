//! Calls from operators and upstreams, which the leader answers whichever core receives them.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::name::Upstream;

use crate::core::{Core, EditAnswer, Event, Output, address_of};
use crate::departure::Departure;
use crate::frame::{Frame, Request, Response};
use crate::registry::{Announcement, Change, Run, Status};
use crate::replicated_state::Command;
use crate::rollout::{Admission, Order};
use crate::view::Version;
use crate::voucher;

/// How long a call waits for a definite answer; callers turn to another core after 1 s.
const CALL_TIMEOUT: Duration = Duration::from_millis(850);

/// How long a forwarded call waits for the leader's answer before it is forwarded again.
const FORWARD_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How long a departure waits for all instances to acknowledge it. An instance that has not
/// acknowledged by then has lost its connection, and receives the change first on its next one.
const PROPAGATION_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a reachable instance without the new route table delays the acknowledgement of an edit.
/// The caller repeats its call meanwhile; afterward such an instance is treated as lost.
const ROUTE_TABLE_PROPAGATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Holds a call that has not been answered yet.
#[derive(Debug)]
pub(crate) struct PendingCall {
    caller: Caller,
    request: Request,
    deadline: Duration,
    stage: Stage,
    /// Departure that must be committed before the answer.
    departure: Option<Departure>,
}

/// Identifies who receives the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Caller {
    /// A call received by this core.
    Local(u64),
    /// A call forwarded by another core.
    Remote { address: SocketAddr, token: u64 },
}

impl Caller {
    /// Returns the core that has forwarded the call, with its token there.
    fn forwarded_by(self) -> Option<(SocketAddr, u64)> {
        match self {
            Self::Local(_) => None,
            Self::Remote { address, token } => Some((address, token)),
        }
    }
}

/// Describes what a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A known leader.
    AwaitingLeader,
    /// The answer of the leader to which the call was forwarded.
    Forwarded { retry_at: Duration },
    /// The commit of a proposal.
    AwaitingCommit { token: u64 },
    /// The acknowledgement of a change by all reachable instances.
    AwaitingPropagation { change: u64, deadline: Duration },
    /// The acknowledgement of the committed route table by all reachable instances.
    AwaitingRouteTable,
}

impl Core {
    /// Handles a call received by this core.
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

    /// Returns whether this core may answer an announcement itself: the announcement contains
    /// nothing new, and the next heartbeat will vouch for the upstream at the leader.
    ///
    /// A core that is cut off from the leader does not answer, so that its callers turn to another
    /// core. Otherwise an upstream would keep calling this core while the leader considers it
    /// silent.
    fn vouches(&self, announcement: &Announcement) -> bool {
        let known = self.link.view().upstreams.get(&announcement.run.upstream);
        !self.is_leading()
            && self.link.is_connected(self.now)
            && voucher::is_unchanged_renewal(known, self.link.departures(), announcement)
    }

    /// Handles a call forwarded by another core.
    pub(crate) fn handle_forwarded_call(
        &mut self,
        address: SocketAddr,
        token: u64,
        request: Request,
    ) {
        let caller = Caller::Remote { address, token };
        // The other core forwards a call again when the answer takes long. A different call under
        // the same token comes from a later process, of a build that counts calls from one.
        let known = self.pending_calls.iter().find(|(_, call)| call.caller == caller);
        let known = known.map(|(key, call)| (*key, call.request == request));
        match known {
            Some((_, true)) => return,
            Some((key, false)) => _ = self.pending_calls.remove(&key),
            None => {}
        }
        // Forwarding again could loop between cores that each consider another one the leader.
        if self.is_leading() {
            self.add_call(caller, request);
        } else {
            self.respond(caller, Response::Unavailable);
        }
    }

    /// Handles the leader's answer to a forwarded call.
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

    /// Continues the call that waits for a proposal; `committed` tells whether the log has
    /// committed it.
    pub(crate) fn handle_proposal_result(&mut self, token: u64, committed: bool) {
        let awaits_proposal = |stage: Stage| stage == Stage::AwaitingCommit { token };
        let Some(key) = self.find_call(awaits_proposal) else { return };
        if committed {
            match self.pending_calls.get(&key).map(|call| &call.request) {
                Some(Request::StartRollout(_)) => self.restart_call(key),
                _ => self.await_route_table(key),
            }
        } else {
            // The outcome of the proposal is unknown. Proposing it again is safe, since applying it
            // twice has no further effect.
            self.set_stage(key, Stage::AwaitingLeader);
        }
    }

    /// Returns whether a call waits for acknowledgements of all instances.
    pub(crate) fn awaits_acknowledgements(&self) -> bool {
        let awaits = |stage: Stage| {
            matches!(stage, Stage::AwaitingPropagation { .. } | Stage::AwaitingRouteTable)
        };
        self.pending_calls.values().any(|call| awaits(call.stage))
    }

    /// Continues all pending calls.
    pub(crate) fn advance_calls(&mut self) {
        let keys: Vec<u64> = self.pending_calls.keys().copied().collect();
        for key in keys {
            self.advance_call(key);
        }
    }

    /// Continues the pending calls if the progress acknowledged by all instances has grown.
    ///
    /// Each instance acknowledges each push and sends four heartbeats a second. Checking all calls
    /// each time would take all of a leader's time with 300 entries when hundreds of upstreams
    /// leave together, and delay the acknowledgement of departures by seconds although all
    /// instances know them.
    pub(crate) fn advance_acknowledged_calls(&mut self) {
        let progress = self.hub.acknowledged_by_all(self.now);
        let previous = std::mem::replace(&mut self.acknowledged_by_all, progress);
        if progress.change > previous.change || progress.revision > previous.revision {
            self.advance_calls();
        }
    }

    /// Waits until the committed route table is in force at all reachable instances.
    ///
    /// The answer promises that an edit is in force. In a fleet of hundreds of entries with many
    /// other changes, some would receive the table seconds after the commit and refuse callers on a
    /// route that was already acknowledged.
    fn await_route_table(&mut self, key: u64) {
        self.set_stage(key, Stage::AwaitingRouteTable);
        self.schedule_push();
        self.advance_call(key);
    }

    /// Returns whether the newest route table is in force at all reachable instances, or
    /// [`ROUTE_TABLE_PROPAGATION_TIMEOUT`] has passed.
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

    /// Waits until all reachable instances have the plan of a rollout.
    ///
    /// An entry that learned of the candidate's upstreams before the plan would send them requests
    /// like any other upstream.
    fn await_rollout_plan(&mut self, key: u64) {
        let change = self.announce_plans();
        let deadline = (self.now + PROPAGATION_TIMEOUT).max(self.gathering_ends_at());
        self.set_stage(key, Stage::AwaitingPropagation { change, deadline });
        self.advance_call(key);
    }

    /// Starts a rollout, or answers for one that is already in the log.
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
        // Entries hear of a version once the log has it: streams that begin at a version which the
        // next leader does not know would be taken for those of another.
        let Announcement { service, version, .. } = &announcement;
        if !is_departing && !self.replicated_state.version_history().contains(service, version) {
            self.versions.unlogged.insert((service.clone(), version.clone()));
            self.set_stage(key, Stage::AwaitingLeader);
            return self.propose_versions();
        }
        let table = self.replicated_state.current_table().map(|current| &current.table);
        // Before the first route table, any service may turn out to be listed.
        let is_listed = table.is_none_or(|table| table.service(&announcement.service).is_some());
        match self.registry.announce(self.now, announcement, is_listed) {
            Change::Unchanged => {
                let stale = self.registry.stale_announcement(self.now, &run, sequence);
                stale.into_iter().for_each(|stale| self.emit(Event::StaleAnnouncement(stale)));
            }
            Change::UnknownService => {
                self.emit(Event::UnknownService(run.clone()));
                // A different sender uses the name of a known upstream. Its announcement, even of a
                // departure, says nothing about the registered run.
                if self.registry.current_run(&run.upstream).is_some() {
                    return self.finish_call(key, Response::Acknowledged);
                }
            }
            Change::Updated | Change::Leaving => {
                self.schedule_push();
                if !self.replicated_state.contains_run(&run) {
                    self.unproposed_joins.insert(run.upstream.clone());
                    self.propose_joins();
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

    /// Waits until the departure of a run is committed and acknowledged by all reachable instances.
    ///
    /// The upstream stops serving shortly after the answer. An instance without the departure would
    /// continue to send requests to it, and a leader without it would accept a delayed announcement
    /// and make all instances do so; both lose requests at an upstream that left correctly. Every
    /// later leader has what the log holds.
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

    /// Handles an entry's report that an upstream has announced its departure in an answer.
    ///
    /// The upstream's announcements may be lost or may not mention the departure. Without this
    /// report, only entries that received such an answer would stop sending requests to it.
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

    /// Proposes the collected departures, one command at a time. When a whole availability zone
    /// leaves at once, the second command contains all departures that arrived during the first.
    pub(crate) fn propose_departures(&mut self) {
        if self.departures_proposal.is_some() || self.unproposed_departures.is_empty() {
            return;
        }
        let departures = std::mem::take(&mut self.unproposed_departures);
        let token =
            self.propose(&Command::AddDepartures { departures, unix: self.agreed_unix_ms() });
        self.departures_proposal = Some(token);
    }

    /// Returns whether the log holds the departure that a call waits for.
    fn is_departure_committed(&self, key: u64) -> bool {
        let departure = self.pending_calls.get(&key).and_then(|call| call.departure.as_ref());
        departure.is_none_or(|departure| {
            self.replicated_state.has_departed(&departure.run, departure.status)
        })
    }

    /// Emits an event with the number of instances that knew of a departure when it was
    /// acknowledged.
    fn emit_departure_acknowledged(&mut self, key: u64, change: u64) {
        let Some(PendingCall { departure: Some(departure), deadline, .. }) =
            self.pending_calls.get(&key)
        else {
            return;
        };
        let departure = departure.clone();
        let waited = CALL_TIMEOUT.saturating_sub(deadline.saturating_sub(self.now));
        // A draining upstream repeats its departure in each announcement; such repetitions do not
        // wait.
        if waited.is_zero() {
            return;
        }
        let acks = self.hub.ack_counts(self.now, change);
        let version = Version { term: self.replica.term(), change };
        self.emit(Event::DepartureAcknowledged { departure, waited, version, acks });
    }

    fn forward_call(&mut self, key: u64) {
        // A core that is not a voter yet knows the leader only from its link, as an entry does.
        let leader = self.replica.leader().and_then(address_of);
        let leader = leader.or_else(|| self.link.leader(self.now));
        let own_address = self.link.local_peer().address;
        let Some(leader) = leader.filter(|leader| *leader != own_address) else { return };
        let retry_at = self.now + FORWARD_RETRY_INTERVAL;
        let Some(call) = self.pending_calls.get_mut(&key) else { return };
        call.stage = Stage::Forwarded { retry_at };
        let request = Box::new(call.request.clone());
        // The token stays the same on each attempt, so the answer to an earlier attempt also
        // counts. An answer to another process of this core does not: it has another token.
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
        if let (Request::AdoptRouteTable(requested), Response::RouteTableAdopted { revision }) =
            (&request, &response)
        {
            self.emit(Event::EditAnswered(EditAnswer {
                requested: requested.table.revision,
                revision: *revision,
                forwarded_by: caller.forwarded_by(),
                token: key,
            }));
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

/// Returns the departure that an announcement contains, if any.
fn announced_departure(request: &Request) -> Option<Departure> {
    let Request::Announce(announcement) = request else { return None };
    let departure = || Departure { run: announcement.run.clone(), status: Status::Leaving };
    announcement.draining.then(departure)
}
