//! What a core does about requests that end upstreams, while it leads.

use std::time::Duration;

use crate::core::{Core, Event};
use crate::crash_report::CrashReport;
use crate::frame::Frame;
use crate::quarantine::{Crash, Finding, Quarantine, QuarantinePolicy};
use crate::replicated_state::Command;

impl Core {
    /// Begins with the requests that the log holds, and those that this core knew as a follower.
    pub(crate) fn restore_quarantine(&mut self) {
        let (policy, persisted) =
            (self.settings.quarantine_policy.clone(), self.replicated_state.quarantine());
        self.quarantine = Quarantine::new(policy, persisted, &self.link.view().blocklist);
        self.blocklist_change = self.registry.last_change();
        self.quarantine_proposal = None;
    }

    /// Takes an entry's account, and says that it is here.
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

    /// Tells whether an upstream ended as it had said before: no request need have ended it.
    fn was_announced(&self, crash: &Crash) -> bool {
        let announced_ago = self.registry.departures().age(self.now, &crash.run);
        announced_ago.is_some_and(|elapsed| elapsed > Duration::from_millis(crash.ended_ms_ago))
    }

    /// Takes what the settings say of requests that end upstreams.
    pub(crate) fn set_quarantine_policy(&mut self, policy: QuarantinePolicy) {
        self.settings.quarantine_policy = policy.clone();
        self.quarantine.set_policy(policy);
        if self.is_leading() {
            self.publish_findings();
        }
    }

    /// Decides what is due of such requests, and has the log hold it.
    pub(crate) fn maintain_quarantine(&mut self) {
        let (now, unix_ms) = (self.now, self.agreed_unix_ms());
        let entries = self.hub.reachable_entries(now);
        self.quarantine.set_key(self.replicated_state.quarantine().key);
        self.quarantine.tick(now, unix_ms, &entries);
        self.publish_findings();
        self.propose_quarantine();
    }

    /// Has all instances told of what was decided.
    ///
    /// What is held back goes out at once: each moment later another upstream may end. All else waits for the next
    /// push, since a wave of crashes makes dozens of suspects, and clears them, within a moment.
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

    /// Has it committed which requests are held back.
    ///
    /// Known to the leader and the entries alone, it would be lost when all of them lose power, and three more
    /// upstreams would end before it is known again.
    fn propose_quarantine(&mut self) {
        let persisted = self.quarantine.persisted(self.settings.fingerprint_secret);
        if self.quarantine_proposal.is_none() && persisted != *self.replicated_state.quarantine() {
            self.quarantine_proposal = Some(self.propose(&Command::SetQuarantine(persisted)));
        }
    }
}
