//! What became of requests with the same content, and which of them are held back.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::account::Answered;
use verbenaslip_fleet::clock;
use verbenaslip_fleet::print::Print;
use verbenaslip_fleet::quarantine::Docket;

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
    answers: HashMap<Print, Duration>,
    order: VecDeque<Print>,
    docket: Option<Arc<Docket>>,
    /// The requests that this entry has let through again, and until when they had been held back.
    tried: HashMap<Print, u64>,
}

impl Record {
    /// Takes a newer docket; returns when requests were answered that it suspects anew.
    pub fn update(&mut self, docket: &Arc<Docket>) -> Vec<Answered> {
        if self.docket.as_ref().is_some_and(|it| Arc::ptr_eq(it, docket)) {
            return Vec::new();
        }
        let before = self.docket.replace(docket.clone()).unwrap_or_default();
        if before.key != docket.key {
            (self.answers, self.order) = (HashMap::new(), VecDeque::new());
        }
        self.tried.retain(|print, _| docket.held.contains_key(print));
        let new = docket.watched.iter().filter(|print| !before.watched.contains(print));
        let at = |print: &Print| self.answers.get(print).copied();
        new.filter_map(|print| Some(Answered { print: *print, at: at(print)? })).collect()
    }

    /// Takes an answer to a request; tells whether the leader wants to hear of it.
    pub fn answered(&mut self, now: Duration, print: Print, docket: &Docket) -> bool {
        if self.answers.insert(print, now).is_none() {
            self.order.push_back(print);
            if self.order.len() > ANSWERS
                && let Some(oldest) = self.order.pop_front()
            {
                self.answers.remove(&oldest);
            }
        }
        docket.watched.contains(&print) || docket.held.contains_key(&print)
    }

    /// Tells for how long a request is held back; none for one that may be sent.
    ///
    /// Of a request that was held back for long enough, the entry that the leader has chosen lets one through.
    pub fn held(&mut self, now: Duration, print: Print, view: &View) -> Option<Duration> {
        let held = view.docket.held.get(&print)?;
        let chosen = held.tried_by.is_some() && held.tried_by == view.own;
        if chosen && self.tried.insert(print, held.until) != Some(held.until) {
            return None;
        }
        let left = held.until.saturating_sub(clock::at(now, view.time));
        Some(Duration::from_millis(left).clamp(BACK.0, BACK.1))
    }
}
