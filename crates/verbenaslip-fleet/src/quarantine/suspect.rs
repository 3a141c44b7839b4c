//! What is known of a request, or of a prompt part, that may crash upstreams.

use std::time::Duration;

use crate::upstream::Run;

/// Number of crashes that are remembered: as many as happen until a cause is found, so that it can
/// be seen which other crashes it explains.
const MAX_CRASHES: usize = 32;

/// How long an answer speaks for a prompt part in crashes after it.
///
/// A part that crashes upstreams is never answered, while a shared part is, by every request that
/// contains it. Where all upstreams of a service crash within a moment, no answer is left that
/// could clear the parts that all requests share.
pub const PART_CLEARANCE: Duration = Duration::from_secs(2);

/// Records that an upstream crashed while it ran a request.
#[derive(Clone, Debug)]
pub(super) struct SuspectCrash {
    pub(super) run: Run,
    /// When the last such request was sent to the upstream.
    pub(super) sent_at: Duration,
    pub(super) ended_at: Duration,
    /// Whether another request or part is known to have caused the crash.
    pub(super) explained: bool,
}

/// Holds what is known of a request, or of a prompt part, that may crash upstreams.
#[derive(Debug, Default)]
pub(super) struct Suspect {
    /// Whether this is a prompt part.
    pub(super) is_part: bool,
    /// Position in the order in which suspects were added. Of the parts of one prompt, the first
    /// one is added first.
    pub(super) number: u64,
    pub(super) crashes: Vec<SuspectCrash>,
    /// Since when entries watch for answers.
    pub(super) watched_since: Option<Duration>,
    /// When the last answer was complete.
    pub(super) answered_at: Option<Duration>,
}

impl Suspect {
    /// Returns the crashes that speak against a request or part: those of a chain for a request,
    /// and those of all upstreams for a part.
    ///
    /// Many requests with a part run at a time, so that chains hardly form. Its answers are as
    /// frequent.
    pub(super) fn evidence(&self) -> Vec<&SuspectCrash> {
        let clearance = if self.is_part { PART_CLEARANCE } else { Duration::ZERO };
        let cleared_until = self.answered_at.map(|it| it + clearance);
        let mut evidence: Vec<&SuspectCrash> = Vec::new();
        for crash in &self.crashes {
            let is_cleared =
                crash.explained || cleared_until.is_some_and(|until| crash.ended_at <= until);
            let is_later = evidence.last().is_none_or(|last| crash.sent_at >= last.ended_at);
            if !is_cleared && (self.is_part || is_later) {
                evidence.push(crash);
            }
        }
        evidence
    }

    /// Returns the upstreams of the evidence.
    pub(super) fn runs(&self) -> Vec<Run> {
        self.evidence().into_iter().map(|crash| crash.run.clone()).collect()
    }

    pub(super) fn add_crash(&mut self, crash: SuspectCrash) {
        if let Some(known) = self.crashes.iter_mut().find(|it| it.run == crash.run) {
            // Several requests with a part run on an upstream.
            known.sent_at = known.sent_at.max(crash.sent_at);
            return;
        }
        // Entries report in any order, above all to a new leader.
        let position = self.crashes.partition_point(|it| it.ended_at <= crash.ended_at);
        self.crashes.insert(position, crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.remove(0);
        }
    }

    pub(super) fn last_crash(&self) -> Option<Duration> {
        self.crashes.last().map(|it| it.ended_at)
    }

    /// Returns whether these upstreams include all that crashed, of which there is at least one.
    pub(super) fn is_covered_by(&self, runs: &[Run]) -> bool {
        !self.crashes.is_empty() && self.crashes.iter().all(|crash| runs.contains(&crash.run))
    }
}
