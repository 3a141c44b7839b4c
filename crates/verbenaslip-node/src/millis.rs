//! Serializes durations in the JSON status as whole milliseconds, as all JSON interfaces do.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Serializes a duration as milliseconds, or none as null.
pub(crate) fn serialize<S>(time: &Option<Duration>, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    let millis = time.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    millis.serialize(serializer)
}

/// Deserializes a duration that [`serialize`] has written.
pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Option<Duration>, D::Error>
where
    D: Deserializer<'de>,
{
    Option::<u64>::deserialize(deserializer).map(|millis| millis.map(Duration::from_millis))
}
