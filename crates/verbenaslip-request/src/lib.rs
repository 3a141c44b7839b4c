//! One request's life: journal, claim, runs, resume, move.
//!
//! [`caller`] is what happens towards the caller, [`run`] what happens towards upstreams. Both are
//! the words that the traffic threads and the decisions use with each other.

pub mod caller;
pub mod run;
