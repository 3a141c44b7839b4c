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
const ANSWERS: usize = 2_048;

/// When the caller of a request that is held back may come back, at the earliest and at the latest.
const BACK: (Duration, Duration) = (Duration::from_secs(5), Duration::from_secs(3_600));

/// Tells whether an upstream surely has run what it answers.
///
/// One that fails part of its requests answers some without having run them, and an answer that ends with its
/// connection may be what is left of one whose upstream has ended. Taken for a sign of health, either would let a
/// request go on that ends upstreams.
pub fn survived(status: u16, framing: Option<Framing>) -> bool {
    status < 500 && framing.is_some_and(|it| it != Framing::Close)
}

/// Remembers which requests were answered lately, so that the leader hears of those that it suspects.
///
/// A request that many callers send alike runs on most upstreams, and so on most of those that end. That it is
/// answered elsewhere tells it from one that ends them.
#[derive(Debug, Default)]
pub struct Record {
    answers: HashMap<Fingerprint, Duration>,
    order: VecDeque<Fingerprint>,
    blocklist: Option<Arc<Blocklist>>,
    /// The requests that this entry has let through again, and until when they had been held back.
    tried: HashMap<Fingerprint, u64>,
}

impl Record {
    /// Takes a newer blocklist; returns when requests were answered that it suspects anew.
    pub fn update(&mut self, blocklist: &Arc<Blocklist>) -> Vec<ObservedAnswer> {
        if self.blocklist.as_ref().is_some_and(|it| Arc::ptr_eq(it, blocklist)) {
            return Vec::new();
        }
        let before = self.blocklist.replace(blocklist.clone()).unwrap_or_default();
        if before.key != blocklist.key {
            (self.answers, self.order) = (HashMap::new(), VecDeque::new());
        }
        self.tried.retain(|fingerprint, _| blocklist.quarantined.contains_key(fingerprint));
        let new =
            blocklist.watched.iter().filter(|fingerprint| !before.watched.contains(fingerprint));
        let at = |fingerprint: &Fingerprint| self.answers.get(fingerprint).copied();
        new.filter_map(|fingerprint| {
            Some(ObservedAnswer { fingerprint: *fingerprint, at: at(fingerprint)? })
        })
        .collect()
    }

    /// Takes an answer to a request; tells whether the leader wants to hear of it.
    pub fn answered(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        blocklist: &Blocklist,
    ) -> bool {
        if self.answers.insert(fingerprint, now).is_none() {
            self.order.push_back(fingerprint);
            if self.order.len() > ANSWERS
                && let Some(oldest) = self.order.pop_front()
            {
                self.answers.remove(&oldest);
            }
        }
        blocklist.watched.contains(&fingerprint) || blocklist.quarantined.contains_key(&fingerprint)
    }

    /// Tells for how long a request is held back; none for one that may be sent.
    ///
    /// Of a request that was held back for long enough, the entry that the leader has chosen lets one through.
    pub fn held(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
        view: &View,
    ) -> Option<Duration> {
        let held = view.blocklist.quarantined.get(&fingerprint)?;
        let chosen = held.trial_entry.is_some() && held.trial_entry == view.own_address;
        if chosen && self.tried.insert(fingerprint, held.until) != Some(held.until) {
            return None;
        }
        let left = held.until.saturating_sub(clock::unix_ms(now, view.time_offset_ms));
        Some(Duration::from_millis(left).clamp(BACK.0, BACK.1))
    }
}
