//! Edits of the table under races, resends and restarts.

mod common;

use common::{Log, edit, row};
use verbenaslip_state::{Command, State};

/// One step of a case: the command and what it is answered.
type Step = (Command, &'static str);

/// A name and its steps.
type Case = (&'static str, Vec<Step>);

fn run(cases: &[Case]) {
    for (case, steps) in cases {
        let mut log = Log::default();
        for (number, (command, expected)) in steps.iter().enumerate() {
            assert_eq!(log.apply_to_text(command), *expected, "{case}, step {number}");
            let restored = State::restore(&log.state.snapshot());
            assert_eq!(restored.as_ref(), Ok(&log.state), "{case}, step {number}");
        }
    }
}

#[test]
fn edits_under_races_and_resends() {
    let light = edit("e1", 0, "ann", &[row("check", 1)]);
    let heavy = edit("e2", 0, "bo", &[row("check", 9), row("draft", 9)]);
    let next = edit("e3", 1, "bo", &[row("draft", 3)]);
    let again = edit("e4", 1, "bo", &[row("check", 1)]);
    let early = edit("e5", 1, "bo", &[row("check", 2)]);
    let reused = edit("e1", 1, "ann", &[row("check", 5)]);
    run(&[
        // Symptom: an edit disappears. Sequence: two operators start from the same revision and
        // both are accepted. Cause: the base is not compared.
        (
            "race with equal base",
            vec![
                (light.clone(), "accepted as revision 1"),
                (heavy, "stale: revision 1 is the newest, by ann; changed since: agents/check"),
            ],
        ),
        // Symptom: an operator is told that their own edit is stale. Sequence: accepted, answer
        // lost, sent again, also after another's edit. Cause: the resend is decided anew.
        (
            "resend after a lost answer",
            vec![
                (light.clone(), "accepted as revision 1"),
                (light.clone(), "accepted as revision 1"),
                (next.clone(), "accepted as revision 2"),
                (light.clone(), "accepted as revision 1"),
            ],
        ),
        // Symptom: the answer "unchanged" turns into "stale" on a resend. Sequence: an edit without
        // effect, its answer lost, another's edit, the resend. Cause: only accepted ones are kept.
        (
            "resend of an edit without effect",
            vec![
                (light.clone(), "accepted as revision 1"),
                (again.clone(), "unchanged at revision 1"),
                (next, "accepted as revision 2"),
                (again, "unchanged at revision 1"),
            ],
        ),
        // Symptom: an edit is in force that its operator was told is refused. Sequence: an edit
        // from a base that is not there yet, then the base comes, then a late copy of the edit.
        // Cause: the copy is decided anew when its base has become the newest.
        (
            "late copy of an edit from a future base",
            vec![
                (early.clone(), "stale: revision 0 is the newest"),
                (light.clone(), "accepted as revision 1"),
                (early, "stale: revision 1 is the newest, by ann"),
            ],
        ),
        // Symptom: an operator believes that new changes are in force. Sequence: an edit id is used
        // again for other changes. Cause: the id alone is compared.
        (
            "reused id",
            vec![
                (light, "accepted as revision 1"),
                (reused, "the edit id was used for other changes; draw a new one"),
            ],
        ),
    ]);
}
