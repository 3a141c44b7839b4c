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
const PATIENCE: Duration = Duration::from_millis(850);

/// How long a call that was passed on waits for the leader before it is passed on again.
const AGAIN: Duration = Duration::from_millis(250);

/// How long an upstream's leaving waits for every instance to know it. Whoever has not confirmed by
/// then has lost its connection, and gets the change as the first thing on the next one.
const SPREAD: Duration = Duration::from_millis(600);

/// How long an instance that answers and does not take the route table holds up its acknowledgement. Its sender
/// calls again meanwhile; after this one waits only as for an instance that is lost.
const HELD_UP: Duration = Duration::from_secs(2);

/// Holds one call that is not answered yet.
#[derive(Debug)]
pub(crate) struct Waiting {
    asker: Asker,
    ask: Request,
    until: Duration,
    stage: Stage,
    /// What must be committed before the answer.
    departure: Option<Departure>,
}

/// Says where an answer goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asker {
    /// To a call at this core.
    Here(u64),
    /// To another core.
    There { address: SocketAddr, token: u64 },
}

/// Says what a call waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A leader.
    Leader,
    /// The leader's answer.
    Passed { again: Duration },
    /// The log.
    Committed { token: u64 },
    /// Every instance that answers.
    Spread { change: u64, until: Duration },
    /// Every instance that answers, to have the route table that the log holds.
    Force,
}

impl Core {
    /// Takes a call at this core.
    pub(crate) fn called(&mut self, id: u64, ask: Request) {
        if let Request::Announce(announcement) = &ask
            && self.vouches(announcement)
        {
            self.voucher.record(self.now, announcement);
            return self.answer(Asker::Here(id), Response::Acknowledged);
        }
        if leaving(&ask).is_some_and(|it| self.voucher.has_acknowledged(self.now, &it)) {
            return self.answer(Asker::Here(id), Response::Acknowledged);
        }
        self.enter(Asker::Here(id), ask);
    }

    /// Tells whether this core answers an announcement by itself: nothing in it is new, and the leader is going
    /// to hear that the upstream is there.
    ///
    /// A core that is cut off from the leader turns its callers away instead. Answered there, an upstream would
    /// go on calling, while the leader takes it for silent.
    fn vouches(&self, announcement: &Announcement) -> bool {
        let known = self.link.view().upstreams.get(&announcement.run.upstream);
        !self.is_leading()
            && self.link.is_in_touch(self.now)
            && voucher::is_unchanged_renewal(known, self.link.departures(), announcement)
    }

    /// Takes a call that another core passes on.
    pub(crate) fn requested(&mut self, address: SocketAddr, token: u64, ask: Request) {
        let asker = Asker::There { address, token };
        // Passed on again, since the answer takes its time.
        if self.waiting.values().any(|waiting| waiting.asker == asker) {
            return;
        }
        // Passed on further it could go round between cores that each believe in another leader.
        if self.is_leading() {
            self.enter(asker, ask);
        } else {
            self.answer(asker, Response::Unavailable);
        }
    }

    /// Takes the leader's answer to a call that was passed on.
    pub(crate) fn answered_by_leader(&mut self, token: u64, told: Response) {
        let passed = |it: &Waiting| matches!(it.stage, Stage::Passed { .. });
        if !self.waiting.get(&token).is_some_and(passed) {
            return;
        }
        match told {
            Response::Unavailable => self.set_stage(token, Stage::Leader),
            told => self.conclude(token, told),
        }
    }

    /// Takes the log's answer to a route table.
    pub(crate) fn adopted(&mut self, token: u64, committed: bool) {
        let proposed = |stage: Stage| stage == Stage::Committed { token };
        let Some(key) = self.find(proposed) else { return };
        if committed {
            match self.waiting.get(&key).map(|waiting| &waiting.ask) {
                Some(Request::StartRollout(_)) => self.restart(key),
                _ => self.await_force(key),
            }
        } else {
            // Whether it is committed is not known; given again it changes nothing that it has not
            // changed already.
            self.set_stage(key, Stage::Leader);
        }
    }

    /// Tells whether a call waits until every instance knows something.
    pub(crate) fn spreads(&self) -> bool {
        let spreads = |stage: Stage| matches!(stage, Stage::Spread { .. } | Stage::Force);
        self.waiting.values().any(|waiting| spreads(waiting.stage))
    }

    /// Goes on with the calls that wait.
    pub(crate) fn advance_calls(&mut self) {
        let keys: Vec<u64> = self.waiting.keys().copied().collect();
        for key in keys {
            self.advance(key);
        }
    }

    /// Goes on with the calls that wait until every instance knows something, if more is known to all.
    ///
    /// Each instance confirms each push, and reports four times a second. If all calls were looked at each time,
    /// those of hundreds of upstreams that go together would take a leader of 300 entries all of its time: one
    /// would notice leavings that are acknowledged seconds late, though all knew of them.
    pub(crate) fn advance_spread(&mut self) {
        let known = self.hub.acknowledged_by_all(self.now);
        let before = std::mem::replace(&mut self.known_to_all, known);
        if known.change > before.change || known.revision > before.revision {
            self.advance_calls();
        }
    }

    /// Waits until the route table that the log holds is in force at every instance that answers.
    ///
    /// An edit is acknowledged as in force. With hundreds of entries and much else to tell, some would get it
    /// seconds after the log has it: one would notice callers refused on a route that was acknowledged.
    fn await_force(&mut self, key: u64) {
        self.set_stage(key, Stage::Force);
        self.push_soon();
        self.advance(key);
    }

    /// Tells whether the newest route table is in force, or has been held up by somebody for long enough.
    fn is_in_force(&self) -> bool {
        let known = self.is_settled() && self.known_to_all.revision >= self.ledger.revision();
        known || self.now.saturating_sub(self.adopted) >= HELD_UP
    }

    fn enter(&mut self, asker: Asker, ask: Request) {
        let until = self.now + PATIENCE;
        let key = self.token();
        self.waiting
            .insert(key, Waiting { asker, ask, until, stage: Stage::Leader, departure: None });
        self.advance(key);
    }

    fn advance(&mut self, key: u64) {
        let Some(waiting) = self.waiting.get(&key) else { return };
        if waiting.until <= self.now {
            return self.give_up(key);
        }
        match waiting.stage {
            Stage::Leader => self.go_on(key),
            Stage::Passed { again } if self.is_leading() || again <= self.now => {
                self.restart(key);
            }
            Stage::Spread { change, until } => {
                if !self.is_leading() {
                    return self.restart(key);
                }
                let seen =
                    until <= self.now || (self.is_settled() && self.known_to_all.change >= change);
                if seen && self.is_noted(key) {
                    self.note_acknowledged(key, change);
                    self.conclude(key, Response::Acknowledged);
                }
            }
            Stage::Force if !self.is_leading() => self.restart(key),
            Stage::Force if self.is_in_force() => {
                let revision = self.ledger.revision();
                self.conclude(key, Response::RouteTableAdopted { revision });
            }
            Stage::Passed { .. } | Stage::Committed { .. } | Stage::Force => {}
        }
    }

    fn restart(&mut self, key: u64) {
        self.set_stage(key, Stage::Leader);
        self.go_on(key);
    }

    fn go_on(&mut self, key: u64) {
        if self.is_leading() {
            self.serve(key);
        } else {
            self.pass(key);
        }
    }

    /// Serves a call as the leader.
    fn serve(&mut self, key: u64) {
        let Some(waiting) = self.waiting.get(&key) else { return };
        match waiting.ask.clone() {
            Request::AdoptRouteTable(edition) => {
                if self.ledger.current_table().is_some()
                    && edition.table.revision <= self.ledger.revision()
                {
                    return self.await_force(key);
                }
                let token = self.propose(&Command::SetRouteTable(edition));
                self.set_stage(key, Stage::Committed { token });
            }
            Request::ReadRouteTable => {
                let document = self.ledger.current_table().map(|edition| edition.document.clone());
                self.conclude(key, document.map_or(Response::NoRouteTable, Response::Document));
            }
            Request::Announce(announcement) => self.announced(key, *announcement),
            Request::Withdraw { upstream, incarnation } => {
                self.withdrawn(key, upstream, incarnation)
            }
            Request::StartRollout(order) => self.start_rollout(key, order),
            Request::ReadRollout(service) => {
                let rollout = self.ledger.rollouts().get(&service).cloned();
                self.conclude(key, Response::Rollout(rollout));
            }
        }
    }

    /// Waits until every instance that answers has the plan of a roll-out.
    ///
    /// An entry that hears of a candidate's upstreams before would send them requests as to any other.
    fn await_plan(&mut self, key: u64) {
        let change = self.announce_plans();
        let until = (self.now + SPREAD).max(self.settled_at());
        self.set_stage(key, Stage::Spread { change, until });
        self.advance(key);
    }

    /// Begins a roll-out, or answers for one that the log holds.
    fn start_rollout(&mut self, key: u64, order: Order) {
        let Some(edition) = self.ledger.current_table() else {
            return self.conclude(key, Response::Unavailable);
        };
        if edition.table.service(&order.service).is_none() {
            return self.conclude(key, Response::UnknownService(order.service));
        }
        let unix = self.agreed();
        match self.ledger.rollouts().admission(&order, unix) {
            Admission::Known => self.await_plan(key),
            Admission::Conflict(version) => self.conclude(key, Response::Conflict(version)),
            Admission::New => {
                let token = self.propose(&Command::StartRollout { order, unix });
                self.set_stage(key, Stage::Committed { token });
            }
        }
    }

    fn announced(&mut self, key: u64, announcement: Announcement) {
        let run = announcement.run.clone();
        let (leaves, sequence) = (announcement.draining, announcement.sequence);
        let table = self.ledger.current_table().map(|edition| &edition.table);
        // Before the first route table every service may be one of those that it names.
        let served = table.is_none_or(|table| table.service(&announcement.service).is_some());
        match self.registry.announce(self.now, announcement, served) {
            Change::Unchanged => {
                let late = self.registry.stale_announcement(self.now, &run, sequence);
                late.into_iter().for_each(|late| self.note(Event::StaleAnnouncement(late)));
            }
            Change::UnknownService => {
                self.note(Event::UnknownService(run.clone()));
                // Another writer's word, also that the upstream goes, says nothing of the one that serves
                // under its name.
                if self.registry.current_run(&run.upstream).is_some() {
                    return self.conclude(key, Response::Acknowledged);
                }
            }
            Change::Updated | Change::Leaving => {
                self.push_soon();
                if !self.ledger.contains_run(&run) {
                    self.joining.insert(run.upstream.clone());
                }
                self.note_upstream(&run.upstream);
            }
        }
        if leaves {
            self.depart(key, Departure { run, status: Status::Leaving });
        } else {
            self.conclude(key, Response::Acknowledged);
        }
    }

    fn withdrawn(&mut self, key: u64, upstream: Upstream, incarnation: Option<u64>) {
        let known = self.registry.current_run(&upstream).map_or(0, |run| run.incarnation);
        let run = Run { upstream, incarnation: incarnation.unwrap_or(known) };
        if self.registry.withdraw(self.now, &run) != Change::Unchanged {
            self.note(Event::UpstreamWithdrawn(run.clone()));
        }
        self.depart(key, Departure { run, status: Status::Gone });
    }

    /// Waits until every instance knows that an upstream leaves, and whoever may lead next.
    ///
    /// Its sender stops to serve some time after the answer. An instance that did not know would go
    /// on sending requests there, and so would all of them on the word of a leader that had not heard
    /// of it and hears a late announcement; both show as requests lost at upstreams that left in good
    /// order. What the log holds every later leader has.
    fn depart(&mut self, key: u64, departure: Departure) {
        self.registry.depart(self.now, &departure);
        let noted = self.ledger.has_departed(&departure.run, departure.status);
        if !noted && !self.departing.contains(&departure) {
            self.departing.push(departure.clone());
            self.note_departures();
        }
        self.push_soon();
        let until = (self.now + SPREAD).max(self.settled_at());
        let change = self.registry.last_change();
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.departure = Some(departure);
        }
        self.set_stage(key, Stage::Spread { change, until });
        self.advance(key);
    }

    /// Takes an entry's word that an upstream has said in an answer that it goes.
    ///
    /// Its announcements may not come through, or say nothing of it. Known to the entries alone that it has answered,
    /// it would go on getting requests from all others.
    pub(crate) fn take_leaving(&mut self, run: &Run) {
        let departure = Departure { run: run.clone(), status: Status::Leaving };
        let there = self.registry.current_run(&run.upstream) == Some(run);
        if !there || self.registry.depart(self.now, &departure) == Change::Unchanged {
            return;
        }
        self.departing.push(departure);
        self.note_departures();
        self.note_upstream(&run.upstream);
        self.push_soon();
    }

    /// Has the departures committed that have come in, one command at a time: where a whole
    /// availability zone leaves at once, the second command holds all that came during the first.
    pub(crate) fn note_departures(&mut self) {
        if self.noting_departures.is_some() || self.departing.is_empty() {
            return;
        }
        let departures = std::mem::take(&mut self.departing);
        let token = self.propose(&Command::AddDepartures { departures, unix: self.agreed() });
        self.noting_departures = Some(token);
    }

    /// Tells whether the log holds the departure that a call waits for.
    fn is_noted(&self, key: u64) -> bool {
        let departure = self.waiting.get(&key).and_then(|waiting| waiting.departure.as_ref());
        departure.is_none_or(|it| self.ledger.has_departed(&it.run, it.status))
    }

    /// Tells who knew of a leaving when it was acknowledged.
    fn note_acknowledged(&mut self, key: u64, change: u64) {
        let Some(Waiting { departure: Some(departure), until, .. }) = self.waiting.get(&key) else {
            return;
        };
        let departure = departure.clone();
        let waited = PATIENCE.saturating_sub(until.saturating_sub(self.now));
        // An upstream that drains says so again with each announcement; all know it already.
        if waited.is_zero() {
            return;
        }
        let spread = self.hub.ack_counts(self.now, change);
        let change = Version { term: self.replica.term(), change };
        self.note(Event::DepartureAcknowledged {
            departure,
            waited,
            version: change,
            acks: spread,
        });
    }

    fn pass(&mut self, key: u64) {
        // A core that is no voter yet hears of the leader only as an entry does.
        let leader = self.replica.leader().and_then(address_of);
        let leader = leader.or_else(|| self.link.leader(self.now));
        let own = self.link.own().address;
        let Some(leader) = leader.filter(|leader| *leader != own) else { return };
        let again = self.now + AGAIN;
        let Some(waiting) = self.waiting.get_mut(&key) else { return };
        waiting.stage = Stage::Passed { again };
        let ask = Box::new(waiting.ask.clone());
        // It keeps its name each time it is passed on: the answer to an earlier time answers it as well.
        self.send(leader, Frame::Request { from: own, token: key, request: ask });
    }

    fn find(&self, at: impl Fn(Stage) -> bool) -> Option<u64> {
        self.waiting.iter().find(|(_, it)| at(it.stage)).map(|(key, _)| *key)
    }

    fn set_stage(&mut self, key: u64, stage: Stage) {
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.stage = stage;
        }
    }

    fn give_up(&mut self, key: u64) {
        let Some(waiting) = self.waiting.get(&key) else { return };
        let what = match waiting.ask {
            Request::AdoptRouteTable(_) => "adopt",
            Request::ReadRouteTable => "read",
            Request::Announce(_) => "announce",
            Request::Withdraw { .. } => "withdraw",
            Request::StartRollout(_) => "start_rollout",
            Request::ReadRollout(_) => "read_rollout",
        };
        self.note(Event::CallTimedOut { call: what });
        self.conclude(key, Response::Unavailable);
    }

    fn conclude(&mut self, key: u64, told: Response) {
        let Some(Waiting { asker, ask, .. }) = self.waiting.remove(&key) else { return };
        if told == Response::Acknowledged
            && matches!(asker, Asker::Here(_))
            && let Some(departure) = leaving(&ask)
        {
            self.voucher.acknowledge(self.now, departure);
        }
        self.answer(asker, told);
    }

    fn answer(&mut self, asker: Asker, told: Response) {
        match asker {
            Asker::Here(id) => self.out.push(Output::Reply { id, response: told }),
            Asker::There { address, token } => {
                self.send(address, Frame::Response { token, response: told })
            }
        }
    }

    pub(crate) fn note_upstream(&mut self, upstream: &Upstream) {
        if let Some(record) = self.registry.record(upstream).cloned() {
            self.note(Event::Upstream { record: Box::new(record) });
        }
    }
}

/// Returns the departure that an announcement tells of, if it does.
fn leaving(ask: &Request) -> Option<Departure> {
    let Request::Announce(announcement) = ask else { return None };
    let departure = || Departure { run: announcement.run.clone(), status: Status::Leaving };
    announcement.draining.then(departure)
}
