//! The replicated log: terms, quorum, leader lease, snapshots, voters.
