//! Decisions of one entry, without any I/O.
//!
//! [`allowance`] says what a team may still ask for at this entry, [`retry`] whether a request may
//! be sent to another upstream, and [`place`] which upstream takes a request or whether it is better
//! refused at once. [`site`] is what `place` knows of one upstream, with [`cache`] and [`pace`];
//! [`notice`] is what upstreams ask for in their answers, with [`limit`], an entry's part of the rate that one of them
//! takes, and [`rest`], the time in which it wants nothing;
//! [`load_shedding`] is what it knows of a service as a whole, [`waited`] tells callers that come back from
//! new ones, [`versions`] says which version of a service takes a request while one is rolled out, and [`record`] knows which requests were answered and which are held back.

pub mod allowance;
pub mod cache;
pub mod cooldown;
pub mod limiter;
pub(crate) mod load_shedding;
pub mod placement;
pub mod quarantine;
pub mod restriction;
pub mod retry;
pub mod returning;
pub mod speed;
pub mod upstream_state;
pub mod versions;
