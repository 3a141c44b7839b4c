//! What becomes of runs: progress, end, failure, and the choice between joining and running again.

use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::name::Upstream;
use verbenaslip_base::refusal::{Reason, Refusal, Unknown};

use crate::message::ActiveRun;
use crate::output::{Outcome, Output};
use crate::owned::{Begun, Entry, Flight, Phase};
use crate::requests::{Requests, Turn};
use crate::run::{Cause, Failure, Start, Step};

/// New connections to the same run without progress in between, before it is given up.
const REJOINS: u32 = 1;

/// How long a stream may be without tokens before a lapsed lease counts against it.
const QUIET: Duration = Duration::from_secs(1);

impl Requests {
    pub(crate) fn sent(&mut self, turn: &mut Turn<'_>, attempt: Attempt) {
        let Some(mut entry) = self.take_live(attempt) else {
            return;
        };
        entry.ran = true;
        if let Some(flight) = &mut entry.flight {
            flight.heard = turn.now;
        }
        self.put(entry);
    }

    pub(crate) fn progressed(&mut self, turn: &mut Turn<'_>, attempt: Attempt, position: u32) {
        let Some(mut entry) = self.take_live(attempt) else {
            return;
        };
        entry.ran = true;
        if position > entry.position {
            entry.position = position;
            if entry.lagging.is_none() {
                entry.watch_mirror(turn.now);
            }
            if let Some(flight) = &mut entry.flight {
                flight.rejoins = 0;
                flight.first.get_or_insert((turn.now, position));
            }
        }
        if let Some(flight) = &mut entry.flight {
            flight.heard = turn.now;
        }
        self.confirm(turn, &mut entry);
        self.put(entry);
    }

    pub(crate) fn ended(&mut self, turn: &mut Turn<'_>, attempt: Attempt, position: u32) {
        let Some(mut entry) = self.take_live(attempt) else {
            return;
        };
        entry.ran = true;
        entry.position = entry.position.max(position);
        entry.flight = None;
        self.confirm(turn, &mut entry);
        self.finish(turn, entry, Outcome::Whole { position });
    }

    /// Takes out the entry of an attempt, if that is its live one.
    fn take_live(&mut self, attempt: Attempt) -> Option<Entry> {
        let entry = self.entries.get(&attempt.request)?;
        let live = entry.flight.as_ref().is_some_and(|flight| flight.live.attempt == attempt);
        if !live || !matches!(entry.phase, Phase::Run) {
            return None;
        }
        self.take(attempt.request)
    }

    /// Decides what follows a run without a whole answer.
    pub(crate) fn failed(&mut self, turn: &mut Turn<'_>, attempt: Attempt, failure: &Failure) {
        let Some(mut entry) = self.take_live(attempt) else {
            return;
        };
        let Some(flight) = entry.flight.take() else {
            self.put(entry);
            return;
        };
        let rejoined = matches!(flight.begun, Begun::Rejoined) || flight.rejoins > 0;
        // A run joined again was sent before: that the new connection sent nothing says nothing.
        entry.ran |= !failure.not_run || rejoined;
        if failure.cause == Cause::Deadline {
            self.expired(turn, entry);
            return;
        }
        if let Begun::Imported { from, place } = &flight.begun
            && matches!(failure.step, Step::Export | Step::Import)
        {
            let (from, place) = (from.clone(), place.clone());
            self.import_failed(turn, entry, failure.step, from, &place);
            return;
        }
        if worth_rejoining(&flight, failure) {
            self.rejoin(turn, entry, flight);
            return;
        }
        if !failure.not_run {
            turn.out.push(Output::Cancel(flight.live.clone()));
        }
        let crashed = has_ended(&flight.live, failure, rejoined);
        if crashed && !self.announced(&flight.live.upstream) {
            entry.crashes = entry.crashes.saturating_add(1);
        }
        self.run_again(turn, entry, &flight.live, failure);
    }

    /// Joins the same run on a new connection.
    fn rejoin(&mut self, turn: &mut Turn<'_>, mut entry: Entry, flight: Flight) {
        let rejoins = flight.rejoins + 1;
        self.launch(turn, &mut entry, flight.live, Start::Rejoin, Begun::Rejoined);
        if let Some(joined) = &mut entry.flight {
            joined.rejoins = rejoins;
        }
        self.put(entry);
    }

    /// Runs the request again where that does no harm, and ends it where it would.
    fn run_again(
        &mut self,
        turn: &mut Turn<'_>,
        mut entry: Entry,
        live: &ActiveRun,
        failure: &Failure,
    ) {
        if entry.head.idempotent && entry.ends_upstreams() {
            self.finish(turn, entry, Outcome::Unknown(Unknown::UpstreamLost));
            return;
        }
        if !entry.head.idempotent && entry.ran {
            if entry.former.is_some() {
                self.revert(turn, entry);
                return;
            }
            self.finish(turn, entry, Outcome::Unknown(Unknown::UpstreamLost));
            return;
        }
        if failure.cause != Cause::Forgotten {
            entry.without.insert(live.upstream.clone());
        }
        if entry.body.is_none() {
            self.finish(turn, entry, Outcome::Unknown(Unknown::InstanceLost));
            return;
        }
        self.confirm(turn, &mut entry);
        if self.announced(&live.upstream) {
            // The loss was announced and the request accepted, so no budget may end it.
            self.place(turn, entry);
            return;
        }
        entry.phase = Phase::Budget;
        entry.due = None;
        let (head, upstream) = (entry.head.clone(), live.upstream.clone());
        turn.out.push(Output::Retry { head, upstream });
        self.note(turn, &mut entry);
        self.put(entry);
    }

    fn announced(&self, upstream: &Upstream) -> bool {
        self.leaving.get(upstream).is_some_and(Option::is_some)
    }

    /// Takes the word of the retry budget.
    pub(crate) fn budgeted(
        &mut self,
        turn: &mut Turn<'_>,
        request: Request,
        granted: Option<Duration>,
    ) {
        let Some(entry) = self.take(request) else {
            return;
        };
        if !matches!(entry.phase, Phase::Budget) {
            self.put(entry);
            return;
        }
        match granted {
            Some(wait) => self.pause(turn, entry, wait),
            None if entry.ran => {
                self.finish(turn, entry, Outcome::Unknown(Unknown::UpstreamLost));
            }
            None => {
                let retry = Some(self.setup.timing.stall);
                self.refuse(turn, entry, Refusal { reason: Reason::Upstream, retry });
            }
        }
    }

    /// Ends a request whose deadline has passed.
    pub(crate) fn expired(&mut self, turn: &mut Turn<'_>, entry: Entry) {
        if entry.may_have_run() {
            self.finish(turn, entry, Outcome::Unknown(Unknown::Deadline));
            return;
        }
        if let Phase::Claim { unsure, .. } = entry.phase {
            self.unclaimed(turn, entry, unsure);
            return;
        }
        self.refuse(turn, entry, Refusal { reason: Reason::Deadline, retry: None });
    }

    /// Doubts the runs at an upstream that has not announced itself for long.
    ///
    /// Announcements can be lost while streams still flow, and moving these would compute their
    /// tokens again: so only a run that is silent as well is given up before its stall limit.
    pub(crate) fn lapsed(&mut self, turn: &mut Turn<'_>, upstream: &Upstream) {
        for request in self.running_at(upstream) {
            let Some(entry) = self.take(request) else {
                continue;
            };
            let quiet = entry
                .flight
                .as_ref()
                .filter(|flight| turn.now.saturating_sub(flight.heard) >= QUIET)
                .map(|flight| flight.live.attempt);
            self.put(entry);
            let Some(attempt) = quiet else {
                continue;
            };
            let (step, cause) = (Step::Read, Cause::Closed);
            if let Some(flight) =
                self.entries.get_mut(&request).and_then(|entry| entry.flight.as_mut())
            {
                flight.rejoins = flight.rejoins.max(REJOINS);
            }
            self.failed(turn, attempt, &Failure { step, cause, not_run: false });
        }
    }

    /// Returns the requests that run at an upstream.
    pub(crate) fn running_at(&self, upstream: &Upstream) -> Vec<Request> {
        let at = self.entries.values().filter(|entry| entry.upstream() == Some(upstream));
        at.map(Entry::request).collect()
    }
}

/// Returns whether the run may still go on at its upstream, out of reach of a broken connection.
fn worth_rejoining(flight: &Flight, failure: &Failure) -> bool {
    let lost = match failure.cause {
        Cause::Closed | Cause::Silent | Cause::Cut | Cause::Gap => true,
        Cause::Refused | Cause::Error | Cause::Deadline | Cause::Forgotten => false,
    };
    let reached = matches!(failure.step, Step::Write | Step::Head | Step::Read);
    lost && reached
        && !failure.not_run
        && flight.live.kind == Kind::Engine
        && flight.rejoins < REJOINS
}

/// Tells whether an upstream seems to have ended while it ran the request: nobody listens there any more when the
/// run is joined again, or a plain service, where no run can be, closed without an answer.
fn has_ended(live: &ActiveRun, failure: &Failure, rejoined: bool) -> bool {
    let closed = failure.cause == Cause::Closed;
    match live.kind {
        Kind::Engine => closed && rejoined && failure.step == Step::Connect,
        Kind::Service => closed && !failure.not_run,
    }
}
