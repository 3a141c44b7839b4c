//! Times in the JSON of a status: whole milliseconds, as in all JSON of the interfaces.

use std::time::Duration;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Writes a time as milliseconds, and none as null.
pub(crate) fn serialize<S>(time: &Option<Duration>, serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    let millis = time.map(|time| u64::try_from(time.as_millis()).unwrap_or(u64::MAX));
    millis.serialize(serializer)
}

/// Reads what [`serialize`] has written.
pub(crate) fn deserialize<'de, D>(deserializer: D) -> Result<Option<Duration>, D::Error>
where
    D: Deserializer<'de>,
{
    Option::<u64>::deserialize(deserializer).map(|millis| millis.map(Duration::from_millis))
}
