//! Moves streams away from an upstream that leaves, the cheapest way that its notice allows.

use std::time::Duration;

use verbenaslip_base::announce::Kind;
use verbenaslip_base::name::Upstream;
use verbenaslip_base::refusal::Unknown;

use crate::input::Placement;
use crate::message::ActiveRun;
use crate::output::{Outcome, Output};
use crate::owned::{Begun, Entry, Flight, Moving};
use crate::requests::{Requests, Turn};
use crate::run::{Start, Step};
use crate::start::live_at;

impl Requests {
    /// Takes notice that an upstream leaves.
    pub(crate) fn leaving(
        &mut self,
        turn: &mut Turn<'_>,
        upstream: &Upstream,
        notice: Option<Duration>,
    ) {
        let until = notice.map(|notice| turn.now.saturating_add(notice));
        let known = self.leaving.get(upstream).copied().flatten();
        // A repeated notice may come late, with less precision; only the earliest end is safe.
        let until = match (known, until) {
            (Some(known), Some(until)) => Some(known.min(until)),
            (known, until) => known.or(until),
        };
        self.leaving.insert(upstream.clone(), until);
        for request in self.running_at(upstream) {
            let Some(mut entry) = self.take(request) else {
                continue;
            };
            if let Some(flight) = &mut entry.flight
                && matches!(flight.moving, Moving::Watched { .. })
            {
                flight.moving = Moving::Still;
            }
            self.consider(turn, &mut entry);
            self.put(entry);
        }
    }

    /// Decides whether a run must be moved, and asks for a place if so.
    pub(crate) fn consider(&self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let Some(flight) = &entry.flight else {
            return;
        };
        let Some(Some(until)) = self.leaving.get(&flight.live.upstream) else {
            return;
        };
        if !matches!(flight.moving, Moving::Still) {
            return;
        }
        let last = until.saturating_sub(self.setup.timing.margin);
        let ends = turn.now.saturating_add(self.remaining(turn.now, entry, flight));
        let moving = match ends < last {
            true => Moving::Watched { at: last },
            false if can_move(entry, flight) => Moving::Asked,
            false => Moving::Bound,
        };
        let asked = matches!(moving, Moving::Asked);
        if let Some(flight) = &mut entry.flight {
            flight.moving = moving;
        }
        if asked {
            let from = entry.upstream().cloned();
            self.want(turn, entry, from);
        }
    }

    /// Looks again at a run whose upstream leaves.
    pub(crate) fn tick_moving(&self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let Some(flight) = &mut entry.flight else {
            return;
        };
        let due = match flight.moving {
            Moving::Watched { at } | Moving::Paused { at } => turn.now >= at,
            Moving::Still | Moving::Asked | Moving::Bound => false,
        };
        if due {
            flight.moving = Moving::Still;
            self.consider(turn, entry);
        }
    }

    /// Estimates how long a run still takes.
    fn remaining(&self, now: Duration, entry: &Entry, flight: &Flight) -> Duration {
        if flight.live.kind == Kind::Service {
            return Duration::ZERO;
        }
        let left = entry.head.output.saturating_sub(entry.position);
        let pace = flight.first.and_then(|(at, position)| {
            let tokens = entry.position.checked_sub(position).filter(|tokens| *tokens > 0)?;
            Some(now.saturating_sub(at) / tokens)
        });
        pace.unwrap_or(self.setup.estimate.token).saturating_mul(left)
    }

    /// Moves a run to the place that the router has found.
    pub(crate) fn relocate(&mut self, turn: &mut Turn<'_>, mut entry: Entry, place: Placement) {
        let Some(flight) = &mut entry.flight else {
            self.put(entry);
            return;
        };
        if self.leaving.contains_key(&place.upstream) || place.upstream == flight.live.upstream {
            let at = turn.now.saturating_add(self.setup.timing.resend);
            flight.moving = Moving::Paused { at };
            self.put(entry);
            return;
        }
        let from = flight.live.clone();
        if self.import_pays(turn.now, &entry, &from, &place) {
            self.import(turn, entry, from, place);
        } else if entry.head.idempotent {
            turn.out.push(Output::Cancel(from));
            entry.ran = true;
            entry.flight = None;
            self.begin(turn, entry, &place);
        } else {
            if let Some(flight) = &mut entry.flight {
                flight.moving = Moving::Bound;
            }
            self.put(entry);
        }
    }

    /// Returns whether a KV cache can be moved in time and for less than computing it again.
    fn import_pays(
        &self,
        now: Duration,
        entry: &Entry,
        from: &ActiveRun,
        place: &Placement,
    ) -> bool {
        if from.kind != Kind::Engine || place.kind != Kind::Engine || !place.imports {
            return false;
        }
        if entry.position == 0 && entry.head.idempotent {
            return false;
        }
        let Some(Some(until)) = self.leaving.get(&from.upstream) else {
            return false;
        };
        let estimate = &self.setup.estimate;
        let held = entry.head.prompt.saturating_add(entry.position);
        let missing = held.saturating_sub(place.cached);
        let transfer =
            estimate.transfer.saturating_add(estimate.transfer_token.saturating_mul(held));
        let compute = estimate.prefill.saturating_mul(missing);
        let fits = now.saturating_add(transfer) <= until.saturating_sub(self.setup.timing.margin);
        fits && (transfer <= compute || !entry.head.idempotent)
    }

    fn import(&mut self, turn: &mut Turn<'_>, mut entry: Entry, from: ActiveRun, place: Placement) {
        let Some(attempt) = entry.next_attempt() else {
            self.put(entry);
            return;
        };
        entry.ran = true;
        let start = Start::Import { from: from.attempt, source: from.address };
        let live = live_at(attempt, &place);
        self.launch(turn, &mut entry, live, start, Begun::Imported { from, place });
        self.put(entry);
    }

    /// Goes on after a KV cache could not be moved.
    pub(crate) fn import_failed(
        &mut self,
        turn: &mut Turn<'_>,
        mut entry: Entry,
        step: Step,
        from: ActiveRun,
        place: &Placement,
    ) {
        if entry.head.idempotent {
            turn.out.push(Output::Cancel(from));
            match step {
                // The old upstream failed; nothing speaks against the new one.
                Step::Export => self.begin(turn, entry, place),
                _ => {
                    entry.without.insert(place.upstream.clone());
                    self.place(turn, entry);
                }
            }
            return;
        }
        if step == Step::Export {
            // The stream may not have stopped at the old upstream, and is the one run there is.
            self.launch(turn, &mut entry, from, Start::Rejoin, Begun::Rejoined);
            if let Some(flight) = &mut entry.flight {
                flight.moving = Moving::Bound;
            }
            self.put(entry);
            return;
        }
        self.finish(turn, entry, Outcome::Unknown(Unknown::UpstreamLost));
    }
}

/// Returns whether a run can be moved at all: a non-idempotent one only with its KV cache.
fn can_move(entry: &Entry, flight: &Flight) -> bool {
    entry.head.idempotent || flight.live.kind == Kind::Engine
}
