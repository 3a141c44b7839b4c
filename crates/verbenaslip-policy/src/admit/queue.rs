//! Queues the requests of one model until a slot is free.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Upstream;
use verbenaslip_base::refusal::{Reason, Refusal};
use verbenaslip_table::Key;

use crate::admit::RetryHints;
use crate::admit::lane::{Lane, LaneEntry};
use crate::admit::retry_hint::OfferedLoad;
use crate::pool::Pool;
use crate::row::RowParams;

/// The maximum number of requests queued for one model at one instance; bounds memory.
const MAX_QUEUED: usize = 8192;
/// The fraction of the work dispatched at a higher priority that each waiting lower priority is
/// granted as credit, so that it is never starved.
const LOWER_PRIORITY_FRACTION: f64 = 0.1;
/// The fraction of the time to the deadline that a prediction may use. The rest allows for
/// prediction errors.
const DEADLINE_FRACTION: f64 = 0.9;

/// The minimum fraction of the slots that a priority is expected to get, regardless of the load of
/// higher priorities.
const MIN_SLOT_FRACTION: f64 = 0.1;

/// Describes a request that is offered to a queue.
#[data]
pub struct QueuedRequest {
    /// The head of the request.
    pub head: Head,
    /// The key of the route table row that applies to the request. Its class may be the fallback
    /// class.
    pub key: Key,
    /// The time at which the request arrived.
    pub arrived: Duration,
    /// The parameters of the row.
    pub params: RowParams,
    /// Prompt tokens that at least one upstream is expected to have cached.
    pub cached_tokens: u32,
    /// Upstreams on which the request must not run again.
    pub avoid: Vec<Upstream>,
    /// Whether the request may already have run. Such a request is never refused as not run.
    pub may_have_run: bool,
}

/// Tells what happened to an offered request.
#[data]
pub enum Admission {
    /// A slot is free and no request is queued; the request is dispatched as soon as it is ready.
    Admitted,
    /// The request is queued and is expected to wait this long.
    Queued(Duration),
    /// The request was refused and has not run.
    Refused(Refusal),
}

/// Describes a queued request that was refused because it waited too long or could no longer meet
/// its deadline.
#[data]
pub struct Expired {
    /// The head of the request.
    pub head: Head,
    /// The refusal that the caller receives.
    pub refusal: Refusal,
}

/// Holds the queued requests of one model.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Key, Lane>,
    lane_keys: BTreeMap<Request, Key>,
    retry_hints: RetryHints,
    offered_load: OfferedLoad,
    load_by_priority: BTreeMap<u8, OfferedLoad>,
    running_by_priority: BTreeMap<u8, u32>,
    last_arrival: u64,
    credits: BTreeMap<u8, f64>,
}

impl Queue {
    /// Queues a request or refuses it.
    ///
    /// A queued request waits until [`Queue::mark_ready`] allows its dispatch.
    pub fn offer(
        &mut self,
        now: Duration,
        queued: QueuedRequest,
        pool: &Pool,
        rng: &mut impl Rng,
    ) -> Admission {
        if pool.slots == 0 {
            let refusal = Refusal {
                reason: Reason::NoUpstream,
                retry: Some(self.hint_without_upstreams(now, rng)),
            };
            return Admission::Refused(refusal);
        }
        let cost = service_seconds(&queued, pool);
        let wait = self.predict_wait(now, &queued, pool);
        self.offered_load.add(now, cost);
        self.load_by_priority.entry(queued.params.priority).or_default().add(now, cost);
        if let Some(refusal) = self.check_admission(now, &queued, pool, (wait, cost), rng) {
            return Admission::Refused(refusal);
        }
        let idle = self.lane_keys.is_empty() && pool.free_slots > 0;
        self.insert(queued, cost);
        if idle { Admission::Admitted } else { Admission::Queued(to_duration(wait)) }
    }

    /// Allows the dispatch of a queued request after it has been journaled and claimed. Returns
    /// whether the request is queued here.
    pub fn mark_ready(&mut self, request: Request) -> bool {
        let Some(key) = self.lane_keys.get(&request) else { return false };
        self.lanes.get_mut(key).is_some_and(|lane| lane.mark_ready(request))
    }

    /// Removes and returns the next request to dispatch, if one may run.
    ///
    /// `is_allowed` tells whether the limits of a row allow one more run of the given request.
    pub fn next(
        &mut self,
        now: Duration,
        pool: &Pool,
        mut is_allowed: impl FnMut(&Key, &QueuedRequest) -> bool,
    ) -> Option<QueuedRequest> {
        if pool.free_slots == 0 {
            return None;
        }
        let lowest = self.lowest_allowed_priority(now, pool);
        let key = self.select_lane(lowest, &mut is_allowed)?;
        let lane = self.lanes.get_mut(&key)?;
        let request = lane.first_ready()?.queued.head.request;
        let entry = lane.remove(request)?;
        lane.weighted_service += entry.slot_seconds / f64::from(lane.params.weight.max(1));
        self.lane_keys.remove(&request);
        *self.running_by_priority.entry(entry.queued.params.priority).or_default() += 1;
        Some(entry.queued)
    }

    /// Records that a request returned by [`Queue::next`] no longer runs.
    pub fn release(&mut self, queued: &QueuedRequest) {
        if let Some(running) = self.running_by_priority.get_mut(&queued.params.priority) {
            *running = running.saturating_sub(1);
        }
    }

    /// Queues a request again that could not be sent or has to run again. The request is ready at
    /// once.
    pub fn requeue(&mut self, queued: QueuedRequest, pool: &Pool) {
        let cost = service_seconds(&queued, pool);
        let request = queued.head.request;
        self.insert(queued, cost);
        self.mark_ready(request);
    }

    /// Removes a request, for example after its caller has disconnected.
    pub fn remove(&mut self, request: Request) -> Option<QueuedRequest> {
        let key = self.lane_keys.remove(&request)?;
        let entry = self.lanes.get_mut(&key)?.remove(request)?;
        Some(entry.queued)
    }

    /// Removes and returns the requests that can no longer meet their deadline or that waited
    /// longer than their row allows.
    pub fn expire(&mut self, now: Duration, pool: &Pool, rng: &mut impl Rng) -> Vec<Expired> {
        let overdue: Vec<(Request, Reason)> = self
            .lanes
            .values()
            .flat_map(Lane::iter)
            .filter_map(|entry| Some((entry.queued.head.request, expiry_reason(now, entry, pool)?)))
            .collect();
        let mut expired = Vec::new();
        for (request, reason) in overdue {
            let Some(queued) = self.remove(request) else { continue };
            let (cost, wait) =
                (service_seconds(&queued, pool), self.predict_wait(now, &queued, pool));
            let spare_slots = self.offered_load.spare_slots(now, pool.slot_share);
            let retry = self.retry_hints.hint(now, wait, cost, spare_slots, rng);
            expired.push(Expired {
                head: queued.head,
                refusal: Refusal { reason, retry: Some(retry) },
            });
        }
        expired
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.lane_keys.len()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.lane_keys.is_empty()
    }

    /// Returns the slot seconds of all queued requests.
    pub fn work(&self) -> f64 {
        self.lanes.values().map(|lane| lane.queued_work).sum()
    }

    /// Returns the number of queued requests of a row.
    pub fn len_of_row(&self, key: &Key) -> usize {
        self.lanes.get(key).map_or(0, Lane::len)
    }

    /// Applies the parameters of a new route table to the requests that are already queued.
    pub fn update_params(&mut self, params: impl Fn(&Key) -> Option<RowParams>) {
        for (key, lane) in &mut self.lanes {
            if let Some(params) = params(key) {
                lane.params = params;
            }
        }
        self.lanes.retain(|key, lane| !lane.is_empty() || params(key).is_some());
    }

    fn insert(&mut self, queued: QueuedRequest, cost: f64) {
        let key = queued.key.clone();
        self.remove(queued.head.request);
        let min_service = self.min_service(queued.params.priority);
        let params = queued.params;
        let lane = self.lanes.entry(key.clone()).or_insert_with(|| Lane::new(params, min_service));
        // Otherwise a lane that was idle would have a service deficit for the whole idle time and
        // would take every slot.
        if lane.is_empty() {
            lane.weighted_service = lane.weighted_service.max(min_service);
        }
        lane.params = params;
        self.last_arrival += 1;
        self.lane_keys.insert(queued.head.request, key);
        lane.add(self.last_arrival, LaneEntry { queued, slot_seconds: cost, ready: false });
    }

    /// Returns the lowest weighted service of the busy lanes of a priority.
    fn min_service(&self, priority: u8) -> f64 {
        let busy = self.lanes.values().filter(|lane| !lane.is_empty());
        let services =
            busy.filter(|lane| lane.params.priority == priority).map(|lane| lane.weighted_service);
        services.fold(f64::INFINITY, f64::min).min(self.max_service(priority))
    }

    /// Returns the highest weighted service of all lanes of a priority, or zero if there are none.
    fn max_service(&self, priority: u8) -> f64 {
        let same = self.lanes.values().filter(|lane| lane.params.priority == priority);
        same.map(|lane| lane.weighted_service).fold(0.0, f64::max)
    }

    /// Selects the lane whose first ready request is dispatched next.
    fn select_lane(
        &mut self,
        lowest: u8,
        is_allowed: &mut impl FnMut(&Key, &QueuedRequest) -> bool,
    ) -> Option<Key> {
        let mut best: BTreeMap<u8, LaneCandidate> = BTreeMap::new();
        for (key, lane) in &self.lanes {
            let Some(first) = lane.first_ready() else { continue };
            if !is_allowed(key, &first.queued) {
                continue;
            }
            let candidate = LaneCandidate {
                weighted_service: lane.weighted_service,
                slot_seconds: first.slot_seconds,
                key: key.clone(),
            };
            let best_of_priority =
                best.entry(lane.params.priority).or_insert_with(|| candidate.clone());
            if candidate.weighted_service < best_of_priority.weighted_service {
                *best_of_priority = candidate;
            }
        }
        let highest = *best.keys().next_back()?;
        let owed = best.iter().find(|(priority, candidate)| {
            **priority < highest
                && self.credits.get(priority).is_some_and(|owed| *owed >= candidate.slot_seconds)
        });
        let chosen = owed.map_or(highest, |(priority, _)| *priority);
        if chosen < lowest && owed.is_none() {
            return None;
        }
        self.grant_credits(chosen, &best);
        best.remove(&chosen).map(|candidate| candidate.key)
    }

    /// Grants each waiting lower priority credit for a fraction of the work dispatched before it.
    fn grant_credits(&mut self, chosen: u8, best: &BTreeMap<u8, LaneCandidate>) {
        let Some(cost) = best.get(&chosen).map(|candidate| candidate.slot_seconds) else { return };
        self.credits.insert(chosen, 0.0);
        for priority in best.keys().filter(|priority| **priority < chosen) {
            *self.credits.entry(*priority).or_default() += cost * LOWER_PRIORITY_FRACTION;
        }
    }

    /// Returns the lowest priority that may use one of the free slots.
    ///
    /// Long runs of a low priority could otherwise take every slot during a quiet second, and short
    /// requests of a higher priority that arrive next would find no slot until those runs end.
    /// Slots that higher priorities need according to their offered load, but do not use at the
    /// moment, therefore stay free for them.
    fn lowest_allowed_priority(&mut self, now: Duration, pool: &Pool) -> u8 {
        let instances = f64::from(pool.slots) / pool.slot_share.max(0.25);
        let mut kept_free = 0.0;
        for (priority, offered) in self.load_by_priority.iter_mut().rev() {
            if f64::from(pool.free_slots) <= kept_free * instances {
                return priority.saturating_add(1);
            }
            let running = f64::from(self.running_by_priority.get(priority).copied().unwrap_or(0));
            kept_free += (offered.rate(now) - running).max(0.0);
        }
        0
    }

    /// Predicts the seconds that a request would wait for a slot.
    fn predict_wait(&mut self, now: Duration, queued: &QueuedRequest, pool: &Pool) -> f64 {
        let available = self.available_slots(now, queued.params.priority, pool);
        let key = &queued.key;
        let same = |lane: &&Lane| lane.params.priority == queued.params.priority;
        let higher = |lane: &&Lane| lane.params.priority > queued.params.priority;
        let above: f64 = self.lanes.values().filter(higher).map(|lane| lane.queued_work).sum();
        let own =
            self.lanes.get(key).map_or(0.0, |lane| lane.work_due_before(queued.head.deadline));
        let weight = f64::from(queued.params.weight.max(1));
        // While this lane serves its own earlier work, each other lane of the priority receives at
        // most service in proportion to its weight, and no more than it has queued.
        let others: f64 = self
            .lanes
            .iter()
            .filter(|(other, lane)| *other != key && same(lane))
            .map(|(_, lane)| {
                lane.queued_work.min(own * f64::from(lane.params.weight.max(1)) / weight)
            })
            .sum();
        let ahead = above + own + others;
        let free_slot_delay =
            if pool.free_slots == 0 { self.seconds_until_free_slot(queued, pool) } else { 0.0 };
        let free = f64::from(pool.free_slots) * hold_seconds(queued, pool);
        free_slot_delay + (ahead - free).max(0.0) / available
    }

    /// Returns how many slots of this instance's share the load of higher priorities leaves.
    fn available_slots(&mut self, now: Duration, priority: u8, pool: &Pool) -> f64 {
        let higher = self.load_by_priority.range_mut(priority.saturating_add(1)..);
        let taken: f64 = higher.map(|(_, offered)| offered.rate(now)).sum();
        (pool.slot_share - taken).max(pool.slot_share * MIN_SLOT_FRACTION).max(0.25)
    }

    /// Returns the expected seconds until a slot of this instance's share becomes free when all
    /// slots are in use.
    fn seconds_until_free_slot(&self, queued: &QueuedRequest, pool: &Pool) -> f64 {
        hold_seconds(queued, pool) / (pool.slot_share.max(0.25) + 1.0)
    }

    fn check_admission(
        &mut self,
        now: Duration,
        queued: &QueuedRequest,
        pool: &Pool,
        (wait, cost): (f64, f64),
        rng: &mut impl Rng,
    ) -> Option<Refusal> {
        let seconds_left =
            queued.head.deadline.saturating_sub(now).as_secs_f64() * DEADLINE_FRACTION;
        let max_wait = queued.params.max_wait.as_secs_f64();
        // Even an idle engine would be too late, so a retry with the same deadline does not help.
        if cost > seconds_left {
            return Some(Refusal { reason: Reason::Deadline, retry: None });
        }
        let full = self.lane_keys.len() >= MAX_QUEUED;
        let excess = (wait + cost - seconds_left).max(wait - max_wait);
        if excess <= 0.0 && !full {
            return None;
        }
        let reason = if wait + cost > seconds_left { Reason::Deadline } else { Reason::Overload };
        let spare_slots = self.offered_load.spare_slots(now, pool.slot_share);
        let retry = self.retry_hints.hint(now, excess, cost, spare_slots, rng);
        Some(Refusal { reason, retry: Some(retry) })
    }

    /// Returns a retry hint for the case that no upstream exists and the time until one appears is
    /// unknown.
    fn hint_without_upstreams(&mut self, now: Duration, rng: &mut impl Rng) -> Duration {
        const EXPECTED_SECONDS: f64 = 2.0;
        self.retry_hints.hint(now, EXPECTED_SECONDS, EXPECTED_SECONDS / 16.0, 1.0, rng)
    }
}

/// Holds the lane that goes next within one priority.
#[derive(Clone)]
struct LaneCandidate {
    weighted_service: f64,
    slot_seconds: f64,
    key: Key,
}

/// Returns the predicted seconds from dispatch to the complete answer.
fn service_seconds(queued: &QueuedRequest, pool: &Pool) -> f64 {
    let computed = queued.head.prompt.saturating_sub(queued.cached_tokens);
    pool.service_times.total_seconds(computed, max_output_tokens(queued), pool.mean_running)
}

/// Returns the predicted seconds for which a running request holds its slot.
fn hold_seconds(queued: &QueuedRequest, pool: &Pool) -> f64 {
    service_seconds(queued, pool)
}

/// Returns the maximum number of tokens of a request's answer.
fn max_output_tokens(queued: &QueuedRequest) -> u32 {
    queued.head.output.min(queued.params.max_output_tokens)
}

/// Returns the reason why a queued request can no longer be served, if there is one.
fn expiry_reason(now: Duration, entry: &LaneEntry, pool: &Pool) -> Option<Reason> {
    let seconds_left = entry.queued.head.deadline.saturating_sub(now).as_secs_f64();
    // An accepted request that was moved has already waited and already holds tokens that the
    // estimate does not count. Both checks below could drop it although it can still complete in
    // time.
    if entry.queued.may_have_run {
        return (seconds_left <= 0.0).then_some(Reason::Deadline);
    }
    if service_seconds(&entry.queued, pool) > seconds_left {
        return Some(Reason::Deadline);
    }
    let waited = now.saturating_sub(entry.queued.arrived);
    (waited > entry.queued.params.max_wait).then_some(Reason::Overload)
}

/// Converts seconds to a duration; values that a duration cannot hold become the maximum.
fn to_duration(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
