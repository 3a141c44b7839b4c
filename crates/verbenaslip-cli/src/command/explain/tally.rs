//! Counts of what became of requests.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use super::line::{Ended, Fate};
use crate::command::columns::Columns;
use crate::command::time;

/// The most rows of causes that people are shown; scripts get all of them.
const ROWS: usize = 40;

/// Counts requests by cause and by second.
#[derive(Default)]
pub(super) struct Tally {
    causes: BTreeMap<Cause, u64>,
    seconds: BTreeMap<u64, BTreeMap<Fate, u64>>,
}

/// Names what is counted together.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Cause {
    fate: Fate,
    why: String,
    route: String,
    team: String,
}

impl Tally {
    pub(super) fn take(&mut self, ended: &Ended) {
        let fate = ended.fate();
        *self.seconds.entry(ended.at / 1_000).or_default().entry(fate).or_default() += 1;
        if fate == Fate::OnTime {
            return;
        }
        let (route, team) = (ended.route.clone(), ended.team.clone().unwrap_or_default());
        let cause = Cause { fate, why: ended.cause(), route, team };
        *self.causes.entry(cause).or_default() += 1;
    }

    pub(super) fn object(&self) -> Value {
        let causes = self.by_count().into_iter().map(|(cause, count)| {
            let Cause { fate, why, route, team } = cause;
            let fate = fate.name();
            json!({ "fate": fate, "cause": why, "route": route, "team": team, "count": count })
        });
        let seconds = self.seconds.iter().map(|(second, counts)| {
            let counts = counts.iter().map(|(fate, count)| (fate.name().into(), json!(count)));
            let counts: serde_json::Map<_, _> = counts.collect();
            json!({ "second": second, "requests": counts })
        });
        json!({ "causes": causes.collect::<Vec<_>>(), "seconds": seconds.collect::<Vec<_>>() })
    }

    pub(super) fn show(&self) -> String {
        let mut causes = Columns::new(&["count", "fate", "cause", "route", "team"]);
        let rows = self.by_count();
        for (cause, count) in rows.iter().take(ROWS) {
            let Cause { fate, why, route, team } = cause;
            let fate = fate.name().to_owned();
            causes.push([count.to_string(), fate, why.clone(), route.clone(), team.clone()]);
        }
        let names: Vec<&str> = ["second"].into_iter().chain(Fate::ALL.map(Fate::name)).collect();
        let mut seconds = Columns::new(&names);
        for (second, counts) in &self.seconds {
            let count = |fate| counts.get(&fate).copied().unwrap_or(0).to_string();
            seconds.push([time::show(second * 1_000)].into_iter().chain(Fate::ALL.map(count)));
        }
        let more = rows.len().saturating_sub(ROWS);
        let more = if more > 0 { format!("\n(and {more} more)") } else { String::new() };
        let none = "every request was answered on time";
        format!(
            "{}{more}\n\n{}",
            causes.show(none),
            seconds.show("no line says how a request ended")
        )
    }

    /// Lists the causes, the most frequent first.
    fn by_count(&self) -> Vec<(&Cause, u64)> {
        let mut rows: Vec<_> = self.causes.iter().map(|(cause, count)| (cause, *count)).collect();
        rows.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        rows
    }
}
