//! What became of requests with the same content, and which of them are held back.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::clock;
use verbenaslip_fleet::crash_report::ObservedAnswer;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::quarantine::Blocklist;

use crate::http::Framing;

/// The most answers that are remembered: what many callers ask for is asked for again before so many others.
const MAX_ANSWERS: usize = 2_048;

/// When the caller of a request that is held back may come back, at the earliest and at the latest.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_secs(5), Duration::from_secs(3_600));

/// Tells whether an upstream surely has run what it answers.
///
/// One that fails part of its requests answers some without having run them, and an answer that ends with its
/// connection may be what is left of one whose upstream has ended. Taken for a sign of health, either would let a
/// request go on that ends upstreams.
pub fn proves_execution(status: u16, framing: Option<Framing>) -> bool {
    status < 500 && framing.is_some_and(|it| it != Framing::UntilClose)
}

/// Remembers which requests were answered lately, so that the leader hears of those that it suspects.
///
/// A request that many callers send alike runs on most upstreams, and so on most of those that end. That it is
/// answered elsewhere tells it from one that ends them.
#[derive(Debug, Default)]
pub struct Quarantine {
    answered_at: HashMap<Fingerprint, Duration>,
    order: VecDeque<Fingerprint>,
    blocklist: Option<Arc<Blocklist>>,
    /// The requests that this entry has let through again, and until when they had been held back.
    trials: HashMap<Fingerprint, u64>,
}

impl Quarantine {
    /// Takes a newer blocklist; returns when requests were answered that it suspects anew.
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

    /// Takes an answer to a request; tells whether the leader wants to hear of it.
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

    /// Tells for how long a request is held back; none for one that may be sent.
    ///
    /// Of a request that was held back for long enough, the entry that the leader has chosen lets one through.
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
