//! Remembers answered requests by content, and holds back quarantined ones.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::clock;
use verbenaslip_fleet::crash_report::ObservedAnswer;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::quarantine::Blocklist;

use crate::http::Framing;

/// Limit on the remembered answers; a popular request is repeated before this many other requests.
const MAX_ANSWERS: usize = 2_048;

/// Shortest and longest retry time for the caller of a quarantined request.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_secs(5), Duration::from_secs(3_600));

/// Returns whether an answer proves that the upstream ran the request and survived it.
///
/// An upstream that fails part of its requests answers some of them without running them. An
/// answer that ends with its connection may be what is left after the upstream crashed. Taking
/// either as proof would release a request that crashes upstreams.
pub fn proves_execution(status: u16, framing: Option<Framing>) -> bool {
    status < 500 && framing.is_some_and(|it| it != Framing::UntilClose)
}

/// Remembers which requests were answered recently, and reports answers to those that the leader
/// suspects.
///
/// A request that many callers send runs on most upstreams, and therefore also on most of those
/// that crash. Its answers from other upstreams distinguish it from a request that causes crashes.
#[derive(Debug, Default)]
pub struct Quarantine {
    answered_at: HashMap<Fingerprint, Duration>,
    order: VecDeque<Fingerprint>,
    blocklist: Option<Arc<Blocklist>>,
    /// Requests that this entry has let through as a trial, with the end of their quarantine at
    /// that time.
    trials: HashMap<Fingerprint, u64>,
}

impl Quarantine {
    /// Updates the blocklist; returns the remembered answers to newly suspected requests.
    pub fn update(&mut self, blocklist: &Arc<Blocklist>) -> Vec<ObservedAnswer> {
        if self.blocklist.as_ref().is_some_and(|it| Arc::ptr_eq(it, blocklist)) {
            return Vec::new();
        }
        let previous = self.blocklist.replace(blocklist.clone()).unwrap_or_default();
        if previous.key != blocklist.key {
            (self.answered_at, self.order) = (HashMap::new(), VecDeque::new());
        }
        self.trials.retain(|fingerprint, _| blocklist.quarantined.contains_key(fingerprint));
        let new =
            blocklist.watched.iter().filter(|fingerprint| !previous.watched.contains(fingerprint));
        let at = |fingerprint: &Fingerprint| self.answered_at.get(fingerprint).copied();
        new.filter_map(|fingerprint| {
            Some(ObservedAnswer { fingerprint: *fingerprint, at: at(fingerprint)? })
        })
        .collect()
    }

    /// Records an answer to a request; returns whether the leader wants to know of it.
    pub fn record_answer(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        blocklist: &Blocklist,
    ) -> bool {
        if self.answered_at.insert(fingerprint, now).is_none() {
            self.order.push_back(fingerprint);
            if self.order.len() > MAX_ANSWERS
                && let Some(oldest) = self.order.pop_front()
            {
                self.answered_at.remove(&oldest);
            }
        }
        blocklist.watched.contains(&fingerprint) || blocklist.quarantined.contains_key(&fingerprint)
    }

    /// Returns how long a request is still quarantined; `None` if it may be sent.
    ///
    /// After the quarantine of a request has ended, the entry chosen by the leader lets one such
    /// request through as a trial.
    pub fn quarantined_for(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        view: &View,
    ) -> Option<Duration> {
        let block = view.blocklist.quarantined.get(&fingerprint)?;
        let chosen = block.trial_entry.is_some() && block.trial_entry == view.own_address;
        if chosen && self.trials.insert(fingerprint, block.until) != Some(block.until) {
            return None;
        }
        let remaining = block.until.saturating_sub(clock::unix_ms(now, view.time_offset_ms));
        Some(Duration::from_millis(remaining).clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1))
    }
}
