//! What upstreams ask for in the heads of their answers.
//!
//! Whatever is asked for binds this entry by itself: it holds while the upstream is not heard by the cores, or
//! the cores are not heard here.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::clock;
use verbenaslip_fleet::limit::{Limit, Observation, TimeSlot};
use verbenaslip_fleet::registry::Run;

use crate::dialect::{RateLimit, ResponseInfo};
use crate::policy::cooldown::Rest;
use crate::policy::limiter::Limiter;

/// How long an upstream takes to get all of its requests again. All entries find it idle at that moment, and would
/// send it everything.
const RETURN: Duration = Duration::from_secs(2);

/// How long an entry may not have asked a limited upstream until it prefers it in its turn: only its answers say when
/// the limit ends.
const PROBE: Duration = Duration::from_secs(1);

/// How long what a run asked for is remembered after its last answer.
const MEMORY: Duration = Duration::from_secs(60);

/// A moment by both clocks.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// By the monotonic clock.
    pub now: Duration,
    /// By the agreed time of day, since the start of 1970.
    pub time: Duration,
}

impl Moment {
    /// Reads both clocks at a time of the monotonic one.
    pub fn at(now: Duration, offset: i64) -> Self {
        Self { now, time: Duration::from_millis(clock::unix_ms(now, offset)) }
    }

    fn unix(self) -> u64 {
        u64::try_from(self.time.as_millis()).unwrap_or(u64::MAX)
    }
}

/// Says what has changed by an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Change {
    /// The limit of the upstream.
    Limit(Limit),
    /// The rest that it wants from this entry; none once it takes requests again.
    Rest(Option<Duration>),
    /// It is about to go.
    Leaving,
}

/// Says why an upstream takes no request from this entry now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restriction {
    /// It limits the rate, and it is not this entry's turn.
    Limited,
    /// It has asked for rest.
    Resting,
}

/// Remembers what each run of an upstream asks for.
#[derive(Debug, Default)]
pub struct Notices {
    notices: BTreeMap<Run, Notice>,
    turn: Option<TimeSlot>,
}

/// Holds what one run asks for.
#[derive(Debug)]
struct Notice {
    limit: Option<Limit>,
    limiter: Option<Limiter>,
    /// When this entry learnt of the limit.
    learnt: Duration,
    rest: Option<Rest>,
    /// Whether it is about to go; a run says that once and for all.
    leaving: bool,
    /// When this entry last had an answer.
    answered: Duration,
    /// When the last restriction ended.
    ended: Option<Duration>,
}

impl Notices {
    /// Takes what an answer says to a request that was sent at a time; returns what has changed by it.
    pub fn answered(
        &mut self,
        at: Moment,
        run: &Run,
        sent: Duration,
        reply: &ResponseInfo,
    ) -> Vec<Change> {
        let limits = reply.rate_limit != RateLimit::Unlimited;
        let asks = limits || reply.cooldown.is_some() || reply.leaving;
        if !asks && !self.notices.contains_key(run) {
            return Vec::new();
        }
        let notice = self.notices.entry(run.clone()).or_insert_with(|| Notice::open(at));
        notice.answered = at.now;
        let limit = notice.take_limit(at, sent, reply.rate_limit, self.turn).map(Change::Limit);
        let rest = notice.take_rest(at, sent, reply);
        let leaves = reply.leaving && !std::mem::replace(&mut notice.leaving, true);
        let leaving = leaves.then_some(Change::Leaving);
        limit.into_iter().chain(rest).chain(leaving).collect()
    }

    /// Takes the limits that others have learnt of, and this entry's place among them; returns what is new here.
    pub fn follow(&mut self, at: Moment, view: &View) -> Vec<Observation> {
        if self.turn != view.time_slot {
            self.turn = view.time_slot;
            let limiters = self.notices.values_mut().filter_map(|it| it.limiter.as_mut());
            limiters.for_each(|limiter| limiter.change(limiter.rate(), view.time_slot, at.time));
        }
        let known = |run: &Run| self.notices.get(run).and_then(|it| it.limit.as_ref());
        let news = view.limits.iter().filter(|(run, limit)| limit.supersedes(known(run)));
        let news: Vec<Observation> =
            news.map(|(run, limit)| Observation { run: run.clone(), limit: *limit }).collect();
        for Observation { run, limit } in &news {
            let notice = self.notices.entry(run.clone()).or_insert_with(|| Notice::open(at));
            notice.set_limit(at, *limit, view.time_slot);
        }
        news
    }

    /// Tells whether this entry may send a request to a run now.
    ///
    /// `spare` is whether another upstream may get it if this one turns it away; `draw`, between zero and one, decides
    /// while traffic returns.
    pub fn admits(&self, at: Moment, run: &Run, spare: bool, draw: impl FnOnce() -> f64) -> bool {
        let Some(notice) = self.notices.get(run) else { return true };
        if notice.leaving {
            return false;
        }
        let since = notice.ended.map_or(RETURN, |ended| at.now.saturating_sub(ended));
        let returned = draw() * RETURN.as_secs_f64() <= since.as_secs_f64();
        let free = notice.limiter.is_none_or(|limiter| limiter.is_free(at.time));
        free && match notice.rest {
            Some(rest) => rest.is_over(at.now, spare),
            None => returned || notice.limiter.is_some(),
        }
    }

    /// Tells whether a run is about to go.
    pub fn is_leaving(&self, run: &Run) -> bool {
        self.notices.get(run).is_some_and(|it| it.leaving)
    }

    /// Tells how a run is restricted.
    pub fn restriction(&self, run: &Run) -> Option<Restriction> {
        let notice = self.notices.get(run)?;
        let rest = notice.rest.map(|_| Restriction::Resting);
        rest.or(notice.limiter.map(|_| Restriction::Limited))
    }

    /// Returns how long it takes until this entry may send to a run; none where it is limited and this entry's place is
    /// not known.
    pub fn wait(&self, at: Moment, run: &Run, spare: bool) -> Option<Duration> {
        let Some(notice) = self.notices.get(run) else { return Some(Duration::ZERO) };
        let rest = notice.rest.map_or(Duration::ZERO, |rest| rest.wait(at.now, spare));
        match notice.limiter {
            Some(limiter) => limiter.wait(at.time).map(|turn| turn.max(rest)),
            None => Some(rest),
        }
    }

    /// Returns the limit of a run.
    pub fn rate(&self, run: &Run) -> Option<f64> {
        Some(self.notices.get(run)?.limiter?.rate())
    }

    /// Tells whether a run is to be asked, to learn whether it still is limited.
    pub fn is_due(&self, at: Moment, run: &Run) -> bool {
        let notice = self.notices.get(run).filter(|it| it.limiter.is_some());
        notice.is_some_and(|it| at.now.saturating_sub(it.answered) > PROBE)
    }

    /// Counts a request that is sent to a run.
    pub fn sent(&mut self, at: Moment, run: &Run) {
        let Some(notice) = self.notices.get_mut(run) else { return };
        if let Some(limiter) = &mut notice.limiter {
            limiter.take(at.time);
        }
        if let Some(rest) = &mut notice.rest {
            rest.sent(at.now);
        }
    }

    /// Forgets runs that are not `there` and have not answered for long.
    ///
    /// A run may be missing for a moment, while a new leader has not heard it yet, and what it asked for still holds.
    pub fn prune(&mut self, at: Moment, there: impl Fn(&Run) -> bool) {
        let lately = |it: &Notice| at.now.saturating_sub(it.answered) <= MEMORY;
        self.notices.retain(|run, notice| lately(notice) || there(run));
    }
}

impl Notice {
    fn open(at: Moment) -> Self {
        Self {
            limit: None,
            limiter: None,
            learnt: at.now,
            rest: None,
            leaving: false,
            answered: at.now,
            ended: None,
        }
    }

    fn take_limit(
        &mut self,
        at: Moment,
        sent: Duration,
        said: RateLimit,
        turn: Option<TimeSlot>,
    ) -> Option<Limit> {
        let rate = match said {
            RateLimit::PerSecond(rate) => Some(rate),
            // An answer to what was sent before may have been made before the limit was named.
            RateLimit::Unlimited if self.limiter.is_some() && sent >= self.learnt => None,
            RateLimit::Unlimited | RateLimit::Unreadable => return None,
        };
        let limit = Limit { rate, reported_at_ms: at.unix() };
        if !limit.supersedes(self.limit.as_ref()) {
            return None;
        }
        self.set_limit(at, limit, turn);
        Some(limit)
    }

    fn set_limit(&mut self, at: Moment, limit: Limit, turn: Option<TimeSlot>) {
        self.limit = Some(limit);
        match (&mut self.limiter, limit.rate) {
            (Some(limiter), Some(rate)) => limiter.change(rate, turn, at.time),
            (None, Some(rate)) => {
                self.learnt = at.now;
                self.limiter = Some(Limiter::open(rate, turn, at.time));
            }
            (Some(_), None) => {
                self.limiter = None;
                self.ended = Some(at.now);
            }
            (None, None) => {}
        }
    }

    fn take_rest(&mut self, at: Moment, sent: Duration, reply: &ResponseInfo) -> Option<Change> {
        if let Some(length) = reply.cooldown {
            self.rest = Some(Rest::open(at.now, length));
            return Some(Change::Rest(Some(length)));
        }
        let rest = self.rest.filter(|rest| rest.is_probe(sent))?;
        if reply.not_run {
            // It still takes none, and says no other time.
            self.rest = Some(Rest::open(at.now, rest.length()));
            return None;
        }
        self.rest = None;
        self.ended = Some(at.now);
        Some(Change::Rest(None))
    }
}
