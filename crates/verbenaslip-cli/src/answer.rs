//! What instances answer to operators.

use serde::Deserialize;

use verbenaslip_base::data;

/// Wraps an error.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorResponse {
    /// The error in the callers' shape.
    pub(crate) error: ErrorBody,
}

/// Holds an error in the callers' shape.
#[derive(Debug, Deserialize)]
pub(crate) struct ErrorBody {
    pub(crate) message: String,
    #[serde(rename = "type")]
    pub(crate) kind: String,
    #[serde(default)]
    pub(crate) hint: String,
}

/// Tells what became of an accepted edit.
#[data]
pub struct Applied {
    /// The revision that it made.
    pub revision: u64,
    /// Whether the table was the same before.
    pub unchanged: bool,
    /// Whether it is in force everywhere.
    pub in_force: bool,
    /// The instances that have not said so.
    #[serde(default)]
    pub waiting: Vec<String>,
}

/// Tells why an edit does not fit.
#[derive(Debug, Deserialize)]
pub(crate) struct Conflict {
    pub(crate) newest: u64,
    #[serde(default)]
    pub(crate) by: Option<String>,
    #[serde(default)]
    pub(crate) differs: Vec<String>,
}

/// Lists what is wrong with a table.
#[derive(Debug, Deserialize)]
pub(crate) struct InvalidTable {
    pub(crate) problems: Vec<verbenaslip_table::Problem>,
}

/// Lists the accepted edits.
#[derive(Debug, Deserialize)]
pub(crate) struct History {
    pub(crate) edits: Vec<Edit>,
}

/// Tells of one accepted edit.
#[derive(Debug, Deserialize)]
pub(crate) struct Edit {
    pub(crate) revision: u64,
    pub(crate) edit: String,
    pub(crate) by: String,
    pub(crate) at: u64,
    pub(crate) base: u64,
    pub(crate) rows: u64,
}
