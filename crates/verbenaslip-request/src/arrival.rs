//! From a caller's arrival to the journal: lookup of the key, admission, relay to the owner.

use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};

use crate::caller::{Arrival, Body, Ticket, Verdict};
use crate::output::{Outcome, Output};
use crate::owned::{Caller, Entry, Phase};
use crate::requests::{Requests, Turn};
use crate::timer::Timer;

/// Holds a caller whose answer another instance assembles.
#[derive(Clone, Debug)]
pub(crate) struct Relay {
    /// The request.
    pub(crate) head: Head,
    /// What the caller sent, to run it should every other instance have lost it.
    pub(crate) body: Option<Arc<Body>>,
    /// The digest of what the caller sent.
    pub(crate) digest: u128,
    /// The instance that assembles the answer.
    pub(crate) owner: Instance,
    /// The last position that the caller has, as far as known.
    pub(crate) after: u32,
    /// Whether it may have been given tokens that `after` does not count.
    pub(crate) begun: bool,
    /// Times that a relay of this caller was lost.
    pub(crate) losses: u32,
}

impl Relay {
    /// Returns the caller as one that waits here.
    pub(crate) fn caller(&self) -> Caller {
        Caller { after: self.after, begun: self.begun, subscriber: false }
    }
}

impl Requests {
    pub(crate) fn arrive(&mut self, turn: &mut Turn<'_>, arrival: Arrival) {
        let Arrival { ticket, head, body, after } = arrival;
        if self.tickets.contains_key(&ticket) || self.relays.contains_key(&ticket) {
            return;
        }
        let digest = body.digest();
        let relay = Relay {
            head,
            body: None,
            digest,
            owner: self.setup.instance.clone(),
            after: after.unwrap_or(0),
            begun: false,
            losses: 0,
        };
        self.enter(turn, ticket, relay, body);
    }

    /// Lets a caller in that has nothing yet, or whose relay was lost.
    fn enter(&mut self, turn: &mut Turn<'_>, ticket: Ticket, relay: Relay, body: Arc<Body>) {
        let request = relay.head.request;
        if self.entries.contains_key(&request) {
            self.attach(turn, ticket, &relay, body);
            return;
        }
        if let Some(copy) = self.copies.get(&request)
            && copy.active()
        {
            self.attach_copy(turn, ticket, relay, body);
            return;
        }
        if turn.now >= relay.head.deadline {
            self.turn_away(turn, ticket, &relay.head, Reason::Deadline);
            return;
        }
        let open = self.entries.len() - self.retention.owned();
        if open >= self.setup.limit.owned || !self.charge(&body) {
            self.turn_away(turn, ticket, &relay.head, Reason::Overload);
            return;
        }
        let caller = relay.caller();
        let mut entry = Entry::open(relay.head, Some(body), relay.digest, self.salt());
        entry.losses = relay.losses;
        entry.callers.insert(ticket, caller);
        self.tickets.insert(ticket, request);
        if entry.head.keyed {
            self.look_up(turn, entry);
        } else {
            entry.complete = true;
            self.own(turn, entry);
        }
    }

    /// Lets another instance pass on the answer that is assembled here.
    pub(crate) fn subscribe(
        &mut self,
        turn: &mut Turn<'_>,
        ticket: Ticket,
        request: Request,
        after: u32,
    ) {
        if self.tickets.contains_key(&ticket) || self.relays.contains_key(&ticket) {
            return;
        }
        let barred = self.copies.get(&request).is_some_and(|copy| copy.barred);
        if barred {
            turn.tell(ticket, Verdict::Unknown(Unknown::InstanceLost));
            return;
        }
        let Some(mut entry) = self.take(request) else {
            turn.out.push(Output::Absent(ticket));
            return;
        };
        self.tickets.insert(ticket, request);
        entry.callers.insert(ticket, Caller { after, begun: false, subscriber: true });
        self.dismiss_latecomers(turn, &mut entry);
        self.welcome(turn, &mut entry, ticket);
        self.put(entry);
    }

    /// Looks again for the owner of a caller's request.
    pub(crate) fn relay_lost(&mut self, turn: &mut Turn<'_>, ticket: Ticket, after: u32) {
        let Some(mut relay) = self.relays.remove(&ticket) else {
            return;
        };
        self.timers.set(Timer::Parked(ticket), None);
        relay.after = relay.after.max(after);
        relay.begun = false;
        relay.losses += 1;
        // An owner that has just died is named until the others notice it. Asked at once each time,
        // they would be asked a thousand times a second by every caller that it had.
        let wait = match relay.losses {
            0 | 1 => Duration::ZERO,
            _ => self.setup.timing.resend,
        };
        self.relays.insert(ticket, relay);
        if wait.is_zero() {
            self.seek_owner(turn, ticket);
        } else {
            self.timers.set(Timer::Parked(ticket), Some(turn.now.saturating_add(wait)));
        }
    }

    /// Lets a caller in anew whose relay was lost.
    pub(crate) fn seek_owner(&mut self, turn: &mut Turn<'_>, ticket: Ticket) {
        self.timers.set(Timer::Parked(ticket), None);
        let Some(mut relay) = self.relays.remove(&ticket) else {
            return;
        };
        let Some(body) = relay.body.take() else {
            turn.tell(ticket, Verdict::Unknown(Unknown::InstanceLost));
            return;
        };
        self.release(Some(body.clone()));
        if turn.now >= relay.head.deadline {
            turn.tell(ticket, Verdict::Unknown(Unknown::Unreachable));
            return;
        }
        self.enter(turn, ticket, relay, body);
    }

    /// Adds a caller to a request that this instance owns.
    fn attach(&mut self, turn: &mut Turn<'_>, ticket: Ticket, relay: &Relay, body: Arc<Body>) {
        let Some(mut entry) = self.take(relay.head.request) else {
            return;
        };
        if entry.digest != relay.digest {
            turn.tell(ticket, Verdict::Conflict);
            self.put(entry);
            return;
        }
        self.tickets.insert(ticket, entry.request());
        entry.callers.insert(ticket, relay.caller());
        self.dismiss_latecomers(turn, &mut entry);
        if self.revives(&entry) && self.charge(&body) {
            self.revive(turn, entry, &relay.head, body);
            return;
        }
        self.welcome(turn, &mut entry, ticket);
        self.put(entry);
    }

    /// Tells a caller that has just come what is known by now.
    pub(crate) fn welcome(&mut self, turn: &mut Turn<'_>, entry: &mut Entry, ticket: Ticket) {
        entry.absent = None;
        let Some(caller) = entry.callers.get(&ticket) else {
            return;
        };
        let verdict = match &entry.phase {
            Phase::Finished { outcome: Outcome::Unknown(unknown), .. } => {
                Verdict::Unknown(*unknown)
            }
            Phase::Finished { outcome: Outcome::Refused(refusal), .. } => {
                Verdict::Refused(refusal.clone())
            }
            Phase::Finished { outcome: Outcome::Abandoned | Outcome::Moved { .. }, .. } => {
                Verdict::Unknown(Unknown::InstanceLost)
            }
            _ if entry.served => Verdict::Serve { request: entry.request(), after: caller.after },
            _ => return,
        };
        let last = !matches!(verdict, Verdict::Serve { .. });
        turn.tell(ticket, verdict);
        if last {
            entry.callers.remove(&ticket);
            self.tickets.remove(&ticket);
        }
    }

    /// Passes a caller on to the instance that owns its request.
    pub(crate) fn relay(&mut self, turn: &mut Turn<'_>, ticket: Ticket, mut relay: Relay) {
        relay.begun = true;
        let verdict = Verdict::Relay {
            request: relay.head.request,
            after: relay.after,
            owner: relay.owner.clone(),
        };
        turn.tell(ticket, verdict);
        self.relays.insert(ticket, relay);
    }

    /// Answers a caller that can't be let in.
    fn turn_away(&self, turn: &mut Turn<'_>, ticket: Ticket, head: &Head, reason: Reason) {
        // The key may run elsewhere, which was not asked, so "not run" could be untrue.
        let verdict = match head.keyed {
            true => Verdict::Unknown(Unknown::Unreachable),
            false => Verdict::Refused(Refusal { reason, retry: None }),
        };
        turn.tell(ticket, verdict);
    }

    /// Passes all callers of a request on to its owner.
    pub(crate) fn join(
        &mut self,
        turn: &mut Turn<'_>,
        entry: Entry,
        owner: &Instance,
        digest: u128,
    ) {
        if digest != entry.digest {
            for ticket in entry.callers.keys() {
                self.tickets.remove(ticket);
                turn.tell(*ticket, Verdict::Conflict);
            }
            self.release(entry.body);
            return;
        }
        self.pass_on(turn, entry, owner);
    }

    /// Relays the callers of an entry that is no longer this instance's.
    pub(crate) fn pass_on(&mut self, turn: &mut Turn<'_>, entry: Entry, owner: &Instance) {
        for (ticket, caller) in &entry.callers {
            self.tickets.remove(ticket);
            if caller.subscriber {
                turn.out.push(Output::Absent(*ticket));
                continue;
            }
            // Each relayed caller keeps the body, so that the request survives any loss as long as
            // its caller is there; a body that no longer fits is left out.
            let body = entry.body.clone().filter(|body| self.charge(body));
            let relay = Relay {
                head: entry.head.clone(),
                body,
                digest: entry.digest,
                owner: owner.clone(),
                after: caller.after,
                begun: true,
                losses: entry.losses,
            };
            self.relay(turn, *ticket, relay);
        }
        self.release(entry.body);
    }

    /// Makes this instance the first owner of a request and asks the policy to let it in.
    pub(crate) fn own(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        self.dismiss_strays(turn, &mut entry);
        if entry.callers.is_empty() {
            self.forget_elsewhere(turn, &entry);
            self.discard(turn, entry);
            return;
        }
        self.supersede(entry.request());
        entry.epoch = entry.epoch.max(1);
        entry.phase = Phase::Admit;
        entry.due = None;
        if self.stopping.is_some() {
            let refusal = Refusal { reason: Reason::Stopping, retry: Some(Duration::ZERO) };
            self.refuse(turn, entry, refusal);
            return;
        }
        turn.out.push(Output::Admit(entry.head.clone()));
        self.put(entry);
    }

    /// Ends callers of another answer that join one which has only been begun anew.
    fn dismiss_latecomers(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let anew = entry.lineage == entry.salt && entry.position == 0 && entry.epoch > 0;
        if anew && !entry.finished() {
            self.dismiss_strays(turn, entry);
        }
    }

    /// Ends callers that come back for the rest of an answer of which nothing is left.
    ///
    /// Everyone who held it is lost, and a new run may well answer in other words. One would notice
    /// a sentence that changes halfway; so the caller is told, and can ask anew from the start.
    fn dismiss_strays(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let strays: Vec<_> = entry
            .callers
            .iter()
            .filter(|(_, caller)| {
                caller.after > entry.position || (caller.begun && entry.position == 0)
            })
            .map(|(ticket, _)| *ticket)
            .collect();
        for ticket in strays {
            entry.callers.remove(&ticket);
            self.tickets.remove(&ticket);
            turn.tell(ticket, Verdict::Unknown(Unknown::InstanceLost));
        }
    }

    pub(crate) fn admitted(&mut self, turn: &mut Turn<'_>, request: Request) {
        let Some(entry) = self.take(request) else {
            return;
        };
        match entry.phase {
            Phase::Admit => self.journal(turn, entry),
            _ => self.put(entry),
        }
    }

    pub(crate) fn declined(&mut self, turn: &mut Turn<'_>, request: Request, refusal: Refusal) {
        let Some(entry) = self.take(request) else {
            return;
        };
        match entry.phase {
            Phase::Admit => self.refuse(turn, entry, refusal),
            _ => self.put(entry),
        }
    }
}
