//! Builds commands and applies them at consecutive positions.

#![allow(dead_code)]

use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::fence::Fence;
use verbenaslip_state::claim::{Claim, Ending, Release, Settle};
use verbenaslip_state::{Command, Outcome, State};
use verbenaslip_table::edit::Id;
use verbenaslip_table::{Change, Edit, Revision, Row};

/// A time in Unix milliseconds, large enough that no test time is negative.
pub const NOW: u64 = 1_800_000_000_000;

/// Applies commands to a state, each at the next index.
#[derive(Clone, Default)]
pub struct Log {
    pub state: State,
    pub index: u64,
    pub term: u64,
}

impl Log {
    pub fn apply(&mut self, command: &Command) -> Outcome {
        self.index += 1;
        self.state.apply(Fence { term: self.term, index: self.index }, command)
    }

    /// Applies a command and returns its outcome as text.
    pub fn apply_to_text(&mut self, command: &Command) -> String {
        self.apply(command).to_string()
    }
}

pub fn row(class: &str, weight: u32) -> Change {
    let mut row = Row::new("agents", class);
    row.weight = weight;
    Change::Put(row)
}

pub fn edit(id: &str, base: u64, by: &str, changes: &[Change]) -> Command {
    let id = Id::new(id).expect("id is valid");
    let changes = changes.to_vec();
    Command::Edit(Edit { id, base: Revision(base), operator: by.into(), unix_ms: NOW, changes })
}

pub fn claim(number: u32, instance: &str, nonce: u64) -> Claim {
    Claim {
        attempt: Attempt { request: Request(7), number },
        team: "agents".into(),
        instance: instance.into(),
        nonce,
        body: 1,
        issued: NOW,
        at: NOW,
    }
}

pub fn settle(number: u32, nonce: u64, ending: Ending) -> Command {
    let attempt = Attempt { request: Request(7), number };
    Command::Settle(Settle { attempt, nonce, by: "a".into(), ending, at: NOW })
}

pub fn release(claim: Claim) -> Command {
    Command::Release(Release { claim, at: NOW })
}
