//! Counts of requests by result.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::line::{CallerResult, RequestEnded};
use crate::command::columns::Columns;
use crate::command::time;

/// The maximum number of cause rows in text output; JSON output has all of them.
const MAX_SHOWN_CAUSES: usize = 40;

/// Counts requests by cause and by second.
#[derive(Default)]
pub(super) struct Tally {
    causes: BTreeMap<CauseGroup, u64>,
    seconds: BTreeMap<u64, BTreeMap<CallerResult, u64>>,
}

/// Identifies the requests that are counted together.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CauseGroup {
    result: CallerResult,
    reason: String,
    route: String,
    team: String,
}

impl Tally {
    pub(super) fn add(&mut self, ended: &RequestEnded) {
        let result = ended.caller_result();
        *self.seconds.entry(ended.at / 1_000).or_default().entry(result).or_default() += 1;
        if result == CallerResult::OnTime {
            return;
        }
        let (route, team) = (ended.route.clone(), ended.team.clone().unwrap_or_default());
        let cause = CauseGroup { result, reason: ended.cause(), route, team };
        *self.causes.entry(cause).or_default() += 1;
    }

    pub(super) fn to_json(&self) -> Value {
        let causes = self.by_count().into_iter().map(|(cause, count)| {
            let CauseGroup { result, reason, route, team } = cause;
            let result = result.name();
            json!({ "fate": result, "cause": reason, "route": route, "team": team, "count": count })
        });
        let seconds = self.seconds.iter().map(|(second, counts)| {
            let counts = counts.iter().map(|(result, count)| (result.name().into(), json!(count)));
            let counts: serde_json::Map<_, _> = counts.collect();
            json!({ "second": second, "requests": counts })
        });
        json!({ "causes": causes.collect::<Vec<_>>(), "seconds": seconds.collect::<Vec<_>>() })
    }

    pub(super) fn format(&self) -> String {
        let mut causes = Columns::new(&["count", "fate", "cause", "route", "team"]);
        let rows = self.by_count();
        for (cause, count) in rows.iter().take(MAX_SHOWN_CAUSES) {
            let CauseGroup { result, reason, route, team } = cause;
            let result = result.name().to_owned();
            causes.push([count.to_string(), result, reason.clone(), route.clone(), team.clone()]);
        }
        let names: Vec<&str> =
            ["second"].into_iter().chain(CallerResult::ALL.map(CallerResult::name)).collect();
        let mut seconds = Columns::new(&names);
        for (second, counts) in &self.seconds {
            let count = |result| counts.get(&result).copied().unwrap_or(0).to_string();
            seconds.push(
                [time::format_utc(second * 1_000)].into_iter().chain(CallerResult::ALL.map(count)),
            );
        }
        let more = rows.len().saturating_sub(MAX_SHOWN_CAUSES);
        let more = if more > 0 { format!("\n(and {more} more)") } else { String::new() };
        let none = "every request was answered on time";
        format!(
            "{}{more}\n\n{}",
            causes.render(none),
            seconds.render("no line says how a request ended")
        )
    }

    /// Returns the causes, most frequent first.
    fn by_count(&self) -> Vec<(&CauseGroup, u64)> {
        let mut rows: Vec<_> = self.causes.iter().map(|(cause, count)| (cause, *count)).collect();
        rows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        rows
    }
}
