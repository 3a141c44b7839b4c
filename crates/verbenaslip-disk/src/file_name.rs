//! The names of the files in a data directory.

/// The file with the identity of the data directory.
pub(crate) const IDENTITY: &str = "identity";
/// The file with the instances that form the group, at one of them.
pub(crate) const FOUNDERS: &str = "founders";
/// The file with the term, vote and group.
pub(crate) const HARD_STATE: &str = "hard";
/// The suffix of a file that is not completely written yet.
pub(crate) const UNFINISHED_SUFFIX: &str = ".new";

const SNAPSHOT_PREFIX: &str = "snapshot-";
const LOG_PREFIX: &str = "log-";

/// Returns the name of the snapshot that ends at an index.
pub(crate) fn snapshot(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

/// Returns the name of the log file that starts at an index.
pub(crate) fn log(first: u64) -> String {
    format!("{LOG_PREFIX}{first:020}")
}

/// Returns the index at which a snapshot ends, or `None` for another file.
pub(crate) fn snapshot_index(name: &str) -> Option<u64> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok()
}

/// Returns the index at which a log file starts, or `None` for another file.
pub(crate) fn log_index(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}
