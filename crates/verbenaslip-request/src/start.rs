//! From the accepted request to its run: claim, router, start.

use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::hash;
use verbenaslip_base::name::Upstream;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};

use crate::caller::Verdict;
use crate::claim::{Claim, Ruling};
use crate::input::Placement;
use crate::message::ActiveRun;
use crate::output::{Outcome, Output, PlacementRequest};
use crate::owned::{Begun, Entry, Flight, Moving, Phase};
use crate::requests::{Requests, Turn};
use crate::run::{Run, Start};
use crate::timer::Timer;

impl Requests {
    /// Asks the quorum for the right to run a non-idempotent request.
    pub(crate) fn claim(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let until = turn.now.saturating_add(self.setup.timing.claim);
        entry.phase = Phase::Claim { until, unsure: false };
        entry.claimant = Some(self.claimant(&entry));
        self.send_claim(turn, &mut entry);
        self.put(entry);
    }

    /// Returns a number that no other claim has.
    ///
    /// An instance can own a request, lose it to another and come to own it again, before or after
    /// a restart. Were the claims alike, the quorum would take the second for a resend of the first
    /// and grant it, and the request would run twice.
    fn claimant(&self, entry: &Entry) -> u128 {
        hash::wide(&[
            self.setup.instance.as_str().as_bytes(),
            &self.setup.boot.to_le_bytes(),
            &entry.request().0.to_le_bytes(),
            &entry.salt.to_le_bytes(),
        ])
    }

    fn send_claim(&self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let Some(claimant) = entry.claimant else {
            return;
        };
        entry.due = Some(turn.now.saturating_add(self.setup.timing.resend * 5));
        turn.out.push(Output::Claim(Claim {
            request: entry.request(),
            claimant,
            owner: self.setup.instance.clone(),
            issued: entry.head.issued,
        }));
    }

    /// Asks again, or gives up, when a claim has not been answered.
    pub(crate) fn tick_claim(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let Phase::Claim { until, unsure } = entry.phase else {
            self.put(entry);
            return;
        };
        if turn.now < until {
            self.send_claim(turn, &mut entry);
            self.put(entry);
            return;
        }
        self.unclaimed(turn, entry, unsure);
    }

    /// Ends a request for which there is no claim.
    pub(crate) fn unclaimed(&mut self, turn: &mut Turn<'_>, mut entry: Entry, unsure: bool) {
        if entry.former.is_some() {
            self.revert(turn, entry);
            return;
        }
        if !unsure {
            entry.claimant = None;
            let retry = Some(self.setup.timing.resend);
            self.refuse(turn, entry, Refusal { reason: Reason::NotHeld, retry });
            return;
        }
        self.finish(turn, entry, Outcome::Unknown(Unknown::Unreachable));
    }

    /// Takes the quorum's answer.
    pub(crate) fn claimed(
        &mut self,
        turn: &mut Turn<'_>,
        request: Request,
        claimant: u128,
        ruling: Ruling,
    ) {
        let Some(mut entry) = self.take(request) else {
            self.unwanted(turn, request, claimant, &ruling);
            return;
        };
        let Phase::Claim { unsure, .. } = &mut entry.phase else {
            self.put(entry);
            return;
        };
        if entry.claimant != Some(claimant) {
            self.put(entry);
            return;
        }
        match ruling {
            Ruling::Granted => self.granted(turn, entry),
            Ruling::NoQuorum => self.put(entry),
            Ruling::Unknown => {
                *unsure = true;
                self.put(entry);
            }
            Ruling::Expired => {
                entry.claimant = None;
                let refusal = Refusal { reason: Reason::KeyExpired, retry: None };
                self.refuse(turn, entry, refusal);
            }
            Ruling::Held { .. } | Ruling::Settled if entry.former.is_some() => {
                self.revert(turn, entry);
            }
            Ruling::Held { owner: Some(owner) }
                if owner != self.setup.instance
                    && self.view.alive(&owner)
                    && entry.losses < self.setup.timing.tries =>
            {
                entry.losses += 1;
                self.forget_elsewhere(turn, &entry);
                self.done(turn, &entry, Outcome::Moved { owner: owner.clone() });
                self.pass_on(turn, entry, &owner);
            }
            Ruling::Held { .. } | Ruling::Settled => {
                entry.claimant = None;
                entry.ran = true;
                self.finish(turn, entry, Outcome::Unknown(Unknown::InstanceLost));
            }
        }
    }

    /// Gives back a claim that was granted after its request was gone.
    fn unwanted(&self, turn: &mut Turn<'_>, request: Request, claimant: u128, ruling: &Ruling) {
        if *ruling != Ruling::Granted {
            return;
        }
        let refusal = Refusal { reason: Reason::Deadline, retry: None };
        turn.out.push(Output::Settle { request, claimant, outcome: Outcome::Refused(refusal) });
    }

    fn granted(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        self.confirm(turn, &mut entry);
        self.place(turn, entry);
    }

    /// Asks the router for an upstream.
    pub(crate) fn place(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        entry.phase = Phase::Place;
        entry.due = None;
        self.want(turn, &entry, None);
        self.put(entry);
    }

    /// Asks the router again after a while.
    pub(crate) fn pause(&mut self, turn: &mut Turn<'_>, mut entry: Entry, wait: Duration) {
        if wait.is_zero() {
            self.place(turn, entry);
            return;
        }
        entry.phase = Phase::Pause;
        entry.due = Some(turn.now.saturating_add(wait));
        self.put(entry);
    }

    pub(crate) fn want(&self, turn: &mut Turn<'_>, entry: &Entry, from: Option<Upstream>) {
        let leaving = self.leaving.keys().filter(|upstream| !entry.without.contains(*upstream));
        turn.out.push(Output::Place(PlacementRequest {
            head: entry.head.clone(),
            position: entry.position,
            without: entry.without.iter().chain(leaving).cloned().collect(),
            from,
        }));
    }

    /// Takes the router's choice.
    pub(crate) fn placed(&mut self, turn: &mut Turn<'_>, request: Request, place: Placement) {
        let Some(entry) = self.take(request) else {
            return;
        };
        let moving =
            entry.flight.as_ref().is_some_and(|flight| matches!(flight.moving, Moving::Asked));
        match entry.phase {
            // The second holder runs it now; a run here would be a second one.
            Phase::Place if entry.handed.is_some() => self.put(entry),
            Phase::Place if self.leaving.contains_key(&place.upstream) => {
                // The router may not have heard of the notice yet; work sent there now would be
                // new work for an upstream that leaves.
                let wait = self.setup.timing.resend;
                self.pause(turn, entry, wait);
            }
            Phase::Place => self.begin(turn, entry, &place),
            Phase::Run if moving => self.relocate(turn, entry, place),
            _ => self.put(entry),
        }
    }

    /// Begins a run from prompt and tokens.
    pub(crate) fn begin(&mut self, turn: &mut Turn<'_>, mut entry: Entry, place: &Placement) {
        let Some(attempt) = entry.next_attempt() else {
            self.finish(turn, entry, Outcome::Unknown(Unknown::UpstreamLost));
            return;
        };
        let start = match place.kind {
            Kind::Engine if entry.position > 0 => Start::Resume,
            Kind::Engine | Kind::Service => Start::Fresh,
        };
        let live = live_at(attempt, place);
        self.launch(turn, &mut entry, live, start, Begun::Anew);
        self.put(entry);
    }

    /// Starts a run, serves its callers and tells the second holder.
    pub(crate) fn launch(
        &mut self,
        turn: &mut Turn<'_>,
        entry: &mut Entry,
        live: ActiveRun,
        start: Start,
        begun: Begun,
    ) {
        let Some(body) = entry.body.clone() else {
            return;
        };
        entry.phase = Phase::Run;
        entry.due = None;
        entry.loose |= entry.kept().is_none();
        let moving = Moving::Still;
        let rejoins = u32::from(matches!(begun, Begun::Rejoined));
        let heard = turn.now;
        entry.last = Some(live.clone());
        let run = Run {
            attempt: live.attempt,
            upstream: live.upstream.clone(),
            address: live.address,
            kind: live.kind,
            body,
            start,
            priority: live.priority,
            stall: self.setup.timing.stall,
            deadline: entry.head.deadline,
        };
        entry.flight = Some(Flight { live, begun, rejoins, first: None, heard, moving });
        let (request, epoch) = (entry.request(), entry.epoch);
        if !entry.served && entry.former.is_none() {
            turn.out.push(Output::Own { request, epoch });
        }
        turn.out.push(Output::Run(run));
        self.serve(turn, entry);
        self.note(turn, entry);
        if self.stopping.is_some() {
            // What starts this late is handed over like the rest, if it does not end in time.
            self.timers.set(Timer::Stop, Some(turn.now));
        }
        self.consider(turn, entry);
    }

    /// Tells callers that the answer is on its way.
    pub(crate) fn serve(&self, turn: &mut Turn<'_>, entry: &mut Entry) {
        if entry.served {
            return;
        }
        entry.served = true;
        for (ticket, caller) in &entry.callers {
            let (request, after) = (entry.request(), caller.after);
            turn.tell(*ticket, Verdict::Serve { request, after });
        }
    }

    /// Takes the router's word that there is no upstream.
    pub(crate) fn no_place(
        &mut self,
        turn: &mut Turn<'_>,
        request: Request,
        wait: Option<Duration>,
        refusal: Refusal,
    ) {
        let Some(mut entry) = self.take(request) else {
            return;
        };
        if let Some(flight) = &mut entry.flight
            && matches!(flight.moving, Moving::Asked)
        {
            let at = turn.now.saturating_add(wait.unwrap_or(self.setup.timing.resend));
            flight.moving = Moving::Paused { at };
            self.put(entry);
            return;
        }
        if !matches!(entry.phase, Phase::Place) {
            self.put(entry);
            return;
        }
        let excluded = !std::mem::take(&mut entry.without).is_empty();
        match wait {
            Some(wait) => self.pause(turn, entry, wait),
            // One that failed it once may be the only one that has the model.
            None if excluded => {
                let wait = self.setup.timing.resend;
                self.pause(turn, entry, wait);
            }
            None => self.refuse(turn, entry, refusal),
        }
    }
}

/// Names a run at a place.
pub(crate) fn live_at(attempt: Attempt, place: &Placement) -> ActiveRun {
    ActiveRun {
        attempt,
        upstream: place.upstream.clone(),
        address: place.address,
        kind: place.kind,
        priority: place.priority,
    }
}
