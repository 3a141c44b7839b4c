//! This instance's own stop: nothing new, finish what can be, hand over the rest.

use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};

use crate::message::Message;
use crate::output::{Outcome, Output};
use crate::owned::{Entry, Phase};
use crate::requests::{Requests, Turn};
use crate::timer::Timer;

impl Requests {
    /// Begins to stop; a second order can only shorten the time.
    pub(crate) fn stop(&mut self, turn: &mut Turn<'_>, remaining: Duration) {
        let end = turn.now.saturating_add(remaining);
        let end = self.stopping.map_or(end, |known| known.min(end));
        self.stopping = Some(end);
        for request in self.owned() {
            let Some(entry) = self.take(request) else {
                continue;
            };
            match entry.phase {
                Phase::Admit | Phase::Journal { .. } => self.refuse_stopping(turn, entry),
                _ => self.put(entry),
            }
        }
        self.give_back(turn);
        self.stop_due(turn);
    }

    fn owned(&self) -> Vec<Request> {
        self.entries.keys().copied().collect()
    }

    fn refuse_stopping(&mut self, turn: &mut Turn<'_>, entry: Entry) {
        let refusal = Refusal { reason: Reason::Stopping, retry: Some(Duration::ZERO) };
        self.refuse(turn, entry, refusal);
    }

    /// Tells the owners of all copies held here to find another holder while there is time.
    fn give_back(&self, turn: &mut Turn<'_>) {
        for (request, copy) in &self.copies {
            let (request, epoch) = (*request, copy.note.epoch);
            if copy.lost.is_none() && !copy.finished() {
                turn.send(&copy.owner, Message::Full { request, epoch });
            }
        }
    }

    /// Hands over what will not end in time, and ends all at the end.
    pub(crate) fn stop_due(&mut self, turn: &mut Turn<'_>) {
        let Some(end) = self.stopping else {
            return;
        };
        let handover = end.saturating_sub(self.setup.timing.handover);
        if turn.now < handover {
            self.timers.set(Timer::Stop, Some(handover));
            return;
        }
        if turn.now < end {
            self.hand_over(turn);
            let again = turn.now.saturating_add(self.setup.timing.resend);
            self.timers.set(Timer::Stop, Some(again.min(end)));
            return;
        }
        for request in self.owned() {
            if let Some(entry) = self.take(request) {
                self.end(turn, entry);
            }
        }
    }

    fn hand_over(&mut self, turn: &mut Turn<'_>) {
        for request in self.owned() {
            let Some(mut entry) = self.take(request) else {
                continue;
            };
            let again = turn.now.saturating_sub(self.setup.timing.resend);
            let fresh = entry.handed.is_some_and(|at| at > again);
            if fresh || !can_hand_over(&entry) {
                self.put(entry);
                continue;
            }
            let Some(holder) = entry.kept().cloned() else {
                if entry.holder.is_none() {
                    entry.tried.clear();
                    self.seek_holder(turn, &mut entry);
                }
                self.put(entry);
                continue;
            };
            entry.sequence += 1;
            entry.handed = Some(turn.now);
            // The second holder may run it from now on, so "not run" can't be said any more.
            entry.complete = false;
            turn.send(&holder, Message::HandOver(entry.note()));
            self.put(entry);
        }
    }

    /// Ends what is left when the time is over.
    fn end(&mut self, turn: &mut Turn<'_>, entry: Entry) {
        if entry.finished() {
            self.put(entry);
            return;
        }
        if matches!(entry.phase, Phase::Lookup(_)) || entry.may_have_run() {
            // The second holder carries on with what can be: the run must not be cancelled.
            let mut entry = entry;
            entry.flight = None;
            self.finish(turn, entry, Outcome::Unknown(Unknown::InstanceLost));
            return;
        }
        self.refuse_stopping(turn, entry);
    }

    /// Tells once that nothing is left.
    pub(crate) fn check_drained(&mut self, turn: &mut Turn<'_>) {
        let Some(end) = self.stopping else {
            return;
        };
        if self.drained || (turn.now < end && !self.empty()) {
            return;
        }
        self.drained = true;
        turn.out.push(Output::Drained);
    }

    fn empty(&self) -> bool {
        let owned =
            self.entries.values().all(|entry| entry.finished() && Self::holder_knows(entry));
        let held = self.copies.values().all(|copy| copy.finished() || copy.lost.is_some());
        owned && held && self.tickets.is_empty() && self.relays.is_empty()
    }
}

/// Returns whether a second holder can go on with a request.
fn can_hand_over(entry: &Entry) -> bool {
    match entry.phase {
        Phase::Run => entry.head.idempotent || entry.flight_is_engine(),
        Phase::Pause | Phase::Place | Phase::Budget => entry.head.idempotent,
        _ => false,
    }
}
