//! Implements the measured policies: the project's own policy and the baselines.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::announce::{Announcement, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{AvailabilityZone, Instance, Model, Upstream};
use verbenaslip_policy::admit::Admission;
use verbenaslip_policy::dispatch::Dispatcher;
use verbenaslip_policy::retry::{Decision, FailureKind};
use verbenaslip_policy::route::CacheBatch;
use verbenaslip_table::{Row, Table};

/// The number of instances that make decisions.
pub const INSTANCES: usize = 6;

/// An action that a policy requests.
pub enum Action {
    Run { request: Request, upstream: Upstream, priority: i32 },
    Refuse { request: Request, retry: Option<Duration> },
}

/// Decides for all instances. Each instance uses only the information that reached it.
pub trait Policy {
    fn handle_announcement(&mut self, now: Duration, announcement: &Announcement);
    fn remove_upstream(&mut self, now: Duration, upstream: &Upstream);
    fn handle_cache_events(&mut self, upstream: &Upstream, batch: &CacheBatch);
    fn handle_arrival(&mut self, now: Duration, instance: usize, head: Head) -> Vec<Action>;
    fn handle_first_token(&mut self, now: Duration, instance: usize, request: Request);
    fn record_completion(&mut self, now: Duration, instance: usize, request: Request, tokens: u32);
    /// Returns whether the policy will run the request again on its own.
    fn handle_failure(
        &mut self,
        now: Duration,
        instance: usize,
        request: Request,
        at: &Upstream,
    ) -> bool;
    fn poll(&mut self, now: Duration, instance: usize) -> Vec<Action>;
    /// Exchanges the limit reports between instances; called once per second.
    fn exchange_reports(&mut self, now: Duration);
}

/// Runs the project's own dispatcher on each instance.
pub struct ProjectPolicy {
    dispatchers: Vec<Dispatcher>,
    names: Vec<Instance>,
    rng: Pcg64Mcg,
    admission: bool,
}

impl ProjectPolicy {
    pub fn new(table: &Table, zones: &[&str], admission: bool) -> Self {
        let names: Vec<Instance> =
            (0..INSTANCES).map(|index| Instance::new(format!("instance-{index}"))).collect();
        let table = if admission { table.clone() } else { without_deadlines(table) };
        let start = |(index, name): (usize, &Instance)| {
            let zone = AvailabilityZone::from(zones[index % zones.len()]);
            let mut dispatcher = Dispatcher::new(Duration::ZERO, name.clone(), zone, 1);
            dispatcher.set_table(Duration::ZERO, &table);
            dispatcher.set_members(Duration::ZERO, &names);
            dispatcher
        };
        let dispatchers = names.iter().enumerate().map(start).collect();
        Self { dispatchers, names, rng: Pcg64Mcg::seed_from_u64(7), admission }
    }

    fn pending_actions(&mut self, now: Duration, instance: usize) -> Vec<Action> {
        let dispatcher = &mut self.dispatchers[instance];
        let expired = dispatcher.expire(now, &mut self.rng).into_iter();
        let mut actions: Vec<Action> = expired
            .map(|expired| Action::Refuse {
                request: expired.head.request,
                retry: expired.refusal.retry,
            })
            .collect();
        actions.extend(dispatcher.next_dispatches(now, &mut self.rng).into_iter().map(
            |dispatch| Action::Run {
                request: dispatch.head.request,
                upstream: dispatch.choice.upstream,
                priority: dispatch.priority,
            },
        ));
        actions
    }
}

impl Policy for ProjectPolicy {
    fn handle_announcement(&mut self, now: Duration, announcement: &Announcement) {
        self.dispatchers
            .iter_mut()
            .for_each(|dispatcher| dispatcher.handle_announcement(now, announcement));
    }

    fn remove_upstream(&mut self, now: Duration, upstream: &Upstream) {
        self.dispatchers
            .iter_mut()
            .for_each(|dispatcher| drop(dispatcher.remove_upstream(now, upstream)));
    }

    fn handle_cache_events(&mut self, upstream: &Upstream, batch: &CacheBatch) {
        self.dispatchers
            .iter_mut()
            .for_each(|dispatcher| dispatcher.handle_cache_events(upstream, batch));
    }

    fn handle_arrival(&mut self, now: Duration, instance: usize, mut head: Head) -> Vec<Action> {
        let request = head.request;
        if !self.admission {
            head.deadline += Duration::from_secs(36_000);
        }
        let dispatcher = &mut self.dispatchers[instance];
        match dispatcher.offer(now, head, now, &mut self.rng) {
            Admission::Refused(refusal) => {
                vec![Action::Refuse { request, retry: refusal.retry }]
            }
            Admission::Admitted | Admission::Queued(_) => {
                dispatcher.mark_ready(request);
                self.pending_actions(now, instance)
            }
        }
    }

    fn handle_first_token(&mut self, now: Duration, instance: usize, request: Request) {
        self.dispatchers[instance].record_first_token(now, request);
    }

    fn record_completion(&mut self, now: Duration, instance: usize, request: Request, tokens: u32) {
        self.dispatchers[instance].record_completion(now, request, tokens);
    }

    fn handle_failure(
        &mut self,
        now: Duration,
        instance: usize,
        request: Request,
        at: &Upstream,
    ) -> bool {
        let dispatcher = &mut self.dispatchers[instance];
        let decision =
            dispatcher.handle_failure(now, request, at, FailureKind::Lost, &mut self.rng);
        matches!(decision, Decision::RetryAfter(_))
    }

    fn poll(&mut self, now: Duration, instance: usize) -> Vec<Action> {
        self.pending_actions(now, instance)
    }

    fn exchange_reports(&mut self, now: Duration) {
        for from in 0..self.dispatchers.len() {
            let report = self.dispatchers[from].tick_limits(now);
            for to in (0..self.dispatchers.len()).filter(|to| *to != from) {
                self.dispatchers[to].handle_report(now, &self.names[from], &report);
            }
        }
    }
}

/// Returns a table in which no row limits the waiting time in practice.
fn without_deadlines(table: &Table) -> Table {
    const TEN_HOURS_MS: u32 = 36_000_000;
    let rows = table.rows().iter().cloned();
    let rows = rows.map(|row| Row { deadline_ms: TEN_HOURS_MS, max_wait_ms: TEN_HOURS_MS, ..row });
    Table::new(rows).expect("the changed rows are valid")
}

/// Sends every request at once, either to the next upstream or to the least loaded one.
pub struct Baseline {
    least_loaded: bool,
    announcements: BTreeMap<Upstream, Announcement>,
    heads: BTreeMap<Request, Head>,
    next: Vec<usize>,
    sent: Vec<BTreeMap<Request, Upstream>>,
    to_rerun: Vec<Vec<Request>>,
}

impl Baseline {
    pub fn new(least_loaded: bool) -> Self {
        Self {
            least_loaded,
            announcements: BTreeMap::new(),
            heads: BTreeMap::new(),
            next: (0..INSTANCES).collect(),
            sent: vec![BTreeMap::new(); INSTANCES],
            to_rerun: vec![Vec::new(); INSTANCES],
        }
    }

    fn send(&mut self, instance: usize, request: Request) -> Option<Action> {
        let model: Model = self.heads.get(&request)?.model.clone();
        let ready: Vec<&Announcement> = self
            .announcements
            .values()
            .filter(|announcement| {
                announcement.phase == Phase::Ready && announcement.models.contains(&model)
            })
            .collect();
        if ready.is_empty() {
            self.to_rerun[instance].push(request);
            return None;
        }
        let load = |announcement: &Announcement| {
            let own =
                self.sent[instance].values().filter(|name| **name == announcement.upstream).count();
            announcement.load.running + announcement.load.waiting + own as u32
        };
        let upstream = if self.least_loaded {
            ready.iter().min_by_key(|announcement| load(announcement))?.upstream.clone()
        } else {
            self.next[instance] += 1;
            ready[self.next[instance] % ready.len()].upstream.clone()
        };
        self.sent[instance].insert(request, upstream.clone());
        Some(Action::Run { request, upstream, priority: 0 })
    }
}

impl Policy for Baseline {
    fn handle_announcement(&mut self, _: Duration, announcement: &Announcement) {
        self.announcements.insert(announcement.upstream.clone(), announcement.clone());
    }

    fn remove_upstream(&mut self, _: Duration, upstream: &Upstream) {
        self.announcements.remove(upstream);
    }

    fn handle_cache_events(&mut self, _: &Upstream, _: &CacheBatch) {}

    fn handle_arrival(&mut self, _: Duration, instance: usize, head: Head) -> Vec<Action> {
        let request = head.request;
        self.heads.insert(request, head);
        self.send(instance, request).into_iter().collect()
    }

    fn handle_first_token(&mut self, _: Duration, _: usize, _: Request) {}

    fn record_completion(&mut self, _: Duration, instance: usize, request: Request, _: u32) {
        self.sent[instance].remove(&request);
        self.heads.remove(&request);
    }

    fn handle_failure(
        &mut self,
        _: Duration,
        instance: usize,
        request: Request,
        _: &Upstream,
    ) -> bool {
        self.sent[instance].remove(&request);
        let idempotent = self.heads.get(&request).is_some_and(|head| head.idempotent);
        if idempotent {
            self.to_rerun[instance].push(request);
        }
        idempotent
    }

    fn poll(&mut self, _: Duration, instance: usize) -> Vec<Action> {
        let to_rerun = std::mem::take(&mut self.to_rerun[instance]);
        to_rerun.into_iter().filter_map(|request| self.send(instance, request)).collect()
    }

    fn exchange_reports(&mut self, _: Duration) {}
}
