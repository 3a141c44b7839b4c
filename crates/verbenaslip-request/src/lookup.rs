//! Whether a key is known: the homes are asked, and their answers weighed.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Instance;
use verbenaslip_base::refusal::{Refusal, Unknown};

use crate::message::{KeyStatus, Message, Reserve};
use crate::output::Outcome;
use crate::owned::{Entry, Phase};
use crate::requests::{Requests, Turn};
use crate::timer::Timer;

/// After how many lost relays a mere reservation of another instance no longer counts.
const LOSSES: u32 = 3;

/// Holds what the homes have said of a key.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    /// What each has said.
    pub(crate) asked: BTreeMap<Instance, Asked>,
    /// How often they were asked without an answer.
    pub(crate) tries: u32,
    /// Until when they are asked.
    pub(crate) until: Duration,
    /// Whether anyone has said that another instance was accepted with the key.
    pub(crate) doubt: bool,
    /// What the caller is told if the key is still unknown everywhere; none when it is let in then.
    pub(crate) refusal: Option<Refusal>,
}

/// Holds what one home has said.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    /// When it was last asked.
    at: Duration,
    /// Its answer.
    found: Option<KeyStatus>,
}

impl Lookup {
    fn found(&self) -> impl Iterator<Item = &KeyStatus> {
        self.asked.values().filter_map(|asked| asked.found.as_ref())
    }

    /// Returns whether another home than `own` has answered, if there is one.
    fn answered(&self, own: &Instance) -> bool {
        let mut others = self.asked.iter().filter(|(home, _)| *home != own).peekable();
        others.peek().is_none() || others.any(|(_, asked)| asked.found.is_some())
    }

    fn missing(&self) -> bool {
        self.asked.values().any(|asked| asked.found.is_none())
    }
}

impl Requests {
    /// Asks the homes whether they know the key.
    pub(crate) fn look_up(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        self.open_lookup(turn, &mut entry, None);
        self.conclude(turn, entry);
    }

    /// Asks the homes again before a caller is told that its request was not run.
    ///
    /// An instance that was frozen or queued the request for long was perhaps believed dead by the
    /// others, and the request was sent again and run elsewhere. One would notice "not run" said of
    /// a request that ran; so the word is given only on answers that are fresh.
    pub(crate) fn look_up_before(
        &mut self,
        turn: &mut Turn<'_>,
        mut entry: Entry,
        refusal: Refusal,
    ) {
        self.open_lookup(turn, &mut entry, Some(refusal));
        self.conclude(turn, entry);
    }

    /// Asks the homes of now, when the instances have changed.
    pub(crate) fn look_up_again(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let Phase::Lookup(lookup) = &mut entry.phase else {
            self.put(entry);
            return;
        };
        // Views differ for a moment after each change, so one that was a home before may know.
        lookup.asked.retain(|home, _| self.view.answers(home));
        // What was true before the change need not be now: the copy may just have been placed.
        lookup.asked.values_mut().for_each(|asked| asked.found = None);
        for home in self.view.homes(entry.head.request) {
            let at = turn.now;
            lookup.asked.entry(home).or_insert(Asked { at, found: None });
        }
        self.ask(turn, &mut entry);
        self.conclude(turn, entry);
    }

    fn open_lookup(&mut self, turn: &mut Turn<'_>, entry: &mut Entry, refusal: Option<Refusal>) {
        let timing = &self.setup.timing;
        let long = match refusal {
            Some(_) => timing.resend * timing.tries,
            None => timing.lookup,
        };
        let until = turn.now.saturating_add(long);
        let homes = self.view.homes(entry.request()).into_iter();
        let asked = homes.map(|home| (home, Asked { at: turn.now, found: None })).collect();
        entry.phase = Phase::Lookup(Lookup { asked, tries: 0, until, doubt: false, refusal });
        self.ask(turn, entry);
    }

    /// Sends the question to each home that has not answered it, and answers it here if this
    /// instance is one.
    fn ask(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) {
        let reserve = Reserve {
            request: entry.request(),
            digest: entry.digest,
            boot: self.setup.boot,
            epoch: entry.told_epoch(),
            remaining: entry.head.deadline.saturating_sub(turn.now),
        };
        let Phase::Lookup(lookup) = &mut entry.phase else {
            return;
        };
        lookup.tries += 1;
        entry.due = Some(turn.now.saturating_add(self.setup.timing.resend));
        let own = self.setup.instance.clone();
        for (home, asked) in lookup.asked.iter_mut().filter(|(_, asked)| asked.found.is_none()) {
            asked.at = turn.now;
            if *home == own {
                asked.found = Some(self.find(turn.now, &own, &reserve));
            } else {
                turn.send(home, Message::Reserve(reserve.clone()));
            }
        }
    }

    /// Takes a home's answer.
    pub(crate) fn reserved(
        &mut self,
        turn: &mut Turn<'_>,
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
            lookup.doubt |= accepted;
            if accepted || lookup.asked.contains_key(from) {
                let asked = Asked { at: turn.now, found: None };
                let asked = lookup.asked.entry(from.clone()).or_insert(asked);
                asked.found = Some(found);
            }
            self.conclude(turn, entry);
            return;
        }
        entry.informed.insert(from.clone());
        self.heed(turn, entry, found);
    }

    /// Yields to another owner of the key, if that one was accepted and this one not yet.
    ///
    /// An instance that was frozen after its lookup comes back with an answer that is no longer
    /// true; one would notice a second run.
    fn heed(&mut self, turn: &mut Turn<'_>, mut entry: Entry, found: KeyStatus) {
        let early = matches!(entry.phase, Phase::Admit | Phase::Journal { .. });
        let KeyStatus::Held { owner, epoch, digest } = found else {
            self.put(entry);
            return;
        };
        if entry.accepted() || !early || owner == self.setup.instance {
            self.put(entry);
            return;
        }
        entry.complete = false;
        if epoch == 0 || !self.view.alive(&owner) {
            self.put(entry);
            return;
        }
        self.withdraw(turn, entry, &owner, digest);
    }

    /// Gives up a request that this instance had entered for another owner's.
    fn withdraw(&mut self, turn: &mut Turn<'_>, entry: Entry, owner: &Instance, digest: u128) {
        self.forget_elsewhere(turn, &entry);
        if entry.epoch > 0 {
            self.done(turn, &entry, Outcome::Moved { owner: owner.clone() });
        }
        self.timers.set(Timer::Owned(entry.request()), None);
        self.join(turn, entry, owner, digest);
    }

    /// Asks again, or gives up, when a lookup's time has come.
    pub(crate) fn tick_lookup(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let Phase::Lookup(lookup) = &mut entry.phase else {
            self.put(entry);
            return;
        };
        if turn.now >= lookup.until {
            self.finish(turn, entry, Outcome::Unknown(Unknown::Unreachable));
            return;
        }
        for asked in lookup.asked.values_mut() {
            if matches!(asked.found, Some(KeyStatus::Between { .. } | KeyStatus::Held { .. })) {
                asked.found = None;
            }
        }
        self.ask(turn, &mut entry);
        self.conclude(turn, entry);
    }

    /// Decides a lookup as soon as the answers allow.
    fn conclude(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let Phase::Lookup(lookup) = &entry.phase else {
            self.put(entry);
            return;
        };
        if let Some((owner, digest)) = self.accepted_owner(lookup) {
            self.withdraw(turn, entry, &owner, digest);
            return;
        }
        let waits = lookup.found().any(|found| match found {
            KeyStatus::Between { .. } => true,
            KeyStatus::Held { owner, epoch, .. } => *epoch > 0 && !self.view.alive(owner),
            KeyStatus::Free | KeyStatus::Doubtful | KeyStatus::Full => false,
        });
        let answered = lookup.answered(&self.setup.instance);
        let tired = lookup.tries > self.setup.timing.tries && answered;
        if waits || (lookup.missing() && !tired) || !answered {
            self.put(entry);
            return;
        }
        if self.refresh(turn, &mut entry) {
            self.put(entry);
            return;
        }
        self.decide(turn, entry);
    }

    /// Asks those homes again whose answers are too old to go by; returns whether there were any.
    fn refresh(&mut self, turn: &mut Turn<'_>, entry: &mut Entry) -> bool {
        let fresh = self.setup.timing.fresh;
        let Phase::Lookup(lookup) = &mut entry.phase else {
            return false;
        };
        let mut old = false;
        for (home, asked) in &mut lookup.asked {
            let stale = turn.now.saturating_sub(asked.at) > fresh && asked.found.is_some();
            if stale && *home != self.setup.instance {
                asked.found = None;
                old = true;
            }
        }
        if old {
            self.ask(turn, entry);
        }
        old
    }

    /// Lets a request in, passes it on or refuses it, by the answers of its homes.
    fn decide(&mut self, turn: &mut Turn<'_>, mut entry: Entry) {
        let Phase::Lookup(lookup) = &entry.phase else {
            self.put(entry);
            return;
        };
        if let Some((owner, digest)) = self.reserved_owner(&entry, lookup) {
            self.withdraw(turn, entry, &owner, digest);
            return;
        }
        let complete = self.is_complete(turn.now, &entry, lookup);
        let refusal = lookup.refusal.clone();
        let knows =
            |asked: &Asked| matches!(asked.found, Some(KeyStatus::Free | KeyStatus::Doubtful));
        let informed = lookup.asked.iter().filter(|(_, asked)| knows(asked));
        entry.informed = informed.map(|(home, _)| home.clone()).collect();
        entry.looked = turn.now;
        match refusal {
            None => {
                entry.complete = complete;
                self.own(turn, entry);
            }
            Some(refusal) => {
                entry.complete &= complete;
                self.refuse(turn, entry, refusal);
            }
        }
    }

    /// Returns whether the answers show that nobody else can have run the request.
    fn is_complete(&self, now: Duration, entry: &Entry, lookup: &Lookup) -> bool {
        let doubt = lookup.doubt
            || lookup.found().any(|found| match found {
                KeyStatus::Doubtful => true,
                KeyStatus::Held { owner, .. } => *owner != self.setup.instance,
                KeyStatus::Free | KeyStatus::Between { .. } | KeyStatus::Full => false,
            });
        let since = now.saturating_sub(self.setup.timing.retention);
        let misses = self.view.misses(entry.request(), since);
        !lookup.missing() && !doubt && !misses
    }

    fn accepted_owner(&self, lookup: &Lookup) -> Option<(Instance, u128)> {
        let held = lookup.found().filter_map(|found| match found {
            KeyStatus::Held { owner, epoch, digest } if *epoch > 0 => {
                Some((*epoch, owner, *digest))
            }
            _ => None,
        });
        let (_, owner, digest) = held
            .filter(|(_, owner, _)| **owner != self.setup.instance && self.view.alive(owner))
            .max()?;
        Some((owner.clone(), digest))
    }

    /// Returns who has reserved the key, by the word of the first home that has answered.
    fn reserved_owner(&self, entry: &Entry, lookup: &Lookup) -> Option<(Instance, u128)> {
        if entry.losses >= LOSSES || lookup.refusal.is_some() {
            return None;
        }
        let homes = self.view.homes(entry.request());
        let mut answers = homes.iter().filter_map(|home| lookup.asked.get(home));
        match answers.find_map(|asked| asked.found.as_ref())? {
            KeyStatus::Held { owner, epoch: 0, digest } if *owner != self.setup.instance => {
                self.view.alive(owner).then(|| (owner.clone(), *digest))
            }
            _ => None,
        }
    }
}
