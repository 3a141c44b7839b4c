//! The policies that are measured: ours, and three baselines.

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

/// Instances that decide.
pub const INSTANCES: usize = 6;

/// Something that a policy does.
pub enum Act {
    Run { request: Request, upstream: Upstream, priority: i32 },
    Refuse { request: Request, retry: Option<Duration> },
}

/// Decides for all instances; each uses only what came to it.
pub trait Policy {
    fn announce(&mut self, now: Duration, announcement: &Announcement);
    fn lost(&mut self, now: Duration, upstream: &Upstream);
    fn cached(&mut self, upstream: &Upstream, batch: &CacheBatch);
    fn arrive(&mut self, now: Duration, instance: usize, head: Head) -> Vec<Act>;
    fn first(&mut self, now: Duration, instance: usize, request: Request);
    fn ended(&mut self, now: Duration, instance: usize, request: Request, tokens: u32);
    /// Returns whether it will run the request again by itself.
    fn failed(&mut self, now: Duration, instance: usize, request: Request, at: &Upstream) -> bool;
    fn poll(&mut self, now: Duration, instance: usize) -> Vec<Act>;
    /// Spreads the limit reports; called once a second.
    fn spread(&mut self, now: Duration);
}

/// The project's own policy.
pub struct Ours {
    dispatchers: Vec<Dispatcher>,
    names: Vec<Instance>,
    rng: Pcg64Mcg,
    admission: bool,
}

impl Ours {
    pub fn new(table: &Table, zones: &[&str], admission: bool) -> Self {
        let names: Vec<Instance> =
            (0..INSTANCES).map(|index| Instance::new(format!("instance-{index}"))).collect();
        let table = if admission { table.clone() } else { patient(table) };
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

    fn act(&mut self, now: Duration, instance: usize) -> Vec<Act> {
        let dispatcher = &mut self.dispatchers[instance];
        let given = dispatcher.expire(now, &mut self.rng).into_iter();
        let mut acts: Vec<Act> = given
            .map(|given| Act::Refuse { request: given.head.request, retry: given.refusal.retry })
            .collect();
        acts.extend(dispatcher.next_dispatches(now, &mut self.rng).into_iter().map(|dispatch| {
            Act::Run {
                request: dispatch.head.request,
                upstream: dispatch.choice.upstream,
                priority: dispatch.priority,
            }
        }));
        acts
    }
}

impl Policy for Ours {
    fn announce(&mut self, now: Duration, announcement: &Announcement) {
        self.dispatchers
            .iter_mut()
            .for_each(|dispatcher| dispatcher.handle_announcement(now, announcement));
    }

    fn lost(&mut self, now: Duration, upstream: &Upstream) {
        self.dispatchers
            .iter_mut()
            .for_each(|dispatcher| drop(dispatcher.remove_upstream(now, upstream)));
    }

    fn cached(&mut self, upstream: &Upstream, batch: &CacheBatch) {
        self.dispatchers
            .iter_mut()
            .for_each(|dispatcher| dispatcher.handle_cache_events(upstream, batch));
    }

    fn arrive(&mut self, now: Duration, instance: usize, mut head: Head) -> Vec<Act> {
        let request = head.request;
        if !self.admission {
            head.deadline += Duration::from_secs(36_000);
        }
        let dispatcher = &mut self.dispatchers[instance];
        match dispatcher.offer(now, head, now, &mut self.rng) {
            Admission::Refused(refusal) => {
                vec![Act::Refuse { request, retry: refusal.retry }]
            }
            Admission::Admitted | Admission::Queued(_) => {
                dispatcher.mark_ready(request);
                self.act(now, instance)
            }
        }
    }

    fn first(&mut self, now: Duration, instance: usize, request: Request) {
        self.dispatchers[instance].record_first_token(now, request);
    }

    fn ended(&mut self, now: Duration, instance: usize, request: Request, tokens: u32) {
        self.dispatchers[instance].record_completion(now, request, tokens);
    }

    fn failed(&mut self, now: Duration, instance: usize, request: Request, at: &Upstream) -> bool {
        let dispatcher = &mut self.dispatchers[instance];
        let verdict = dispatcher.handle_failure(now, request, at, FailureKind::Lost, &mut self.rng);
        matches!(verdict, Decision::RetryAfter(_))
    }

    fn poll(&mut self, now: Duration, instance: usize) -> Vec<Act> {
        self.act(now, instance)
    }

    fn spread(&mut self, now: Duration) {
        for from in 0..self.dispatchers.len() {
            let report = self.dispatchers[from].tick_limits(now);
            for to in (0..self.dispatchers.len()).filter(|to| *to != from) {
                self.dispatchers[to].handle_report(now, &self.names[from], &report);
            }
        }
    }
}

/// Returns a table whose rows let everybody wait.
fn patient(table: &Table) -> Table {
    const LONG: u32 = 36_000_000;
    let rows = table.rows().iter().cloned();
    let rows = rows.map(|row| Row { deadline_ms: LONG, max_wait_ms: LONG, ..row });
    Table::new(rows).expect("the rows stay allowed")
}

/// Sends everything at once, to the next upstream or to the least loaded one.
pub struct Baseline {
    least_loaded: bool,
    known: BTreeMap<Upstream, Announcement>,
    heads: BTreeMap<Request, Head>,
    next: Vec<usize>,
    sent: Vec<BTreeMap<Request, Upstream>>,
    again: Vec<Vec<Request>>,
}

impl Baseline {
    pub fn new(least_loaded: bool) -> Self {
        Self {
            least_loaded,
            known: BTreeMap::new(),
            heads: BTreeMap::new(),
            next: (0..INSTANCES).collect(),
            sent: vec![BTreeMap::new(); INSTANCES],
            again: vec![Vec::new(); INSTANCES],
        }
    }

    fn send(&mut self, instance: usize, request: Request) -> Option<Act> {
        let model: Model = self.heads.get(&request)?.model.clone();
        let ready: Vec<&Announcement> = self
            .known
            .values()
            .filter(|known| known.phase == Phase::Ready && known.models.contains(&model))
            .collect();
        if ready.is_empty() {
            self.again[instance].push(request);
            return None;
        }
        let load = |known: &Announcement| {
            let own = self.sent[instance].values().filter(|name| **name == known.upstream).count();
            known.load.running + known.load.waiting + own as u32
        };
        let upstream = if self.least_loaded {
            ready.iter().min_by_key(|known| load(known))?.upstream.clone()
        } else {
            self.next[instance] += 1;
            ready[self.next[instance] % ready.len()].upstream.clone()
        };
        self.sent[instance].insert(request, upstream.clone());
        Some(Act::Run { request, upstream, priority: 0 })
    }
}

impl Policy for Baseline {
    fn announce(&mut self, _: Duration, announcement: &Announcement) {
        self.known.insert(announcement.upstream.clone(), announcement.clone());
    }

    fn lost(&mut self, _: Duration, upstream: &Upstream) {
        self.known.remove(upstream);
    }

    fn cached(&mut self, _: &Upstream, _: &CacheBatch) {}

    fn arrive(&mut self, _: Duration, instance: usize, head: Head) -> Vec<Act> {
        let request = head.request;
        self.heads.insert(request, head);
        self.send(instance, request).into_iter().collect()
    }

    fn first(&mut self, _: Duration, _: usize, _: Request) {}

    fn ended(&mut self, _: Duration, instance: usize, request: Request, _: u32) {
        self.sent[instance].remove(&request);
        self.heads.remove(&request);
    }

    fn failed(&mut self, _: Duration, instance: usize, request: Request, _: &Upstream) -> bool {
        self.sent[instance].remove(&request);
        let again = self.heads.get(&request).is_some_and(|head| head.idempotent);
        if again {
            self.again[instance].push(request);
        }
        again
    }

    fn poll(&mut self, _: Duration, instance: usize) -> Vec<Act> {
        let again = std::mem::take(&mut self.again[instance]);
        again.into_iter().filter_map(|request| self.send(instance, request)).collect()
    }

    fn spread(&mut self, _: Duration) {}
}
