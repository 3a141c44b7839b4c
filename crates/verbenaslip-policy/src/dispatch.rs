//! Admission, limits, retries and routing of one instance, put together.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use verbenaslip_base::announce::{Announcement, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{AvailabilityZone, Instance, Model, Upstream};
use verbenaslip_base::refusal::{Reason, Refusal};
use verbenaslip_table::{Key, Row, Table};

use crate::admit::{Admission, Given, Item, Queue, Returns};
use crate::limit::{Limiter, Report};
use crate::pool::Pool;
use crate::retry::{Ask as Retry, Decision, Denial, FailureKind, Moved, Retries};
use crate::route::{Ask, CacheBatch, Choice, Loss, Router};
use crate::row::Terms;
use crate::wave::Wave;

/// Orders a run: this request, at this upstream.
#[data(float)]
pub struct Dispatch {
    /// The request.
    pub head: Head,
    /// The upstream, and what is expected of it.
    pub choice: Choice,
    /// The priority given to the upstream; higher goes first.
    pub priority: i32,
}

/// Decides for one instance what waits, what runs where, and what is refused.
#[derive(Debug)]
pub struct Dispatcher {
    limiter: Limiter,
    router: Router,
    retries: Retries,
    wave: Wave,
    table: Table,
    queues: BTreeMap<Model, Queue>,
    returns: BTreeMap<Key, Returns>,
    running: BTreeMap<Request, Running>,
    delayed: BTreeMap<(Duration, Request), Item>,
}

/// Holds a request that runs.
#[derive(Debug)]
struct Running {
    item: Item,
    estimate: u32,
    runs: u32,
}

impl Dispatcher {
    /// Starts an instance in a zone; `incarnation` rises at each of its starts.
    pub fn new(now: Duration, me: Instance, zone: AvailabilityZone, incarnation: u64) -> Self {
        Self {
            limiter: Limiter::new(now, me, incarnation),
            router: Router::new(zone),
            retries: Retries::default(),
            wave: Wave::default(),
            table: Table::default(),
            queues: BTreeMap::new(),
            returns: BTreeMap::new(),
            running: BTreeMap::new(),
            delayed: BTreeMap::new(),
        }
    }

    /// Puts a table in force, also for what already waits and runs.
    pub fn set_table(&mut self, now: Duration, table: &Table) {
        self.table = table.clone();
        let rows: Vec<(Key, Terms)> =
            table.rows().iter().map(|row| (row.key(), Terms::from(row))).collect();
        self.limiter.table(now, rows.iter().map(|(key, terms)| (key, terms)));
        let terms = |key: &Key| self.table.get(key).map(Terms::from);
        self.queues.values_mut().for_each(|queue| queue.retune(terms));
        self.retries.keep(|key| table.get(key).is_some());
        self.returns.retain(|key, _| table.get(key).is_some());
    }

    /// Takes over the instances that membership counts as alive, this one counted.
    pub fn set_members(&mut self, now: Duration, members: &[Instance]) {
        self.limiter.members(now, members);
        self.router.instances(members.len().max(1) as u32);
    }

    /// Takes another instance's report of its part of the limits.
    pub fn handle_report(&mut self, now: Duration, from: &Instance, report: &Report) {
        self.limiter.heard(now, from, report);
    }

    /// Returns the report to spread; called about once a second.
    pub fn tick_limits(&mut self, now: Duration) -> Report {
        self.limiter.step(now)
    }

    /// Falls back to safe parts of the limits, as when others counted this instance as dead.
    pub fn reset_shares(&mut self, now: Duration) {
        self.limiter.doubt(now);
    }

    /// Takes an announcement that was made at a time on this instance's clock.
    pub fn handle_announcement(&mut self, heard: Duration, announcement: &Announcement) {
        let leaving = matches!(announcement.phase, Phase::Leaving { notice: Some(_) });
        self.router.announce(heard, announcement);
        if leaving {
            self.note_loss(heard, &announcement.zone, &announcement.upstream);
        }
    }

    /// Takes cache events of an upstream.
    pub fn handle_cache_events(&mut self, upstream: &Upstream, batch: &CacheBatch) {
        self.router.cached(upstream, batch);
    }

    /// Forgets an upstream that is gone and returns what ran there.
    ///
    /// Each of those requests is then to be told by [`Dispatcher::failed`].
    pub fn remove_upstream(&mut self, now: Duration, upstream: &Upstream) -> Loss {
        if let Some(announcement) = self.router.announcement(upstream).cloned() {
            self.note_loss(now, &announcement.zone, upstream);
        }
        self.retries.forget(upstream);
        self.router.lost(upstream)
    }

    /// Takes in a request, or refuses it at once.
    ///
    /// One that is taken in runs after [`Dispatcher::ready`] was called for it.
    pub fn offer(
        &mut self,
        now: Duration,
        head: Head,
        arrived: Duration,
        rng: &mut impl Rng,
    ) -> Admission {
        let Some(row) = self.table.row(&head.team, &head.class) else {
            return Admission::Refused(Refusal { reason: Reason::NoRow, retry: None });
        };
        let (key, terms) = (row.key(), Terms::from(row));
        let cached = self.router.best_cached(now, &head);
        let item = Item { head, key, arrived, terms, cached, avoid: Vec::new(), begun: false };
        self.limiter.asked(now, &item.key);
        let pool = self.router.pool(now, &item.head.model);
        if let Some(refusal) = self.limited(now, &item, &pool, rng) {
            return Admission::Refused(refusal);
        }
        let queue = self.queues.entry(item.head.model.clone()).or_default();
        queue.offer(now, item, &pool, rng)
    }

    /// Takes over a request that another instance, or an earlier run here, has begun.
    ///
    /// It was let in before, so it is not held against limits and deadlines again; it runs when a
    /// slot is free.
    pub fn adopt(&mut self, now: Duration, head: Head, arrived: Duration, avoid: &[Upstream]) {
        self.cancel(now, head.request);
        let row = self.table.row(&head.team, &head.class);
        // The row may be gone by now; what was accepted under it is still answered.
        let fallback = Row::new(head.team.clone(), head.class.clone());
        let row = row.unwrap_or(&fallback);
        let (key, terms) = (row.key(), Terms::from(row));
        let cached = self.router.best_cached(now, &head);
        let item = Item { head, key, arrived, terms, cached, avoid: avoid.to_vec(), begun: true };
        let pool = self.router.pool(now, &item.head.model);
        self.queues.entry(item.head.model.clone()).or_default().put_back(item, &pool);
    }

    /// Allows a request that was taken in to run: it is journalled, and claimed where it must be.
    pub fn mark_ready(&mut self, request: Request) -> bool {
        self.queues.values_mut().any(|queue| queue.ready(request))
    }

    /// Returns all runs that can start now.
    pub fn next_dispatches(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Dispatch> {
        self.requeue(now);
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let models: Vec<Model> = busy.map(|(model, _)| model.clone()).collect();
        let mut dispatches = Vec::new();
        for model in models {
            while let Some(dispatch) = self.next_of(now, &model, rng) {
                dispatches.push(dispatch);
            }
        }
        dispatches
    }

    /// Gives up what waits in vain; their callers get the answers at once.
    pub fn expire(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Given> {
        let mut given = Vec::new();
        for (model, queue) in self.queues.iter_mut().filter(|(_, queue)| !queue.is_empty()) {
            let pool = self.router.pool(now, model);
            given.extend(queue.expire(now, &pool, rng));
        }
        given
    }

    /// Notes a request's first token.
    pub fn record_first_token(&mut self, now: Duration, request: Request) {
        self.router.first_token(now, request);
    }

    /// Notes that a request's answer is whole, with so many tokens.
    pub fn record_completion(&mut self, now: Duration, request: Request, tokens: u32) {
        let home = self.router.home(request).cloned();
        let Some(running) = self.running.remove(&request) else { return };
        let item = running.item;
        self.leave(&item);
        self.router.ended(now, &item.head.model, request, tokens);
        let used = i64::from(item.head.prompt) + i64::from(tokens);
        self.limiter.ended(&item.key, i64::from(running.estimate) - used);
        if let Some(upstream) = home {
            self.retries.succeeded(now, &item.key, &upstream, item.terms.retries);
        }
    }

    /// Notes that a request's run failed, and decides whether it runs again.
    ///
    /// If so, [`Dispatcher::next`] gives the new run when its time has come.
    pub fn handle_failure(
        &mut self,
        now: Duration,
        request: Request,
        upstream: &Upstream,
        fate: FailureKind,
        rng: &mut impl Rng,
    ) -> Decision {
        self.router.failed(now, request);
        let Some(running) = self.running.remove(&request) else {
            return Decision::Denied(Denial::MayHaveRun);
        };
        self.limiter.ended(&running.item.key, i64::from(running.estimate));
        self.leave(&running.item);
        let ask = self.retry(now, &running, upstream, fate);
        let verdict = self.retries.ask(now, &ask, rng);
        if let Decision::RetryAfter(delay) = verdict {
            let mut item = running.item;
            item.begun = true;
            item.avoid.retain(|avoided| avoided != upstream);
            item.avoid.push(upstream.clone());
            self.delayed.insert((now.saturating_add(delay), request), item);
        }
        verdict
    }

    /// Chooses where a running request could go on, as when its upstream is leaving.
    pub fn choose_alternative(
        &self,
        now: Duration,
        request: Request,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let item = &self.running.get(&request)?.item;
        let mut ask = ask(item);
        ask.avoid.extend(self.router.home(request).cloned());
        self.router.choose(now, &ask, rng)
    }

    /// Notes that a running request was moved to another upstream.
    pub fn record_move(&mut self, now: Duration, request: Request, choice: &Choice) {
        let Some(running) = self.running.get_mut(&request) else { return };
        running.runs += 1;
        self.router.withdrawn(now, request);
        self.router.sent(now, &running.item.head, choice);
    }

    /// Forgets a request whose caller has gone; returns the upstream where it ran, if it did.
    pub fn cancel(&mut self, now: Duration, request: Request) -> Option<Upstream> {
        self.queues.values_mut().for_each(|queue| drop(queue.remove(request)));
        self.delayed.retain(|(_, delayed), _| *delayed != request);
        let running = self.running.remove(&request)?;
        let home = self.router.home(request).cloned();
        self.router.withdrawn(now, request);
        self.limiter.ended(&running.item.key, i64::from(running.estimate));
        self.leave(&running.item);
        home
    }

    /// Returns the router, for status and for the plan.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the limiter, for status.
    pub fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(Queue::len).sum::<usize>() + self.delayed.len()
    }

    /// Returns how many requests run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn next_of(&mut self, now: Duration, model: &Model, rng: &mut impl Rng) -> Option<Dispatch> {
        let queue = self.queues.get_mut(model).filter(|queue| !queue.is_empty())?;
        let pool = self.router.pool(now, model);
        let limiter = &mut self.limiter;
        let may = |key: &Key, item: &Item| limiter.check(now, key, tokens(item, &pool)).is_ok();
        let item = queue.next(now, &pool, may)?;
        let Some(choice) = self.router.choose(now, &ask(&item), rng) else {
            queue.left(&item);
            queue.put_back(item, &pool);
            return None;
        };
        let estimate = tokens(&item, &pool);
        // The queue has just asked whether there is room, so taking it can't fail.
        let _ = self.limiter.take(now, &item.key, estimate);
        self.router.sent(now, &item.head, &choice);
        let runs = item.avoid.len() as u32 + 1;
        let (head, priority) = (item.head.clone(), i32::from(item.terms.priority));
        self.running.insert(head.request, Running { item, estimate, runs });
        Some(Dispatch { head, choice, priority })
    }

    fn leave(&mut self, item: &Item) {
        if let Some(queue) = self.queues.get_mut(&item.head.model) {
            queue.left(item);
        }
    }

    /// Puts failed requests whose delay is over back into their queues.
    fn requeue(&mut self, now: Duration) {
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let item = entry.remove();
            let pool = self.router.pool(now, &item.head.model);
            self.queues.entry(item.head.model.clone()).or_default().put_back(item, &pool);
        }
    }

    /// Refuses a request that its row's limits would keep waiting too long.
    fn limited(
        &mut self,
        now: Duration,
        item: &Item,
        pool: &Pool,
        rng: &mut impl Rng,
    ) -> Option<Refusal> {
        let ahead = self.queues.get(&item.head.model).map_or(0, |queue| queue.waiting(&item.key));
        let estimate = tokens(item, pool);
        let wait = self.limiter.wait(now, &item.key, ahead, estimate);
        let left = item.head.deadline.saturating_sub(now);
        if wait <= item.terms.wait.min(left) {
            return None;
        }
        let rate = self.limiter.rate(now, &item.key).unwrap_or(1.0);
        let returns = self.returns.entry(item.key.clone()).or_default();
        let retry = returns.hint(now, wait.as_secs_f64(), 1.0, rate, rng);
        Some(Refusal { reason: Reason::Limit, retry: Some(retry) })
    }

    fn retry(
        &self,
        now: Duration,
        running: &Running,
        upstream: &Upstream,
        fate: FailureKind,
    ) -> Retry {
        let zone = self.router.announcement(upstream).map(|announcement| &announcement.zone);
        let wave = match zone {
            Some(zone) => self.wave.on(now, zone),
            None => self.wave.any(now),
        };
        let pool = self.router.pool(now, &running.item.head.model);
        let moved = self.waits(&running.item.head.model, &pool);
        Retry {
            key: running.item.key.clone(),
            upstream: upstream.clone(),
            idempotent: running.item.head.idempotent,
            fate,
            runs: running.runs,
            percent: running.item.terms.retries,
            wave: wave.then_some(moved),
        }
    }

    /// Returns the work that waits before moved work, and the slots that will take it in.
    ///
    /// Moved work goes back into its queue, which gives it only slots that are free, so a short
    /// delay is enough; a longer one by what was lost made more of it late.
    fn waits(&self, model: &Model, pool: &Pool) -> Moved {
        Moved { work: self.queues.get(model).map_or(0.0, Queue::work), room: pool.slots }
    }

    fn note_loss(&mut self, now: Duration, zone: &AvailabilityZone, upstream: &Upstream) {
        self.wave.lost(now, zone, upstream, self.router.in_zone(zone));
    }
}

/// Returns what the router needs to know of a request.
fn ask(item: &Item) -> Ask {
    Ask {
        head: item.head.clone(),
        terms: item.terms,
        arrived: item.arrived,
        avoid: item.avoid.clone(),
    }
}

/// Estimates the tokens that count against a row's token limit.
fn tokens(item: &Item, pool: &Pool) -> u32 {
    let output = item.head.output.min(item.terms.output);
    item.head.prompt.saturating_add(pool.service.tokens(output) as u32)
}
