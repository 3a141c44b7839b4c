//! The names of the files in a folder.

/// The folder's identity.
pub(crate) const IDENTITY: &str = "identity";
/// The term, vote and group.
pub(crate) const HARD_STATE: &str = "hard";
/// Ends the name of a file that is being made.
pub(crate) const UNFINISHED_SUFFIX: &str = ".new";

const SNAPSHOT_PREFIX: &str = "snapshot-";
const LOG_PREFIX: &str = "log-";

/// Names the snapshot that ends at an index.
pub(crate) fn snapshot(index: u64) -> String {
    format!("{SNAPSHOT_PREFIX}{index:020}")
}

/// Names the log file that begins at an index.
pub(crate) fn log(first: u64) -> String {
    format!("{LOG_PREFIX}{first:020}")
}

/// Returns the index at which a snapshot ends, none for another file.
pub(crate) fn snapshot_index(name: &str) -> Option<u64> {
    name.strip_prefix(SNAPSHOT_PREFIX)?.parse().ok()
}

/// Returns the index at which a log file begins, none for another file.
pub(crate) fn log_index(name: &str) -> Option<u64> {
    name.strip_prefix(LOG_PREFIX)?.parse().ok()
}
