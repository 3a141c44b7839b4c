//! Remembers answered requests by content and by prompt part, and holds back quarantined ones.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::clock;
use verbenaslip_fleet::crash_report::ObservedAnswer;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::quarantine::{Blocklist, PART_CLEARANCE};

use crate::http::Framing;

/// Limit on the remembered answers, of contents and of parts; a popular one is repeated before this
/// many others.
const MAX_ANSWERS: usize = 4_096;

/// Time between two reports of answers to the same request or part. The leader may not have
/// received the first one when it looks again.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest and longest retry time for the caller of a quarantined request.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_secs(5), Duration::from_secs(3_600));

/// Returns whether an answer alone proves that the upstream ran the request and survived it.
///
/// An upstream that fails part of its requests answers some of them without running them. An
/// answer that ends with its connection may be what is left after the upstream crashed, so it proves
/// that only together with a sign of life. Taking either as proof would release a request that
/// crashes upstreams.
pub fn proves_execution(status: u16, framing: Option<Framing>) -> bool {
    status < 500 && framing.is_some_and(|it| it != Framing::UntilClose)
}

/// Remembers which requests and prompt parts were answered recently, and reports answers to those
/// that the leader suspects.
///
/// A request that many callers send runs on most upstreams, and therefore also on most of those
/// that crash. Its answers from other upstreams distinguish it from a request that causes crashes.
/// Prompt parts that many requests share are distinguished in the same way.
#[derive(Debug, Default)]
pub struct Quarantine {
    contents: Answers,
    parts: Answers,
    blocklist: Option<Arc<Blocklist>>,
    /// When an answer to a watched or quarantined request or part was last reported.
    reported_at: HashMap<Fingerprint, Duration>,
    /// Requests that this entry has let through as a trial, with the end of their quarantine at
    /// that time.
    trials: HashMap<Fingerprint, u64>,
}

/// Holds when requests or parts were last answered.
#[derive(Debug, Default)]
struct Answers {
    times: HashMap<Fingerprint, Duration>,
    order: VecDeque<Fingerprint>,
}

impl Answers {
    fn record(&mut self, now: Duration, fingerprint: Fingerprint) {
        if self.times.insert(fingerprint, now).is_none() {
            self.order.push_back(fingerprint);
            if self.order.len() > MAX_ANSWERS
                && let Some(oldest) = self.order.pop_front()
            {
                self.times.remove(&oldest);
            }
        }
    }
}

impl Quarantine {
    /// Updates the blocklist; returns the remembered answers to newly suspected requests and parts.
    pub fn update(&mut self, now: Duration, blocklist: &Arc<Blocklist>) -> Vec<ObservedAnswer> {
        if self.blocklist.as_ref().is_some_and(|it| Arc::ptr_eq(it, blocklist)) {
            return Vec::new();
        }
        let previous = self.blocklist.replace(blocklist.clone()).unwrap_or_default();
        if previous.key != blocklist.key {
            (self.contents, self.parts) = (Answers::default(), Answers::default());
        }
        self.reported_at.retain(|fingerprint, _| blocklist.contains(fingerprint));
        self.trials.retain(|fingerprint, _| blocklist.quarantined.contains_key(fingerprint));
        let new = blocklist.watched.difference(&previous.watched).copied();
        let known: Vec<ObservedAnswer> = new
            .filter_map(|fingerprint| {
                Some(ObservedAnswer { fingerprint, at: self.answered_at(fingerprint)? })
            })
            .collect();
        self.reported_at.extend(known.iter().map(|it| (it.fingerprint, now)));
        known
    }

    /// Records an answer to a request with these fingerprints; returns those of which the leader
    /// wants to know.
    pub fn record_answer(
        &mut self,
        now: Duration,
        fingerprints: impl Iterator<Item = Fingerprint>,
        blocklist: &Blocklist,
    ) -> Vec<Fingerprint> {
        let mut wanted = Vec::new();
        for fingerprint in fingerprints {
            let answers = if fingerprint.is_part() { &mut self.parts } else { &mut self.contents };
            answers.record(now, fingerprint);
            let is_listed = blocklist.contains(&fingerprint);
            let reported_at = self.reported_at.get(&fingerprint).filter(|_| is_listed);
            let is_new = reported_at.is_none_or(|at| now.saturating_sub(*at) >= REPORT_INTERVAL);
            if is_listed && is_new {
                self.reported_at.insert(fingerprint, now);
                wanted.push(fingerprint);
            }
        }
        wanted
    }

    /// Returns whether the leader wants to know of an answer to a request or part, and was not told
    /// of one a moment ago.
    pub fn wants_answer(&self, now: Duration, fingerprint: Fingerprint) -> bool {
        let is_listed = self.blocklist.as_ref().is_some_and(|it| it.contains(&fingerprint));
        let reported_at = self.reported_at.get(&fingerprint);
        is_listed && reported_at.is_none_or(|at| now.saturating_sub(*at) >= REPORT_INTERVAL)
    }

    /// Returns whether a request or part may have crashed an upstream that ended at this time.
    ///
    /// A part that was answered a moment before, or has been answered since, is not reported: most
    /// parts are answered all the time, and each upstream runs dozens of them.
    pub fn is_suspect(&self, fingerprint: Fingerprint, ended_at: Duration) -> bool {
        let is_cleared = |at: Duration| at + PART_CLEARANCE >= ended_at;
        !fingerprint.is_part() || !self.answered_at(fingerprint).is_some_and(is_cleared)
    }

    /// Returns which of a request's fingerprints is still quarantined, and for how long; `None` if
    /// the request may be sent.
    ///
    /// After a quarantine has ended, the entry chosen by the leader lets one such request through
    /// as a trial.
    pub fn quarantined_for(
        &mut self,
        now: Duration,
        fingerprints: impl Iterator<Item = Fingerprint>,
        view: &View,
    ) -> Option<(Fingerprint, Duration)> {
        let quarantined = &view.blocklist.quarantined;
        let listed = fingerprints.filter_map(|it| Some((it, quarantined.get(&it)?)));
        let mut trials = Vec::new();
        for (fingerprint, block) in listed {
            let is_trial_entry =
                block.trial_entry.is_some() && block.trial_entry == view.own_address;
            if !is_trial_entry || self.trials.get(&fingerprint) == Some(&block.until) {
                let remaining =
                    block.until.saturating_sub(clock::unix_ms(now, view.time_offset_ms));
                let remaining = Duration::from_millis(remaining);
                let retry_after = remaining.clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
                return Some((fingerprint, retry_after));
            }
            trials.push((fingerprint, block.until));
        }
        self.trials.extend(trials);
        None
    }

    fn answered_at(&self, fingerprint: Fingerprint) -> Option<Duration> {
        let answers = if fingerprint.is_part() { &self.parts } else { &self.contents };
        answers.times.get(&fingerprint).copied()
    }
}
