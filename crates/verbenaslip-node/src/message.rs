//! Messages that instances send to each other over their connections.

use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_replica::config::Change;
use verbenaslip_replica::message as log;
use verbenaslip_request::message as request;
use verbenaslip_state::{Command, Outcome, audit, history, watch};
use verbenaslip_table::{Revision, Table};

/// Represents a message to another instance.
///
/// A message may be lost, delayed, duplicated or reordered. Membership and registry updates are
/// sent as datagrams instead ([`verbenaslip_gossip::Frame`]).
#[data]
pub enum Message {
    /// Carries a message between voters.
    Log(log::Message),
    /// Carries a message about the propagation of the table.
    Watch(watch::Message),
    /// Carries a message about one request.
    Request(request::Message),
    /// Asks a voter to get a command committed.
    Propose {
        /// Token that is repeated in the answer.
        token: u64,
        /// Command to commit.
        command: Box<Command>,
    },
    /// Asks a voter to change the voter set.
    Change {
        /// Token that is repeated in the answer.
        token: u64,
        /// Change of the voter set.
        change: Change,
    },
    /// Answers a proposal or a change of the voter set.
    ProposalResult {
        /// Token of the proposal.
        token: u64,
        /// Result of the proposal.
        answer: ProposalAnswer,
    },
    /// Asks a voter for data that only voters have.
    Query {
        /// Token that is repeated in the answer.
        token: u64,
        /// Content of the query.
        query: Query,
    },
    /// Answers a query.
    QueryResult {
        /// Token of the query.
        token: u64,
        /// Answer to the query; none if the receiver can't answer it.
        answer: Option<QueryAnswer>,
        /// Leader, if known.
        leader: Option<Instance>,
    },
    /// Asks the receiver to drain and exit, on behalf of an operator.
    Drain {
        /// Operator that requested the drain.
        operator: Operator,
    },
}

/// Describes the result of a proposal.
#[data]
pub enum ProposalAnswer {
    /// The command was committed with this outcome.
    Done(Outcome),
    /// The change of the voter set was committed.
    Changed,
    /// The receiver does not lead and did not accept the proposal.
    NotLeader {
        /// Leader, if known.
        leader: Option<Instance>,
    },
    /// The leader rejected the proposal.
    Refused(Arc<str>),
    /// The proposal may or may not be committed.
    Unknown,
}

/// Asks for data that only voters have.
///
/// Only a leader that holds its lease answers, except for [`Query::OwnVoter`].
#[data]
pub enum Query {
    /// Asks whether a revision is in force everywhere.
    Propagation(Revision),
    /// Asks for the accepted edits.
    History,
    /// Asks for the audit trail from an entry on.
    Audit {
        /// Number of the first entry.
        since: u64,
    },
    /// Asks for the identity of the receiver's own data directory.
    OwnVoter,
}

/// Answers a query.
#[data]
pub enum QueryAnswer {
    /// Tells whether a revision is in force everywhere, and which instances are still missing.
    Propagation {
        /// Whether the revision is in force everywhere.
        complete: bool,
        /// Instances that may still use an older table.
        awaited: Vec<Instance>,
    },
    /// Lists the newest of the accepted edits.
    History(Vec<history::Entry>),
    /// Returns a part of the audit trail.
    Audit(audit::Page),
    /// Returns the voter that the receiver runs; none if it has no data directory.
    OwnVoter(Option<verbenaslip_replica::voter::Voter>),
}

/// Holds a table and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRevision {
    /// Revision of the table.
    pub revision: Revision,
    /// Content of the table.
    pub table: Arc<Table>,
}
