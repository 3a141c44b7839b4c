//! From a caller's arrival to the journal: lookup of the key, admission, relay to the owner.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};

use crate::caller::{Arrival, Body, Ticket, Verdict};
use crate::entry::{Caller, Entry, Lookup, Phase};
use crate::message::{Found, Message, Reserve};
use crate::output::{Outcome, Output};
use crate::requests::{Requests, Turn};
use crate::timer::Timer;

/// After how many lost relays a mere reservation of another instance no longer counts.
const LOSSES: u32 = 3;

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
            self.timers.set(Timer::Parked(ticket), Some(turn.now + wait));
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

    /// Asks the homes whether they know the key.
    pub(crate) fn look_up(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let until = turn.now + self.setup.timing.lookup;
        let mut asked = BTreeMap::new();
        for home in self.view.homes(entry.request()) {
            let found = (home == self.setup.instance).then(|| self.reserve_here(turn, &entry));
            asked.insert(home, found);
        }
        entry.phase = Phase::Lookup(Lookup { asked, tries: 0, until });
        self.ask(turn, &mut entry);
        self.conclude(turn, entry);
    }

    fn reserve_here(&mut self, turn: &Turn<'_>, entry: &Entry) -> Found {
        let own = self.setup.instance.clone();
        let reserve = self.reserve_of(turn, entry);
        self.find(turn.now, &own, &reserve)
    }

    fn reserve_of(&self, turn: &Turn<'_>, entry: &Entry) -> Reserve {
        Reserve {
            request: entry.request(),
            digest: entry.digest,
            boot: self.setup.boot,
            epoch: entry.epoch,
            remaining: entry.head.deadline.saturating_sub(turn.now),
        }
    }

    /// Sends the question to each home that has not answered it.
    fn ask(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let reserve = self.reserve_of(turn, entry);
        let Phase::Lookup(lookup) = &mut entry.phase else {
            return;
        };
        lookup.tries += 1;
        entry.due = Some(turn.now + self.setup.timing.resend);
        for (home, found) in &lookup.asked {
            if found.is_none() {
                turn.send(home, Message::Reserve(reserve.clone()));
            }
        }
    }

    /// Takes a home's answer.
    pub(crate) fn reserved(
        &mut self,
        turn: &mut Turn<'_>,
        from: &Instance,
        request: Request,
        found: Found,
    ) {
        let Some(mut entry) = self.take(request) else {
            return;
        };
        if let Phase::Lookup(lookup) = &mut entry.phase {
            if let Some(answer) = lookup.asked.get_mut(from) {
                *answer = Some(found);
                lookup.tries = 0;
            }
            self.conclude(turn, entry);
            return;
        }
        entry.informed.insert(from.clone());
        self.put(entry);
    }

    /// Asks again, or gives up, when a lookup's time has come.
    pub(crate) fn tick_lookup(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let Phase::Lookup(lookup) = &mut entry.phase else {
            self.put(entry);
            return;
        };
        if turn.now >= lookup.until {
            self.finish(turn, entry, Outcome::Unknown(Unknown::Unreachable));
            return;
        }
        for found in lookup.asked.values_mut() {
            if matches!(found, Some(Found::Between { .. } | Found::Held { .. })) {
                *found = None;
            }
        }
        if let Some(found) = lookup.asked.get(&self.setup.instance)
            && found.is_none()
        {
            let found = self.reserve_here(turn, &entry);
            let own = self.setup.instance.clone();
            if let Phase::Lookup(lookup) = &mut entry.phase {
                lookup.asked.insert(own, Some(found));
            }
        }
        self.ask(turn, &mut entry);
        self.conclude(turn, entry);
    }

    /// Asks the homes of now, when the instances have changed.
    pub(crate) fn look_up_again(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let homes: BTreeSet<_> = self.view.homes(entry.request()).into_iter().collect();
        let Phase::Lookup(lookup) = &mut entry.phase else {
            self.put(entry);
            return;
        };
        // Views differ for a moment after each change, so one that was a home before may know.
        lookup.asked.retain(|home, _| self.view.alive(home));
        let fresh: Vec<_> =
            homes.into_iter().filter(|home| !lookup.asked.contains_key(home)).collect();
        for home in fresh {
            let found = (home == self.setup.instance).then(|| self.reserve_here(turn, &entry));
            if let Phase::Lookup(lookup) = &mut entry.phase {
                lookup.asked.insert(home, found);
            }
        }
        self.ask(turn, &mut entry);
        self.conclude(turn, entry);
    }

    /// Decides a lookup as soon as the answers allow.
    fn conclude(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let Phase::Lookup(lookup) = &entry.phase else {
            self.put(entry);
            return;
        };
        if let Some((owner, digest)) = self.accepted_owner(lookup) {
            self.join(turn, entry, &owner, digest);
            return;
        }
        let waits = lookup.asked.values().flatten().any(|found| match found {
            Found::Between { .. } => true,
            Found::Held { owner, epoch, .. } => *epoch > 0 && !self.view.alive(owner),
            Found::Free | Found::Doubtful | Found::Full => false,
        });
        let missing = lookup.asked.values().any(Option::is_none);
        let answered = lookup.asked.values().flatten().count() > 0;
        let tired = lookup.tries > self.setup.timing.tries && answered;
        if waits || (missing && !tired) || !answered {
            self.put(entry);
            return;
        }
        if let Some((owner, digest)) = self.reserved_owner(&entry, lookup) {
            self.join(turn, entry, &owner, digest);
            return;
        }
        let doubt = lookup.asked.values().flatten().any(|found| match found {
            Found::Doubtful => true,
            Found::Held { owner, .. } => *owner != self.setup.instance,
            Found::Free | Found::Between { .. } | Found::Full => false,
        });
        let others = lookup.asked.keys().any(|home| *home != self.setup.instance);
        let alone = !self.view.has_others(&self.setup.instance);
        let since = turn.now.checked_sub(self.setup.timing.retention).unwrap_or_default();
        let misses = self.view.misses(entry.request(), since);
        entry.complete = !missing && !doubt && !misses && (others || alone);
        entry.informed = lookup
            .asked
            .iter()
            .filter(|(_, found)| matches!(found, Some(Found::Free | Found::Doubtful)))
            .map(|(home, _)| home.clone())
            .collect();
        self.own(turn, entry);
    }

    fn accepted_owner(&self, lookup: &Lookup) -> Option<(Instance, u128)> {
        let held = lookup.asked.values().flatten().filter_map(|found| match found {
            Found::Held { owner, epoch, digest } if *epoch > 0 => Some((*epoch, owner, *digest)),
            _ => None,
        });
        let (_, owner, digest) = held
            .filter(|(_, owner, _)| **owner != self.setup.instance && self.view.alive(owner))
            .max()?;
        Some((owner.clone(), digest))
    }

    /// Returns who has reserved the key, by the word of the first home that has answered.
    fn reserved_owner(&self, entry: &Entry, lookup: &Lookup) -> Option<(Instance, u128)> {
        if entry.losses >= LOSSES {
            return None;
        }
        let homes = self.view.homes(entry.request());
        let first = homes.iter().find_map(|home| lookup.asked.get(home).and_then(Option::as_ref));
        match first? {
            Found::Held { owner, epoch: 0, digest } if *owner != self.setup.instance => {
                self.view.alive(owner).then(|| (owner.clone(), *digest))
            }
            _ => None,
        }
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
