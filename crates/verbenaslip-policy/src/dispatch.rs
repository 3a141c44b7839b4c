//! Combines admission, limits, retries and routing for one instance.

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

use crate::admit::{Admission, Expired, Queue, QueuedRequest, RetryHints};
use crate::limit::{Limiter, Report};
use crate::pool::Pool;
use crate::retry::{Backlog, Decision, Denial, FailureKind, RetryBudgets, RetryQuery};
use crate::route::{CacheBatch, Choice, Loss, RouteQuery, Router};
use crate::row::RowParams;
use crate::zone_loss::ZoneLosses;

/// Describes a run of a request at an upstream.
#[data(float)]
pub struct Dispatch {
    /// The head of the request.
    pub head: Head,
    /// The chosen upstream and the predicted run.
    pub choice: Choice,
    /// The priority passed to the upstream. A higher value goes first.
    pub priority: i32,
}

/// Decides for one instance which requests wait, which run on which upstream, and which are
/// refused.
#[derive(Debug)]
pub struct Dispatcher {
    limiter: Limiter,
    router: Router,
    retry_budgets: RetryBudgets,
    zone_losses: ZoneLosses,
    table: Table,
    queues: BTreeMap<Model, Queue>,
    retry_hints: BTreeMap<Key, RetryHints>,
    running: BTreeMap<Request, Running>,
    delayed: BTreeMap<(Duration, Request), QueuedRequest>,
}

/// Holds a running request.
#[derive(Debug)]
struct Running {
    queued: QueuedRequest,
    estimated_tokens: u32,
    runs: u32,
}

impl Dispatcher {
    /// Creates a dispatcher for an instance in a zone. `incarnation` must increase with each start
    /// of the instance.
    pub fn new(
        now: Duration,
        own_name: Instance,
        zone: AvailabilityZone,
        incarnation: u64,
    ) -> Self {
        Self {
            limiter: Limiter::new(now, own_name, incarnation),
            router: Router::new(zone),
            retry_budgets: RetryBudgets::default(),
            zone_losses: ZoneLosses::default(),
            table: Table::default(),
            queues: BTreeMap::new(),
            retry_hints: BTreeMap::new(),
            running: BTreeMap::new(),
            delayed: BTreeMap::new(),
        }
    }

    /// Sets the route table, also for queued and running requests.
    pub fn set_table(&mut self, now: Duration, table: &Table) {
        self.table = table.clone();
        let rows: Vec<(Key, RowParams)> =
            table.rows().iter().map(|row| (row.key(), RowParams::from(row))).collect();
        self.limiter.set_rows(now, rows.iter().map(|(key, params)| (key, params)));
        let params = |key: &Key| self.table.get(key).map(RowParams::from);
        self.queues.values_mut().for_each(|queue| queue.update_params(params));
        self.retry_budgets.retain_rows(|key| table.get(key).is_some());
        self.retry_hints.retain(|key, _| table.get(key).is_some());
    }

    /// Sets the instances that membership counts as alive, including this one.
    pub fn set_members(&mut self, now: Duration, members: &[Instance]) {
        self.limiter.set_members(now, members);
        self.router.set_instances(members.len().max(1) as u32);
    }

    /// Handles another instance's report about its shares of the limits.
    pub fn handle_report(&mut self, now: Duration, from: &Instance, report: &Report) {
        self.limiter.handle_report(now, from, report);
    }

    /// Updates the shares of the limits and returns the report for the other instances; called
    /// about once per second.
    pub fn tick_limits(&mut self, now: Duration) -> Report {
        self.limiter.tick(now)
    }

    /// Falls back to the base shares of the limits, for example when other instances counted this
    /// one as dead.
    pub fn reset_shares(&mut self, now: Duration) {
        self.limiter.reset_shares(now);
    }

    /// Handles an announcement that was made at time `heard` on this instance's clock.
    pub fn handle_announcement(&mut self, heard: Duration, announcement: &Announcement) {
        let leaving = matches!(announcement.phase, Phase::Leaving { notice: Some(_) });
        self.router.handle_announcement(heard, announcement);
        if leaving {
            self.record_zone_loss(heard, &announcement.zone, &announcement.upstream);
        }
    }

    /// Handles cache events of an upstream.
    pub fn handle_cache_events(&mut self, upstream: &Upstream, batch: &CacheBatch) {
        self.router.handle_cache_events(upstream, batch);
    }

    /// Removes a lost upstream and returns the requests that ran there.
    ///
    /// The caller must then report each of these requests with [`Dispatcher::handle_failure`].
    pub fn remove_upstream(&mut self, now: Duration, upstream: &Upstream) -> Loss {
        if let Some(announcement) = self.router.announcement(upstream).cloned() {
            self.record_zone_loss(now, &announcement.zone, upstream);
        }
        self.retry_budgets.remove_upstream(upstream);
        self.router.remove_upstream(upstream)
    }

    /// Queues a request or refuses it.
    ///
    /// A queued request runs after [`Dispatcher::mark_ready`] was called for it.
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
        let (key, params) = (row.key(), RowParams::from(row));
        let cached_tokens = self.router.max_cached_tokens(now, &head);
        let queued = QueuedRequest {
            head,
            key,
            arrived,
            params,
            cached_tokens,
            avoid: Vec::new(),
            may_have_run: false,
        };
        self.limiter.record_demand(now, &queued.key);
        let pool = self.router.pool(now, &queued.head.model);
        if let Some(refusal) = self.check_limits(now, &queued, &pool, rng) {
            return Admission::Refused(refusal);
        }
        let queue = self.queues.entry(queued.head.model.clone()).or_default();
        queue.offer(now, queued, &pool, rng)
    }

    /// Queues a request that another instance, or an earlier run at this instance, has started.
    ///
    /// The request was already admitted, so limits and deadlines are not checked for admission
    /// again. It runs when a slot is free.
    pub fn adopt(&mut self, now: Duration, head: Head, arrived: Duration, avoid: &[Upstream]) {
        self.cancel(now, head.request);
        let row = self.table.row(&head.team, &head.class);
        // The row may no longer exist, but a request that was accepted under it must still be
        // answered.
        let default_row = Row::new(head.team.clone(), head.class.clone());
        let row = row.unwrap_or(&default_row);
        let (key, params) = (row.key(), RowParams::from(row));
        let cached_tokens = self.router.max_cached_tokens(now, &head);
        let queued = QueuedRequest {
            head,
            key,
            arrived,
            params,
            cached_tokens,
            avoid: avoid.to_vec(),
            may_have_run: true,
        };
        let pool = self.router.pool(now, &queued.head.model);
        self.queues.entry(queued.head.model.clone()).or_default().requeue(queued, &pool);
    }

    /// Allows the dispatch of a queued request after it was journaled and, if required, claimed.
    /// Returns whether the request is queued here.
    pub fn mark_ready(&mut self, request: Request) -> bool {
        self.queues.values_mut().any(|queue| queue.mark_ready(request))
    }

    /// Returns all runs that can start now.
    pub fn next_dispatches(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Dispatch> {
        self.requeue_delayed(now);
        let busy = self.queues.iter().filter(|(_, queue)| !queue.is_empty());
        let models: Vec<Model> = busy.map(|(model, _)| model.clone()).collect();
        let mut dispatches = Vec::new();
        for model in models {
            while let Some(dispatch) = self.next_dispatch(now, &model, rng) {
                dispatches.push(dispatch);
            }
        }
        dispatches
    }

    /// Removes and returns the queued requests that can no longer be served in time.
    pub fn expire(&mut self, now: Duration, rng: &mut impl Rng) -> Vec<Expired> {
        let mut expired = Vec::new();
        for (model, queue) in self.queues.iter_mut().filter(|(_, queue)| !queue.is_empty()) {
            let pool = self.router.pool(now, model);
            expired.extend(queue.expire(now, &pool, rng));
        }
        expired
    }

    /// Records the first token of a request.
    pub fn record_first_token(&mut self, now: Duration, request: Request) {
        self.router.record_first_token(now, request);
    }

    /// Records that the answer of a request is complete with `tokens` tokens.
    pub fn record_completion(&mut self, now: Duration, request: Request, tokens: u32) {
        let upstream = self.router.upstream_of(request).cloned();
        let Some(running) = self.running.remove(&request) else { return };
        let queued = running.queued;
        self.release_slot(&queued);
        self.router.record_completion(now, &queued.head.model, request, tokens);
        let used_tokens = i64::from(queued.head.prompt) + i64::from(tokens);
        self.limiter.release(&queued.key, i64::from(running.estimated_tokens) - used_tokens);
        if let Some(upstream) = upstream {
            self.retry_budgets.record_success(
                now,
                &queued.key,
                &upstream,
                queued.params.retry_percent,
            );
        }
    }

    /// Records the failure of a run and decides whether the request runs again.
    ///
    /// If it does, [`Dispatcher::next_dispatches`] returns the new run after the delay.
    pub fn handle_failure(
        &mut self,
        now: Duration,
        request: Request,
        upstream: &Upstream,
        failure: FailureKind,
        rng: &mut impl Rng,
    ) -> Decision {
        self.router.record_failure(now, request);
        let Some(running) = self.running.remove(&request) else {
            return Decision::Denied(Denial::MayHaveRun);
        };
        self.limiter.release(&running.queued.key, i64::from(running.estimated_tokens));
        self.release_slot(&running.queued);
        let query = self.retry_query(now, &running, upstream, failure);
        let decision = self.retry_budgets.decide(now, &query, rng);
        if let Decision::RetryAfter(delay) = decision {
            let mut queued = running.queued;
            queued.may_have_run = true;
            queued.avoid.retain(|avoided| avoided != upstream);
            queued.avoid.push(upstream.clone());
            self.delayed.insert((now.saturating_add(delay), request), queued);
        }
        decision
    }

    /// Chooses another upstream on which a running request could continue, for example when its
    /// upstream is leaving.
    pub fn choose_alternative(
        &self,
        now: Duration,
        request: Request,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let queued = &self.running.get(&request)?.queued;
        let mut query = route_query(queued);
        query.avoid.extend(self.router.upstream_of(request).cloned());
        self.router.choose(now, &query, rng)
    }

    /// Records that a running request was moved to another upstream.
    pub fn record_move(&mut self, now: Duration, request: Request, choice: &Choice) {
        let Some(running) = self.running.get_mut(&request) else { return };
        running.runs += 1;
        self.router.record_withdrawal(now, request);
        self.router.record_sent(now, &running.queued.head, choice);
    }

    /// Removes a request, for example after its caller has disconnected, and returns the upstream
    /// on which it ran, if any.
    pub fn cancel(&mut self, now: Duration, request: Request) -> Option<Upstream> {
        self.queues.values_mut().for_each(|queue| drop(queue.remove(request)));
        self.delayed.retain(|(_, delayed), _| *delayed != request);
        let running = self.running.remove(&request)?;
        let upstream = self.router.upstream_of(request).cloned();
        self.router.record_withdrawal(now, request);
        self.limiter.release(&running.queued.key, i64::from(running.estimated_tokens));
        self.release_slot(&running.queued);
        upstream
    }

    /// Returns the router, for the status and the capacity plan.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the limiter, for the status.
    pub fn limiter(&self) -> &Limiter {
        &self.limiter
    }

    /// Returns the number of queued and delayed requests.
    pub fn waiting(&self) -> usize {
        self.queues.values().map(Queue::len).sum::<usize>() + self.delayed.len()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    fn next_dispatch(
        &mut self,
        now: Duration,
        model: &Model,
        rng: &mut impl Rng,
    ) -> Option<Dispatch> {
        let queue = self.queues.get_mut(model).filter(|queue| !queue.is_empty())?;
        let pool = self.router.pool(now, model);
        let limiter = &mut self.limiter;
        let is_allowed = |key: &Key, queued: &QueuedRequest| {
            limiter.check(now, key, estimate_tokens(queued, &pool)).is_ok()
        };
        let queued = queue.next(now, &pool, is_allowed)?;
        let Some(choice) = self.router.choose(now, &route_query(&queued), rng) else {
            queue.release(&queued);
            queue.requeue(queued, &pool);
            return None;
        };
        let estimated_tokens = estimate_tokens(&queued, &pool);
        // The queue has just checked the limits, so this cannot fail.
        let _ = self.limiter.acquire(now, &queued.key, estimated_tokens);
        self.router.record_sent(now, &queued.head, &choice);
        let runs = queued.avoid.len() as u32 + 1;
        let (head, priority) = (queued.head.clone(), i32::from(queued.params.priority));
        self.running.insert(head.request, Running { queued, estimated_tokens, runs });
        Some(Dispatch { head, choice, priority })
    }

    fn release_slot(&mut self, queued: &QueuedRequest) {
        if let Some(queue) = self.queues.get_mut(&queued.head.model) {
            queue.release(queued);
        }
    }

    /// Queues the failed requests whose retry delay has passed.
    fn requeue_delayed(&mut self, now: Duration) {
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                return;
            }
            let queued = entry.remove();
            let pool = self.router.pool(now, &queued.head.model);
            self.queues.entry(queued.head.model.clone()).or_default().requeue(queued, &pool);
        }
    }

    /// Refuses a request that would wait too long for the limits of its row.
    fn check_limits(
        &mut self,
        now: Duration,
        queued: &QueuedRequest,
        pool: &Pool,
        rng: &mut impl Rng,
    ) -> Option<Refusal> {
        let ahead =
            self.queues.get(&queued.head.model).map_or(0, |queue| queue.len_of_row(&queued.key));
        let estimated_tokens = estimate_tokens(queued, pool);
        let wait = self.limiter.predict_wait(now, &queued.key, ahead, estimated_tokens);
        let time_left = queued.head.deadline.saturating_sub(now);
        if wait <= queued.params.max_wait.min(time_left) {
            return None;
        }
        let rate = self.limiter.rate(now, &queued.key).unwrap_or(1.0);
        let hints = self.retry_hints.entry(queued.key.clone()).or_default();
        let retry = hints.hint(now, wait.as_secs_f64(), 1.0, rate, rng);
        Some(Refusal { reason: Reason::Limit, retry: Some(retry) })
    }

    fn retry_query(
        &self,
        now: Duration,
        running: &Running,
        upstream: &Upstream,
        failure: FailureKind,
    ) -> RetryQuery {
        let zone = self.router.announcement(upstream).map(|announcement| &announcement.zone);
        let zone_lost = match zone {
            Some(zone) => self.zone_losses.is_active(now, zone),
            None => self.zone_losses.any_active(now),
        };
        let pool = self.router.pool(now, &running.queued.head.model);
        let backlog = self.backlog(&running.queued.head.model, &pool);
        RetryQuery {
            key: running.queued.key.clone(),
            upstream: upstream.clone(),
            idempotent: running.queued.head.idempotent,
            failure,
            runs: running.runs,
            retry_percent: running.queued.params.retry_percent,
            zone_loss: zone_lost.then_some(backlog),
        }
    }

    /// Returns the backlog of a model and the slots that serve it.
    ///
    /// Moved work is queued again and only gets free slots, so a delay based on the backlog is
    /// enough. A longer delay based on the lost work would make more of it late.
    fn backlog(&self, model: &Model, pool: &Pool) -> Backlog {
        Backlog { slot_seconds: self.queues.get(model).map_or(0.0, Queue::work), slots: pool.slots }
    }

    fn record_zone_loss(&mut self, now: Duration, zone: &AvailabilityZone, upstream: &Upstream) {
        self.zone_losses.record_loss(now, zone, upstream, self.router.count_in_zone(zone));
    }
}

/// Returns the router's query for a request.
fn route_query(queued: &QueuedRequest) -> RouteQuery {
    RouteQuery {
        head: queued.head.clone(),
        params: queued.params,
        arrived: queued.arrived,
        avoid: queued.avoid.clone(),
    }
}

/// Estimates the tokens that count against a row's token limit.
fn estimate_tokens(queued: &QueuedRequest, pool: &Pool) -> u32 {
    let output = queued.head.output.min(queued.params.max_output_tokens);
    queued.head.prompt.saturating_add(pool.service_times.expected_tokens(output) as u32)
}
