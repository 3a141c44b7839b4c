//! State stored for other owners: reserved keys and copies of requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::Unknown;

use crate::arrival::RelayedCaller;
use crate::caller::{Body, Ticket, Verdict};
use crate::message::{Ack, KeyStatus, Message, Progress, RequestCopy, Reserve, Takeover};
use crate::output::{Outcome, Output};
use crate::requests::{Requests, StepContext};
use crate::timer::Timer;

/// How long a reservation lasts after the request's deadline.
const RESERVATION_GRACE: Duration = Duration::from_secs(10);

/// Second copy of a request.
#[derive(Clone, Debug)]
pub(crate) struct HeldCopy {
    /// Request, with its deadline on this instance's clock.
    pub(crate) head: Head,
    /// Request body for the upstream.
    pub(crate) body: Option<Arc<Body>>,
    /// Digest of the body.
    pub(crate) digest: u128,
    /// The owner.
    pub(crate) owner: Instance,
    /// Boot number of the owner.
    pub(crate) boot: u64,
    /// Progress of the owner.
    pub(crate) note: Progress,
    /// Last position of the answer that is stored here.
    pub(crate) mirrored: u32,
    /// Whether the end of the answer is stored here as well.
    pub(crate) mirror_ended: bool,
    /// When the owner was lost.
    pub(crate) owner_lost_at: Option<Duration>,
    /// When the request is taken over, or dropped if no caller can come back for it.
    pub(crate) takeover_at: Option<Duration>,
    /// When the copy is dropped at the latest.
    pub(crate) until: Duration,
    /// Whether a takeover is not allowed, because the request may have run and must not run again.
    pub(crate) takeover_blocked: bool,
    /// Callers that wait for the takeover.
    pub(crate) waiting_callers: BTreeMap<Ticket, RelayedCaller>,
}

/// Key that an instance has asked about.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    /// Instance that reserved the key.
    pub(crate) owner: Instance,
    /// Boot number of that instance.
    pub(crate) boot: u64,
    /// Epoch of that instance; zero while it only asks.
    pub(crate) epoch: u16,
    /// Digest of the body.
    pub(crate) digest: u128,
    /// Whether an instance that has been lost since had reserved the key before.
    pub(crate) doubtful: bool,
    /// Whether the owner of the reservation is lost.
    pub(crate) lost: bool,
}

impl HeldCopy {
    /// Returns a takeover notice that names the owner of this copy.
    pub(crate) fn takeover(&self) -> Takeover {
        Takeover {
            request: self.head.request,
            owner: self.owner.clone(),
            epoch: self.note.epoch,
            attempt: self.note.live.as_ref().map(|live| live.attempt),
            lineage: self.note.lineage,
        }
    }

    /// Returns whether the owner has reported that the request is accepted.
    ///
    /// An owner that finds no second holder refuses the request as not run. A copy that it had sent and
    /// abandoned must never run, even if the owner is lost later, so a copy counts only from the first
    /// progress message on.
    pub(crate) fn is_accepted(&self) -> bool {
        self.note.sequence > 0
    }

    /// Returns whether the request has ended.
    pub(crate) fn is_finished(&self) -> bool {
        self.note.outcome.is_some()
    }

    /// Returns when the copy next needs attention.
    pub(crate) fn next_wakeup(&self) -> Option<Duration> {
        Some(self.takeover_at.map_or(self.until, |due| due.min(self.until)))
    }
}

impl Requests {
    /// Answers an instance that asks about a key.
    pub(crate) fn handle_reserve(
        &mut self,
        ctx: &mut StepContext<'_>,
        from: &Instance,
        reserve: &Reserve,
    ) {
        self.detect_restart(ctx, from, reserve.boot);
        let found = self.find_key(ctx.now, from, reserve);
        let request = reserve.request;
        ctx.send(from, Message::Reserved { request, found });
    }

    /// Returns what is known of a key, and reserves the key if it is unknown.
    pub(crate) fn find_key(
        &mut self,
        now: Duration,
        asker: &Instance,
        reserve: &Reserve,
    ) -> KeyStatus {
        let request = reserve.request;
        if let Some(entry) = self.entries.get(&request) {
            let owner = self.setup.instance.clone();
            return KeyStatus::Held { owner, epoch: entry.announced_epoch(), digest: entry.digest };
        }
        let mut doubtful = false;
        if let Some(copy) = self.copies.get(&request) {
            let (owner, digest) = (copy.owner.clone(), copy.digest);
            if copy.owner_lost_at.is_none() {
                let epoch = if copy.is_accepted() { copy.note.epoch } else { 0 };
                return KeyStatus::Held { owner, epoch, digest };
            }
            if copy.is_accepted() {
                return KeyStatus::Between { digest };
            }
            doubtful = true;
        }
        self.reserve_for(now, asker, reserve, doubtful)
    }

    fn reserve_for(
        &mut self,
        now: Duration,
        asker: &Instance,
        reserve: &Reserve,
        mut doubtful: bool,
    ) -> KeyStatus {
        let request = reserve.request;
        let known = self.reservations.get(&request);
        if let Some(known) = known {
            let same = known.owner == *asker && known.boot == reserve.boot;
            doubtful |= known.doubtful || (known.lost && !same);
            if !same && !known.lost && reserve.epoch <= known.epoch {
                let (owner, epoch) = (known.owner.clone(), known.epoch);
                return KeyStatus::Held { owner, epoch, digest: known.digest };
            }
        } else if self.reservations.len() >= self.setup.limit.reservations {
            return KeyStatus::Full;
        }
        let reservation = Reservation {
            owner: asker.clone(),
            boot: reserve.boot,
            epoch: reserve.epoch,
            digest: reserve.digest,
            doubtful,
            lost: false,
        };
        self.reservations.insert(request, reservation);
        let until = now.saturating_add(reserve.remaining).saturating_add(RESERVATION_GRACE);
        self.timers.set(Timer::Reserved(request), Some(until));
        if doubtful { KeyStatus::Doubtful } else { KeyStatus::Free }
    }

    /// Removes an instance's reservation of a key.
    pub(crate) fn unreserve(&mut self, request: Request, owner: &Instance) {
        if self.reservations.get(&request).is_some_and(|known| known.owner == *owner) {
            self.reservations.remove(&request);
            self.timers.set(Timer::Reserved(request), None);
        }
    }

    /// Handles a copy that an owner sends.
    pub(crate) fn handle_put(
        &mut self,
        ctx: &mut StepContext<'_>,
        from: &Instance,
        copy: RequestCopy,
    ) {
        self.detect_restart(ctx, from, copy.boot);
        let request = copy.head.request;
        if copy.note.request != request || !self.admit_copy(ctx, from, &copy) {
            return;
        }
        let known = self.copies.remove(&request);
        let same = known.as_ref().is_some_and(|known| {
            known.owner == *from && known.note.epoch == copy.note.epoch && known.boot == copy.boot
        });
        if let Some(mut known) = known {
            if same {
                known.owner_lost_at = None;
                known.takeover_at = None;
                self.copies.insert(request, known);
                self.handle_progress(ctx, from, copy.note);
                return;
            }
            self.release_body(known.body.take());
            self.copies.insert(request, known);
        }
        let fits = copy.body.as_ref().is_none_or(|body| self.reserve_bytes(body));
        let room = self.copies.len() < self.setup.limit.copies + self.retention.copied();
        let waiting =
            self.copies.remove(&request).map(|known| known.waiting_callers).unwrap_or_default();
        if !fits || !room {
            if fits {
                self.release_body(copy.body);
            }
            self.timers.set(Timer::Copied(request), None);
            self.resume_waiting(ctx, waiting);
            ctx.send(from, Message::Full { request, epoch: copy.note.epoch });
            return;
        }
        self.store_copy(ctx, from, copy);
        self.resume_waiting(ctx, waiting);
    }

    /// Returns whether a copy may be stored here; answers its owner if not.
    fn admit_copy(
        &mut self,
        ctx: &mut StepContext<'_>,
        from: &Instance,
        copy: &RequestCopy,
    ) -> bool {
        let (request, epoch) = (copy.head.request, copy.note.epoch);
        let full = Message::Full { request, epoch };
        if self.stop_deadline.is_some() {
            ctx.send(from, full);
            return false;
        }
        if let Some(entry) = self.entries.get(&request) {
            if entry.epoch == 0 {
                let Some(entry) = self.take(request) else {
                    return false;
                };
                self.timers.set(Timer::Owned(request), None);
                self.join_owner(ctx, entry, from, copy.digest);
                return true;
            }
            if entry.epoch == epoch {
                let (digest, epoch) = (entry.digest, entry.announced_epoch());
                let found = KeyStatus::Held { owner: self.setup.instance.clone(), epoch, digest };
                ctx.send(from, Message::Reserved { request, found });
                ctx.send(from, full);
                return false;
            }
            if entry.epoch > epoch {
                self.send_takeover(ctx, request, from);
                return false;
            }
            let attempt = copy.note.live.as_ref().map(|live| live.attempt);
            let (owner, lineage) = (from.clone(), copy.note.lineage);
            self.handle_takeover(ctx, from, &Takeover { request, owner, epoch, attempt, lineage });
            return !self.entries.contains_key(&request);
        }
        let Some(known) = self.copies.get(&request) else {
            return true;
        };
        if known.note.epoch > epoch {
            ctx.send(from, Message::Taken(known.takeover()));
            return false;
        }
        if known.note.epoch == epoch && known.owner != *from && known.owner_lost_at.is_none() {
            let (owner, digest) = (known.owner.clone(), known.digest);
            let epoch = if known.is_accepted() { epoch } else { 0 };
            let found = KeyStatus::Held { owner, epoch, digest };
            ctx.send(from, Message::Reserved { request, found });
            ctx.send(from, full);
            return false;
        }
        true
    }

    fn store_copy(&mut self, ctx: &mut StepContext<'_>, from: &Instance, copy: RequestCopy) {
        let request = copy.head.request;
        let (epoch, sequence) = (copy.note.epoch, copy.note.sequence);
        let mut head = copy.head;
        head.deadline = ctx.now.saturating_add(head.deadline);
        let until = head.deadline.saturating_add(self.setup.timing.retention);
        let held = HeldCopy {
            head,
            body: copy.body,
            digest: copy.digest,
            owner: from.clone(),
            boot: copy.boot,
            note: copy.note,
            mirrored: 0,
            mirror_ended: false,
            owner_lost_at: None,
            takeover_at: None,
            until,
            takeover_blocked: false,
            waiting_callers: BTreeMap::new(),
        };
        self.copies.insert(request, held);
        self.set_copy_timer(request);
        ctx.send(from, Message::Kept(Ack { request, epoch, sequence }));
    }

    /// Handles a progress message of an owner.
    pub(crate) fn handle_progress(
        &mut self,
        ctx: &mut StepContext<'_>,
        from: &Instance,
        note: Progress,
    ) {
        let (request, epoch) = (note.request, note.epoch);
        let refused = matches!(note.outcome, Some(Outcome::Refused(_)));
        if let Some(entry) = self.entries.get(&request) {
            if entry.epoch > epoch && entry.former_copy.is_none() {
                self.send_takeover(ctx, request, from);
            }
            return;
        }
        let Some(copy) = self.copies.get_mut(&request) else {
            match refused || matches!(note.outcome, Some(Outcome::Abandoned)) {
                true => {
                    let sequence = note.sequence;
                    ctx.send(from, Message::Kept(Ack { request, epoch, sequence }));
                }
                false => ctx.send(from, Message::Full { request, epoch }),
            }
            return;
        };
        if copy.note.epoch > epoch {
            ctx.send(from, Message::Taken(copy.takeover()));
            return;
        }
        if copy.owner != *from || copy.note.epoch != epoch {
            ctx.send(from, Message::Full { request, epoch });
            return;
        }
        if note.sequence > copy.note.sequence {
            copy.note = note;
        }
        let sequence = copy.note.sequence;
        ctx.send(from, Message::Kept(Ack { request, epoch, sequence }));
        self.finish_copy(ctx, request);
    }

    /// Releases what a finished copy no longer needs.
    fn finish_copy(&mut self, ctx: &mut StepContext<'_>, request: Request) {
        let Some(copy) = self.copies.get_mut(&request) else {
            return;
        };
        match &copy.note.outcome {
            None => return,
            Some(Outcome::Refused(_) | Outcome::Abandoned | Outcome::Moved { .. }) => {
                self.drop_copy(ctx, request);
                return;
            }
            Some(Outcome::Whole { .. }) if !copy.mirror_ended => {}
            Some(Outcome::Whole { .. } | Outcome::Unknown(_)) => {
                let body = copy.body.take();
                self.release_body(body);
            }
        }
        let until = ctx.now.saturating_add(self.setup.timing.retention);
        if let Some(copy) = self.copies.get_mut(&request) {
            copy.until = copy.until.min(until);
            self.retention.add(request, copy.until, copy.mirrored, true);
        }
        self.set_copy_timer(request);
    }

    /// Drops a copy; callers that wait for it search for the owner again.
    pub(crate) fn drop_copy(&mut self, ctx: &mut StepContext<'_>, request: Request) {
        let Some(copy) = self.copies.remove(&request) else {
            return;
        };
        self.retention.remove(request);
        self.timers.set(Timer::Copied(request), None);
        self.release_body(copy.body);
        ctx.out.push(Output::Forget { request, epoch: copy.note.epoch });
        self.resume_waiting(ctx, copy.waiting_callers);
    }

    /// Removes a copy that was never accepted, because this instance now owns the request.
    ///
    /// If the copy remained until its timer is due, it would then free the answer that this instance
    /// assembles.
    pub(crate) fn remove_superseded_copy(&mut self, request: Request) {
        let Some(copy) = self.copies.remove(&request) else {
            return;
        };
        self.retention.remove(request);
        self.timers.set(Timer::Copied(request), None);
        self.release_body(copy.body);
    }

    /// Drops a copy, and its key if requested, for its owner.
    pub(crate) fn handle_drop(
        &mut self,
        ctx: &mut StepContext<'_>,
        from: &Instance,
        request: Request,
        epoch: u16,
        key: bool,
    ) {
        if key {
            self.unreserve(request, from);
        }
        let Some(copy) = self.copies.get(&request) else {
            return;
        };
        if copy.owner == *from && copy.note.epoch <= epoch {
            self.drop_copy(ctx, request);
        }
    }

    /// Records how far the second holder has got, on either instance.
    pub(crate) fn handle_mirrored(
        &mut self,
        ctx: &StepContext<'_>,
        request: Request,
        position: u32,
    ) {
        if let Some(mut entry) = self.take(request) {
            entry.mirrored = entry.mirrored.max(position);
            entry.update_lag(ctx.now);
            self.put(entry);
            return;
        }
        if let Some(copy) = self.copies.get_mut(&request) {
            copy.mirrored = copy.mirrored.max(position);
        }
    }

    /// Records that the second holder has the end as well, on either instance.
    pub(crate) fn handle_mirror_ended(&mut self, ctx: &StepContext<'_>, request: Request) {
        if let Some(mut entry) = self.take(request) {
            entry.mirror_ended = true;
            entry.update_lag(ctx.now);
            self.put(entry);
            return;
        }
        let Some(copy) = self.copies.get_mut(&request) else {
            return;
        };
        copy.mirror_ended = true;
        if copy.is_finished() {
            let body = copy.body.take();
            self.release_body(body);
        }
    }

    /// Admits a caller to a request of which this instance stores a copy.
    pub(crate) fn attach_to_copy(
        &mut self,
        ctx: &mut StepContext<'_>,
        ticket: Ticket,
        mut relay: RelayedCaller,
        body: Arc<Body>,
    ) {
        let request = relay.head.request;
        let Some(copy) = self.copies.get(&request) else {
            return;
        };
        if copy.digest != relay.digest {
            ctx.send_verdict(ticket, Verdict::Conflict);
            return;
        }
        if copy.takeover_blocked {
            ctx.send_verdict(ticket, Verdict::Unknown(Unknown::InstanceLost));
            return;
        }
        relay.owner = copy.owner.clone();
        let lost = copy.owner_lost_at.is_some();
        relay.body = self.reserve_bytes(&body).then_some(body);
        if !lost {
            self.relay_caller(ctx, ticket, relay);
            return;
        }
        self.tickets.insert(ticket, request);
        let ready = is_takeover_due(ctx.now, self.copies.get(&request));
        if let Some(copy) = self.copies.get_mut(&request) {
            copy.waiting_callers.insert(ticket, relay);
        }
        if ready {
            self.take_over(ctx, request, false);
        }
    }

    /// Makes waiting callers search for the owner of their request again.
    pub(crate) fn resume_waiting(
        &mut self,
        ctx: &mut StepContext<'_>,
        waiting: BTreeMap<Ticket, RelayedCaller>,
    ) {
        for (ticket, relay) in waiting {
            self.tickets.remove(&ticket);
            self.relayed_callers.insert(ticket, relay);
            self.retry_relay(ctx, ticket);
        }
    }

    /// Takes a copy over or drops it when its timer is due.
    pub(crate) fn tick_copy(&mut self, ctx: &mut StepContext<'_>, request: Request) {
        let Some(copy) = self.copies.get(&request) else {
            return;
        };
        if ctx.now >= copy.until {
            self.drop_copy(ctx, request);
            return;
        }
        if is_takeover_due(ctx.now, Some(copy)) {
            self.take_over(ctx, request, false);
        } else {
            self.set_copy_timer(request);
        }
    }
}

fn is_takeover_due(now: Duration, copy: Option<&HeldCopy>) -> bool {
    copy.and_then(|copy| copy.takeover_at).is_some_and(|due| now >= due)
}
