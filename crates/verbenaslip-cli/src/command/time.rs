//! Formatting of points in time.

use chrono::{DateTime, SecondsFormat};

/// Formats Unix milliseconds as a UTC time with seconds, or as the number if out of range.
pub(super) fn format_utc(millis: u64) -> String {
    let time = i64::try_from(millis).ok().and_then(DateTime::from_timestamp_millis);
    time.map_or_else(|| millis.to_string(), |time| time.to_rfc3339_opts(SecondsFormat::Secs, true))
}
