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
const CONFIRMATION_TIME: Duration = Duration::from_millis(400);

/// How long a request is suspected after the last end. One that comes again after longer begins a new chain.
const SUSPICION_TIME: Duration = Duration::from_secs(600);

/// How long entries watch for answers to a request that ends no further upstream.
const WATCH_TIME: Duration = Duration::from_secs(30);

/// The most requests that are suspected; a third of 3,000 upstreams that end at once had some 16,000 under way,
/// most of which are never sent again.
const MAX_SUSPECTS: usize = 4_096;

/// The most requests that entries watch, and that are held back: each change is told whole, 5 kB of each.
const MAX_LISTED: usize = 256;

/// Ends of a chain that are remembered: as many as are needed, and those that another request explains.
const MAX_CRASHES: usize = 8;

/// How many upstreams a request may end that is let through again. After these it is held back until an operator
/// lifts that.
const MAX_TRIALS: u8 = 3;

/// How many times as long as before a request is held back that has ended another upstream.
const BACKOFF_FACTOR: u64 = 6;

/// How long an entry has to let a request through before another one is to.
const TRIAL_TIME: Duration = Duration::from_secs(30);

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
    policy: QuarantinePolicy,
    key: Option<u128>,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The suspects in the order in which they came.
    insertion_order: VecDeque<Fingerprint>,
    watched: BTreeSet<Fingerprint>,
    quarantined: BTreeMap<Fingerprint, Block>,
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
    crashes: Vec<SuspectCrash>,
    /// Since when entries watch for answers to it.
    watched_since: Option<Duration>,
    /// When it was answered last.
    answered_at: Option<Duration>,
}

/// Holds an upstream that ended under a request.
#[derive(Clone, Debug)]
struct SuspectCrash {
    run: Run,
    sent_at: Duration,
    ended_at: Duration,
    /// Whether another request is known to have ended it.
    explained: bool,
}

impl Suspect {
    /// Returns the upstreams that ended one after the other, since it was answered last.
    fn chain(&self) -> Vec<&SuspectCrash> {
        let mut chain: Vec<&SuspectCrash> = Vec::new();
        for crash in &self.crashes {
            let cleared =
                crash.explained || self.answered_at.is_some_and(|it| crash.ended_at <= it);
            let is_later = chain.last().is_none_or(|last| crash.sent_at >= last.ended_at);
            if !cleared && is_later {
                chain.push(crash);
            }
        }
        chain
    }

    fn runs(&self) -> Vec<Run> {
        self.chain().into_iter().map(|crash| crash.run.clone()).collect()
    }

    fn add_crash(&mut self, crash: SuspectCrash) {
        if self.crashes.iter().any(|it| it.run == crash.run) {
            return;
        }
        // Entries tell in any order, above all to a new leader.
        let position = self.crashes.partition_point(|it| it.ended_at <= crash.ended_at);
        self.crashes.insert(position, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    fn last_crash(&self) -> Option<Duration> {
        self.crashes.last().map(|it| it.ended_at)
    }
}

impl Quarantine {
    /// Starts with what the log and this core hold. What is only suspected the entries tell again.
    pub fn new(policy: QuarantinePolicy, persisted: &PersistedState, known: &Blocklist) -> Self {
        let mut quarantine = Self { policy, key: persisted.key, ..Self::default() };
        for (fingerprint, block) in known.quarantined.iter().chain(&persisted.quarantined) {
            quarantine
                .quarantined
                .insert(*fingerprint, Block { trial_entry: None, ..block.clone() });
        }
        quarantine.apply_policy();
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
        let without_trial = |block: &Block| Block { trial_entry: None, ..block.clone() };
        let block = self
            .quarantined
            .iter()
            .map(|(fingerprint, block)| (*fingerprint, without_trial(block)))
            .collect();
        PersistedState { key: Some(self.key.unwrap_or(key)), quarantined: block }
    }

    /// Takes the key once the log holds it.
    pub fn set_key(&mut self, key: Option<u128>) {
        self.key = self.key.or(key);
    }

    /// Takes an operator's other wishes.
    pub fn set_policy(&mut self, policy: QuarantinePolicy) {
        self.policy = policy;
        self.apply_policy();
    }

    /// Takes an entry's word that an upstream ended while it ran a request; `unix` is the agreed time of day.
    pub fn handle_crash(&mut self, now: Duration, unix: u64, crash: &Crash) {
        let Crash { fingerprint, run, sent_ms_ago: sent, ended_ms_ago: ended } = crash;
        if self.quarantined.contains_key(fingerprint) {
            self.handle_repeated_crash(unix.saturating_sub(*sent), unix, *fingerprint, run);
        }
        let ago = |millis: u64| now.saturating_sub(Duration::from_millis(millis));
        let explained = self.explained.contains(run);
        let suspect_crash = SuspectCrash {
            run: run.clone(),
            sent_at: ago(*sent),
            ended_at: ago(*ended),
            explained,
        };
        self.suspect(*fingerprint).add_crash(suspect_crash);
        self.evaluate(now, unix, *fingerprint);
    }

    /// Takes an entry's word that a request was answered; `unix` is the agreed time of day.
    ///
    /// An answer from before it ended one upstream after the other says nothing about that.
    pub fn handle_answer(&mut self, now: Duration, unix: u64, answer: &Answer) {
        let at = now.saturating_sub(Duration::from_millis(answer.ms_ago));
        let block = self.quarantined.get(&answer.fingerprint);
        let mut cleared =
            block.is_some_and(|block| unix.saturating_sub(answer.ms_ago) > block.since);
        if let Some(suspect) = self.suspects.get_mut(&answer.fingerprint) {
            suspect.answered_at = suspect.answered_at.max(Some(at));
            cleared = cleared || (!suspect.crashes.is_empty() && suspect.chain().is_empty());
        }
        if cleared {
            self.release(answer.fingerprint, Cause::Answered);
        }
    }

    /// Decides what is due by now; `entries` are those that may let a request through.
    pub fn tick(&mut self, now: Duration, unix: u64, entries: &[SocketAddr]) {
        for fingerprint in self.watched.clone() {
            self.evaluate(now, unix, fingerprint);
            let last = self.suspects.get(&fingerprint).and_then(Suspect::last_crash);
            let is_idle = last.is_none_or(|last| now.saturating_sub(last) > WATCH_TIME);
            let since = self.suspects.get(&fingerprint).and_then(|it| it.watched_since);
            if is_idle && since.is_none_or(|since| now.saturating_sub(since) > WATCH_TIME) {
                self.unwatch(fingerprint);
            }
        }
        while let Some(fingerprint) = self.insertion_order.front().copied() {
            let last = self.suspects.get(&fingerprint).and_then(Suspect::last_crash);
            let is_fresh = last.is_some_and(|last| now.saturating_sub(last) <= SUSPICION_TIME);
            if is_fresh || self.watched.contains(&fingerprint) {
                break;
            }
            self.insertion_order.pop_front();
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
            self.insertion_order.push_back(fingerprint);
            let mut remaining = self.insertion_order.len();
            while self.suspects.len() >= MAX_SUSPECTS && remaining > 0 {
                remaining -= 1;
                let Some(oldest) = self.insertion_order.pop_front() else { break };
                if self.watched.contains(&oldest) || oldest == fingerprint {
                    self.insertion_order.push_back(oldest);
                } else {
                    self.suspects.remove(&oldest);
                }
            }
        }
        self.suspects.entry(fingerprint).or_default()
    }

    /// Decides of a request by the upstreams that ended under it.
    fn evaluate(&mut self, now: Duration, unix: u64, fingerprint: Fingerprint) {
        if self.quarantined.contains_key(&fingerprint) || self.policy.lifted.contains(&fingerprint)
        {
            return;
        }
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        let (runs, watched_since) = (suspect.runs(), suspect.watched_since);
        let threshold = usize::try_from(self.policy.crash_threshold).unwrap_or(usize::MAX).max(1);
        if runs.len() + 1 < threshold {
            return;
        }
        let Some(since) = watched_since else {
            return self.watch(now, fingerprint, runs, threshold);
        };
        if runs.len() >= threshold && now.saturating_sub(since) >= CONFIRMATION_TIME {
            self.quarantine_request(unix, fingerprint, runs);
        }
    }

    /// Has entries watch for answers to a request, if there is room or it is all but found.
    fn watch(&mut self, now: Duration, fingerprint: Fingerprint, runs: Vec<Run>, threshold: usize) {
        if self.watched.len() >= MAX_LISTED {
            let chain_length =
                |it: &&Fingerprint| self.suspects.get(it).map_or(0, |it| it.chain().len());
            let Some(other) = self.watched.iter().min_by_key(chain_length).copied() else { return };
            if runs.len() < threshold || chain_length(&&other) >= threshold {
                return;
            }
            self.unwatch(other);
        }
        self.suspect(fingerprint).watched_since = Some(now);
        self.watched.insert(fingerprint);
        self.findings.push(Finding::Suspected { fingerprint, runs });
    }

    fn unwatch(&mut self, fingerprint: Fingerprint) {
        self.watched.remove(&fingerprint);
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.watched_since = None;
        }
    }

    /// Holds a request back. What else ran on the upstreams that it ended is innocent of that.
    fn quarantine_request(&mut self, unix: u64, fingerprint: Fingerprint, runs: Vec<Run>) {
        self.unwatch(fingerprint);
        if self.quarantined.len() >= MAX_LISTED {
            let first = self.quarantined.iter().min_by_key(|(_, block)| block.until);
            let Some((first, _)) = first.map(|(fingerprint, block)| (*fingerprint, block.until))
            else {
                return;
            };
            self.quarantined.remove(&first);
        }
        let hold_ms = u64::try_from(self.policy.hold_time.as_millis()).unwrap_or(u64::MAX);
        let until = unix.saturating_add(hold_ms);
        let block = Block { since: unix, until, failed_trials: 0, trial_entry: None };
        self.quarantined.insert(fingerprint, block.clone());
        self.findings.push(Finding::Quarantined { fingerprint, runs, held: block });
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        let crashed_runs: Vec<Run> = suspect.crashes.iter().map(|it| it.run.clone()).collect();
        for run in &crashed_runs {
            self.record_explained_crash(fingerprint, run);
        }
        // One that was found before, but by these upstreams alone, only happened to run on them.
        let is_innocent = |it: &Suspect| {
            !it.crashes.is_empty()
                && it.crashes.iter().all(|crash| crashed_runs.contains(&crash.run))
        };
        let others = self.quarantined.keys().filter(|other| **other != fingerprint);
        let innocent: Vec<Fingerprint> =
            others.filter(|it| self.suspects.get(it).is_some_and(is_innocent)).copied().collect();
        for other in innocent {
            self.release(other, Cause::Explained);
        }
    }

    /// Notes that a request which is held back ended an upstream.
    fn record_explained_crash(&mut self, culprit: Fingerprint, run: &Run) {
        if !self.explained.contains(run) {
            self.explained.push_back(run.clone());
            if self.explained.len() > MAX_LISTED {
                self.explained.pop_front();
            }
        }
        let mut cleared = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            let crash = suspect.crashes.iter_mut().find(|crash| crash.run == *run);
            if let Some(crash) = crash.filter(|_| *fingerprint != culprit) {
                crash.explained = true;
                if suspect.watched_since.is_some() && suspect.chain().is_empty() {
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
    fn handle_repeated_crash(&mut self, sent: u64, unix: u64, fingerprint: Fingerprint, run: &Run) {
        self.record_explained_crash(fingerprint, run);
        let Some(block) = self.quarantined.get_mut(&fingerprint) else { return };
        if sent < block.until {
            return;
        }
        block.failed_trials = block.failed_trials.saturating_add(1);
        (block.since, block.trial_entry) = (unix, None);
        let hold_ms = u64::try_from(self.policy.hold_time.as_millis()).unwrap_or(u64::MAX);
        let extended_ms =
            hold_ms.saturating_mul(BACKOFF_FACTOR.saturating_pow(block.failed_trials.into()));
        block.until = if block.failed_trials >= MAX_TRIALS {
            u64::MAX
        } else {
            unix.saturating_add(extended_ms)
        };
        let (block, runs) = (block.clone(), vec![run.clone()]);
        self.trials.remove(&fingerprint);
        self.findings.push(Finding::Quarantined { fingerprint, runs, held: block });
    }

    /// Lets a request be sent again.
    fn release(&mut self, fingerprint: Fingerprint, cause: Cause) {
        if self.policy.forbidden.contains(&fingerprint) {
            return;
        }
        let was_listed =
            self.quarantined.remove(&fingerprint).is_some() || self.watched.contains(&fingerprint);
        self.trials.remove(&fingerprint);
        self.unwatch(fingerprint);
        if was_listed {
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
        for (fingerprint, block) in &mut self.quarantined {
            if unix < block.until || self.policy.forbidden.contains(fingerprint) {
                continue;
            }
            let since = self.trials.get(fingerprint).copied();
            if since.is_some_and(|since| now.saturating_sub(since) <= TRIAL_TIME) {
                continue;
            }
            let last =
                block.trial_entry.and_then(|it| entries.iter().position(|entry| *entry == it));
            let entry = entries[last.map_or(0, |last| last + 1) % entries.len()];
            block.trial_entry = Some(entry);
            self.trials.insert(*fingerprint, now);
            self.findings.push(Finding::TrialOffered { fingerprint: *fingerprint, entry });
        }
    }

    /// Does what operators have said of single requests.
    fn apply_policy(&mut self) {
        for fingerprint in self.policy.lifted.clone() {
            self.release(fingerprint, Cause::Lifted);
        }
        // One that an operator forbade, and forbids no more.
        let is_freed = |fingerprint: &Fingerprint, block: &Block| {
            block.until == u64::MAX
                && block.failed_trials < MAX_TRIALS
                && !self.policy.forbidden.contains(fingerprint)
        };
        let freed =
            self.quarantined.iter().filter(|(fingerprint, block)| is_freed(fingerprint, block));
        for fingerprint in freed.map(|(fingerprint, _)| *fingerprint).collect::<Vec<_>>() {
            self.release(fingerprint, Cause::Lifted);
        }
        for fingerprint in &self.policy.forbidden {
            let block = Block { since: 0, until: u64::MAX, failed_trials: 0, trial_entry: None };
            if self.quarantined.insert(*fingerprint, block.clone()).as_ref() != Some(&block) {
                self.findings.push(Finding::Quarantined {
                    fingerprint: *fingerprint,
                    runs: Vec::new(),
                    held: block,
                });
            }
        }
    }

    /// Makes what entries go by anew; returns whether that is something else now.
    fn publish(&mut self) -> bool {
        let is_unchanged = self.blocklist.key == self.key
            && self.blocklist.watched == self.watched
            && self.blocklist.quarantined == self.quarantined;
        if !is_unchanged {
            let (watched, block) = (self.watched.clone(), self.quarantined.clone());
            self.blocklist = Arc::new(Blocklist { key: self.key, watched, quarantined: block });
        }
        !is_unchanged
    }
}
