//! Keeps upstreams that are brittle from refusing requests.
//!
//! A brittle upstream crashes if it refuses more than a few requests in a second, from all entries
//! together. Its places are therefore divided among the entries, so that the sum never exceeds what
//! it runs at once. The division follows from the positions of the entries and needs no messages.
//! Where entries outnumber the places of a service, they send in turns instead.
//!
//! Without a share in the division no request is sent, so it must not depend on answers: it is
//! renewed when the upstreams or the positions change, and before requests when it is old.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::limit::TimeSlot;
use verbenaslip_fleet::registry::Run;

/// Time after the last answer that said so from which an answer to a new request shows that the
/// service is no longer brittle. An upstream that has crashed and come back does not say so either,
/// while the others do.
const END_DELAY: Duration = Duration::from_secs(1);

/// Time for which a run that has said so counts as brittle without saying so again: an entry hears
/// nothing of it before its next turn there, and a run that has crashed comes back as another one.
const CLAIM_TIME: Duration = Duration::from_secs(5);

/// Minimum time between two divisions of a service's places.
const DIVISION_INTERVAL: Duration = Duration::from_millis(250);

/// Time after a change of its position in which an entry sends only what its earlier position allows
/// as well: others learn of the change up to two reports later.
const TRANSITION_TIME: Duration = Duration::from_millis(750);

/// Time for which an entry sends nothing to an upstream that has refused a request although the entry
/// had a place there: requests of another entry take longer than it has allowed for.
const REFUSAL_PAUSE: Duration = Duration::from_secs(1);

/// Fraction of an upstream's places that stays free, since new connections and health checks also
/// take one for a moment.
const SPARE_DIVISOR: u32 = 8;

/// Shortest turn.
const MIN_TURN: Duration = Duration::from_millis(250);

/// Longest turn.
const MAX_TURN: Duration = Duration::from_secs(4);

/// Minimum length of a turn as a multiple of the time that answers take. Lengths are powers of two
/// of [`MIN_TURN`], so that entries which measure slightly different times agree.
const MIN_TURN_FACTOR: f64 = 3.0;

/// Time before the end of a turn in which no request starts, as a multiple of the time that answers
/// take and in addition.
const TURN_GUARD: (f64, Duration) = (1.5, Duration::from_millis(10));

/// Holds which services are brittle.
#[derive(Debug, Default)]
pub struct Brittleness {
    services: BTreeMap<Arc<str>, BrittleService>,
    /// Longest time of an answer of each service that was brittle, in seconds, when an upstream of it
    /// was last measured.
    answer_times: BTreeMap<Arc<str>, f64>,
}

#[derive(Debug)]
struct BrittleService {
    /// When this entry learnt of it.
    since: Duration,
    told_at: Duration,
    /// When each run last said so, unless a later answer of it did not.
    claims: BTreeMap<Run, Duration>,
    divided_at: Option<Duration>,
    position: Option<TimeSlot>,
    shares: Shares,
    /// Length of a turn while no upstream has been measured.
    assumed_turn: Duration,
    /// What the earlier position allows, and until when it counts.
    earlier: Option<(Duration, Shares)>,
    /// Until when nothing is sent to upstreams that have refused a request.
    paused_until: BTreeMap<Run, Duration>,
}

type Shares = BTreeMap<Run, Share>;

/// What an entry may send to an upstream.
#[derive(Debug)]
enum Share {
    /// Number of requests at once.
    Places(u32),
    /// One request at once in each turn of which a position belongs to the entry.
    Turns(Turns),
}

/// The turns of an entry at one upstream.
///
/// In each turn the places of all upstreams go to the next entries, in the order of their
/// positions. Once all entries have had their turn, the upstreams change places in that order: an
/// entry that only met one of them would learn nothing of the others.
#[derive(Debug)]
struct Turns {
    position: TimeSlot,
    /// Places of the upstreams before this one, of this one, and of all.
    places: (u32, u32, u32),
    /// Places by which the upstreams move on in their order.
    step: u32,
    length: Duration,
    /// Time before the end of a turn in which no request starts.
    guard: Duration,
}

/// Describes an upstream whose places are divided.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Run of the upstream.
    pub run: Run,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// How long it takes for a request, in seconds; `None` before the first measurement.
    pub answer_time: Option<f64>,
}

impl Brittleness {
    /// Records whether the answer of a run to a request that was sent at `sent_at` says that its
    /// service is brittle; returns whether that is new, or has ended.
    ///
    /// It ends once an answer shows so, and no run counts as brittle.
    pub fn record_answer(
        &mut self,
        now: Duration,
        service: &Arc<str>,
        (run, sent_at): (&Run, Duration),
        is_brittle: bool,
    ) -> bool {
        match self.services.get_mut(service) {
            Some(state) if is_brittle => {
                state.told_at = now;
                state.claims.insert(run.clone(), now);
                false
            }
            Some(state) if sent_at >= state.told_at + END_DELAY => {
                state.claims.retain(|it, at| it != run && now < *at + CLAIM_TIME);
                let has_ended = state.claims.is_empty();
                if has_ended {
                    self.services.remove(service);
                }
                has_ended
            }
            None if is_brittle => {
                let state = BrittleService {
                    since: now,
                    told_at: now,
                    claims: BTreeMap::from([(run.clone(), now)]),
                    divided_at: None,
                    position: None,
                    shares: Shares::new(),
                    assumed_turn: MIN_TURN,
                    earlier: None,
                    paused_until: BTreeMap::new(),
                };
                self.services.insert(service.clone(), state);
                true
            }
            Some(_) | None => false,
        }
    }

    /// Records that an upstream has refused a request.
    ///
    /// An entry that has no answer yet assumes another length of the turns then: with the wrong one
    /// it takes those of others, and would never get an answer.
    pub fn record_refusal(&mut self, now: Duration, service: &str, run: &Run) {
        if let Some(state) = self.services.get_mut(service) {
            // Requests that were sent before took no turns.
            if now >= state.since + MIN_TURN {
                let longer = state.assumed_turn * 2;
                state.assumed_turn = if longer > MAX_TURN { MIN_TURN } else { longer };
            }
            state.paused_until.retain(|_, until| now < *until);
            state.paused_until.insert(run.clone(), now + REFUSAL_PAUSE);
        }
    }

    /// Returns whether nothing is sent to an upstream, since it has just refused a request.
    pub fn is_paused(&self, now: Duration, service: &str, run: &Run) -> bool {
        let until = self.services.get(service).and_then(|it| it.paused_until.get(run));
        until.is_some_and(|until| now < *until)
    }

    /// Returns the brittle services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.keys()
    }

    /// Returns whether a service is brittle.
    pub fn is_brittle(&self, service: &str) -> bool {
        self.services.contains_key(service)
    }

    /// Returns whether a service is brittle and its places are to be divided again.
    pub fn is_division_due(&self, now: Duration, service: &str) -> bool {
        let is_due = |at: Duration| now.saturating_sub(at) >= DIVISION_INTERVAL;
        self.services.get(service).is_some_and(|it| it.divided_at.is_none_or(is_due))
    }

    /// Divides the places of a service among the entries. All entries must name its upstreams in
    /// the same order.
    ///
    /// `position` is the place of this entry among all. An entry without a position gets nothing.
    pub fn divide(
        &mut self,
        now: Duration,
        service: &str,
        capacities: &[Capacity],
        position: Option<TimeSlot>,
    ) {
        let Some(state) = self.services.get_mut(service) else { return };
        let is_first = state.divided_at.replace(now).is_none();
        let shares = std::mem::take(&mut state.shares);
        if state.position != position && !is_first {
            state.earlier = Some((now + TRANSITION_TIME, shares));
        }
        state.earlier = state.earlier.take().filter(|(until, _)| now < *until);
        state.position = position;
        let Some(TimeSlot { index, count, width }) = position else { return };
        let count = count.max(1);
        let position = TimeSlot { index: index % count, count, width: width.clamp(1, count) };
        let total: u32 = capacities.iter().map(|it| usable_places(it.slots)).sum();
        // A new run has not been measured by an entry that has had no turn there. The entries agree
        // on its turns only if each falls back on what it knows of the service.
        let measured = capacities.iter().filter_map(|it| it.answer_time).reduce(f64::max);
        if let Some(measured) = measured {
            self.answer_times.insert(service.into(), measured);
        }
        let assumed = state.assumed_turn.as_secs_f64() / MIN_TURN_FACTOR;
        let usual = self.answer_times.get(service).copied().unwrap_or(assumed);
        let upstream_count = u32::try_from(capacities.len()).unwrap_or(u32::MAX).max(1);
        let step = (total / upstream_count).max(1);
        let mut before = 0;
        for Capacity { run, slots, answer_time } in capacities {
            let usable = usable_places(*slots);
            let share = if total >= position.count {
                let next = own_positions(before, usable % position.count, position);
                Share::Places(usable / position.count * position.width + next)
            } else {
                let places = (before, usable, total);
                Share::Turns(Turns::new(position, places, step, answer_time.unwrap_or(usual)))
            };
            state.shares.insert(run.clone(), share);
            before += usable;
        }
    }

    /// Returns the time until this entry may start a request in a turn at an upstream; `None` if its
    /// places are not used in turns.
    pub fn time_until_turn(
        &self,
        service: &str,
        run: &Run,
        wall_clock: Duration,
    ) -> Option<Duration> {
        match self.services.get(service)?.shares.get(run)? {
            Share::Turns(turns) => turns.time_until_start(wall_clock),
            Share::Places(_) => None,
        }
    }

    /// Returns whether this entry, with `active` requests in progress there, may send one more to an
    /// upstream of a brittle service; `wall_clock` is the agreed time of day.
    pub fn admits(&self, service: &str, run: &Run, active: u32, wall_clock: Duration) -> bool {
        let Some(state) = self.services.get(service) else { return false };
        let admits = |share: &Share| share.admits(active, wall_clock);
        // An upstream that came after the change has no earlier share.
        let earlier = state.earlier.as_ref().and_then(|(_, shares)| shares.get(run));
        state.shares.get(run).is_some_and(admits) && earlier.is_none_or(admits)
    }
}

impl Share {
    fn admits(&self, active: u32, wall_clock: Duration) -> bool {
        match self {
            Self::Places(places) => active < *places,
            Self::Turns(turns) => active == 0 && turns.may_start(wall_clock),
        }
    }
}

impl Turns {
    fn new(position: TimeSlot, places: (u32, u32, u32), step: u32, answer_time: f64) -> Self {
        let mut length = MIN_TURN;
        while length.as_secs_f64() < answer_time * MIN_TURN_FACTOR && length < MAX_TURN {
            length *= 2;
        }
        let guard = Duration::from_secs_f64(answer_time * TURN_GUARD.0) + TURN_GUARD.1;
        Self { position, places, step, length, guard: guard.min(length / 2) }
    }

    /// Returns whether a request that starts now most likely ends within a turn of this entry.
    fn may_start(&self, wall_clock: Duration) -> bool {
        self.is_own(self.number(wall_clock))
            && self.elapsed(wall_clock) + self.guard.as_nanos() <= self.length.as_nanos()
    }

    /// Returns the time until a request may start; `None` if no turn belongs to this entry.
    fn time_until_start(&self, wall_clock: Duration) -> Option<Duration> {
        if self.may_start(wall_clock) {
            return Some(Duration::ZERO);
        }
        let number = self.number(wall_clock);
        let ahead =
            (1..=self.position.count).find(|ahead| self.is_own(number + u128::from(*ahead)))?;
        let elapsed =
            u64::try_from(self.elapsed(wall_clock)).map_or(self.length, Duration::from_nanos);
        Some((self.length * ahead).saturating_sub(elapsed))
    }

    /// Returns the number of the present turn.
    fn number(&self, wall_clock: Duration) -> u128 {
        wall_clock.as_nanos() / self.length.as_nanos()
    }

    /// Returns the nanoseconds since the present turn began.
    fn elapsed(&self, wall_clock: Duration) -> u128 {
        wall_clock.as_nanos() % self.length.as_nanos()
    }

    /// Returns whether a place belongs to this entry in a turn.
    fn is_own(&self, number: u128) -> bool {
        let (before, usable, total) = self.places;
        let count = u128::from(self.position.count);
        let (round, first) =
            (number * u128::from(total) / count, number * u128::from(total) % count);
        let offset = (u128::from(before) + round * u128::from(self.step)) % u128::from(total);
        // Both are below the number of entries or of places.
        let (Ok(first), Ok(offset)) = (u32::try_from(first), u32::try_from(offset)) else {
            return false;
        };
        // The places of an upstream at the end of the order go on at its start.
        let until_end = usable.min(total - offset);
        own_positions(first + offset, until_end, self.position) > 0
            || own_positions(first, usable - until_end, self.position) > 0
    }
}

/// Returns how many of the `length` positions from `first` on, modulo their number, belong to an
/// entry.
fn own_positions(first: u32, length: u32, position: TimeSlot) -> u32 {
    let TimeSlot { index, count, width } = position;
    let own = (0..width).map(|offset| (index + offset + count - first % count) % count);
    u32::try_from(own.filter(|distance| *distance < length).count()).unwrap_or(u32::MAX)
}

/// Returns how many places of an upstream all entries together may use, at least one.
pub fn usable_places(slots: u32) -> u32 {
    (slots - slots.div_ceil(SPARE_DIVISOR)).max(1)
}
