//! What instances answer to operators.

use std::fmt;

use serde::Deserialize;

use verbenaslip_base::data;

/// Wraps an error.
#[derive(Debug, Deserialize)]
pub(crate) struct Failure {
    /// The error in the callers' shape.
    pub(crate) error: Fault,
}

/// Holds an error in the callers' shape.
#[derive(Debug, Deserialize)]
pub(crate) struct Fault {
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
pub(crate) struct Faulty {
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

/// Shows what one instance knows of the deployment; `docs/OPERATIONS.md` explains the fields.
#[data(default)]
#[serde(default)]
pub struct Status {
    /// The instance that answers.
    pub instance: Own,
    /// The table in force there.
    pub table: Table,
    /// The leader of the voters.
    pub leader: Leader,
    /// The voters.
    pub voters: Vec<Voter>,
    /// All instances, the one that answers too.
    pub members: Vec<Member>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The rows of the table and their load at this instance.
    pub rows: Vec<Row>,
}

/// Describes the instance that answers.
#[data(default)]
#[serde(default)]
pub struct Own {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its version.
    pub version: String,
    /// Whether it takes new work.
    pub ready: bool,
    /// Why not.
    pub because: Vec<String>,
}

/// Describes the table in force.
#[data(default)]
#[serde(default)]
pub struct Table {
    /// The revision in force at this instance.
    pub revision: u64,
    /// The newest revision that it knows of.
    pub newest: u64,
    /// How long ago it was confirmed, in milliseconds; none if never.
    pub confirmed_ms: Option<u64>,
}

/// Describes the leader.
#[data(default)]
#[serde(default)]
pub struct Leader {
    /// Its name; none if there is none.
    pub name: Option<String>,
    /// The newest term.
    pub term: u64,
}

/// Describes a voter.
#[data(default)]
#[serde(default)]
pub struct Voter {
    /// Its name.
    pub name: String,
    /// Whether it is heard.
    pub alive: bool,
    /// How many log entries it lacks; none where it is not known.
    pub behind: Option<u64>,
}

/// Describes an instance.
#[data(default)]
#[serde(default)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// One of `alive`, `suspected`, `draining`, `lost`, `left`.
    pub state: String,
    /// Its revision of the table; none where it is not known.
    pub revision: Option<u64>,
}

/// Describes an upstream.
#[data(default)]
#[serde(default)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// One of `warming`, `ready`, `leaving`, `lapsed`.
    pub phase: String,
    /// What it serves.
    pub models: Vec<String>,
    /// One of `reclaimable`, `on_demand`.
    pub market: String,
    /// Millionths of the currency unit for an hour.
    pub price: u64,
    /// Requests it runs.
    pub running: u64,
    /// Requests it can run at once.
    pub slots: u64,
    /// How long ago it announced itself, in milliseconds.
    pub age_ms: u64,
}

/// Describes a row and its load at the instance that answers.
#[data(default)]
#[serde(default)]
pub struct Row {
    /// The team.
    pub team: String,
    /// The class.
    pub class: String,
    /// Requests that wait.
    pub waiting: u64,
    /// Requests in progress.
    pub running: u64,
}

impl fmt::Display for Leader {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.name.as_deref().unwrap_or("none");
        write!(f, "{name}, term {}", self.term)
    }
}
