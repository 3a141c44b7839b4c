//! The second holder of an owned request: found, told, replaced.

use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::{Reason, Refusal};

use crate::message::{Ack, Message, RequestCopy, Reserve};
use crate::output::Output;
use crate::owned::{Entry, Holder, Phase};
use crate::requests::{Requests, Turn};
use crate::setup::Journal;

impl Requests {
    /// Looks for a second holder; the request is accepted once one has it.
    pub(crate) fn journal(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let until = turn.now.saturating_add(self.setup.timing.journal);
        entry.phase = Phase::Journal { until };
        entry.due = Some(until.min(entry.head.deadline));
        self.seek_holder(turn, &mut entry);
        self.journalled(turn, entry);
    }

    /// Goes on from the journal when there is a holder, or there can't be one.
    fn journalled(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let Phase::Journal { until } = entry.phase else {
            self.put(entry);
            return;
        };
        if entry.kept().is_some() {
            self.accepted(turn, entry);
            return;
        }
        if entry.holder.is_some() && turn.now < until {
            self.put(entry);
            return;
        }
        if matches!(self.setup.journal, Journal::Alone) {
            self.leave_holder(turn, &mut entry);
            self.accepted(turn, entry);
            return;
        }
        let retry = Some(self.setup.timing.resend);
        self.refuse(turn, entry, Refusal { reason: Reason::NotHeld, retry });
    }

    fn accepted(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        entry.due = None;
        self.note(turn, &mut entry);
        self.announce(turn, &mut entry);
        match entry.head.idempotent {
            true => self.place(turn, entry),
            false => self.claim(turn, entry),
        }
    }

    /// Gives up on a journal that has taken too long.
    pub(crate) fn tick_journal(&mut self, turn: &mut Turn<'_>, entry: Entry) {
        self.journalled(turn, entry);
    }

    /// Sends the request to the best instance that has not been tried.
    pub(crate) fn seek_holder(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let candidates = self.view.holders(entry.request(), &self.setup.instance);
        let near = !matches!(self.setup.journal, Journal::OtherZone);
        let next = candidates.into_iter().find(|instance| {
            !entry.tried.contains(instance)
                && (near || self.view.apart(instance, &self.setup.instance))
        });
        let Some(instance) = next else {
            entry.holder = None;
            return;
        };
        entry.stale.remove(&instance);
        entry.holder = Some(Holder { instance, acked: None, tries: 0, due: None });
        entry.mirrored = 0;
        entry.ended = false;
        self.send_put(turn, entry);
    }

    /// Gives up on the second holder, which must forget the request.
    pub(crate) fn leave_holder(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let Some(holder) = entry.holder.take() else {
            return;
        };
        entry.lagging = None;
        entry.loose |= entry.served;
        let (request, epoch) = (entry.request(), entry.epoch);
        if holder.acked.is_some() {
            turn.out.push(Output::Mirror { request, epoch, to: None });
        }
        turn.send(&holder.instance, Message::Drop { request, epoch, key: false });
        entry.tried.insert(holder.instance.clone());
        entry.stale.insert(holder.instance);
    }

    fn send_put(&self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let mut head = entry.head.clone();
        head.deadline = head.deadline.saturating_sub(turn.now);
        let note = entry.note();
        let Some(holder) = &mut entry.holder else {
            return;
        };
        holder.tries += 1;
        holder.due = Some(turn.now.saturating_add(self.setup.timing.resend));
        let (body, digest, boot) = (entry.body.clone(), entry.digest, self.setup.boot);
        let copy = Box::new(RequestCopy { head, body, digest, boot, note });
        turn.send(&holder.instance, Message::Put(copy));
    }

    /// Tells the second holder how far the request has got.
    pub(crate) fn note(&self, turn: &mut Turn<'_>, entry: &mut Entry) {
        entry.sequence += 1;
        let note = entry.note();
        let Some(holder) = &mut entry.holder else {
            return;
        };
        if holder.acked.is_none() {
            // The request itself is still on its way, and it is sent again with the newest note.
            return;
        }
        holder.tries = 1;
        holder.due = Some(turn.now.saturating_add(self.setup.timing.resend));
        turn.send(&holder.instance, Message::Note(note));
    }

    /// Takes a holder's word that it has the request.
    pub(crate) fn kept(&mut self, turn: &mut Turn<'_>, from: &Instance, kept: Ack) {
        let Some(mut entry) = self.take(kept.request) else {
            return;
        };
        let current = entry.holder.as_ref().is_some_and(|holder| holder.instance == *from);
        if kept.epoch != entry.epoch || !current {
            let (request, epoch) = (kept.request, entry.epoch);
            if entry.stale.contains(from) {
                turn.send(from, Message::Drop { request, epoch, key: false });
            }
            self.put(entry);
            return;
        }
        self.hold_acked(turn, &mut entry, kept.sequence);
        match entry.phase {
            Phase::Journal { .. } => self.journalled(turn, entry),
            Phase::Close { .. } => self.closed(turn, entry),
            _ => self.put(entry),
        }
    }

    fn hold_acked(&self, turn: &mut Turn<'_>, entry: &mut Entry, sequence: u32) {
        let (request, epoch, newest) = (entry.request(), entry.epoch, entry.sequence);
        let Some(holder) = &mut entry.holder else {
            return;
        };
        let first = holder.acked.is_none();
        let acked = holder.acked.map_or(sequence, |acked| acked.max(sequence));
        holder.acked = Some(acked);
        if acked >= newest {
            holder.due = None;
            holder.tries = 0;
        }
        if first {
            let to = Some(holder.instance.clone());
            turn.out.push(Output::Mirror { request, epoch, to });
        }
        if first && acked < newest {
            holder.tries = 1;
            holder.due = Some(turn.now.saturating_add(self.setup.timing.resend));
            let to = holder.instance.clone();
            turn.send(&to, Message::Note(entry.note()));
        }
    }

    /// Takes a holder's word that it does not have the request, or not any longer.
    pub(crate) fn full(
        &mut self,
        turn: &mut Turn<'_>,
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
        self.replace_holder(turn, &mut entry);
        match entry.phase {
            Phase::Journal { .. } => self.journalled(turn, entry),
            Phase::Close { .. } => self.closed(turn, entry),
            _ => self.put(entry),
        }
    }

    /// Looks for another second holder.
    pub(crate) fn replace_holder(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        self.leave_holder(turn, entry);
        if !entry.finished() && !matches!(entry.phase, Phase::Close { .. }) {
            self.seek_holder(turn, entry);
        }
    }

    /// Sends again what the second holder has not acknowledged, or tries another.
    pub(crate) fn tick_holder(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let Some(holder) = &mut entry.holder else {
            return;
        };
        if holder.due.is_none_or(|due| turn.now < due) {
            return;
        }
        if holder.tries >= self.setup.timing.tries {
            self.replace_holder(turn, entry);
            return;
        }
        if holder.acked.is_none() {
            self.send_put(turn, entry);
            return;
        }
        let note = entry.note();
        if let Some(holder) = &mut entry.holder {
            holder.tries += 1;
            holder.due = Some(turn.now.saturating_add(self.setup.timing.resend));
            let to = holder.instance.clone();
            turn.send(&to, Message::Note(note));
        }
    }

    /// Replaces a second holder that does not get any further with the answer.
    pub(crate) fn tick_mirror(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let stall = self.setup.timing.stall;
        let Some(since) = entry.lagging else {
            return;
        };
        // After a freeze it is not known yet whether the holder or this instance was silent. Were
        // the answer let go then, a caller could get what the holder, perhaps its owner by now,
        // goes on with otherwise.
        let since = since.max(self.awake);
        entry.lagging = Some(since);
        if turn.now >= since.saturating_add(stall) {
            self.replace_holder(turn, entry);
        }
    }

    /// Brings owned requests in line with the instances that are there now.
    ///
    /// When an instance joins, other homes are asked about a key than the ones that know it, and a
    /// resend would run a second time: so the homes of now are told who owns it.
    pub(crate) fn rehome(&mut self, turn: &mut Turn<'_>) {
        let requests: Vec<_> = self.entries.keys().copied().collect();
        for request in requests {
            let Some(mut entry) = self.take(request) else {
                continue;
            };
            if matches!(entry.phase, Phase::Lookup(_)) {
                self.look_up_again(turn, entry);
                continue;
            }
            let ends = entry.finished() || matches!(entry.phase, Phase::Close { .. });
            let mine = entry.former.is_none() && !matches!(entry.phase, Phase::Admit);
            if !ends && mine && entry.holder.is_none() {
                entry.tried.clear();
                self.seek_holder(turn, &mut entry);
            }
            entry.informs = 0;
            self.inform(turn, &mut entry);
            self.put(entry);
        }
    }

    /// Tells the homes of a key that is held elsewhere who owns it.
    ///
    /// A resend asks the homes; were they away when the request came and are back now, it would run
    /// a second time while the copy lies where nobody asks.
    pub(crate) fn announce(&self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let homes = self.view.homes(entry.request());
        if entry.kept().is_none_or(|holder| !homes.contains(holder)) {
            entry.informed.clear();
            entry.informs = 0;
            self.inform(turn, entry);
        }
    }

    /// Tells the homes that do not know it yet who owns a key.
    pub(crate) fn inform(&self, turn: &mut Turn<'_>, entry: &mut Entry) {
        if !entry.head.keyed || entry.former.is_some() {
            return;
        }
        let remaining = entry.head.deadline.saturating_sub(turn.now).max(Duration::from_secs(1));
        let mut unsure = false;
        for home in self.view.homes(entry.request()) {
            let holds = entry.holder.as_ref().is_some_and(|holder| holder.instance == home);
            if home == self.setup.instance || holds || entry.informed.contains(&home) {
                continue;
            }
            let reserve = Reserve {
                request: entry.request(),
                digest: entry.digest,
                boot: self.setup.boot,
                epoch: entry.told_epoch(),
                remaining,
            };
            turn.send(&home, Message::Reserve(reserve));
            unsure = true;
        }
        entry.informs += 1;
        let again = unsure && entry.informs < self.setup.timing.tries;
        entry.informing = again.then(|| turn.now.saturating_add(self.setup.timing.resend));
    }

    /// Tells the homes again that have not answered.
    pub(crate) fn tick_inform(&self, turn: &mut Turn<'_>, entry: &mut Entry) {
        if entry.informing.is_some_and(|at| turn.now >= at) {
            entry.informing = None;
            self.inform(turn, entry);
        }
    }

    /// Tells everyone who knows of a request to forget it.
    pub(crate) fn forget_elsewhere(&mut self, turn: &mut Turn<'_>, entry: &Entry) {
        let (request, epoch) = (entry.request(), entry.epoch);
        let holder = entry.holder.iter().map(|holder| &holder.instance);
        let known: std::collections::BTreeSet<_> =
            holder.chain(&entry.informed).chain(&entry.stale).cloned().collect();
        for instance in known {
            if instance != self.setup.instance {
                turn.send(&instance, Message::Drop { request, epoch, key: true });
            }
        }
        let own = self.setup.instance.clone();
        self.unreserve(request, &own);
    }

    /// Returns whether the second holder has all that is known of how a request ended.
    pub(crate) fn holder_knows(entry: &Entry) -> bool {
        let Some(holder) = &entry.holder else {
            return true;
        };
        holder.acked >= Some(entry.sequence) && (entry.ended || !entry.whole())
    }
}
