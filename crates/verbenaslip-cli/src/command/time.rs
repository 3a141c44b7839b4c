//! Points in time as people read them.

use chrono::{DateTime, SecondsFormat};

/// Shows Unix milliseconds in UTC.
pub(super) fn show(millis: u64) -> String {
    let time = i64::try_from(millis).ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(|| millis.to_string(), |time| time.to_rfc3339_opts(SecondsFormat::Secs, true))
}
