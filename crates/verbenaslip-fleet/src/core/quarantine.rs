//! Quarantine of poison requests at the leader.

use std::time::Duration;

use crate::core::{Core, Event};
use crate::crash_report::CrashReport;
use crate::frame::Frame;
use crate::quarantine::{Crash, Finding, Quarantine, QuarantinePolicy};
use crate::replicated_state::Command;

impl Core {
    /// Restores the quarantine from the log and from the blocklist that this core knew as a
    /// follower.
    pub(crate) fn restore_quarantine(&mut self) {
        let (policy, persisted) =
            (self.settings.quarantine_policy.clone(), self.replicated_state.quarantine());
        self.quarantine = Quarantine::new(policy, persisted, &self.link.view().blocklist);
        self.blocklist_change = self.registry.last_change();
        self.quarantine_proposal = None;
    }

    /// Handles an entry's crash report and confirms that it was received.
    pub(crate) fn handle_crash_report(&mut self, report: &CrashReport) {
        let Some(leadership) = self.leadership else { return };
        let unix_ms = self.agreed_unix_ms();
        for crash in &report.crashes {
            if !self.was_announced(crash) {
                self.quarantine.handle_crash(self.now, unix_ms, crash);
            }
        }
        for answer in &report.answers {
            self.quarantine.handle_answer(self.now, unix_ms, answer);
        }
        self.send(
            report.from,
            Frame::CrashReportReceived { term: leadership.term, number: report.number },
        );
        self.publish_findings();
    }

    /// Returns whether a run ended after it had announced its departure, so that no request needs
    /// to have caused the end.
    fn was_announced(&self, crash: &Crash) -> bool {
        let announced_ago = self.registry.departures().age(self.now, &crash.run);
        announced_ago.is_some_and(|elapsed| elapsed > Duration::from_millis(crash.ended_ms_ago))
    }

    /// Applies a new quarantine policy from the settings.
    pub(crate) fn set_quarantine_policy(&mut self, policy: QuarantinePolicy) {
        self.settings.quarantine_policy = policy.clone();
        self.quarantine.set_policy(policy);
        if self.is_leading() {
            self.publish_findings();
        }
    }

    /// Advances the quarantine and proposes its state to the log.
    pub(crate) fn maintain_quarantine(&mut self) {
        let (now, unix_ms) = (self.now, self.agreed_unix_ms());
        let entries = self.hub.reachable_entries(now);
        self.quarantine.set_key(self.replicated_state.quarantine().key);
        self.quarantine.tick(now, unix_ms, &entries);
        self.publish_findings();
        self.propose_quarantine();
    }

    /// Publishes the quarantine's decisions to all instances.
    ///
    /// Newly quarantined requests are pushed at once, since every delay may crash another upstream.
    /// Other changes wait for the next scheduled push, because a wave of crashes produces and
    /// clears dozens of suspects within a moment.
    fn publish_findings(&mut self) {
        let (findings, changed) = self.quarantine.take_findings();
        let urgent = findings.iter().any(|finding| matches!(finding, Finding::Quarantined { .. }));
        findings.into_iter().for_each(|finding| self.emit(Event::QuarantineDecided(finding)));
        if !changed {
            return;
        }
        self.blocklist_change = self.registry.record_external_change();
        if urgent {
            self.next_push = self.next_push.min(self.now);
        } else {
            self.schedule_push();
        }
        self.propose_quarantine();
    }

    /// Proposes the quarantine's persisted state, if it has changed.
    ///
    /// If only the leader and the entries knew it, a power loss of all of them would erase it, and
    /// three more upstreams would crash before the request was identified again.
    fn propose_quarantine(&mut self) {
        let persisted = self.quarantine.persisted(self.settings.fingerprint_secret);
        if self.quarantine_proposal.is_none() && persisted != *self.replicated_state.quarantine() {
            self.quarantine_proposal = Some(self.propose(&Command::SetQuarantine(persisted)));
        }
    }
}
