//! The replicated log: terms, quorum, leader lease, snapshots, voters.
//!
//! A few instances that have a data directory, the *voters*, keep one sequence of commands in a
//! replicated log similar to Raft. [`Replica`] makes the decisions of one voter as a pure state
//! machine: it receives the time and an [`input::Input`] and returns [`output::Output`]s. It never
//! reads a clock, opens a socket or touches a file.
//!
//! The life of a replica:
//!
//! 1. [`storage::Storage`] loads the data directory ([`storage::Recovered`]), and [`Replica::open`]
//!    starts from its content. An empty data directory does not form a group on its own: the
//!    founders in [`setup::Setup`] form a group only if all of them are new. Otherwise voters that
//!    lost their disks could form a second group.
//! 2. A voter that hears no leader starts a campaign: first a pre-vote, which does not change the
//!    term, then a vote in a new term. Votes and acknowledgements are counted by the identity of
//!    the data directory ([`voter::Identity`]), not by the name of the instance. A voter that lost
//!    its disk therefore returns as a new voter and can't vote twice.
//! 3. The leader sends log entries and heartbeats in numbered rounds. A round that a quorum
//!    acknowledges extends the leader's lease, measured from the time at which the round was
//!    *sent*. Voters refuse votes for one election timeout after they heard a leader, and also
//!    after a restart, since a restarted voter doesn't know when it last heard one. The lease is
//!    shorter than the election timeout by the allowed clock drift, so at most one replica holds a
//!    valid lease at any time. A leader without a quorum steps down.
//! 4. Every write is an [`output::Output::Store`] with an increasing sequence number. Messages that
//!    depend on a write (votes, acknowledgements) are held until [`input::Input::WriteDurable`] reports
//!    that the write is synced.
//! 5. A log entry of the leader's own term that a quorum has stored is committed, together with all
//!    entries before it. Committed entries are applied in order, and each proposal is answered
//!    exactly once.
//! 6. [`output::Output::RequestSnapshot`] asks the state machine for its state. The log before the
//!    snapshot is dropped except for a tail. A follower that needs older entries receives the
//!    snapshot in chunks.
//! 7. [`input::Input::ChangeVoters`] changes the voter set: a new voter first catches up, then a
//!    joint configuration needs a quorum of both the old and the new set, and finally only the new
//!    set counts. [`input::Input::TransferLeadership`] hands over leadership before a planned stop.
//!
//! If a quorum of the disks is lost permanently, the group commits nothing more, because going on
//! could silently lose committed entries. An operator can then use [`rescue::force_single_voter`].

pub mod config;
pub mod entry;
pub mod input;
pub mod message;
pub mod output;
pub mod rescue;
pub mod setup;
pub mod status;
pub mod storage;
pub mod voter;

mod change;
mod election;
mod follower;
mod founding;
mod leader;
mod log;
mod outbox;
mod peer;
mod receive;
mod replica;
mod replication;
mod round;
mod snapshot;
mod transfer;

pub use replica::Replica;
