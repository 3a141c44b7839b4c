//! Detection and quarantine of poison requests, and of prompt parts that make requests poison: they
//! crash the upstreams that run them.
//!
//! An upstream that crashes breaks off all requests that it runs, and each of them may be the
//! cause. A poison request that is sent again gives itself away, because the next upstream crashes
//! as well. What counts is therefore a *chain*: upstreams that crashed one after the other, where
//! each one was sent the request only after the previous one had crashed. A zone that loses power
//! ends many upstreams at once, and adds only one of them to the chain of each request that ran on
//! them.
//!
//! A request is cleared in three ways. It was answered after the last crash: a poison request is
//! never answered, while a popular request is answered all the time. Or another request on the same
//! upstreams was found to be the cause. Or nothing more is heard of it for a long time.
//!
//! From the second crash of a chain on, all entries watch for answers to the request. A chain of
//! three is believed only after the entries have had time to report an answer. Then the request is
//! quarantined: no entry sends it to any upstream. After some time, one entry sends it once as a
//! trial, to see whether upstreams survive it by now.
//!
//! A prompt part is suspected, watched, quarantined and tried in the same way, with all requests
//! that contain it. Many of them run at a time, on all upstreams, so that four upstreams count
//! however they crashed. Almost every part is cleared by the next answer to any request with it. Of
//! the parts that are left, the one that crashed most upstreams is quarantined first, and explains
//! the crashes of the others.

mod record;
mod suspect;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::fingerprint::Fingerprint;
pub use crate::quarantine::record::{
    Answer, Block, Blocklist, Cause, Crash, Finding, PersistedState, QuarantinePolicy,
};
pub use crate::quarantine::suspect::PART_CLEARANCE;
use crate::quarantine::suspect::{Suspect, SuspectCrash};
use crate::upstream::Run;

/// How long a complete chain waits for the report of an answer: as long as an update takes to reach
/// all entries, which is 120 ms for 300 of them, and a popular request takes to be answered again.
/// Meanwhile a poison request may crash two more upstreams.
const CONFIRMATION_TIME: Duration = Duration::from_millis(400);

/// How long a request is suspected after the last crash. A request that returns later starts a new
/// chain.
const SUSPICION_TIME: Duration = Duration::from_secs(600);

/// How long entries watch for answers to a request that crashes no further upstream.
const WATCH_TIME: Duration = Duration::from_secs(30);

/// Maximum number of suspected requests, and of suspected parts. When a third of 3,000 upstreams
/// ended at once, some 16,000 requests were running on them, most of which are never sent again.
const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of watched requests, and of quarantined ones: each change sends the lists whole,
/// with 5 kB each.
const MAX_LISTED: usize = 256;

/// Number of upstreams that a request may crash in trials. After that it stays quarantined until an
/// operator lifts the quarantine.
const MAX_TRIALS: u8 = 3;

/// Factor by which the quarantine becomes longer with each upstream that crashes in a trial.
const BACKOFF_FACTOR: u64 = 6;

/// How long an entry has for a trial before another entry is chosen.
const TRIAL_TIME: Duration = Duration::from_secs(30);

impl Default for QuarantinePolicy {
    fn default() -> Self {
        Self {
            crash_threshold: 3,
            hold_time: Duration::from_secs(600),
            part_crash_threshold: 4,
            part_hold_time: Duration::from_secs(60),
            lifted: BTreeSet::new(),
            forbidden: BTreeSet::new(),
        }
    }
}

/// Finds poison requests, at the leader.
#[derive(Debug, Default)]
pub struct Quarantine {
    policy: QuarantinePolicy,
    key: Option<u128>,
    suspects: BTreeMap<Fingerprint, Suspect>,
    /// The number of suspects that were ever added.
    suspect_count: u64,
    /// The suspected requests in the order in which they were added.
    content_order: VecDeque<Fingerprint>,
    /// The suspected parts in the order in which they were added.
    part_order: VecDeque<Fingerprint>,
    watched: BTreeSet<Fingerprint>,
    quarantined: BTreeMap<Fingerprint, Block>,
    /// When an entry was last chosen for a trial of a request.
    trials: BTreeMap<Fingerprint, Duration>,
    /// The last upstreams whose crash a quarantined request or part explains.
    explained: VecDeque<(Run, Fingerprint)>,
    findings: Vec<Finding>,
    blocklist: Arc<Blocklist>,
}

impl Quarantine {
    /// Starts with what the log and this core know. Suspected requests are reported again by the
    /// entries.
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

    /// Returns the blocklist that entries follow.
    pub fn blocklist(&self) -> &Arc<Blocklist> {
        &self.blocklist
    }

    /// Returns the state that outlives this leader; `key` is used if there is no key yet.
    pub fn persisted(&self, key: u128) -> PersistedState {
        let without_trial = |block: &Block| Block { trial_entry: None, ..block.clone() };
        let block = self
            .quarantined
            .iter()
            .map(|(fingerprint, block)| (*fingerprint, without_trial(block)))
            .collect();
        PersistedState { key: Some(self.key.unwrap_or(key)), quarantined: block }
    }

    /// Sets the key of the fingerprints once the log holds it.
    pub fn set_key(&mut self, key: Option<u128>) {
        self.key = self.key.or(key);
    }

    /// Sets the operator's changed policy.
    pub fn set_policy(&mut self, policy: QuarantinePolicy) {
        self.policy = policy;
        self.apply_policy();
    }

    /// Handles an entry's report of a crash; `unix` is the agreed time of day in milliseconds.
    pub fn handle_crash(&mut self, now: Duration, unix: u64, crash: &Crash) {
        let Crash { fingerprint, run, sent_ms_ago, ended_ms_ago } = crash;
        if self.quarantined.contains_key(fingerprint) {
            self.handle_repeated_crash(unix.saturating_sub(*sent_ms_ago), unix, *fingerprint, run);
        }
        let ago = |millis: u64| now.saturating_sub(Duration::from_millis(millis));
        let explained = self.explained.iter().any(|(explained, culprit)| {
            explained == run && Self::may_explain(*culprit, *fingerprint)
        });
        let suspect_crash = SuspectCrash {
            run: run.clone(),
            sent_at: ago(*sent_ms_ago),
            ended_at: ago(*ended_ms_ago),
            explained,
        };
        self.suspect(*fingerprint).add_crash(suspect_crash);
        self.evaluate(now, unix, *fingerprint);
    }

    /// Handles an entry's report that a request was answered; `unix` is the agreed time of day in
    /// milliseconds.
    ///
    /// An answer from before the crashes says nothing about the request.
    pub fn handle_answer(&mut self, now: Duration, unix: u64, answer: &Answer) {
        let at = now.saturating_sub(Duration::from_millis(answer.ms_ago));
        let block = self.quarantined.get(&answer.fingerprint);
        let mut cleared =
            block.is_some_and(|block| unix.saturating_sub(answer.ms_ago) > block.since);
        if let Some(suspect) = self.suspects.get_mut(&answer.fingerprint) {
            suspect.answered_at = suspect.answered_at.max(Some(at));
            cleared = cleared || (!suspect.crashes.is_empty() && suspect.evidence().is_empty());
        }
        if cleared {
            self.release(answer.fingerprint, Cause::Answered);
        }
    }

    /// Makes the decisions that are due; `entries` are those that may run trials.
    pub fn tick(&mut self, now: Duration, unix: u64, entries: &[SocketAddr]) {
        self.quarantine_due(now, unix);
        for fingerprint in self.watched.clone() {
            let last = self.suspects.get(&fingerprint).and_then(Suspect::last_crash);
            let is_idle = last.is_none_or(|last| now.saturating_sub(last) > WATCH_TIME);
            let since = self.suspects.get(&fingerprint).and_then(|it| it.watched_since);
            if is_idle && since.is_none_or(|since| now.saturating_sub(since) > WATCH_TIME) {
                self.unwatch(fingerprint);
            }
        }
        for order in [&mut self.content_order, &mut self.part_order] {
            while let Some(fingerprint) = order.front() {
                let last = self.suspects.get(fingerprint).and_then(Suspect::last_crash);
                let is_fresh = last.is_some_and(|last| now.saturating_sub(last) <= SUSPICION_TIME);
                if is_fresh || self.watched.contains(fingerprint) {
                    break;
                }
                self.suspects.remove(fingerprint);
                order.pop_front();
            }
        }
        self.offer_trials(now, unix, entries);
    }

    /// Returns the decisions since the last call, and whether the blocklist has changed since.
    pub fn take_findings(&mut self) -> (Vec<Finding>, bool) {
        let changed = self.publish();
        (std::mem::take(&mut self.findings), changed)
    }

    /// Returns what is known of a request or part, and adds it if it is new.
    ///
    /// To make room, the oldest suspects of the same kind that are not watched are removed. A flood
    /// of requests that break off once therefore removes none that is about to be found, and none
    /// that is quarantined.
    fn suspect(&mut self, fingerprint: Fingerprint) -> &mut Suspect {
        let is_part = fingerprint.is_part();
        if !self.suspects.contains_key(&fingerprint) {
            self.suspect_count += 1;
            let order = if is_part { &mut self.part_order } else { &mut self.content_order };
            order.push_back(fingerprint);
            let mut remaining = order.len();
            while order.len() > MAX_SUSPECTS && remaining > 0 {
                remaining -= 1;
                let Some(oldest) = order.pop_front() else { break };
                if self.watched.contains(&oldest) || oldest == fingerprint {
                    order.push_back(oldest);
                } else {
                    self.suspects.remove(&oldest);
                }
            }
        }
        let number = self.suspect_count;
        let new = || Suspect { is_part, number, ..Suspect::default() };
        self.suspects.entry(fingerprint).or_insert_with(new)
    }

    /// Returns the number of crashes from which on a request or part is quarantined.
    fn threshold(&self, fingerprint: Fingerprint) -> usize {
        let QuarantinePolicy { crash_threshold, part_crash_threshold, .. } = self.policy;
        let threshold = if fingerprint.is_part() { part_crash_threshold } else { crash_threshold };
        usize::try_from(threshold).unwrap_or(usize::MAX).max(1)
    }

    /// Returns the time for which a request or part is quarantined at first, in milliseconds.
    fn hold_ms(&self, fingerprint: Fingerprint) -> u64 {
        let QuarantinePolicy { hold_time, part_hold_time, .. } = self.policy;
        let hold_time = if fingerprint.is_part() { part_hold_time } else { hold_time };
        u64::try_from(hold_time.as_millis()).unwrap_or(u64::MAX)
    }

    /// Decides on a request or part by the upstreams that crashed while they ran it.
    fn evaluate(&mut self, now: Duration, unix: u64, fingerprint: Fingerprint) {
        if self.quarantined.contains_key(&fingerprint) || self.policy.lifted.contains(&fingerprint)
        {
            return;
        }
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        let threshold = self.threshold(fingerprint);
        let (runs, is_watched) = (suspect.runs(), suspect.watched_since.is_some());
        if runs.len() + 1 >= threshold && !is_watched {
            self.watch(now, fingerprint, runs, threshold);
        } else if runs.len() >= threshold {
            self.quarantine_due(now, unix);
        }
    }

    /// Quarantines the requests and parts for which answers have been waited for in vain.
    ///
    /// Each one may explain the crashes of others, so the most likely cause comes first: one that
    /// was never answered, then the one that crashed most upstreams. Among the parts of one prompt
    /// the last one is the most specific.
    fn quarantine_due(&mut self, now: Duration, unix: u64) {
        loop {
            let due = self.watched.iter().filter_map(|fingerprint| {
                let suspect = self.suspects.get(fingerprint)?;
                let since = suspect.watched_since?;
                let crashes = suspect.evidence().len();
                let is_due = crashes >= self.threshold(*fingerprint)
                    && now.saturating_sub(since) >= CONFIRMATION_TIME;
                let rank = (suspect.answered_at.is_none(), crashes, suspect.number);
                (is_due && !self.is_explained_by_content(suspect)).then_some((rank, *fingerprint))
            });
            let Some((_, fingerprint)) = due.max() else { return };
            let runs = self.suspects.get(&fingerprint).map(Suspect::runs).unwrap_or_default();
            self.quarantine_request(unix, fingerprint, runs);
        }
    }

    /// Returns whether a single quarantined request explains all crashes of a part.
    ///
    /// Then the request was repeated, and other requests with the part need not be refused.
    fn is_explained_by_content(&self, suspect: &Suspect) -> bool {
        let runs = suspect.runs();
        let covers = |content: &Suspect| {
            runs.iter().all(|run| content.crashes.iter().any(|crash| crash.run == *run))
        };
        suspect.is_part
            && self
                .quarantined
                .keys()
                .filter(|it| !it.is_part())
                .any(|content| self.suspects.get(content).is_some_and(covers))
    }

    /// Has entries watch for answers to a request, if there is room or its chain is complete.
    fn watch(&mut self, now: Duration, fingerprint: Fingerprint, runs: Vec<Run>, threshold: usize) {
        if self.watched.len() >= MAX_LISTED {
            let chain_length =
                |it: &&Fingerprint| self.suspects.get(it).map_or(0, |it| it.evidence().len());
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

    /// Quarantines a request or part. The others on the upstreams that it crashed are not to blame
    /// for those crashes.
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
        let until = unix.saturating_add(self.hold_ms(fingerprint));
        let block = Block { since: unix, until, failed_trials: 0, trial_entry: None };
        self.quarantined.insert(fingerprint, block.clone());
        self.findings.push(Finding::Quarantined { fingerprint, runs, held: block });
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        let crashed_runs: Vec<Run> = suspect.crashes.iter().map(|it| it.run.clone()).collect();
        for run in &crashed_runs {
            self.record_explained_crash(fingerprint, run);
        }
        // What was quarantined before, for crashes of these upstreams alone, only happened to run
        // on them.
        let is_innocent = |it: &Suspect| it.is_covered_by(&crashed_runs);
        let others = self.quarantined.keys().filter(|it| Self::may_explain(fingerprint, **it));
        let innocent: Vec<Fingerprint> =
            others.filter(|it| self.suspects.get(it).is_some_and(is_innocent)).copied().collect();
        for other in innocent {
            self.release(other, Cause::Explained);
        }
    }

    /// Returns whether crashes that a request or part caused say nothing about another one.
    ///
    /// A request that is tried at several upstreams crashes all of them because of a part, if the
    /// part causes it, so a request speaks for no part.
    fn may_explain(culprit: Fingerprint, other: Fingerprint) -> bool {
        culprit != other && (culprit.is_part() || !other.is_part())
    }

    /// Records that a quarantined request or part caused the crash of an upstream.
    fn record_explained_crash(&mut self, culprit: Fingerprint, run: &Run) {
        let is_known =
            |(known, by): &(Run, Fingerprint)| known == run && (*by == culprit || by.is_part());
        if !self.explained.iter().any(is_known) {
            self.explained.push_back((run.clone(), culprit));
            if self.explained.len() > MAX_LISTED {
                self.explained.pop_front();
            }
        }
        let mut cleared = Vec::new();
        for (fingerprint, suspect) in &mut self.suspects {
            let crash = suspect.crashes.iter_mut().find(|crash| crash.run == *run);
            if let Some(crash) = crash.filter(|_| Self::may_explain(culprit, *fingerprint)) {
                crash.explained = true;
                if suspect.watched_since.is_some() && suspect.evidence().is_empty() {
                    cleared.push(*fingerprint);
                }
            }
        }
        for fingerprint in cleared {
            self.unwatch(fingerprint);
            self.findings.push(Finding::Cleared { fingerprint, cause: Cause::Explained });
        }
    }

    /// Handles another crash caused by a quarantined request: the request was already running when
    /// it was quarantined, or it was sent as a trial.
    fn handle_repeated_crash(
        &mut self,
        sent_unix: u64,
        unix: u64,
        fingerprint: Fingerprint,
        run: &Run,
    ) {
        self.record_explained_crash(fingerprint, run);
        let hold_ms = self.hold_ms(fingerprint);
        let Some(block) = self.quarantined.get_mut(&fingerprint) else { return };
        if sent_unix < block.until {
            return;
        }
        block.failed_trials = block.failed_trials.saturating_add(1);
        (block.since, block.trial_entry) = (unix, None);
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

    /// Allows a request to be sent again.
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

    /// Chooses one entry for a trial of each request that was quarantined for long enough.
    ///
    /// If all entries ran the trial, it would crash as many upstreams at once as there are callers.
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

    /// Applies the operator's rules for individual requests.
    fn apply_policy(&mut self) {
        for fingerprint in self.policy.lifted.clone() {
            self.release(fingerprint, Cause::Lifted);
        }
        // These are requests that an operator had forbidden and no longer forbids.
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
        for fingerprint in self.policy.forbidden.clone() {
            self.unwatch(fingerprint);
            let block = Block { since: 0, until: u64::MAX, failed_trials: 0, trial_entry: None };
            if self.quarantined.insert(fingerprint, block.clone()).as_ref() != Some(&block) {
                self.findings.push(Finding::Quarantined {
                    fingerprint,
                    runs: Vec::new(),
                    held: block,
                });
            }
        }
    }

    /// Rebuilds the blocklist; returns whether it has changed.
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
