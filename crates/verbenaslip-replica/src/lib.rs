//! The replicated log: terms, quorum, leader lease, snapshots, voters.
//!
//! A few instances with a data folder, the *voters*, keep one sequence of commands. [`Replica`] is
//! one voter's decisions as a pure state machine: it is handed the time and an [`input::Input`] and
//! returns [`output::Output`]s; it never reads a clock, opens a socket or touches a file.
//!
//! The parts follow each other like this:
//!
//! 1. [`storage::Storage`] loads what the folder holds ([`storage::Recovered`]); [`Replica::open`]
//!    starts from it. An empty folder joins no group on its own: the founders of [`setup::Setup`]
//!    form one only when all of them are new, so that lost disks never found a second group.
//! 2. A voter that hears no leader campaigns: first a pre-vote, which changes no term, then a vote
//!    in a new term. Votes and acknowledgements count for the identity of a folder
//!    ([`voter::Identity`]), never for an instance's name, so that a voter whose disk was lost
//!    returns as somebody new and can't vote twice.
//! 3. The leader sends entries and heartbeats in numbered rounds. A round acknowledged by a quorum
//!    extends the leader lease, counted from when the round was *sent*. Voters refuse votes for the
//!    election timeout after they heard a leader (also after a restart, when they can't know), and
//!    the lease is shorter than that by the drift that clocks may have. So at most one replica
//!    holds a valid lease at any moment. A leader without a quorum steps down.
//! 4. Every write goes out as [`output::Output::Store`] with a rising mark. What depends on it (a
//!    vote, an acknowledgement) is held back until [`input::Input::Stored`] says it is synced.
//! 5. An entry of the leader's own term that a quorum has stored is committed, and with it all
//!    before. It is applied in order, and the proposal's token is answered, exactly once.
//! 6. [`output::Output::RequestSnapshot`] asks the state machine for its state; the log before it is
//!    dropped but for a tail. A follower that is further behind gets the snapshot in chunks.
//! 7. The voter set changes by [`input::Input::Change`]: a new voter first catches up, then a joint
//!    configuration needs a quorum of the old and of the new set, then the new set alone counts.
//!    [`input::Input::Transfer`] hands leadership over before a planned stop.
//!
//! When a quorum of the disks is lost for good, nothing more is committed, rather than something
//! lost in silence; [`rescue::alone`] is the way out that an operator may choose.

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
