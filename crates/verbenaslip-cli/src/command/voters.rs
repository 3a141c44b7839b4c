//! `verbenaslip voters`.

use serde_json::json;

use super::status;
use crate::args::{Voters, VotersAction};
use crate::client::{Call, Client};
use crate::error::Error;
use crate::exit::Exit;
use crate::terminal::Terminal;

/// Advice to the operator after a lost answer.
const LOST_ANSWER_HINT: &str = "\n`verbenaslip status` shows whether the voters have changed.";

/// Requests the change of the voter set and reports when it is committed.
pub(crate) fn run(
    args: &Voters,
    client: &mut Client,
    terminal: &mut Terminal<'_>,
) -> Result<Exit, Error> {
    let (change, text) = match &args.action {
        VotersAction::Add(add) => {
            (json!({ "add": add.instance }), format!("{} is a voter", add.instance))
        }
        VotersAction::Remove(remove) => {
            (json!({ "remove": remove.instance }), format!("{} is no voter", remove.instance))
        }
        VotersAction::Replace(replace) => {
            let (old, new) = (&replace.old, &replace.new);
            let change = json!({ "replace": { "old": old, "new": new } });
            (change, format!("{new} is a voter in place of {old}"))
        }
    };
    let body = change.to_string().into_bytes();
    client.call(&Call::post("/v1/voters", body, LOST_ANSWER_HINT))?;
    terminal.result(&json!({ "committed": change }), &format!("committed: {text}"))?;
    // The change is committed even if the status cannot be fetched.
    if let Some(warning) = status::fetch(client).ok().as_ref().and_then(status::quorum_warning) {
        terminal.remark(&warning);
    }
    Ok(Exit::Done)
}
