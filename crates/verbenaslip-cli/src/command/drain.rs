//! `verbenaslip drain`.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use verbenaslip_gossip::State;

use super::status;
use crate::args::Drain;
use crate::client::{Call, Client};
use crate::error::Error;
use crate::exit::Exit;
use crate::terminal::Terminal;

/// Advice to the operator after a lost answer.
const LOST_ANSWER_HINT: &str = "\nRun it again: draining twice is the same as once.";
/// The interval between checks whether the instance has left.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Requests the drain and, with `--wait`, waits until the instance has left.
pub(crate) fn run(
    args: &Drain,
    client: &mut Client,
    terminal: &mut Terminal<'_>,
) -> Result<Exit, Error> {
    let name = &args.instance;
    let body = json!({ "instance": name }).to_string().into_bytes();
    client.call(&Call::post("/v1/drain", body, LOST_ANSWER_HINT).resend_for(Duration::ZERO))?;
    if !args.wait {
        let text = format!("{name} drains; `verbenaslip status` shows when it has left");
        terminal.result(&json!({ "draining": name, "left": false }), &text)?;
        return Ok(Exit::Done);
    }
    terminal.remark(&format!("{name} drains; waiting until it has left"));
    let end = Instant::now() + args.timeout;
    while Instant::now() < end {
        if has_left(name, client) {
            terminal
                .result(&json!({ "draining": name, "left": true }), &format!("{name} has left"))?;
            return Ok(Exit::Done);
        }
        thread::sleep(POLL_INTERVAL);
    }
    terminal
        .result(&json!({ "draining": name, "left": false }), &format!("{name} still drains"))?;
    Ok(Exit::NotInForce)
}

/// Returns whether another instance reports that the instance has left; a failed call counts as no.
fn has_left(name: &str, client: &mut Client) -> bool {
    let Ok(status) = status::fetch(client) else { return false };
    let peer = status.peers.iter().find(|peer| peer.instance.as_str() == name);
    // The draining instance still answers, so its own response must be ignored.
    let gone = peer.is_none_or(|peer| matches!(peer.state, State::Left | State::Dead));
    status.instance.as_str() != name && gone
}
