//! What a core does about requests that end upstreams, while it leads.

use std::time::Duration;

use crate::core::{Core, Event};
use crate::crash_report::CrashReport;
use crate::frame::Frame;
use crate::quarantine::{Crash, Finding, Quarantine, QuarantinePolicy};
use crate::replicated_state::Command;

impl Core {
    /// Begins with the requests that the log holds, and those that this core knew as a follower.
    pub(crate) fn open_quarantine(&mut self) {
        let (rule, kept) = (self.setup.rule.clone(), self.ledger.quarantine());
        self.quarantine = Quarantine::new(rule, kept, &self.link.view().blocklist);
        self.blocklist_change = self.registry.last_change();
        self.noting_quarantine = None;
    }

    /// Takes an entry's account, and says that it is here.
    pub(crate) fn accounted(&mut self, account: &CrashReport) {
        let Some(reign) = self.reign else { return };
        let unix = self.agreed();
        for crash in &account.crashes {
            if !self.had_said_that_it_goes(crash) {
                self.quarantine.handle_crash(self.now, unix, crash);
            }
        }
        for answer in &account.answers {
            self.quarantine.handle_answer(self.now, unix, answer);
        }
        self.send(
            account.from,
            Frame::CrashReportReceived { term: reign.term, number: account.number },
        );
        self.spread_findings();
    }

    /// Tells whether an upstream ended as it had said before: no request need have ended it.
    fn had_said_that_it_goes(&self, crash: &Crash) -> bool {
        let said = self.registry.departures().age(self.now, &crash.run);
        said.is_some_and(|ago| ago > Duration::from_millis(crash.ended_ms_ago))
    }

    /// Takes what the settings say of requests that end upstreams.
    pub(crate) fn set_rule(&mut self, rule: QuarantinePolicy) {
        self.setup.rule = rule.clone();
        self.quarantine.set_policy(rule);
        if self.is_leading() {
            self.spread_findings();
        }
    }

    /// Decides what is due of such requests, and has the log hold it.
    pub(crate) fn tend_quarantine(&mut self) {
        let (now, unix) = (self.now, self.agreed());
        let entries = self.hub.reachable_entries(now);
        self.quarantine.set_key(self.ledger.quarantine().key);
        self.quarantine.tick(now, unix, &entries);
        self.spread_findings();
        self.note_quarantine();
    }

    /// Has all instances told of what was decided.
    ///
    /// What is held back goes out at once: each moment later another upstream may end. All else waits for the next
    /// push, since a wave of crashes makes dozens of suspects, and clears them, within a moment.
    fn spread_findings(&mut self) {
        let (findings, changed) = self.quarantine.take_findings();
        let urgent = findings.iter().any(|finding| matches!(finding, Finding::Quarantined { .. }));
        findings.into_iter().for_each(|finding| self.note(Event::QuarantineDecided(finding)));
        if !changed {
            return;
        }
        self.blocklist_change = self.registry.record_external_change();
        if urgent {
            self.push_at = self.push_at.min(self.now);
        } else {
            self.push_soon();
        }
        self.note_quarantine();
    }

    /// Has it committed which requests are held back.
    ///
    /// Known to the leader and the entries alone, it would be lost when all of them lose power, and three more
    /// upstreams would end before it is known again.
    fn note_quarantine(&mut self) {
        let kept = self.quarantine.persisted(self.setup.secret);
        if self.noting_quarantine.is_none() && kept != *self.ledger.quarantine() {
            self.noting_quarantine = Some(self.propose(&Command::SetQuarantine(kept)));
        }
    }
}
