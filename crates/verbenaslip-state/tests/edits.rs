//! Edits of the table under races, resends and restarts.

mod common;

use common::{Log, edit, row};
use verbenaslip_state::{Command, State};

/// The command and its expected answer.
type Step = (Command, &'static str);

/// The case's name and steps.
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
        // Guards against a lost edit: two operators start from the same revision, and both edits
        // are accepted because the base is not compared.
        (
            "race with equal base",
            vec![
                (light.clone(), "accepted as revision 1"),
                (heavy, "stale: revision 1 is the newest, by ann; changed since: agents/check"),
            ],
        ),
        // Guards against telling operators that their own edit is stale: the answer to an accepted
        // edit was lost and the edit is resent, also after another operator's edit.
        (
            "resend after a lost answer",
            vec![
                (light.clone(), "accepted as revision 1"),
                (light.clone(), "accepted as revision 1"),
                (next.clone(), "accepted as revision 2"),
                (light.clone(), "accepted as revision 1"),
            ],
        ),
        // Guards against "unchanged" becoming "stale" on a resend: the answer to an edit without
        // effect was lost, and another edit follows before the resend.
        (
            "resend of an edit without effect",
            vec![
                (light.clone(), "accepted as revision 1"),
                (again.clone(), "unchanged at revision 1"),
                (next, "accepted as revision 2"),
                (again, "unchanged at revision 1"),
            ],
        ),
        // Guards against accepting an edit that its operator was told is refused: its base did not
        // exist yet, is created later, and a delayed copy of the edit arrives then.
        (
            "late copy of an edit from a future base",
            vec![
                (early.clone(), "stale: revision 0 is the newest"),
                (light.clone(), "accepted as revision 1"),
                (early, "stale: revision 1 is the newest, by ann"),
            ],
        ),
        // Guards against an operator who believes that new changes are in force: an edit's
        // identifier is used again for different changes.
        (
            "reused id",
            vec![
                (light, "accepted as revision 1"),
                (reused, "the edit id was used for other changes; draw a new one"),
            ],
        ),
    ]);
}
