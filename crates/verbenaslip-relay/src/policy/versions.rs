//! Which version of a service takes a request, and what requests met at each.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::rollout::evaluator::Evaluator;
use verbenaslip_fleet::rollout::report::{Counts, Group, Key, Report};
use verbenaslip_fleet::rollout::{Cohort, Plan, Plans, State};

use crate::policy::upstream_state::Ending;

/// How long after the report that the leader last answered an entry may use a candidate. Counted from when an answer is
/// read, a machine that stood still would go by answers from before it did.
const LEASE: Duration = Duration::from_secs(1);

/// The versions that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Track {
    /// Those that served before.
    Stable,
    /// The candidate of a roll-out.
    Candidate,
}

/// Says which versions take a request: the first, or else the second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tracks {
    /// Where it goes.
    pub first: Track,
    /// Where it goes if it can't go there.
    pub second: Option<Track>,
}

impl Default for Tracks {
    fn default() -> Self {
        Self { first: Track::Stable, second: None }
    }
}

impl Track {
    /// Tells whether upstreams of a cohort are on the track.
    pub(crate) fn admits(self, cohort: Cohort) -> bool {
        match self {
            Self::Stable => cohort == Cohort::Stable,
            Self::Candidate => matches!(cohort, Cohort::Canary | Cohort::Candidate),
        }
    }
}

/// Follows the plans of all roll-outs at one entry.
#[derive(Debug, Default)]
pub struct Versions {
    plans: Arc<Plans>,
    /// When the last report was sent whose answer says that the plans are the newest.
    confirmed: Option<Duration>,
    /// Roll-outs whose candidate this entry uses no more, whatever a later leader says.
    rolled_back: BTreeSet<u64>,
    tallies: BTreeMap<Arc<str>, Tally>,
}

/// Names a request that is counted for a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(u64);

/// Counts the requests of one service during a roll-out.
#[derive(Debug)]
struct Tally {
    plan: Plan,
    rows: BTreeMap<Key, Counts>,
    active: BTreeMap<u64, Active>,
    next: u64,
    judge: Evaluator,
    /// What the judge has seen.
    judged: BTreeMap<Key, Counts>,
    /// Whether the candidate looks bad from here.
    stopped: bool,
}

/// Holds a request that is under way.
#[derive(Debug)]
struct Active {
    key: Key,
    sent: Duration,
    first: Option<Duration>,
    /// Whether it was counted already, as one that is slow.
    counted: bool,
}

impl Versions {
    /// Takes a newer view.
    pub fn update(&mut self, view: &View) {
        self.confirmed = view.plans_confirmed_at;
        if Arc::ptr_eq(&self.plans, &view.rollout_plans) {
            return;
        }
        self.plans = view.rollout_plans.clone();
        for (service, plan) in self.plans.iter() {
            if plan.state == State::RolledBack {
                self.rolled_back.insert(plan.id);
            }
            match self.tallies.get_mut(service) {
                Some(tally) if tally.plan.id == plan.id => tally.plan = plan.clone(),
                _ => {
                    self.tallies.insert(service.clone(), Tally::open(plan.clone()));
                }
            }
        }
        self.tallies.retain(|service, _| view.rollout_plans.contains_key(service));
    }

    /// Chooses the versions for a request of a route; `draw` is between zero and one.
    ///
    /// One that is tried again goes to a version that is known to be good, unless the candidate takes over.
    pub fn tracks(
        &self,
        now: Duration,
        service: &str,
        route: &str,
        again: bool,
        draw: f64,
    ) -> Tracks {
        let Some(tally) = self.tallies.get(service) else { return Tracks::default() };
        let plan = &tally.plan;
        let silent = self.confirmed.is_none_or(|at| now.saturating_sub(at) > LEASE);
        let ended = self.rolled_back.contains(&plan.id);
        let both = |first, second| Tracks { first, second: Some(second) };
        match plan.state {
            State::RolledBack => Tracks::default(),
            State::Completed => both(Track::Candidate, Track::Stable),
            State::Serving if ended => Tracks::default(),
            // The verdict may be known elsewhere by now, and the stable upstreams stopped.
            State::Serving if silent || tally.stopped => match plan.shifting {
                true => both(Track::Stable, Track::Candidate),
                false => Tracks::default(),
            },
            State::Serving if again && !plan.shifting => Tracks::default(),
            State::Serving if draw < plan.share(route) => both(Track::Candidate, Track::Stable),
            State::Serving if plan.shifting => both(Track::Stable, Track::Candidate),
            State::Serving => Tracks::default(),
        }
    }

    /// Counts a request that is sent; none while its service has no roll-out under way.
    pub fn sent(
        &mut self,
        now: Duration,
        service: &str,
        route: &Arc<str>,
        cohort: Cohort,
        mark: u64,
    ) -> Option<Ticket> {
        let tally = self.tallies.get_mut(service)?;
        if tally.plan.state != State::Serving {
            return None;
        }
        let group = match cohort {
            Cohort::Stable => Group::Stable,
            Cohort::Canary => Group::Canary(mark),
            Cohort::Candidate | Cohort::Reserve | Cohort::Rejected => Group::Candidate,
        };
        Some(tally.sent(now, (route.clone(), group)))
    }

    /// Takes the time of the first event of a request.
    pub fn first(&mut self, service: &str, ticket: Ticket, took: Duration) {
        let active = self.tallies.get_mut(service).and_then(|it| it.active.get_mut(&ticket.0));
        if let Some(active) = active {
            active.first = active.first.or(Some(took));
        }
    }

    /// Takes the end of a request.
    pub fn end(&mut self, now: Duration, service: &str, ticket: Ticket, ending: Ending) {
        if let Some(tally) = self.tallies.get_mut(service) {
            tally.end(now, ticket, ending);
        }
    }

    /// Makes the reports that the leader gets next.
    pub fn report(&mut self, now: Duration) -> Vec<Report> {
        let rolled_back = &self.rolled_back;
        let serving = self.tallies.values_mut().filter(|it| it.plan.state == State::Serving);
        serving.map(|tally| tally.report(now, rolled_back.contains(&tally.plan.id))).collect()
    }
}

impl Tally {
    fn open(plan: Plan) -> Self {
        Self {
            plan,
            rows: BTreeMap::new(),
            active: BTreeMap::new(),
            next: 0,
            judge: Evaluator::default(),
            judged: BTreeMap::new(),
            stopped: false,
        }
    }

    fn sent(&mut self, now: Duration, key: Key) -> Ticket {
        self.next += 1;
        self.rows.entry(key.clone()).or_default().sent += 1;
        self.active.insert(self.next, Active { key, sent: now, first: None, counted: false });
        Ticket(self.next)
    }

    fn end(&mut self, now: Duration, ticket: Ticket, ending: Ending) {
        let Some(active) = self.active.remove(&ticket.0) else { return };
        let slow = self.plan.slow_threshold(&active.key.0);
        let counts = self.rows.entry(active.key.clone()).or_default();
        let took = active.first.unwrap_or(now.saturating_sub(active.sent));
        let late = slow.is_some_and(|slow| took > slow);
        let bad = match ending {
            Ending::Unreachable => {
                counts.sent = counts.sent.saturating_sub(1);
                return;
            }
            Ending::Full | Ending::Resting => return,
            Ending::Left if !late => return,
            Ending::Left | Ending::Failed => true,
            Ending::Complete => late,
        };
        if active.key.1 == Group::Stable && ending == Ending::Complete {
            counts.record_latency(took);
        }
        if !active.counted {
            counts.ended += 1;
            counts.bad += u64::from(bad);
        }
    }

    /// Counts requests that are late already, so that slow ones are known before they are answered.
    fn count_late(&mut self, now: Duration) {
        for active in self.active.values_mut().filter(|it| !it.counted && it.first.is_none()) {
            let slow = self.plan.slow_threshold(&active.key.0);
            if slow.is_some_and(|limit| now.saturating_sub(active.sent) > limit) {
                active.counted = true;
                let counts = self.rows.entry(active.key.clone()).or_default();
                counts.ended += 1;
                counts.bad += 1;
            }
        }
    }

    fn report(&mut self, now: Duration, rolled_back: bool) -> Report {
        self.count_late(now);
        self.judge();
        let stable = self.active.values().filter(|it| it.key.1 == Group::Stable).count();
        Report {
            id: self.plan.id,
            step: self.plan.step,
            stable_active: u32::try_from(stable).unwrap_or(u32::MAX),
            halted: rolled_back,
            rows: self.rows.iter().map(|(key, counts)| (key.clone(), counts.clone())).collect(),
        }
    }

    /// Stops using a candidate that looks bad from here, before the leader's word comes.
    fn judge(&mut self) {
        let fresh = self.rows.iter().map(|((route, group), counts)| {
            let group = if *group == Group::Stable { Group::Stable } else { Group::Candidate };
            ((route.clone(), group), counts.clone())
        });
        let mut pooled: BTreeMap<Key, Counts> = BTreeMap::new();
        fresh.for_each(|(key, counts)| pooled.entry(key).or_default().add(&counts));
        let fresh =
            pooled.iter().map(|(key, it)| (key.clone(), it.difference(self.judged.get(key))));
        let fresh = fresh.collect();
        self.stopped |= self.judge.evaluate(&fresh).is_some();
        self.judged = pooled;
    }
}
