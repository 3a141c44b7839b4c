//! Probing one neighbour a period, directly and then through others.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use verbenaslip_base::name::Instance;

use crate::frame::Body;
use crate::member::{Handle, State};
use crate::roster::{Member, Roster};

/// How often one neighbour is probed.
const PERIOD: Duration = Duration::from_secs(1);

/// How long a direct answer may take before others are asked.
const TIMEOUT: Duration = Duration::from_millis(300);

/// How many others are asked to probe in this instance's place.
const RELAYS: usize = 3;

/// The most probes done for others at once; a flood of them ends here.
const MAX_RELAYED: usize = 64;

/// How many of its last probes an instance looks at to doubt its own links.
const WINDOW: usize = 5;

/// How many of them must have failed.
const FAILED: usize = 4;

/// A datagram to a member.
pub(crate) struct Letter {
    /// Who gets it.
    pub(crate) to: Handle,
    /// What it says.
    pub(crate) body: Body,
}

/// Probes the neighbours in turn.
pub(crate) struct Prober {
    turn: Vec<Instance>,
    number: u32,
    current: Option<Probe>,
    relayed: BTreeMap<u32, Relayed>,
    outcomes: VecDeque<bool>,
    period: Duration,
}

struct Probe {
    instance: Instance,
    handle: Handle,
    number: u32,
    asked: Duration,
    relays: bool,
    counts: bool,
}

struct Relayed {
    origin: Handle,
    number: u32,
    until: Duration,
}

impl Prober {
    /// Starts with the first probe due at the given time.
    pub(crate) fn open(first: Duration) -> Self {
        Self {
            turn: Vec::new(),
            number: 0,
            current: None,
            relayed: BTreeMap::new(),
            outcomes: VecDeque::new(),
            period: first,
        }
    }

    /// Returns when the next step is due.
    pub(crate) fn wake(&self) -> Duration {
        let relays = self.current.as_ref().filter(|probe| !probe.relays);
        relays.map_or(self.period, |probe| self.period.min(probe.asked + TIMEOUT))
    }

    /// Tells whether most of the last probes failed, of peers whom nobody else doubted.
    pub(crate) fn doubtful(&self) -> bool {
        self.outcomes.iter().filter(|answered| !**answered).count() >= FAILED
    }

    /// Forgets the probe that a freeze of this instance has spoilt.
    pub(crate) fn thaw(&mut self, now: Duration) {
        self.current = None;
        self.relayed.clear();
        self.outcomes.clear();
        self.period = now + PERIOD;
    }

    /// Does what is due; returns the neighbour that has not answered, if any.
    pub(crate) fn step(
        &mut self,
        now: Duration,
        roster: &Roster,
        rng: &mut Pcg64,
        letters: &mut Vec<Letter>,
    ) -> Option<Instance> {
        self.relayed.retain(|_, relayed| relayed.until > now);
        self.ask_others(now, roster, rng, letters);
        if now < self.period {
            return None;
        }
        let failed = self.current.take().map(|probe| {
            self.note(probe.counts, false);
            probe.instance
        });
        self.period = now + PERIOD;
        self.ask_next(now, roster, rng, letters);
        failed
    }

    fn note(&mut self, counts: bool, answered: bool) {
        if !counts {
            return;
        }
        self.outcomes.push_back(answered);
        if self.outcomes.len() > WINDOW {
            self.outcomes.pop_front();
        }
    }

    fn ask_next(
        &mut self,
        now: Duration,
        roster: &Roster,
        rng: &mut Pcg64,
        letters: &mut Vec<Letter>,
    ) {
        let Some(member) = self.pick(roster, rng) else { return };
        self.number = self.number.wrapping_add(1);
        let handle = member.handle();
        letters
            .push(Letter { to: handle, body: Body::Ping { target: handle, probe: self.number } });
        self.current = Some(Probe {
            instance: member.peer().instance.clone(),
            handle,
            number: self.number,
            asked: now,
            relays: false,
            counts: member.state() == State::Alive,
        });
    }

    /// Goes through the neighbours in a random order that is drawn anew when all had their turn.
    fn pick<'a>(&mut self, roster: &'a Roster, rng: &mut Pcg64) -> Option<&'a Member> {
        for _ in 0..2 {
            while let Some(instance) = self.turn.pop() {
                if let Some(member) = roster.get(&instance).filter(|it| it.state().present()) {
                    return Some(member);
                }
            }
            let present = roster.neighbours().filter(|member| member.state().present());
            self.turn = present.map(|member| member.peer().instance.clone()).collect();
            self.turn.shuffle(rng);
        }
        None
    }

    /// Asks others to probe, with at least one of them in a third availability zone if there is one.
    ///
    /// A broken path between two availability zones would make each call the other dead. One would
    /// notice all of an availability zone suspected by one other only. A helper elsewhere reaches
    /// it by another path.
    fn ask_others(
        &mut self,
        now: Duration,
        roster: &Roster,
        rng: &mut Pcg64,
        letters: &mut Vec<Letter>,
    ) {
        let Some(probe) = &mut self.current else { return };
        if probe.relays || now < probe.asked + TIMEOUT {
            return;
        }
        probe.relays = true;
        let own = &roster.own().peer.zone;
        let target = roster.get(&probe.instance).map(|member| member.peer().zone.clone());
        let able = |m: &&Member| m.state() == State::Alive && m.handle() != probe.handle;
        let mut helpers: Vec<&Member> = roster.neighbours().filter(able).collect();
        helpers.shuffle(rng);
        let third = |m: &Member| m.peer().zone != *own && Some(&m.peer().zone) != target.as_ref();
        if let Some(place) = helpers.iter().position(|member| third(member)) {
            helpers.swap(0, place);
        }
        for helper in helpers.iter().take(RELAYS) {
            let body = Body::IndirectPing { target: probe.handle, probe: probe.number };
            letters.push(Letter { to: helper.handle(), body });
        }
    }

    /// Probes a target in the place of another member.
    pub(crate) fn relay(
        &mut self,
        now: Duration,
        origin: Handle,
        target: Handle,
        probe: u32,
        letters: &mut Vec<Letter>,
    ) {
        if self.relayed.len() >= MAX_RELAYED {
            return;
        }
        self.number = self.number.wrapping_add(1);
        let relayed = Relayed { origin, number: probe, until: now + PERIOD };
        self.relayed.insert(self.number, relayed);
        letters.push(Letter { to: target, body: Body::Ping { target, probe: self.number } });
    }

    /// Takes an answer, for this instance or for the member in whose place it had probed.
    pub(crate) fn ack(&mut self, probe: u32, letters: &mut Vec<Letter>) {
        if let Some(current) = self.current.take_if(|current| current.number == probe) {
            self.note(current.counts, true);
        } else if let Some(relayed) = self.relayed.remove(&probe) {
            let body = Body::Ack { probe: relayed.number };
            letters.push(Letter { to: relayed.origin, body });
        }
    }
}

/// Draws up to `count` different items.
pub(crate) fn draw<T>(mut items: Vec<T>, count: usize, rng: &mut Pcg64) -> Vec<T> {
    let count = count.min(items.len());
    for place in 0..count {
        let other = rng.random_range(place..items.len());
        items.swap(place, other);
    }
    items.truncate(count);
    items
}
