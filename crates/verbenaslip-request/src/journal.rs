//! Second holder of an owned request: selection, progress messages and replacement.

use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::{Reason, Refusal};

use crate::message::{Ack, Message, RequestCopy, Reserve};
use crate::output::Output;
use crate::owned::{Holder, OwnedRequest, Phase};
use crate::requests::{Requests, StepContext};
use crate::setup::Journal;

impl Requests {
    /// Looks for a second holder; the request is accepted once a holder has it.
    pub(crate) fn start_journal(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let until = ctx.now.saturating_add(self.setup.timing.journal);
        entry.phase = Phase::Journal { until };
        entry.phase_due = Some(until.min(entry.head.deadline));
        self.choose_holder(ctx, &mut entry);
        self.advance_journal(ctx, entry);
    }

    /// Leaves the journal phase when there is a holder or no holder can be found.
    fn advance_journal(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let Phase::Journal { until } = entry.phase else {
            self.put(entry);
            return;
        };
        if entry.confirmed_holder().is_some() {
            self.accept(ctx, entry);
            return;
        }
        if entry.holder.is_some() && ctx.now < until {
            self.put(entry);
            return;
        }
        if matches!(self.setup.journal, Journal::Alone) {
            self.abandon_holder(ctx, &mut entry);
            self.accept(ctx, entry);
            return;
        }
        let retry = Some(self.setup.timing.resend);
        self.refuse(ctx, entry, Refusal { reason: Reason::NotHeld, retry });
    }

    fn accept(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        entry.phase_due = None;
        self.send_progress(ctx, &mut entry);
        self.announce_owner(ctx, &mut entry);
        match entry.head.idempotent {
            true => self.request_placement(ctx, entry),
            false => self.request_claim(ctx, entry),
        }
    }

    /// Gives up on a journal that has taken too long.
    pub(crate) fn tick_journal(&mut self, ctx: &mut StepContext<'_>, entry: OwnedRequest) {
        self.advance_journal(ctx, entry);
    }

    /// Sends the request to the best instance that has not been tried.
    pub(crate) fn choose_holder(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let candidates = self.membership.holders(entry.request(), &self.setup.instance);
        let same_zone_allowed = !matches!(self.setup.journal, Journal::OtherZone);
        let next = candidates.into_iter().find(|instance| {
            !entry.tried_holders.contains(instance)
                && (same_zone_allowed
                    || self.membership.in_different_zones(instance, &self.setup.instance))
        });
        let Some(instance) = next else {
            entry.holder = None;
            return;
        };
        entry.former_holders.remove(&instance);
        entry.holder = Some(Holder { instance, acked_sequence: None, tries: 0, due: None });
        entry.mirrored = 0;
        entry.mirror_ended = false;
        self.send_put(ctx, entry);
    }

    /// Abandons the second holder and tells it to drop its copy.
    pub(crate) fn abandon_holder(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let Some(holder) = entry.holder.take() else {
            return;
        };
        entry.lagging_since = None;
        entry.unmirrored_served |= entry.served;
        let (request, epoch) = (entry.request(), entry.epoch);
        if holder.acked_sequence.is_some() {
            ctx.out.push(Output::Mirror { request, epoch, to: None });
        }
        ctx.send(&holder.instance, Message::Drop { request, epoch, key: false });
        entry.tried_holders.insert(holder.instance.clone());
        entry.former_holders.insert(holder.instance);
    }

    fn send_put(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let mut head = entry.head.clone();
        head.deadline = head.deadline.saturating_sub(ctx.now);
        let note = entry.progress();
        let Some(holder) = &mut entry.holder else {
            return;
        };
        holder.tries += 1;
        holder.due = Some(ctx.now.saturating_add(self.setup.timing.resend));
        let (body, digest, boot) = (entry.body.clone(), entry.digest, self.setup.boot);
        let copy = Box::new(RequestCopy { head, body, digest, boot, note });
        ctx.send(&holder.instance, Message::Put(copy));
    }

    /// Sends the current progress to the second holder.
    pub(crate) fn send_progress(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        entry.sequence += 1;
        let note = entry.progress();
        let Some(holder) = &mut entry.holder else {
            return;
        };
        if holder.acked_sequence.is_none() {
            // The request itself is still unacknowledged, and is resent with the newest progress.
            return;
        }
        holder.tries = 1;
        holder.due = Some(ctx.now.saturating_add(self.setup.timing.resend));
        ctx.send(&holder.instance, Message::Note(note));
    }

    /// Handles a holder's acknowledgment.
    pub(crate) fn handle_ack(&mut self, ctx: &mut StepContext<'_>, from: &Instance, ack: Ack) {
        let Some(mut entry) = self.take(ack.request) else {
            return;
        };
        let current = entry.holder.as_ref().is_some_and(|holder| holder.instance == *from);
        if ack.epoch != entry.epoch || !current {
            let (request, epoch) = (ack.request, entry.epoch);
            if entry.former_holders.contains(from) {
                ctx.send(from, Message::Drop { request, epoch, key: false });
            }
            self.put(entry);
            return;
        }
        self.record_ack(ctx, &mut entry, ack.sequence);
        match entry.phase {
            Phase::Journal { .. } => self.advance_journal(ctx, entry),
            Phase::Close { .. } => self.tick_close(ctx, entry),
            _ => self.put(entry),
        }
    }

    fn record_ack(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest, sequence: u32) {
        let (request, epoch, newest) = (entry.request(), entry.epoch, entry.sequence);
        let Some(holder) = &mut entry.holder else {
            return;
        };
        let first = holder.acked_sequence.is_none();
        let acked = holder.acked_sequence.map_or(sequence, |acked| acked.max(sequence));
        holder.acked_sequence = Some(acked);
        if acked >= newest {
            holder.due = None;
            holder.tries = 0;
        }
        if first {
            let to = Some(holder.instance.clone());
            ctx.out.push(Output::Mirror { request, epoch, to });
        }
        if first && acked < newest {
            holder.tries = 1;
            holder.due = Some(ctx.now.saturating_add(self.setup.timing.resend));
            let to = holder.instance.clone();
            ctx.send(&to, Message::Note(entry.progress()));
        }
    }

    /// Handles a holder's report that it does not have the request, or no longer has it.
    pub(crate) fn handle_full(
        &mut self,
        ctx: &mut StepContext<'_>,
        from: &Instance,
        request: Request,
        epoch: u16,
    ) {
        let Some(mut entry) = self.take(request) else {
            return;
        };
        let current = entry.holder.as_ref().is_some_and(|holder| holder.instance == *from);
        if epoch != entry.epoch || !current {
            self.put(entry);
            return;
        }
        self.replace_holder(ctx, &mut entry);
        match entry.phase {
            Phase::Journal { .. } => self.advance_journal(ctx, entry),
            Phase::Close { .. } => self.tick_close(ctx, entry),
            _ => self.put(entry),
        }
    }

    /// Looks for another second holder.
    pub(crate) fn replace_holder(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        self.abandon_holder(ctx, entry);
        if !entry.is_finished() && !matches!(entry.phase, Phase::Close { .. }) {
            self.choose_holder(ctx, entry);
        }
    }

    /// Resends what the second holder has not acknowledged, or tries another holder.
    pub(crate) fn tick_holder(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let Some(holder) = &mut entry.holder else {
            return;
        };
        if holder.due.is_none_or(|due| ctx.now < due) {
            return;
        }
        if holder.tries >= self.setup.timing.tries {
            self.replace_holder(ctx, entry);
            return;
        }
        if holder.acked_sequence.is_none() {
            self.send_put(ctx, entry);
            return;
        }
        let note = entry.progress();
        if let Some(holder) = &mut entry.holder {
            holder.tries += 1;
            holder.due = Some(ctx.now.saturating_add(self.setup.timing.resend));
            let to = holder.instance.clone();
            ctx.send(&to, Message::Note(note));
        }
    }

    /// Replaces a second holder that makes no progress with the answer.
    pub(crate) fn tick_mirror(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let stall = self.setup.timing.stall;
        let Some(since) = entry.lagging_since else {
            return;
        };
        // After a pause it is unknown whether the holder or this instance was silent. The holder may
        // own the request by now, and callers could receive tokens that differ from its answer if
        // this instance released them at once.
        let since = since.max(self.resumed_at);
        entry.lagging_since = Some(since);
        if ctx.now >= since.saturating_add(stall) {
            self.replace_holder(ctx, entry);
        }
    }

    /// Adapts owned requests to the current set of instances.
    ///
    /// When an instance joins, the home instances of a key can change to ones that do not know it, and
    /// a resend would run a second time. The current home instances are therefore told the owner.
    pub(crate) fn update_homes(&mut self, ctx: &mut StepContext<'_>) {
        let requests: Vec<_> = self.entries.keys().copied().collect();
        for request in requests {
            let Some(mut entry) = self.take(request) else {
                continue;
            };
            if matches!(entry.phase, Phase::Lookup(_)) {
                self.look_up_again(ctx, entry);
                continue;
            }
            let is_ending = entry.is_finished() || matches!(entry.phase, Phase::Close { .. });
            let is_own = entry.former_copy.is_none() && !matches!(entry.phase, Phase::Admit);
            if !is_ending && is_own && entry.holder.is_none() {
                entry.tried_holders.clear();
                self.choose_holder(ctx, &mut entry);
            }
            entry.inform_tries = 0;
            self.inform_homes(ctx, &mut entry);
            self.put(entry);
        }
    }

    /// Tells the home instances who owns a key if the copy is stored elsewhere.
    ///
    /// A resend asks the home instances. If they were absent when the request arrived and have come
    /// back, they do not know about the copy, and the request would run a second time.
    pub(crate) fn announce_owner(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let homes = self.membership.homes(entry.request());
        if entry.confirmed_holder().is_none_or(|holder| !homes.contains(holder)) {
            entry.informed_homes.clear();
            entry.inform_tries = 0;
            self.inform_homes(ctx, entry);
        }
    }

    /// Tells the home instances that do not know it yet who owns a key.
    pub(crate) fn inform_homes(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        if !entry.head.keyed || entry.former_copy.is_some() {
            return;
        }
        let remaining = entry.head.deadline.saturating_sub(ctx.now).max(Duration::from_secs(1));
        let mut unsure = false;
        for home in self.membership.homes(entry.request()) {
            let holds = entry.holder.as_ref().is_some_and(|holder| holder.instance == home);
            if home == self.setup.instance || holds || entry.informed_homes.contains(&home) {
                continue;
            }
            let reserve = Reserve {
                request: entry.request(),
                digest: entry.digest,
                boot: self.setup.boot,
                epoch: entry.announced_epoch(),
                remaining,
            };
            ctx.send(&home, Message::Reserve(reserve));
            unsure = true;
        }
        entry.inform_tries += 1;
        let again = unsure && entry.inform_tries < self.setup.timing.tries;
        entry.inform_at = again.then(|| ctx.now.saturating_add(self.setup.timing.resend));
    }

    /// Tells home instances that have not answered again.
    pub(crate) fn tick_inform(&self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        if entry.inform_at.is_some_and(|at| ctx.now >= at) {
            entry.inform_at = None;
            self.inform_homes(ctx, entry);
        }
    }

    /// Tells all instances that know a request to forget it.
    pub(crate) fn send_drops(&mut self, ctx: &mut StepContext<'_>, entry: &OwnedRequest) {
        let (request, epoch) = (entry.request(), entry.epoch);
        let holder = entry.holder.iter().map(|holder| &holder.instance);
        let known: std::collections::BTreeSet<_> =
            holder.chain(&entry.informed_homes).chain(&entry.former_holders).cloned().collect();
        for instance in known {
            if instance != self.setup.instance {
                ctx.send(&instance, Message::Drop { request, epoch, key: true });
            }
        }
        let own = self.setup.instance.clone();
        self.unreserve(request, &own);
    }

    /// Returns whether the second holder has everything about how a request ended.
    pub(crate) fn is_holder_current(entry: &OwnedRequest) -> bool {
        let Some(holder) = &entry.holder else {
            return true;
        };
        holder.acked_sequence >= Some(entry.sequence)
            && (entry.mirror_ended || !entry.has_full_answer())
    }
}
