//! `verbenaslip audit`.

use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use verbenaslip_state::audit::Entry;

use super::time;
use crate::args::Audit;
use crate::client::{Call, Client};
use crate::error::Error;
use crate::exit::Exit;
use crate::terminal::Terminal;

/// Holds a page of the audit trail; entries are raw JSON because some numbers in them have 128
/// bits.
#[derive(Deserialize)]
struct Page {
    next: u64,
    entries: Vec<Box<RawValue>>,
}

/// Prints the audit trail page by page up to its end.
pub(crate) fn run(
    args: &Audit,
    client: &mut Client,
    terminal: &mut Terminal<'_>,
) -> Result<Exit, Error> {
    let mut since = args.since;
    loop {
        let page: Page = client.call(&Call::get(format!("/v1/audit?since={since}")))?.json()?;
        for entry in &page.entries {
            let line =
                if terminal.wants_json() { entry.get().to_owned() } else { format_entry(entry) };
            terminal.text(&format!("{line}\n"))?;
        }
        // The last page is empty or does not advance the position.
        if page.entries.is_empty() || page.next <= since {
            return Ok(Exit::Done);
        }
        since = page.next;
    }
}

fn format_entry(entry: &RawValue) -> String {
    let Ok(entry) = serde_json::from_str::<Entry>(entry.get()) else {
        // A newer instance may write entries in a format that this version does not know.
        return serde_json::from_str::<Value>(entry.get()).unwrap_or_default().to_string();
    };
    let base = entry.base.map(|base| format!(" from revision {base}")).unwrap_or_default();
    let verdict = if entry.accepted { "accepted" } else { "REFUSED" };
    let (number, at, by) = (entry.number, time::format_utc(entry.at), &entry.by);
    format!("{number} {at} {by}: {}{base}; {verdict}: {}", entry.action, entry.answer)
}
