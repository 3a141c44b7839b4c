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
    /// The revision that the edit created, or the existing one if the edit changed nothing.
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
    pub(crate) newest: u64,
    #[serde(default)]
    pub(crate) by: Option<String>,
    #[serde(default)]
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
    pub(crate) edit: String,
    pub(crate) by: String,
    pub(crate) at: u64,
    pub(crate) base: u64,
    pub(crate) rows: u64,
}
