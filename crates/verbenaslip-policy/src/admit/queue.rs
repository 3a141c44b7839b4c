//! The requests of one model that wait for a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::Upstream;
use verbenaslip_base::refusal::{Reason, Refusal};
use verbenaslip_table::Key;

use crate::admit::Returns;
use crate::admit::lane::{Lane, Waiting};
use crate::admit::returns::Offered;
use crate::pool::Pool;
use crate::row::Terms;

/// The most requests that wait for one model at one instance; bounds memory.
const MOST_WAITING: usize = 8192;
/// The part of the work of higher priorities that a waiting lower one gets in any case.
const STARVATION: f64 = 0.1;
/// The part of the time to the deadline that predictions may fill; the rest is for their error.
const MARGIN: f64 = 0.9;

/// The part of the slots that a priority is expected to get however much is above it.
const LEAST: f64 = 0.1;

/// Describes a request that is offered.
#[data]
pub struct Item {
    /// The request.
    pub head: Head,
    /// The row of the table that it falls under; its class may be the fallback.
    pub key: Key,
    /// When it arrived.
    pub arrived: Duration,
    /// The terms of its row.
    pub terms: Terms,
    /// Prompt tokens that some upstream is expected to have cached.
    pub cached: u32,
    /// Upstreams that it must not run on again.
    pub avoid: Vec<Upstream>,
    /// Whether it may have run already, so that it is never again refused as not run.
    pub begun: bool,
}

/// Decides what becomes of an offered request.
#[data]
pub enum Admission {
    /// A slot is free and nobody waits: it goes as soon as it is ready.
    Admitted,
    /// It waits, presumably this long.
    Queued(Duration),
    /// It was not run.
    Refused(Refusal),
}

/// Tells of a request that was given up while it waited.
#[data]
pub struct Given {
    /// The request.
    pub head: Head,
    /// What its caller gets, at once.
    pub refusal: Refusal,
}

/// Holds the waiting requests of one model.
#[derive(Debug, Default)]
pub struct Queue {
    lanes: BTreeMap<Key, Lane>,
    homes: BTreeMap<Request, Key>,
    returns: Returns,
    offered: Offered,
    demand: BTreeMap<u8, Offered>,
    running: BTreeMap<u8, u32>,
    order: u64,
    owed: BTreeMap<u8, f64>,
}

impl Queue {
    /// Takes in a request or refuses it at once.
    ///
    /// A request that is taken in waits until [`Queue::ready`] allows its dispatch.
    pub fn offer(
        &mut self,
        now: Duration,
        item: Item,
        pool: &Pool,
        rng: &mut impl Rng,
    ) -> Admission {
        if pool.slots == 0 {
            let refusal = Refusal { reason: Reason::NoUpstream, retry: Some(self.later(now, rng)) };
            return Admission::Refused(refusal);
        }
        let cost = cost(&item, pool);
        let wait = self.wait(now, &item, pool);
        self.offered.add(now, cost);
        self.demand.entry(item.terms.priority).or_default().add(now, cost);
        if let Some(refusal) = self.refuse(now, &item, pool, (wait, cost), rng) {
            return Admission::Refused(refusal);
        }
        let idle = self.homes.is_empty() && pool.free > 0;
        self.insert(item, cost);
        if idle { Admission::Admitted } else { Admission::Queued(seconds(wait)) }
    }

    /// Allows a waiting request to be dispatched, once it is journalled and claimed.
    pub fn ready(&mut self, request: Request) -> bool {
        let Some(key) = self.homes.get(&request) else { return false };
        self.lanes.get_mut(key).is_some_and(|lane| lane.ready(request))
    }

    /// Returns the request that should go next and takes it out, if one may go.
    ///
    /// `may` says whether a row's limits allow one more run.
    pub fn next(
        &mut self,
        now: Duration,
        pool: &Pool,
        mut may: impl FnMut(&Key, &Item) -> bool,
    ) -> Option<Item> {
        if pool.free == 0 {
            return None;
        }
        let lowest = self.lowest(now, pool);
        let key = self.pick(lowest, &mut may)?;
        let lane = self.lanes.get_mut(&key)?;
        let request = lane.first()?.item.head.request;
        let waiting = lane.remove(request)?;
        lane.served += waiting.cost / f64::from(lane.terms.weight.max(1));
        self.homes.remove(&request);
        *self.running.entry(waiting.item.terms.priority).or_default() += 1;
        Some(waiting.item)
    }

    /// Notes that a request that [`Queue::next`] gave runs no more.
    pub fn left(&mut self, item: &Item) {
        if let Some(running) = self.running.get_mut(&item.terms.priority) {
            *running = running.saturating_sub(1);
        }
    }

    /// Puts a request back that could not be sent after all; it is ready at once.
    pub fn put_back(&mut self, item: Item, pool: &Pool) {
        let cost = cost(&item, pool);
        let request = item.head.request;
        self.insert(item, cost);
        self.ready(request);
    }

    /// Takes a request out, as when its caller has gone.
    pub fn remove(&mut self, request: Request) -> Option<Item> {
        let key = self.homes.remove(&request)?;
        let waiting = self.lanes.get_mut(&key)?.remove(request)?;
        Some(waiting.item)
    }

    /// Gives up what can't be on time any more or has waited longer than its row allows.
    pub fn expire(&mut self, now: Duration, pool: &Pool, rng: &mut impl Rng) -> Vec<Given> {
        let lost: Vec<(Request, Reason)> = self
            .lanes
            .values()
            .flat_map(Lane::iter)
            .filter_map(|waiting| Some((waiting.item.head.request, doom(now, waiting, pool)?)))
            .collect();
        let mut given = Vec::new();
        for (request, reason) in lost {
            let Some(item) = self.remove(request) else { continue };
            let (cost, wait) = (cost(&item, pool), self.wait(now, &item, pool));
            let spare = self.offered.spare(now, pool.share);
            let retry = self.returns.hint(now, wait, cost, spare, rng);
            given.push(Given { head: item.head, refusal: Refusal { reason, retry: Some(retry) } });
        }
        given
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.homes.len()
    }

    /// Returns whether none waits.
    pub fn is_empty(&self) -> bool {
        self.homes.is_empty()
    }

    /// Returns the slot seconds that wait.
    pub fn work(&self) -> f64 {
        self.lanes.values().map(|lane| lane.work).sum()
    }

    /// Returns how many of a row wait.
    pub fn waiting(&self, key: &Key) -> usize {
        self.lanes.get(key).map_or(0, Lane::len)
    }

    /// Takes over the terms of an edited table for those who already wait.
    pub fn retune(&mut self, terms: impl Fn(&Key) -> Option<Terms>) {
        for (key, lane) in &mut self.lanes {
            if let Some(terms) = terms(key) {
                lane.terms = terms;
            }
        }
        self.lanes.retain(|key, lane| !lane.is_empty() || terms(key).is_some());
    }

    fn insert(&mut self, item: Item, cost: f64) {
        let key = item.key.clone();
        self.remove(item.head.request);
        let floor = self.floor(item.terms.priority);
        let terms = item.terms;
        let lane = self.lanes.entry(key.clone()).or_insert_with(|| Lane::new(terms, floor));
        // A lane that was idle would otherwise hold a credit for all that time and take every slot.
        if lane.is_empty() {
            lane.served = lane.served.max(floor);
        }
        lane.terms = terms;
        self.order += 1;
        self.homes.insert(item.head.request, key);
        lane.add(self.order, Waiting { item, cost, ready: false });
    }

    /// Returns the least service among busy lanes of a priority.
    fn floor(&self, priority: u8) -> f64 {
        let busy = self.lanes.values().filter(|lane| !lane.is_empty());
        let least = busy.filter(|lane| lane.terms.priority == priority).map(|lane| lane.served);
        least.fold(f64::INFINITY, f64::min).min(self.ceiling(priority))
    }

    /// Returns the most service among all lanes of a priority, zero without any.
    fn ceiling(&self, priority: u8) -> f64 {
        let same = self.lanes.values().filter(|lane| lane.terms.priority == priority);
        same.map(|lane| lane.served).fold(0.0, f64::max)
    }

    /// Chooses the lane that goes next.
    fn pick(&mut self, lowest: u8, may: &mut impl FnMut(&Key, &Item) -> bool) -> Option<Key> {
        let mut best: BTreeMap<u8, Pick> = BTreeMap::new();
        for (key, lane) in &self.lanes {
            let Some(first) = lane.first() else { continue };
            if !may(key, &first.item) {
                continue;
            }
            let pick = Pick { served: lane.served, cost: first.cost, key: key.clone() };
            let better = best.entry(lane.terms.priority).or_insert_with(|| pick.clone());
            if pick.served < better.served {
                *better = pick;
            }
        }
        let highest = *best.keys().next_back()?;
        let starved = best.iter().find(|(priority, pick)| {
            **priority < highest && self.owed.get(priority).is_some_and(|owed| *owed >= pick.cost)
        });
        let chosen = starved.map_or(highest, |(priority, _)| *priority);
        if chosen < lowest && starved.is_none() {
            return None;
        }
        self.owe(chosen, &best);
        best.remove(&chosen).map(|pick| pick.key)
    }

    /// Owes each lower priority with work a part of what a higher one takes before it.
    fn owe(&mut self, chosen: u8, best: &BTreeMap<u8, Pick>) {
        let Some(cost) = best.get(&chosen).map(|pick| pick.cost) else { return };
        self.owed.insert(chosen, 0.0);
        for priority in best.keys().filter(|priority| **priority < chosen) {
            *self.owed.entry(*priority).or_default() += cost * STARVATION;
        }
    }

    /// Returns the lowest priority that may take one of the free slots.
    ///
    /// Long runs of a low priority could take every slot in a quiet second; short ones of a higher
    /// priority that come then would find none for as long as those run. So what the higher
    /// priorities need, by the work offered, and do not use at the moment stays free for them.
    fn lowest(&mut self, now: Duration, pool: &Pool) -> u8 {
        let instances = f64::from(pool.slots) / pool.share.max(0.25);
        let mut kept = 0.0;
        for (priority, offered) in self.demand.iter_mut().rev() {
            if f64::from(pool.free) <= kept * instances {
                return priority.saturating_add(1);
            }
            let running = f64::from(self.running.get(priority).copied().unwrap_or(0));
            kept += (offered.work(now) - running).max(0.0);
        }
        0
    }

    /// Predicts the seconds that a request would wait for a slot.
    fn wait(&mut self, now: Duration, item: &Item, pool: &Pool) -> f64 {
        let share = self.available(now, item.terms.priority, pool);
        let key = &item.key;
        let same = |lane: &&Lane| lane.terms.priority == item.terms.priority;
        let higher = |lane: &&Lane| lane.terms.priority > item.terms.priority;
        let above: f64 = self.lanes.values().filter(higher).map(|lane| lane.work).sum();
        let own = self.lanes.get(key).map_or(0.0, |lane| lane.work_before(item.head.deadline));
        let weight = f64::from(item.terms.weight.max(1));
        // While this lane is served its own work ahead, each other lane has had at most its weight's
        // part beside it, and no more than it has waiting.
        let others: f64 = self
            .lanes
            .iter()
            .filter(|(other, lane)| *other != key && same(lane))
            .map(|(_, lane)| lane.work.min(own * f64::from(lane.terms.weight.max(1)) / weight))
            .sum();
        let ahead = above + own + others;
        let residual = if pool.free == 0 { self.residual(item, pool) } else { 0.0 };
        let free = f64::from(pool.free) * typical(item, pool);
        residual + (ahead - free).max(0.0) / share
    }

    /// Returns the slots of this instance's share that the work of higher priorities leaves.
    fn available(&mut self, now: Duration, priority: u8, pool: &Pool) -> f64 {
        let higher = self.demand.range_mut(priority.saturating_add(1)..);
        let taken: f64 = higher.map(|(_, offered)| offered.work(now)).sum();
        (pool.share - taken).max(pool.share * LEAST).max(0.25)
    }

    /// Returns the seconds until a slot of this instance's share frees when all are taken.
    fn residual(&self, item: &Item, pool: &Pool) -> f64 {
        typical(item, pool) / (pool.share.max(0.25) + 1.0)
    }

    fn refuse(
        &mut self,
        now: Duration,
        item: &Item,
        pool: &Pool,
        (wait, cost): (f64, f64),
        rng: &mut impl Rng,
    ) -> Option<Refusal> {
        let left = item.head.deadline.saturating_sub(now).as_secs_f64() * MARGIN;
        let allowed = item.terms.wait.as_secs_f64();
        // Even an idle engine would be late: coming back with the same deadline does not help.
        if cost > left {
            return Some(Refusal { reason: Reason::Deadline, retry: None });
        }
        let full = self.homes.len() >= MOST_WAITING;
        let needed = (wait + cost - left).max(wait - allowed);
        if needed <= 0.0 && !full {
            return None;
        }
        let reason = if wait + cost > left { Reason::Deadline } else { Reason::Overload };
        let spare = self.offered.spare(now, pool.share);
        let retry = self.returns.hint(now, needed, cost, spare, rng);
        Some(Refusal { reason, retry: Some(retry) })
    }

    /// Returns a hint for when nothing is known of the time at which upstreams come.
    fn later(&mut self, now: Duration, rng: &mut impl Rng) -> Duration {
        const UNKNOWN: f64 = 2.0;
        self.returns.hint(now, UNKNOWN, UNKNOWN / 16.0, 1.0, rng)
    }
}

/// Holds the lane of a priority that would go next.
#[derive(Clone)]
struct Pick {
    served: f64,
    cost: f64,
    key: Key,
}

/// Returns the seconds that a request takes from dispatch to its whole answer.
fn cost(item: &Item, pool: &Pool) -> f64 {
    let computed = item.head.prompt.saturating_sub(item.cached);
    pool.service.whole(computed, allowed(item), pool.running)
}

/// Returns the seconds for which a running request is thought to hold its slot.
fn typical(item: &Item, pool: &Pool) -> f64 {
    cost(item, pool)
}

/// Returns the most tokens that a request's answer may have.
fn allowed(item: &Item) -> u32 {
    item.head.output.min(item.terms.output)
}

/// Returns why a waiting request can't be served any more, if so.
fn doom(now: Duration, waiting: &Waiting, pool: &Pool) -> Option<Reason> {
    let left = waiting.item.head.deadline.saturating_sub(now).as_secs_f64();
    // An accepted request that was moved has waited before and holds tokens that an estimate does
    // not count; giving it up by either would lose it although it could still be on time.
    if waiting.item.begun {
        return (left <= 0.0).then_some(Reason::Deadline);
    }
    if cost(&waiting.item, pool) > left {
        return Some(Reason::Deadline);
    }
    let waited = now.saturating_sub(waiting.item.arrived);
    (waited > waiting.item.terms.wait).then_some(Reason::Overload)
}

/// Turns any number of seconds into a duration.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
