//! JSON bodies of the responses that instances send to operators.

use serde::Deserialize;

use verbenaslip_base::data;

/// Holds the JSON body of an error response.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorResponse {
    /// The error, in the same format as errors sent to callers.
    pub(crate) error: ErrorBody,
}

/// Holds an error in the same format as errors sent to callers.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorBody {
    pub(crate) message: String,
    #[serde(rename = "type")]
    pub(crate) kind: String,
    #[serde(default)]
    pub(crate) hint: String,
}

/// Holds the result of an accepted edit.
#[data]
pub struct Applied {
    /// The revision that the edit created, or the current one if no edit was made.
    pub revision: u64,
    /// Whether the table already had this content.
    pub unchanged: bool,
    /// Whether the revision is in force on all instances.
    pub in_force: bool,
    /// The instances that have not confirmed the revision.
    #[serde(default)]
    pub waiting: Vec<String>,
}

/// Holds the reason why an edit conflicts with a newer revision.
#[derive(Debug, Deserialize)]
pub(crate) struct Conflict {
    /// The newest revision.
    pub(crate) newest: u64,
    #[serde(default)]
    /// The operator who made the newest revision.
    pub(crate) by: Option<String>,
    #[serde(default)]
    /// The rows that changed after the base of the edit.
    pub(crate) differs: Vec<String>,
}

/// Lists the problems of a rejected table.
#[derive(Debug, Deserialize)]
pub(crate) struct InvalidTable {
    pub(crate) problems: Vec<verbenaslip_table::Problem>,
}

/// Lists the accepted edits of the table.
#[derive(Debug, Deserialize)]
pub(crate) struct History {
    pub(crate) edits: Vec<Edit>,
}

/// Describes one accepted edit.
#[derive(Debug, Deserialize)]
pub(crate) struct Edit {
    pub(crate) revision: u64,
    /// The edit identifier.
    pub(crate) edit: String,
    /// The operator who made the edit.
    pub(crate) by: String,
    /// When the edit was accepted, in Unix milliseconds.
    pub(crate) at: u64,
    /// The revision that the edit is based on.
    pub(crate) base: u64,
    /// The number of rows, as reported by the instance.
    pub(crate) rows: u64,
}
