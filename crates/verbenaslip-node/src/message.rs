//! What instances say to each other over their connections.

use std::sync::Arc;

use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Operator};
use verbenaslip_replica::config::Change;
use verbenaslip_replica::message as log;
use verbenaslip_request::message as request;
use verbenaslip_state::{Command, Outcome, audit, history, watch};
use verbenaslip_table::{Revision, Table};

/// Says something to another instance.
///
/// Every message may be lost, late, doubled or overtaken; heartbeats and the registry's news go as
/// datagrams of their own ([`verbenaslip_gossip::Frame`]).
#[data]
pub enum Message {
    /// Between voters.
    Log(log::Message),
    /// Follows the table.
    Watch(watch::Message),
    /// About one request.
    Request(request::Message),
    /// Asks a voter to have a command committed.
    Propose {
        /// Comes back in the answer.
        token: u64,
        /// The command.
        command: Box<Command>,
    },
    /// Asks a voter to change the voter set.
    Change {
        /// Comes back in the answer.
        token: u64,
        /// The change.
        change: Change,
    },
    /// Answers a proposal or a change.
    ProposalResult {
        /// The token it came with.
        token: u64,
        /// What became of it.
        answer: ProposalAnswer,
    },
    /// Asks a voter for something that only voters hold.
    Query {
        /// Comes back in the answer.
        token: u64,
        /// What is asked.
        query: Query,
    },
    /// Answers a query.
    QueryResult {
        /// The token it came with.
        token: u64,
        /// What is known; none when the receiver is no voter or does not lead.
        answer: Option<QueryAnswer>,
        /// The leader, where known.
        leader: Option<Instance>,
    },
    /// Asks the receiver to drain and exit, as an operator wants it.
    Drain {
        /// Who asks.
        operator: Operator,
    },
}

/// Says what became of a proposal.
#[data]
pub enum ProposalAnswer {
    /// It was committed, with this outcome.
    Done(Outcome),
    /// The change of the voter set was committed.
    Changed,
    /// The receiver does not lead and did not take it.
    NotLeader {
        /// The leader, where known.
        leader: Option<Instance>,
    },
    /// The leader did not take it.
    Refused(Arc<str>),
    /// It may or may not be committed.
    Unknown,
}

/// Asks for something that only voters hold; only the leader under its lease answers.
#[data]
pub enum Query {
    /// Whether a revision is in force everywhere.
    Propagation(Revision),
    /// The accepted edits.
    History,
    /// The audit trail from an entry on.
    Audit {
        /// The first entry's number.
        since: u64,
    },
    /// The identity of the receiver's own data folder.
    OwnVoter,
}

/// Answers a query.
#[data]
pub enum QueryAnswer {
    /// Whether a revision is in force everywhere, and who is awaited where not.
    Propagation {
        /// Whether it is.
        complete: bool,
        /// The instances that may still serve by an older table.
        awaited: Vec<Instance>,
    },
    /// The accepted edits, the newest of them.
    History(Vec<history::Entry>),
    /// A part of the audit trail.
    Audit(audit::Page),
    /// The receiver's voter; none when it has no folder.
    OwnVoter(Option<verbenaslip_replica::voter::Voter>),
}

/// Pairs a table with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TableRevision {
    /// The revision.
    pub revision: Revision,
    /// The table.
    pub table: Arc<Table>,
}
