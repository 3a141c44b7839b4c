//! What requests tell the quarantine, and what it tells them.

use std::time::Duration;

use tokio::time::Instant;
use verbenaslip_fleet::crash_report::ObservedAnswer;
use verbenaslip_fleet::fingerprint::Fingerprint;

use crate::forward::admission::AdmittedRequest;
use crate::forward::context::Context;
use crate::forward::crash::{InterruptedRequest, Signal};
use crate::monotonic;
use crate::policy::placement::Choice;

impl Context {
    /// Requests a check whether an upstream that broke off a request has crashed; `began_at` is when
    /// it began to answer.
    pub(crate) fn signal_interrupted(
        &self,
        request: &AdmittedRequest<'_>,
        choice: &Choice,
        sent_at: Instant,
        began_at: Option<Instant>,
    ) {
        let interrupted = interrupted_request(request, choice, sent_at, began_at);
        self.send_signal(Signal::Interrupted(interrupted));
    }

    /// Signals that a request ended, and that it is not known whether the upstream survives it.
    pub(crate) fn signal_unconfirmed(
        &self,
        request: &AdmittedRequest<'_>,
        choice: &Choice,
        sent_at: Instant,
    ) {
        let unconfirmed = interrupted_request(request, choice, sent_at, None);
        self.send_signal(Signal::Unconfirmed(unconfirmed));
    }

    /// Signals that a whole answer has ended with its connection, as one of a crashed upstream does.
    pub(crate) fn signal_ended(
        &self,
        request: &AdmittedRequest<'_>,
        choice: &Choice,
        sent_at: Instant,
        status: u16,
    ) {
        let ended = interrupted_request(request, choice, sent_at, None);
        self.send_signal(Signal::Ended(ended, status));
    }

    /// Signals that an upstream could not be reached.
    pub(crate) fn signal_unreachable(&self, choice: &Choice) {
        self.send_signal(Signal::Unreachable(choice.run.clone()));
    }

    fn send_signal(&self, signal: Signal) {
        // The receiver is gone once the instance ends.
        let _ = self.crash_signals.send(signal);
    }

    /// Returns whether a prompt part may have crashed an upstream that ended at this time.
    pub(crate) fn is_suspect(&self, part: Fingerprint, ended_at: Duration) -> bool {
        self.quarantine.borrow().is_suspect(part, ended_at)
    }

    /// Returns whether the leader wants to know of an answer with one of these fingerprints.
    pub(crate) fn wants_answer(&self, mut fingerprints: impl Iterator<Item = Fingerprint>) -> bool {
        let (quarantine, now) = (self.quarantine.borrow(), monotonic::now());
        fingerprints.any(|it| quarantine.wants_answer(now, it))
    }

    /// Records that a request with these fingerprints was answered with this status, and reports that
    /// to the leader if one of them is suspected.
    pub(crate) fn record_answer(
        &self,
        at: Duration,
        fingerprints: impl Iterator<Item = Fingerprint>,
        status: u16,
    ) {
        let view = self.shared.view();
        let mut quarantine = self.quarantine.borrow_mut();
        // An upstream that rejects a request has not begun to answer its prompt.
        let is_success = (200..300).contains(&status);
        let fingerprints = fingerprints.filter(|it| is_success || !it.is_part());
        for fingerprint in quarantine.record_answer(at, fingerprints, &view.blocklist) {
            self.shared.add_answer(ObservedAnswer { fingerprint, at });
        }
    }

    /// Returns which fingerprint of a request is still quarantined, and for how long; `None` if the
    /// request may be sent.
    pub(crate) fn quarantined_for(
        &self,
        request: &AdmittedRequest<'_>,
    ) -> Option<(Fingerprint, Duration)> {
        let view = self.shared.view();
        let mut quarantine = self.quarantine.borrow_mut();
        quarantine.quarantined_for(monotonic::now(), request.fingerprints(), &view)
    }
}

/// Describes a request that has just ended at an upstream.
fn interrupted_request(
    request: &AdmittedRequest<'_>,
    choice: &Choice,
    sent_at: Instant,
    began_at: Option<Instant>,
) -> InterruptedRequest {
    let (id, fingerprint) = (request.info.id.clone(), request.fingerprint);
    let part_fingerprints = request.part_fingerprints.clone();
    let (run, address) = (choice.run.clone(), choice.address);
    let ended = monotonic::now();
    InterruptedRequest {
        id,
        fingerprint,
        part_fingerprints,
        run,
        address,
        sent_at: ended.saturating_sub(sent_at.elapsed()),
        ended_at: ended,
        answered_for: began_at.map(|it| it.elapsed()),
    }
}
