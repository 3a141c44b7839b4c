//! Lookup of a key at its home instances, and the decision that follows from their answers.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::{Refusal, Unknown};

use crate::message::{KeyStatus, Message, Reserve};
use crate::output::Outcome;
use crate::owned::{OwnedRequest, Phase};
use crate::requests::{Requests, StepContext};
use crate::timer::Timer;

/// Lost relays after which another instance's mere reservation of a key is ignored.
const MAX_RELAY_LOSSES: u32 = 3;

/// Lookup of a key at its home instances.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    /// Queries sent to home instances, and their answers.
    pub(crate) queries: BTreeMap<Instance, HomeQuery>,
    /// How many times the home instances were asked without an answer.
    pub(crate) tries: u32,
    /// Time limit.
    pub(crate) until: Duration,
    /// Whether any instance reported that another owner of the key was accepted.
    pub(crate) accepted_elsewhere: bool,
    /// Refusal for the caller if the key is still unknown everywhere; `None` if the request is
    /// admitted in that case.
    pub(crate) refusal: Option<Refusal>,
}

/// Query to one home instance.
#[derive(Clone, Debug)]
pub(crate) struct HomeQuery {
    /// When the query was last sent.
    at: Duration,
    /// Answer of the home instance.
    answer: Option<KeyStatus>,
}

impl Lookup {
    fn answers(&self) -> impl Iterator<Item = &KeyStatus> {
        self.queries.values().filter_map(|query| query.answer.as_ref())
    }

    /// Returns whether a home instance other than `own` has answered, if there is one.
    fn has_answer_beyond(&self, own: &Instance) -> bool {
        let mut others = self.queries.iter().filter(|(home, _)| *home != own).peekable();
        others.peek().is_none() || others.any(|(_, query)| query.answer.is_some())
    }

    fn is_answer_missing(&self) -> bool {
        self.queries.values().any(|query| query.answer.is_none())
    }
}

impl Requests {
    /// Asks the home instances whether they know the key.
    pub(crate) fn look_up(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        self.open_lookup(ctx, &mut entry, None);
        self.try_decide(ctx, entry);
    }

    /// Asks the home instances again before a caller is told that its request did not run.
    ///
    /// If this instance was paused or queued the request for long, the others may have considered it
    /// dead, and a resend of the request may have run elsewhere. "Not run" would then be wrong, so it
    /// is reported only on recent answers.
    pub(crate) fn look_up_before_refusal(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        refusal: Refusal,
    ) {
        self.open_lookup(ctx, &mut entry, Some(refusal));
        self.try_decide(ctx, entry);
    }

    /// Asks the current home instances after the set of instances has changed.
    pub(crate) fn look_up_again(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let Phase::Lookup(lookup) = &mut entry.phase else {
            self.put(entry);
            return;
        };
        // Views differ briefly after each change, so a former home instance may know the key.
        lookup.queries.retain(|home, _| self.membership.is_responsive(home));
        // Answers may be outdated after the change: the copy may have been stored just now.
        lookup.queries.values_mut().for_each(|query| query.answer = None);
        for home in self.membership.homes(entry.head.request) {
            let at = ctx.now;
            lookup.queries.entry(home).or_insert(HomeQuery { at, answer: None });
        }
        self.query_homes(ctx, &mut entry);
        self.try_decide(ctx, entry);
    }

    fn open_lookup(
        &mut self,
        ctx: &mut StepContext<'_>,
        entry: &mut OwnedRequest,
        refusal: Option<Refusal>,
    ) {
        let timing = &self.setup.timing;
        let duration = match refusal {
            Some(_) => timing.resend * timing.tries,
            None => timing.lookup,
        };
        let until = ctx.now.saturating_add(duration);
        let homes = self.membership.homes(entry.request()).into_iter();
        let queries = homes.map(|home| (home, HomeQuery { at: ctx.now, answer: None })).collect();
        entry.phase =
            Phase::Lookup(Lookup { queries, tries: 0, until, accepted_elsewhere: false, refusal });
        self.query_homes(ctx, entry);
    }

    /// Queries each home instance that has not answered, and answers locally if this instance is
    /// one of them.
    fn query_homes(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) {
        let reserve = Reserve {
            request: entry.request(),
            digest: entry.digest,
            boot: self.setup.boot,
            epoch: entry.announced_epoch(),
            remaining: entry.head.deadline.saturating_sub(ctx.now),
        };
        let Phase::Lookup(lookup) = &mut entry.phase else {
            return;
        };
        lookup.tries += 1;
        entry.phase_due = Some(ctx.now.saturating_add(self.setup.timing.resend));
        let own = self.setup.instance.clone();
        for (home, query) in lookup.queries.iter_mut().filter(|(_, query)| query.answer.is_none()) {
            query.at = ctx.now;
            if *home == own {
                query.answer = Some(self.find_key(ctx.now, &own, &reserve));
            } else {
                ctx.send(home, Message::Reserve(reserve.clone()));
            }
        }
    }

    /// Handles a home instance's answer.
    pub(crate) fn handle_reserved(
        &mut self,
        ctx: &mut StepContext<'_>,
        from: &Instance,
        request: Request,
        found: KeyStatus,
    ) {
        let Some(mut entry) = self.take(request) else {
            return;
        };
        if let Phase::Lookup(lookup) = &mut entry.phase {
            if matches!(found, KeyStatus::Between { .. } | KeyStatus::Held { .. }) {
                lookup.tries = 0;
            }
            let accepted = matches!(found, KeyStatus::Held { epoch, .. } if epoch > 0);
            lookup.accepted_elsewhere |= accepted;
            if accepted || lookup.queries.contains_key(from) {
                let query = HomeQuery { at: ctx.now, answer: None };
                let query = lookup.queries.entry(from.clone()).or_insert(query);
                query.answer = Some(found);
            }
            self.try_decide(ctx, entry);
            return;
        }
        entry.informed_homes.insert(from.clone());
        self.yield_to_accepted_owner(ctx, entry, found);
    }

    /// Yields to another owner of the key, if that owner was accepted and this one was not yet.
    ///
    /// An instance that was paused after its lookup acts on an outdated answer and would cause a
    /// second run.
    fn yield_to_accepted_owner(
        &mut self,
        ctx: &mut StepContext<'_>,
        mut entry: OwnedRequest,
        found: KeyStatus,
    ) {
        let early = matches!(entry.phase, Phase::Admit | Phase::Journal { .. });
        let KeyStatus::Held { owner, epoch, digest } = found else {
            self.put(entry);
            return;
        };
        if entry.is_accepted() || !early || owner == self.setup.instance {
            self.put(entry);
            return;
        }
        entry.unknown_to_homes = false;
        if epoch == 0 || !self.membership.is_alive(&owner) {
            self.put(entry);
            return;
        }
        self.withdraw(ctx, entry, &owner, digest);
    }

    /// Gives up this instance's entry in favor of another owner.
    fn withdraw(
        &mut self,
        ctx: &mut StepContext<'_>,
        entry: OwnedRequest,
        owner: &Instance,
        digest: u128,
    ) {
        self.send_drops(ctx, &entry);
        if entry.epoch > 0 {
            self.report_done(ctx, &entry, Outcome::Moved { owner: owner.clone() });
        }
        self.timers.set(Timer::Owned(entry.request()), None);
        self.join_owner(ctx, entry, owner, digest);
    }

    /// Asks again when the lookup's timer is due, or gives up at its time limit.
    pub(crate) fn tick_lookup(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let Phase::Lookup(lookup) = &mut entry.phase else {
            self.put(entry);
            return;
        };
        if ctx.now >= lookup.until {
            self.finish(ctx, entry, Outcome::Unknown(Unknown::Unreachable));
            return;
        }
        for query in lookup.queries.values_mut() {
            if matches!(query.answer, Some(KeyStatus::Between { .. } | KeyStatus::Held { .. })) {
                query.answer = None;
            }
        }
        self.query_homes(ctx, &mut entry);
        self.try_decide(ctx, entry);
    }

    /// Decides a lookup as soon as the answers allow it.
    fn try_decide(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let Phase::Lookup(lookup) = &entry.phase else {
            self.put(entry);
            return;
        };
        if let Some((owner, digest)) = self.accepted_owner(lookup) {
            self.withdraw(ctx, entry, &owner, digest);
            return;
        }
        let must_wait = lookup.answers().any(|found| match found {
            KeyStatus::Between { .. } => true,
            KeyStatus::Held { owner, epoch, .. } => *epoch > 0 && !self.membership.is_alive(owner),
            KeyStatus::Free | KeyStatus::Doubtful | KeyStatus::Full => false,
        });
        let answered = lookup.has_answer_beyond(&self.setup.instance);
        let exhausted = lookup.tries > self.setup.timing.tries && answered;
        if must_wait || (lookup.is_answer_missing() && !exhausted) || !answered {
            self.put(entry);
            return;
        }
        if self.requery_stale_homes(ctx, &mut entry) {
            self.put(entry);
            return;
        }
        self.decide(ctx, entry);
    }

    /// Asks home instances again whose answers are outdated; returns whether there were any.
    fn requery_stale_homes(&mut self, ctx: &mut StepContext<'_>, entry: &mut OwnedRequest) -> bool {
        let fresh = self.setup.timing.fresh;
        let Phase::Lookup(lookup) = &mut entry.phase else {
            return false;
        };
        let mut found_stale = false;
        for (home, query) in &mut lookup.queries {
            let stale = ctx.now.saturating_sub(query.at) > fresh && query.answer.is_some();
            if stale && *home != self.setup.instance {
                query.answer = None;
                found_stale = true;
            }
        }
        if found_stale {
            self.query_homes(ctx, entry);
        }
        found_stale
    }

    /// Admits, relays or refuses a request according to the home instances' answers.
    fn decide(&mut self, ctx: &mut StepContext<'_>, mut entry: OwnedRequest) {
        let Phase::Lookup(lookup) = &entry.phase else {
            self.put(entry);
            return;
        };
        if let Some((owner, digest)) = self.reserved_owner(&entry, lookup) {
            self.withdraw(ctx, entry, &owner, digest);
            return;
        }
        let complete = self.is_unknown_elsewhere(ctx.now, &entry, lookup);
        let refusal = lookup.refusal.clone();
        let knows =
            |query: &HomeQuery| matches!(query.answer, Some(KeyStatus::Free | KeyStatus::Doubtful));
        let informed = lookup.queries.iter().filter(|(_, query)| knows(query));
        entry.informed_homes = informed.map(|(home, _)| home.clone()).collect();
        entry.looked_up_at = ctx.now;
        match refusal {
            None => {
                entry.unknown_to_homes = complete;
                self.take_ownership(ctx, entry);
            }
            Some(refusal) => {
                entry.unknown_to_homes &= complete;
                self.refuse(ctx, entry, refusal);
            }
        }
    }

    /// Returns whether the answers show that no other instance can have run the request.
    fn is_unknown_elsewhere(&self, now: Duration, entry: &OwnedRequest, lookup: &Lookup) -> bool {
        let doubtful = lookup.accepted_elsewhere
            || lookup.answers().any(|found| match found {
                KeyStatus::Doubtful => true,
                KeyStatus::Held { owner, .. } => *owner != self.setup.instance,
                KeyStatus::Free | KeyStatus::Between { .. } | KeyStatus::Full => false,
            });
        let since = now.saturating_sub(self.setup.timing.retention);
        let misses = self.membership.is_home_missing(entry.request(), since);
        !lookup.is_answer_missing() && !doubtful && !misses
    }

    fn accepted_owner(&self, lookup: &Lookup) -> Option<(Instance, u128)> {
        let held = lookup.answers().filter_map(|found| match found {
            KeyStatus::Held { owner, epoch, digest } if *epoch > 0 => {
                Some((*epoch, owner, *digest))
            }
            _ => None,
        });
        let (_, owner, digest) = held
            .filter(|(_, owner, _)| {
                **owner != self.setup.instance && self.membership.is_alive(owner)
            })
            .max()?;
        Some((owner.clone(), digest))
    }

    /// Returns which instance has reserved the key, according to the first home instance that
    /// answered.
    fn reserved_owner(&self, entry: &OwnedRequest, lookup: &Lookup) -> Option<(Instance, u128)> {
        if entry.relay_losses >= MAX_RELAY_LOSSES || lookup.refusal.is_some() {
            return None;
        }
        let homes = self.membership.homes(entry.request());
        let mut answers = homes.iter().filter_map(|home| lookup.queries.get(home));
        match answers.find_map(|query| query.answer.as_ref())? {
            KeyStatus::Held { owner, epoch: 0, digest } if *owner != self.setup.instance => {
                self.membership.is_alive(owner).then(|| (owner.clone(), *digest))
            }
            _ => None,
        }
    }
}
