//! Requests that end the upstreams that run them: how the leader finds them, and how they are held back.
//!
//! An upstream that ends breaks off all that it runs, and each of these requests may be the cause. One that
//! may be, and is sent again, shows itself: the next upstream ends too. So what counts is a *chain*: upstreams
//! that ended one after the other, each of them sent the request only after the one before had ended. A zone that
//! loses power ends many upstreams at once, and adds one to the chain of what ran on them.
//!
//! Three things clear a request. It was answered after the last end: what ends each upstream that runs it is
//! never answered, and what many callers ask for is answered all the time. Another request that ran on the same
//! upstream was found to end them. Or nothing more is heard of it for long.
//!
//! From the second end of a chain on, all entries watch for answers to the request, and a chain of three is
//! believed only when they have had time to tell of one. Then the request is held back: no entry sends it to any
//! upstream. After a time one entry lets one through, to see whether upstreams survive it by now.

mod record;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fingerprint::Fingerprint;
pub use crate::quarantine::record::{
    Answer, Block, Blocklist, Cause, Crash, Finding, PersistedState, QuarantinePolicy,
};
use crate::upstream::Run;

/// How long a chain of enough ends waits for the word of an answer: as long as an update takes to all entries, 120 ms to
/// 300 of them, and a popular request to be answered once more. Meanwhile a bad one may end two more upstreams.
const SETTLE: Duration = Duration::from_millis(400);

/// How long a request is suspected after the last end. One that comes again after longer begins a new chain.
const MEMORY: Duration = Duration::from_secs(600);

/// How long entries watch for answers to a request that ends no further upstream.
const WATCH: Duration = Duration::from_secs(30);

/// The most requests that are suspected; a third of 3,000 upstreams that end at once had some 16,000 under way,
/// most of which are never sent again.
const SUSPECTS: usize = 4_096;

/// The most requests that entries watch, and that are held back: each change is told whole, 5 kB of each.
const LISTED: usize = 256;

/// Ends of a chain that are remembered: as many as are needed, and those that another request explains.
const STEPS: usize = 8;

/// How many upstreams a request may end that is let through again. After these it is held back until an operator
/// lifts that.
const TRIES: u8 = 3;

/// How many times as long as before a request is held back that has ended another upstream.
const LONGER: u64 = 6;

/// How long an entry has to let a request through before another one is to.
const TRIAL: Duration = Duration::from_secs(30);

impl Default for QuarantinePolicy {
    fn default() -> Self {
        let hold = Duration::from_secs(600);
        Self {
            crash_threshold: 3,
            hold_time: hold,
            lifted: BTreeSet::new(),
            forbidden: BTreeSet::new(),
        }
    }
}

/// Finds requests that end upstreams, at the leader.
#[derive(Debug, Default)]
pub struct Quarantine {
    rule: QuarantinePolicy,
    key: Option<u128>,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The suspects in the order in which they came.
    order: VecDeque<Fingerprint>,
    watched: BTreeSet<Fingerprint>,
    held: BTreeMap<Fingerprint, Block>,
    /// Since when an entry may let a request through.
    trials: BTreeMap<Fingerprint, Duration>,
    /// Upstreams that a request ended which is held back, the last ones.
    explained: VecDeque<Run>,
    findings: Vec<Finding>,
    blocklist: Arc<Blocklist>,
}

/// Holds what is known of a request that may end upstreams.
#[derive(Debug, Default)]
struct Suspect {
    steps: Vec<Step>,
    /// Since when entries watch for answers to it.
    watched: Option<Duration>,
    /// When it was answered last.
    answered: Option<Duration>,
}

/// Holds an upstream that ended under a request.
#[derive(Clone, Debug)]
struct Step {
    run: Run,
    sent: Duration,
    ended: Duration,
    /// Whether another request is known to have ended it.
    explained: bool,
}

impl Suspect {
    /// Returns the upstreams that ended one after the other, since it was answered last.
    fn chain(&self) -> Vec<&Step> {
        let mut chain: Vec<&Step> = Vec::new();
        for step in &self.steps {
            let cleared = step.explained || self.answered.is_some_and(|it| step.ended <= it);
            let after = chain.last().is_none_or(|last| step.sent >= last.ended);
            if !cleared && after {
                chain.push(step);
            }
        }
        chain
    }

    fn runs(&self) -> Vec<Run> {
        self.chain().into_iter().map(|step| step.run.clone()).collect()
    }

    fn take(&mut self, step: Step) {
        if self.steps.iter().any(|it| it.run == step.run) {
            return;
        }
        // Entries tell in any order, above all to a new leader.
        let place = self.steps.partition_point(|it| it.ended <= step.ended);
        self.steps.insert(place, step);
        if self.steps.len() > STEPS {
            self.steps.remove(0);
        }
    }

    fn last(&self) -> Option<Duration> {
        self.steps.last().map(|it| it.ended)
    }
}

impl Quarantine {
    /// Starts with what the log and this core hold. What is only suspected the entries tell again.
    pub fn new(rule: QuarantinePolicy, kept: &PersistedState, known: &Blocklist) -> Self {
        let mut quarantine = Self { rule, key: kept.key, ..Self::default() };
        for (fingerprint, held) in known.quarantined.iter().chain(&kept.quarantined) {
            quarantine.held.insert(*fingerprint, Block { trial_entry: None, ..held.clone() });
        }
        quarantine.overrule();
        quarantine.publish();
        quarantine.findings.clear();
        quarantine
    }

    /// Returns what entries go by.
    pub fn blocklist(&self) -> &Arc<Blocklist> {
        &self.blocklist
    }

    /// Returns what is to outlive this leader.
    pub fn persisted(&self, key: u128) -> PersistedState {
        let bare = |held: &Block| Block { trial_entry: None, ..held.clone() };
        let held = self.held.iter().map(|(fingerprint, held)| (*fingerprint, bare(held))).collect();
        PersistedState { key: Some(self.key.unwrap_or(key)), quarantined: held }
    }

    /// Takes the key once the log holds it.
    pub fn set_key(&mut self, key: Option<u128>) {
        self.key = self.key.or(key);
    }

    /// Takes an operator's other wishes.
    pub fn set_policy(&mut self, rule: QuarantinePolicy) {
        self.rule = rule;
        self.overrule();
    }

    /// Takes an entry's word that an upstream ended while it ran a request; `unix` is the agreed time of day.
    pub fn handle_crash(&mut self, now: Duration, unix: u64, crash: &Crash) {
        let Crash { fingerprint, run, sent_ms_ago: sent, ended_ms_ago: ended } = crash;
        if self.held.contains_key(fingerprint) {
            self.ended_again(unix.saturating_sub(*sent), unix, *fingerprint, run);
        }
        let ago = |millis: u64| now.saturating_sub(Duration::from_millis(millis));
        let explained = self.explained.contains(run);
        let step = Step { run: run.clone(), sent: ago(*sent), ended: ago(*ended), explained };
        self.suspect(*fingerprint).take(step);
        self.weigh(now, unix, *fingerprint);
    }

    /// Takes an entry's word that a request was answered; `unix` is the agreed time of day.
    ///
    /// An answer from before it ended one upstream after the other says nothing about that.
    pub fn handle_answer(&mut self, now: Duration, unix: u64, answer: &Answer) {
        let at = now.saturating_sub(Duration::from_millis(answer.ms_ago));
        let held = self.held.get(&answer.fingerprint);
        let mut cleared = held.is_some_and(|held| unix.saturating_sub(answer.ms_ago) > held.since);
        if let Some(suspect) = self.suspects.get_mut(&answer.fingerprint) {
            suspect.answered = suspect.answered.max(Some(at));
            cleared = cleared || (!suspect.steps.is_empty() && suspect.chain().is_empty());
        }
        if cleared {
            self.release(answer.fingerprint, Cause::Answered);
        }
    }

    /// Decides what is due by now; `entries` are those that may let a request through.
    pub fn tick(&mut self, now: Duration, unix: u64, entries: &[SocketAddr]) {
        for fingerprint in self.watched.clone() {
            self.weigh(now, unix, fingerprint);
            let last = self.suspects.get(&fingerprint).and_then(Suspect::last);
            let idle = last.is_none_or(|last| now.saturating_sub(last) > WATCH);
            let since = self.suspects.get(&fingerprint).and_then(|it| it.watched);
            if idle && since.is_none_or(|since| now.saturating_sub(since) > WATCH) {
                self.unwatch(fingerprint);
            }
        }
        while let Some(fingerprint) = self.order.front().copied() {
            let last = self.suspects.get(&fingerprint).and_then(Suspect::last);
            let fresh = last.is_some_and(|last| now.saturating_sub(last) <= MEMORY);
            if fresh || self.watched.contains(&fingerprint) {
                break;
            }
            self.order.pop_front();
            self.suspects.remove(&fingerprint);
        }
        self.offer_trials(now, unix, entries);
    }

    /// Takes what was decided since it was last asked for; returns whether entries go by something else now.
    pub fn take_findings(&mut self) -> (Vec<Finding>, bool) {
        let changed = self.publish();
        (std::mem::take(&mut self.findings), changed)
    }

    /// Returns what is known of a request, and makes room for it if that is new.
    ///
    /// Room is made at the expense of what was suspected first and is not watched. So a flood of requests that
    /// break off once pushes nothing out that is close to being found, and nothing that was found.
    fn suspect(&mut self, fingerprint: Fingerprint) -> &mut Suspect {
        if !self.suspects.contains_key(&fingerprint) {
            self.order.push_back(fingerprint);
            let mut looks = self.order.len();
            while self.suspects.len() >= SUSPECTS && looks > 0 {
                looks -= 1;
                let Some(oldest) = self.order.pop_front() else { break };
                if self.watched.contains(&oldest) || oldest == fingerprint {
                    self.order.push_back(oldest);
                } else {
                    self.suspects.remove(&oldest);
                }
            }
        }
        self.suspects.entry(fingerprint).or_default()
    }

    /// Decides of a request by the upstreams that ended under it.
    fn weigh(&mut self, now: Duration, unix: u64, fingerprint: Fingerprint) {
        if self.held.contains_key(&fingerprint) || self.rule.lifted.contains(&fingerprint) {
            return;
        }
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        let (runs, watched) = (suspect.runs(), suspect.watched);
        let wanted = usize::try_from(self.rule.crash_threshold).unwrap_or(usize::MAX).max(1);
        if runs.len() + 1 < wanted {
            return;
        }
        let Some(since) = watched else { return self.watch(now, fingerprint, runs, wanted) };
        if runs.len() >= wanted && now.saturating_sub(since) >= SETTLE {
            self.hold(unix, fingerprint, runs);
        }
    }

    /// Has entries watch for answers to a request, if there is room or it is all but found.
    fn watch(&mut self, now: Duration, fingerprint: Fingerprint, runs: Vec<Run>, wanted: usize) {
        if self.watched.len() >= LISTED {
            let least = |it: &&Fingerprint| self.suspects.get(it).map_or(0, |it| it.chain().len());
            let Some(other) = self.watched.iter().min_by_key(least).copied() else { return };
            if runs.len() < wanted || least(&&other) >= wanted {
                return;
            }
            self.unwatch(other);
        }
        self.suspect(fingerprint).watched = Some(now);
        self.watched.insert(fingerprint);
        self.findings.push(Finding::Suspected { fingerprint, runs });
    }

    fn unwatch(&mut self, fingerprint: Fingerprint) {
        self.watched.remove(&fingerprint);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.watched = None;
        }
    }

    /// Holds a request back. What else ran on the upstreams that it ended is innocent of that.
    fn hold(&mut self, unix: u64, fingerprint: Fingerprint, runs: Vec<Run>) {
        self.unwatch(fingerprint);
        if self.held.len() >= LISTED {
            let first = self.held.iter().min_by_key(|(_, held)| held.until);
            let Some((first, _)) = first.map(|(fingerprint, held)| (*fingerprint, held.until))
            else {
                return;
            };
            self.held.remove(&first);
        }
        let hold = u64::try_from(self.rule.hold_time.as_millis()).unwrap_or(u64::MAX);
        let until = unix.saturating_add(hold);
        let held = Block { since: unix, until, failed_trials: 0, trial_entry: None };
        self.held.insert(fingerprint, held.clone());
        self.findings.push(Finding::Quarantined { fingerprint, runs, held });
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        let ended: Vec<Run> = suspect.steps.iter().map(|it| it.run.clone()).collect();
        for run in &ended {
            self.explain(fingerprint, run);
        }
        // One that was found before, but by these upstreams alone, only happened to run on them.
        let within = |it: &Suspect| {
            !it.steps.is_empty() && it.steps.iter().all(|step| ended.contains(&step.run))
        };
        let others = self.held.keys().filter(|other| **other != fingerprint);
        let innocent: Vec<Fingerprint> =
            others.filter(|it| self.suspects.get(it).is_some_and(within)).copied().collect();
        for other in innocent {
            self.release(other, Cause::Explained);
        }
    }

    /// Notes that a request which is held back ended an upstream.
    fn explain(&mut self, culprit: Fingerprint, run: &Run) {
        if !self.explained.contains(run) {
            self.explained.push_back(run.clone());
            if self.explained.len() > LISTED {
                self.explained.pop_front();
            }
        }
        let mut cleared = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            let step = suspect.steps.iter_mut().find(|step| step.run == *run);
            if let Some(step) = step.filter(|_| *fingerprint != culprit) {
                step.explained = true;
                if suspect.watched.is_some() && suspect.chain().is_empty() {
                    cleared.push(*fingerprint);
                }
            }
        }
        for fingerprint in cleared {
            self.unwatch(fingerprint);
            self.findings.push(Finding::Cleared { fingerprint, cause: Cause::Explained });
        }
    }

    /// Takes the end of another upstream under a request that is held back: one that was on its way when it was
    /// found, or one that was let through again.
    fn ended_again(&mut self, sent: u64, unix: u64, fingerprint: Fingerprint, run: &Run) {
        self.explain(fingerprint, run);
        let Some(held) = self.held.get_mut(&fingerprint) else { return };
        if sent < held.until {
            return;
        }
        held.failed_trials = held.failed_trials.saturating_add(1);
        (held.since, held.trial_entry) = (unix, None);
        let hold = u64::try_from(self.rule.hold_time.as_millis()).unwrap_or(u64::MAX);
        let longer = hold.saturating_mul(LONGER.saturating_pow(held.failed_trials.into()));
        held.until =
            if held.failed_trials >= TRIES { u64::MAX } else { unix.saturating_add(longer) };
        let (held, runs) = (held.clone(), vec![run.clone()]);
        self.trials.remove(&fingerprint);
        self.findings.push(Finding::Quarantined { fingerprint, runs, held });
    }

    /// Lets a request be sent again.
    fn release(&mut self, fingerprint: Fingerprint, cause: Cause) {
        if self.rule.forbidden.contains(&fingerprint) {
            return;
        }
        let was = self.held.remove(&fingerprint).is_some() || self.watched.contains(&fingerprint);
        self.trials.remove(&fingerprint);
        self.unwatch(fingerprint);
        if was {
            self.findings.push(Finding::Cleared { fingerprint, cause });
        }
    }

    /// Has one entry let one through of each request that was held back for long enough.
    ///
    /// Let through by all entries, it would end as many upstreams at once as there are callers.
    fn offer_trials(&mut self, now: Duration, unix: u64, entries: &[SocketAddr]) {
        if entries.is_empty() {
            return;
        }
        for (fingerprint, held) in &mut self.held {
            if unix < held.until || self.rule.forbidden.contains(fingerprint) {
                continue;
            }
            let since = self.trials.get(fingerprint).copied();
            if since.is_some_and(|since| now.saturating_sub(since) <= TRIAL) {
                continue;
            }
            let last =
                held.trial_entry.and_then(|it| entries.iter().position(|entry| *entry == it));
            let entry = entries[last.map_or(0, |last| last + 1) % entries.len()];
            held.trial_entry = Some(entry);
            self.trials.insert(*fingerprint, now);
            self.findings.push(Finding::TrialOffered { fingerprint: *fingerprint, entry });
        }
    }

    /// Does what operators have said of single requests.
    fn overrule(&mut self) {
        for fingerprint in self.rule.lifted.clone() {
            self.release(fingerprint, Cause::Lifted);
        }
        // One that an operator forbade, and forbids no more.
        let free = |fingerprint: &Fingerprint, held: &Block| {
            held.until == u64::MAX
                && held.failed_trials < TRIES
                && !self.rule.forbidden.contains(fingerprint)
        };
        let freed = self.held.iter().filter(|(fingerprint, held)| free(fingerprint, held));
        for fingerprint in freed.map(|(fingerprint, _)| *fingerprint).collect::<Vec<_>>() {
            self.release(fingerprint, Cause::Lifted);
        }
        for fingerprint in &self.rule.forbidden {
            let held = Block { since: 0, until: u64::MAX, failed_trials: 0, trial_entry: None };
            if self.held.insert(*fingerprint, held.clone()).as_ref() != Some(&held) {
                self.findings.push(Finding::Quarantined {
                    fingerprint: *fingerprint,
                    runs: Vec::new(),
                    held,
                });
            }
        }
    }

    /// Makes what entries go by anew; returns whether that is something else now.
    fn publish(&mut self) -> bool {
        let same = self.blocklist.key == self.key
            && self.blocklist.watched == self.watched
            && self.blocklist.quarantined == self.held;
        if !same {
            let (watched, held) = (self.watched.clone(), self.held.clone());
            self.blocklist = Arc::new(Blocklist { key: self.key, watched, quarantined: held });
        }
        !same
    }
}
