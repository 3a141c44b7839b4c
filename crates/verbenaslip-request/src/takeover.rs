//! Between owners: the second holder takes over, the former owner yields.

use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::Unknown;

use crate::caller::Verdict;
use crate::copies::Held;
use crate::message::{Message, Progress, Takeover};
use crate::output::{Outcome, Output};
use crate::owned::{Begun, Entry, Ousted, Phase};
use crate::requests::{Requests, Turn};
use crate::run::Start;
use crate::timer::Timer;

impl Requests {
    /// Looks for other homes and second holders than an instance that does not answer.
    ///
    /// Until it is called dead seconds pass, in which each request would ask it in vain for its key
    /// and for a copy; one would notice late first tokens at all instances, and lookups that run
    /// out. What it owns stays its own: a takeover from a living owner runs a request twice.
    pub(crate) fn suspected(&mut self, turn: &mut Turn<'_>, instance: &Instance) {
        if *instance != self.setup.instance && self.view.alive(instance) {
            self.view.suspect(instance, true);
            self.replace_everywhere(turn, instance);
        }
    }

    /// Takes it that an instance seems dead; it may come back.
    pub(crate) fn lost(&mut self, turn: &mut Turn<'_>, instance: &Instance) {
        if *instance != self.setup.instance && self.view.lose(instance, turn.now) {
            let grace = self.setup.timing.grace;
            self.without(turn, instance, grace);
        }
    }

    /// Takes it that an instance will not come back with what it held.
    pub(crate) fn left(&mut self, turn: &mut Turn<'_>, instance: &Instance) {
        if *instance == self.setup.instance {
            return;
        }
        self.view.remove(instance);
        self.without(turn, instance, Duration::ZERO);
    }

    fn without(&mut self, turn: &mut Turn<'_>, instance: &Instance, grace: Duration) {
        for reservation in self.reservations.values_mut() {
            reservation.lost |= reservation.owner == *instance;
        }
        self.replace_everywhere(turn, instance);
        self.orphan(turn, instance, grace);
        let relays = self.relays.iter().filter(|(_, relay)| relay.owner == *instance);
        let lost: Vec<_> = relays.map(|(ticket, _)| *ticket).collect();
        for ticket in lost {
            self.seek_owner(turn, ticket);
        }
    }

    /// Finds other second holders for what an instance held, at once: the next loss may follow.
    fn replace_everywhere(&mut self, turn: &mut Turn<'_>, instance: &Instance) {
        let requests: Vec<_> = self.entries.keys().copied().collect();
        for request in requests {
            let Some(mut entry) = self.take(request) else {
                continue;
            };
            entry.informed.remove(instance);
            if entry.holder.as_ref().is_some_and(|holder| holder.instance == *instance) {
                self.replace_holder(turn, &mut entry);
            }
            match entry.phase {
                Phase::Lookup(_) => self.look_up_again(turn, entry),
                Phase::Journal { .. } => self.tick_journal(turn, entry),
                Phase::Close { .. } => self.closed(turn, entry),
                _ => self.put(entry),
            }
        }
    }

    /// Prepares to take over what an instance owned.
    fn orphan(&mut self, turn: &mut Turn<'_>, instance: &Instance, grace: Duration) {
        let absence = self.setup.timing.absence;
        let mut orphans = Vec::new();
        for (request, copy) in &mut self.copies {
            if copy.owner != *instance {
                continue;
            }
            copy.lost.get_or_insert(turn.now);
            // Nobody can come back for a request without a key; but its owner may not be dead.
            let wait = if copy.head.keyed { grace } else { absence };
            let due = turn.now.saturating_add(wait);
            copy.due = Some(copy.due.map_or(due, |known| known.min(due)));
            orphans.push(*request);
        }
        for request in orphans {
            self.arm_copy(request);
            self.tick_copy(turn, request);
        }
    }

    /// Takes it that an instance is there again, with what it held.
    pub(crate) fn returned(&mut self, turn: &mut Turn<'_>, instance: &Instance) {
        let boot = self.view.get(instance).map_or(0, |seen| seen.boot);
        for reservation in self.reservations.values_mut() {
            if reservation.owner == *instance && [0, reservation.boot].contains(&boot) {
                reservation.lost = false;
            }
        }
        let mut back = Vec::new();
        for (request, copy) in &mut self.copies {
            if copy.owner == *instance {
                copy.lost = None;
                copy.due = None;
                copy.barred = false;
                back.push((*request, std::mem::take(&mut copy.waiting)));
            }
        }
        for (request, waiting) in back {
            self.arm_copy(request);
            self.resume_waiting(turn, waiting);
        }
        self.remind(turn, instance);
    }

    /// Tells an instance again what it no longer owns, and what it need no longer hold.
    fn remind(&mut self, turn: &mut Turn<'_>, instance: &Instance) {
        for entry in self.entries.values_mut() {
            let (request, epoch) = (entry.request(), entry.epoch);
            if entry.stale.contains(instance) {
                turn.send(instance, Message::Drop { request, epoch, key: false });
            }
            if let Some(ousted) = &mut entry.ousted
                && ousted.instance == *instance
            {
                ousted.tries = 0;
                ousted.due = Some(turn.now);
            }
        }
        let reminded: Vec<_> = self
            .entries
            .values()
            .filter(|entry| entry.ousted.as_ref().is_some_and(|ousted| ousted.tries == 0))
            .map(Entry::request)
            .collect();
        for request in reminded {
            if let Some(entry) = self.take(request) {
                self.put(entry);
            }
        }
    }

    /// Notices by a message that an instance has been restarted, so that all it held is gone.
    pub(crate) fn rebooted(&mut self, turn: &mut Turn<'_>, from: &Instance, boot: u64) {
        let Some(seen) = self.view.get(from) else {
            return;
        };
        if seen.boot == boot || boot == 0 {
            return;
        }
        let (known, mut seen) = (seen.boot, seen.clone());
        seen.boot = boot;
        self.view.insert(from.clone(), seen);
        if known != 0 {
            self.without(turn, from, Duration::ZERO);
        }
    }

    /// Makes this instance the owner of a copy whose owner is lost or stops.
    pub(crate) fn take_over(&mut self, turn: &mut Turn<'_>, request: Request, handed: bool) {
        let Some(mut copy) = self.copies.remove(&request) else {
            return;
        };
        self.timers.set(Timer::Copied(request), None);
        copy.due = None;
        if !copy.active() {
            let waiting = std::mem::take(&mut copy.waiting);
            self.doubt(turn, copy);
            self.resume_waiting(turn, waiting);
            return;
        }
        if !copy.head.keyed && copy.waiting.is_empty() && !handed {
            self.clear(turn, copy);
            return;
        }
        self.retention.remove(request);
        let Some(epoch) = copy.note.epoch.checked_add(1) else {
            self.bar(turn, copy);
            return;
        };
        let entry = self.inherit(turn.now, &mut copy, epoch);
        self.succeed(turn, entry, copy);
    }

    fn inherit(&mut self, now: Duration, copy: &mut Held, epoch: u16) -> Entry {
        let (body, salt) = (copy.body.take(), self.salt());
        let mut entry = Entry::open(copy.head.clone(), body, copy.digest, salt);
        entry.epoch = epoch;
        entry.complete = copy.note.complete;
        entry.ran = copy.note.ran;
        entry.number = copy.note.number;
        entry.crashes = copy.note.crashes;
        entry.lineage = copy.note.lineage;
        entry.sequence = 1;
        entry.position = copy.mirrored;
        entry.stale.insert(copy.owner.clone());
        let waiting = std::mem::take(&mut copy.waiting);
        let alone = waiting.is_empty();
        entry.absent = alone.then(|| now.saturating_add(self.setup.timing.absence));
        for (ticket, relay) in waiting {
            entry.callers.insert(ticket, relay.caller());
            match entry.body {
                Some(_) => self.release(relay.body),
                None => entry.body = relay.body,
            }
        }
        entry
    }

    /// Keeps of a copy that was never accepted only that it was there.
    fn doubt(&mut self, turn: &mut Turn<'_>, copy: Held) {
        let request = copy.head.request;
        self.release(copy.body);
        turn.out.push(Output::Forget { request, epoch: copy.note.epoch });
        let reservation = crate::copies::Reservation {
            owner: copy.owner,
            boot: copy.boot,
            epoch: 0,
            digest: copy.digest,
            doubtful: true,
            lost: true,
        };
        self.reservations.insert(request, reservation);
        self.timers.set(Timer::Reserved(request), Some(copy.until));
    }

    /// Ends a request that nobody can come back for.
    fn clear(&mut self, turn: &mut Turn<'_>, copy: Held) {
        let request = copy.head.request;
        self.retention.remove(request);
        self.release(copy.body);
        turn.out.push(Output::Forget { request, epoch: copy.note.epoch });
        if let Some(live) = copy.note.live
            && copy.note.outcome.is_none()
            && copy.head.idempotent
        {
            turn.out.push(Output::Cancel(live));
        }
    }

    /// Goes on with an inherited request where its owner left it.
    fn succeed(&mut self, turn: &mut Turn<'_>, mut entry: Entry, copy: Held) {
        let (request, epoch) = (entry.request(), entry.epoch);
        let whole = match &copy.note.outcome {
            Some(Outcome::Whole { .. }) => copy.ended,
            Some(Outcome::Unknown(_)) => true,
            _ => false,
        };
        if let Some(outcome) = copy.note.outcome.clone().filter(|_| whole) {
            turn.out.push(Output::Own { request, epoch });
            entry.served = true;
            self.settle(turn, &mut entry, outcome);
            self.welcome_all(turn, &mut entry);
            self.put(entry);
            return;
        }
        if turn.now >= entry.head.deadline {
            turn.out.push(Output::Own { request, epoch });
            entry.served = true;
            self.finish(turn, entry, Outcome::Unknown(Unknown::InstanceLost));
            return;
        }
        let joins = copy.note.live.clone().filter(|live| live.kind == Kind::Engine);
        entry.last = joins.clone();
        let idempotent = entry.head.idempotent;
        let ran = copy.note.ran;
        entry.former = Some(Box::new(copy));
        if idempotent {
            self.confirm(turn, &mut entry);
        }
        match joins {
            Some(live) => {
                self.launch(turn, &mut entry, live, Start::Rejoin, Begun::Rejoined);
                self.put(entry);
            }
            None if idempotent => self.place(turn, entry),
            None if ran => self.revert(turn, entry),
            None => self.claim(turn, entry),
        }
    }

    /// Makes an inherited request this instance's for good: the former owner must yield, and
    /// another instance holds the copy from now on.
    pub(crate) fn confirm(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let Some(former) = entry.former.take() else {
            return;
        };
        turn.out.push(Output::Own { request: entry.request(), epoch: entry.epoch });
        let due = Some(turn.now);
        entry.ousted = Some(Ousted { instance: former.owner, tries: 0, due });
        self.tell_ousted(turn, entry);
        entry.sequence = entry.sequence.max(1);
        if entry.holder.is_none() && self.stopping.is_none() {
            self.seek_holder(turn, entry);
        }
        self.inform(turn, entry);
    }

    /// Gives an inherited request back to its copy, because it may not be run by this instance.
    pub(crate) fn revert(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let Some(former) = entry.former.take() else {
            self.finish(turn, entry, Outcome::Unknown(Unknown::InstanceLost));
            return;
        };
        let mut copy = *former;
        copy.body = entry.body.take();
        for (ticket, caller) in std::mem::take(&mut entry.callers) {
            self.tickets.remove(&ticket);
            match caller.subscriber {
                true => turn.out.push(Output::Absent(ticket)),
                false => turn.tell(ticket, Verdict::Unknown(Unknown::InstanceLost)),
            }
        }
        self.bar(turn, copy);
    }

    /// Keeps a copy that can't be taken over, in case its owner comes back.
    fn bar(&mut self, turn: &mut Turn<'_>, mut copy: Held) {
        let request = copy.head.request;
        for (ticket, relay) in std::mem::take(&mut copy.waiting) {
            self.tickets.remove(&ticket);
            self.release(relay.body);
            turn.tell(ticket, Verdict::Unknown(Unknown::InstanceLost));
        }
        copy.barred = true;
        copy.due = None;
        self.copies.insert(request, copy);
        self.arm_copy(request);
    }

    /// Tells the former owner, again and again within bounds, that it must yield.
    pub(crate) fn tell_ousted(&self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let taken = entry.taken_by(self.setup.instance.clone());
        let Some(ousted) = &mut entry.ousted else {
            return;
        };
        if ousted.due.is_none_or(|due| turn.now < due) {
            return;
        }
        ousted.tries += 1;
        let again = ousted.tries < self.setup.timing.tries;
        ousted.due = again.then(|| turn.now.saturating_add(self.setup.timing.resend));
        let to = ousted.instance.clone();
        turn.send(&to, Message::Taken(taken));
    }

    /// Tells an instance that this one owns a request under a higher epoch.
    pub(crate) fn oust(&mut self, turn: &mut Turn<'_>, request: Request, from: &Instance) {
        let Some(entry) = self.entries.get(&request) else {
            return;
        };
        if entry.former.is_some() {
            return;
        }
        turn.send(from, Message::Taken(entry.taken_by(self.setup.instance.clone())));
    }

    /// Yields to a higher epoch.
    ///
    /// This instance was frozen or cut off, others believed it dead, and the second holder took the
    /// request over. Had both go on, a caller could get halves of two answers.
    pub(crate) fn taken(&mut self, turn: &mut Turn<'_>, from: &Instance, taken: &Takeover) {
        let (request, epoch) = (taken.request, taken.epoch);
        let outranked = self.entries.get(&request).is_none_or(|entry| entry.epoch < epoch);
        if taken.owner == self.setup.instance || !outranked {
            return;
        }
        if taken.owner == *from {
            turn.send(from, Message::Yielded { request, epoch });
        }
        let Some(entry) = self.take(request) else {
            return;
        };
        if !entry.continues_in(taken) && !entry.callers.is_empty() {
            // Its callers get the rest here, in the words that they have begun with; those that
            // come from now on find the new owner.
            self.put(entry);
            return;
        }
        self.timers.set(Timer::Owned(request), None);
        if let Some(flight) = &entry.flight
            && Some(flight.live.attempt) != taken.attempt
            && entry.head.idempotent
        {
            turn.out.push(Output::Cancel(flight.live.clone()));
        }
        self.retention.remove(request);
        turn.out.push(Output::Mirror { request, epoch: entry.epoch, to: None });
        self.done(turn, &entry, Outcome::Moved { owner: taken.owner.clone() });
        turn.out.push(Output::Forget { request, epoch: entry.epoch });
        self.forget_elsewhere(turn, &entry);
        self.pass_on(turn, entry, &taken.owner);
    }

    pub(crate) fn yielded(&mut self, from: &Instance, request: Request, epoch: u16) {
        let Some(mut entry) = self.take(request) else {
            return;
        };
        let ousted = entry.ousted.as_ref().is_some_and(|ousted| ousted.instance == *from);
        if ousted && entry.epoch == epoch {
            entry.ousted = None;
        }
        self.put(entry);
    }

    /// Takes over from an owner that stops.
    pub(crate) fn handed(&mut self, turn: &mut Turn<'_>, from: &Instance, note: Progress) {
        let (request, epoch) = (note.request, note.epoch);
        if self.entries.get(&request).is_some_and(|entry| entry.epoch > epoch) {
            self.oust(turn, request, from);
            return;
        }
        self.noted(turn, from, note);
        let Some(copy) = self.copies.get_mut(&request) else {
            return;
        };
        if copy.owner != *from || copy.note.epoch != epoch || self.stopping.is_some() {
            return;
        }
        copy.lost.get_or_insert(turn.now);
        self.take_over(turn, request, true);
    }
}
