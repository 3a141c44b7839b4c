//! Change of ownership: the second holder takes a request over, the former owner yields.

use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::Unknown;

use crate::caller::Verdict;
use crate::copies::HeldCopy;
use crate::message::{Message, Progress, Takeover};
use crate::output::{Outcome, Output};
use crate::owned::{FormerOwner, OwnedRequest, Phase, RunOrigin};
use crate::requests::{Requests, StepContext};
use crate::run::Start;
use crate::timer::Timer;

impl Requests {
    /// Replaces an instance that does not respond as home instance and second holder.
    ///
    /// Seconds pass until the instance is considered dead. Until then, each request would ask it in
    /// vain about its key and for a copy, which delays first tokens on all instances and lets lookups
    /// time out. The requests that it owns remain its own: taking over from a living owner runs a
    /// request twice.
    pub(crate) fn handle_suspected(&mut self, ctx: &mut StepContext<'_>, instance: &Instance) {
        if *instance != self.setup.instance && self.membership.is_alive(instance) {
            self.membership.set_suspected(instance, true);
            self.replace_holder_everywhere(ctx, instance);
        }
    }

    /// Handles the loss of an instance, which may come back.
    pub(crate) fn handle_lost(&mut self, ctx: &mut StepContext<'_>, instance: &Instance) {
        if *instance != self.setup.instance && self.membership.mark_lost(instance, ctx.now) {
            let grace = self.setup.timing.grace;
            self.handle_absence(ctx, instance, grace);
        }
    }

    /// Handles the permanent end of an instance and of all that it held.
    pub(crate) fn handle_left(&mut self, ctx: &mut StepContext<'_>, instance: &Instance) {
        if *instance == self.setup.instance {
            return;
        }
        self.membership.remove(instance);
        self.handle_absence(ctx, instance, Duration::ZERO);
    }

    fn handle_absence(&mut self, ctx: &mut StepContext<'_>, instance: &Instance, grace: Duration) {
        for reservation in self.reservations.values_mut() {
            reservation.lost |= reservation.owner == *instance;
        }
        self.replace_holder_everywhere(ctx, instance);
        self.schedule_takeovers(ctx, instance, grace);
        let relays = self.relayed_callers.iter().filter(|(_, relay)| relay.owner == *instance);
        let lost: Vec<_> = relays.map(|(ticket, _)| *ticket).collect();
        for ticket in lost {
            self.retry_relay(ctx, ticket);
        }
    }

    /// Replaces an instance as second holder of all requests at once, as the next loss may follow.
    fn replace_holder_everywhere(&mut self, ctx: &mut StepContext<'_>, instance: &Instance) {
        let requests: Vec<_> = self.entries.keys().copied().collect();
        for request in requests {
            let Some(mut entry) = self.take(request) else {
                continue;
            };
            entry.informed_homes.remove(instance);
            if entry.holder.as_ref().is_some_and(|holder| holder.instance == *instance) {
                self.replace_holder(ctx, &mut entry);
            }
            match entry.phase {
                Phase::Lookup(_) => self.look_up_again(ctx, entry),
                Phase::Journal { .. } => self.tick_journal(ctx, entry),
                Phase::Close { .. } => self.tick_close(ctx, entry),
                _ => self.put(entry),
            }
        }
    }

    /// Schedules the takeover of all requests that an instance owned.
    fn schedule_takeovers(
        &mut self,
        ctx: &mut StepContext<'_>,
        instance: &Instance,
        grace: Duration,
    ) {
        let absence = self.setup.timing.absence;
        let mut orphaned = Vec::new();
        for (request, copy) in &mut self.copies {
            if copy.owner != *instance {
                continue;
            }
            copy.owner_lost_at.get_or_insert(ctx.now);
            // No caller can come back for a request without a key, but its owner may still be alive.
            let wait = if copy.head.keyed { grace } else { absence };
            let due = ctx.now.saturating_add(wait);
            copy.takeover_at = Some(copy.takeover_at.map_or(due, |known| known.min(due)));
            orphaned.push(*request);
        }
        for request in orphaned {
            self.set_copy_timer(request);
            self.tick_copy(ctx, request);
        }
    }

    /// Handles the return of an instance with the state that it held.
    pub(crate) fn handle_returned(&mut self, ctx: &mut StepContext<'_>, instance: &Instance) {
        let boot = self.membership.get(instance).map_or(0, |member| member.boot);
        for reservation in self.reservations.values_mut() {
            if reservation.owner == *instance && [0, reservation.boot].contains(&boot) {
                reservation.lost = false;
            }
        }
        let mut returned = Vec::new();
        for (request, copy) in &mut self.copies {
            if copy.owner == *instance {
                copy.owner_lost_at = None;
                copy.takeover_at = None;
                copy.takeover_blocked = false;
                returned.push((*request, std::mem::take(&mut copy.waiting_callers)));
            }
        }
        for (request, waiting) in returned {
            self.set_copy_timer(request);
            self.resume_waiting(ctx, waiting);
        }
        self.resend_notices(ctx, instance);
    }

    /// Tells an instance again what it no longer owns and which copies it must drop.
    fn resend_notices(&mut self, ctx: &mut StepContext<'_>, instance: &Instance) {
        for entry in self.entries.values_mut() {
            let (request, epoch) = (entry.request(), entry.epoch);
            if entry.former_holders.contains(instance) {
                ctx.send(instance, Message::Drop { request, epoch, key: false });
            }
            if let Some(former_owner) = &mut entry.former_owner
                && former_owner.instance == *instance
            {
                former_owner.tries = 0;
                former_owner.due = Some(ctx.now);
            }
        }
        let reminded: Vec<_> = self
            .entries
            .values()
            .filter(|entry| {
                entry.former_owner.as_ref().is_some_and(|former_owner| former_owner.tries == 0)
            })
            .map(OwnedRequest::request)
            .collect();
        for request in reminded {
            if let Some(entry) = self.take(request) {
                self.put(entry);
            }
        }
    }

    /// Detects from a message that an instance has restarted, so that all its state is gone.
    pub(crate) fn detect_restart(&mut self, ctx: &mut StepContext<'_>, from: &Instance, boot: u64) {
        let Some(member) = self.membership.get(from) else {
            return;
        };
        if member.boot == boot || boot == 0 {
            return;
        }
        let (known, mut member) = (member.boot, member.clone());
        member.boot = boot;
        self.membership.insert(from.clone(), member);
        if known != 0 {
            self.handle_absence(ctx, from, Duration::ZERO);
        }
    }

    /// Makes this instance the owner of a copy whose owner is lost or stops.
    pub(crate) fn take_over(
        &mut self,
        ctx: &mut StepContext<'_>,
        request: Request,
        handed_over: bool,
    ) {
        let Some(mut copy) = self.copies.remove(&request) else {
            return;
        };
        self.timers.set(Timer::Copied(request), None);
        copy.takeover_at = None;
        if !copy.is_accepted() {
            let waiting = std::mem::take(&mut copy.waiting_callers);
            self.keep_doubtful_reservation(ctx, copy);
            self.resume_waiting(ctx, waiting);
            return;
        }
        if !copy.head.keyed && copy.waiting_callers.is_empty() && !handed_over {
            self.discard_copy(ctx, copy);
            return;
        }
        self.retention.remove(request);
        let Some(epoch) = copy.note.epoch.checked_add(1) else {
            self.block_takeover(ctx, copy);
            return;
        };
        let entry = self.entry_from_copy(ctx.now, &mut copy, epoch);
        self.continue_inherited(ctx, entry, copy);
    }

    fn entry_from_copy(&mut self, now: Duration, copy: &mut HeldCopy, epoch: u16) -> OwnedRequest {
        let (body, salt) = (copy.body.take(), self.next_salt());
        let mut entry = OwnedRequest::open(copy.head.clone(), body, copy.digest, salt);
        entry.epoch = epoch;
        entry.unknown_to_homes = copy.note.complete;
        entry.ran = copy.note.ran;
        entry.number = copy.note.number;
        entry.crashes = copy.note.crashes;
        entry.lineage = copy.note.lineage;
        entry.sequence = 1;
        entry.position = copy.mirrored;
        entry.former_holders.insert(copy.owner.clone());
        let waiting = std::mem::take(&mut copy.waiting_callers);
        let no_callers = waiting.is_empty();
        entry.abandon_at = no_callers.then(|| now.saturating_add(self.setup.timing.absence));
        for (ticket, relay) in waiting {
            entry.callers.insert(ticket, relay.caller());
            match entry.body {
                Some(_) => self.release_body(relay.body),
                None => entry.body = relay.body,
            }
        }
        entry
    }

    /// Replaces a copy that was never accepted by a doubtful reservation of its key.
    fn keep_doubtful_reservation(&mut self, ctx: &mut StepContext<'_>, copy: HeldCopy) {
        let request = copy.head.request;
        self.release_body(copy.body);
        ctx.out.push(Output::Forget { request, epoch: copy.note.epoch });
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

    /// Discards a copy for which no caller can come back.
    fn discard_copy(&mut self, ctx: &mut StepContext<'_>, copy: HeldCopy) {
        let request = copy.head.request;
        self.retention.remove(request);
        self.release_body(copy.body);
        ctx.out.push(Output::Forget { request, epoch: copy.note.epoch });
        if let Some(live) = copy.note.live
            && copy.note.outcome.is_none()
            && copy.head.idempotent
        {
            ctx.out.push(Output::Cancel(live));
        }
    }

    /// Continues an inherited request where its former owner stopped.
    fn continue_inherited(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        copy: HeldCopy,
    ) {
        let (request, epoch) = (entry.request(), entry.epoch);
        let ended = match &copy.note.outcome {
            Some(Outcome::Whole { .. }) => copy.mirror_ended,
            Some(Outcome::Unknown(_)) => true,
            _ => false,
        };
        if let Some(outcome) = copy.note.outcome.clone().filter(|_| ended) {
            ctx.out.push(Output::Own { request, epoch });
            entry.served = true;
            self.retain_outcome(ctx, &mut entry, outcome);
            self.answer_callers(ctx, &mut entry);
            self.put(entry);
            return;
        }
        if ctx.now >= entry.head.deadline {
            ctx.out.push(Output::Own { request, epoch });
            entry.served = true;
            self.finish(ctx, entry, Outcome::Unknown(Unknown::InstanceLost));
            return;
        }
        let rejoinable = copy.note.live.clone().filter(|live| live.kind == Kind::Engine);
        entry.last_run = rejoinable.clone();
        let idempotent = entry.head.idempotent;
        let ran = copy.note.ran;
        entry.former_copy = Some(Box::new(copy));
        if idempotent {
            self.confirm_takeover(ctx, &mut entry);
        }
        match rejoinable {
            Some(live) => {
                self.launch_run(ctx, &mut entry, live, Start::Rejoin, RunOrigin::Rejoined);
                self.put(entry);
            }
            None if idempotent => self.request_placement(ctx, entry),
            None if ran => self.restore_copy(ctx, entry),
            None => self.request_claim(ctx, entry),
        }
    }

    /// Confirms the takeover of a request: the former owner must yield, and another instance stores
    /// the copy from now on.
    pub(crate) fn confirm_takeover(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let Some(former_copy) = entry.former_copy.take() else {
            return;
        };
        ctx.out.push(Output::Own { request: entry.request(), epoch: entry.epoch });
        let due = Some(ctx.now);
        entry.former_owner = Some(FormerOwner { instance: former_copy.owner, tries: 0, due });
        self.notify_former_owner(ctx, entry);
        entry.sequence = entry.sequence.max(1);
        if entry.holder.is_none() && self.stop_deadline.is_none() {
            self.choose_holder(ctx, entry);
        }
        self.inform_homes(ctx, entry);
    }

    /// Turns an inherited request back into a copy, because this instance may not run it.
    pub(crate) fn restore_copy(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let Some(former_copy) = entry.former_copy.take() else {
            self.finish(ctx, entry, Outcome::Unknown(Unknown::InstanceLost));
            return;
        };
        let mut copy = *former_copy;
        copy.body = entry.body.take();
        for (ticket, caller) in std::mem::take(&mut entry.callers) {
            self.tickets.remove(&ticket);
            match caller.subscriber {
                true => ctx.out.push(Output::Absent(ticket)),
                false => ctx.send_verdict(ticket, Verdict::Unknown(Unknown::InstanceLost)),
            }
        }
        self.block_takeover(ctx, copy);
    }

    /// Keeps a copy that cannot be taken over, in case its owner comes back.
    fn block_takeover(&mut self, ctx: &mut StepContext<'_>, mut copy: HeldCopy) {
        let request = copy.head.request;
        for (ticket, relay) in std::mem::take(&mut copy.waiting_callers) {
            self.tickets.remove(&ticket);
            self.release_body(relay.body);
            ctx.send_verdict(ticket, Verdict::Unknown(Unknown::InstanceLost));
        }
        copy.takeover_blocked = true;
        copy.takeover_at = None;
        self.copies.insert(request, copy);
        self.set_copy_timer(request);
    }

    /// Tells the former owner repeatedly, up to a limit, that it must yield.
    pub(crate) fn notify_former_owner(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let takeover = entry.takeover_by(self.setup.instance.clone());
        let Some(former_owner) = &mut entry.former_owner else {
            return;
        };
        if former_owner.due.is_none_or(|due| ctx.now < due) {
            return;
        }
        former_owner.tries += 1;
        let again = former_owner.tries < self.setup.timing.tries;
        former_owner.due = again.then(|| ctx.now.saturating_add(self.setup.timing.resend));
        let to = former_owner.instance.clone();
        ctx.send(&to, Message::Taken(takeover));
    }

    /// Tells an instance that this one owns a request under a higher epoch.
    pub(crate) fn send_takeover(
        &mut self,
        ctx: &mut StepContext<'_>,
        request: Request,
        from: &Instance,
    ) {
        let Some(entry) = self.entries.get(&request) else {
            return;
        };
        if entry.former_copy.is_some() {
            return;
        }
        ctx.send(from, Message::Taken(entry.takeover_by(self.setup.instance.clone())));
    }

    /// Yields to an owner with a higher epoch.
    ///
    /// This instance was paused or partitioned, others considered it dead, and the second holder took
    /// the request over. If both continued, a caller could get halves of two answers.
    pub(crate) fn handle_takeover(
        &mut self,
        ctx: &mut StepContext<'_>,
        from: &Instance,
        takeover: &Takeover,
    ) {
        let (request, epoch) = (takeover.request, takeover.epoch);
        let outranked = self.entries.get(&request).is_none_or(|entry| entry.epoch < epoch);
        if takeover.owner == self.setup.instance || !outranked {
            return;
        }
        if takeover.owner == *from {
            ctx.send(from, Message::Yielded { request, epoch });
        }
        let Some(entry) = self.take(request) else {
            return;
        };
        if !entry.continues_in(takeover) && !entry.callers.is_empty() {
            // Current callers get the rest of this instance's answer, which the new owner's may not
            // match. Later callers find the new owner.
            self.put(entry);
            return;
        }
        self.timers.set(Timer::Owned(request), None);
        if let Some(run_state) = &entry.run_state
            && Some(run_state.live.attempt) != takeover.attempt
            && entry.head.idempotent
        {
            ctx.out.push(Output::Cancel(run_state.live.clone()));
        }
        self.retention.remove(request);
        ctx.out.push(Output::Mirror { request, epoch: entry.epoch, to: None });
        self.report_done(ctx, &entry, Outcome::Moved { owner: takeover.owner.clone() });
        ctx.out.push(Output::Forget { request, epoch: entry.epoch });
        self.send_drops(ctx, &entry);
        self.relay_callers(ctx, entry, &takeover.owner);
    }

    pub(crate) fn handle_yielded(&mut self, from: &Instance, request: Request, epoch: u16) {
        let Some(mut entry) = self.take(request) else {
            return;
        };
        let former_owner =
            entry.former_owner.as_ref().is_some_and(|former_owner| former_owner.instance == *from);
        if former_owner && entry.epoch == epoch {
            entry.former_owner = None;
        }
        self.put(entry);
    }

    /// Takes a request over from an owner that stops.
    pub(crate) fn handle_hand_over(
        &mut self,
        ctx: &mut StepContext<'_>,
        from: &Instance,
        note: Progress,
    ) {
        let (request, epoch) = (note.request, note.epoch);
        if self.entries.get(&request).is_some_and(|entry| entry.epoch > epoch) {
            self.send_takeover(ctx, request, from);
            return;
        }
        self.handle_progress(ctx, from, note);
        let Some(copy) = self.copies.get_mut(&request) else {
            return;
        };
        if copy.owner != *from || copy.note.epoch != epoch || self.stop_deadline.is_some() {
            return;
        }
        copy.owner_lost_at.get_or_insert(ctx.now);
        self.take_over(ctx, request, true);
    }
}
