//! Types that all other crates of verbenaslip share.
//!
//! - [`name`]: names of instances, availability zones, teams, upstreams and others
//! - [`head`]: the properties of a request on which decisions are based, without its text
//! - [`announce`]: announcements, which upstreams send about themselves
//! - [`fence`]: fencing numbers, by which a newer order is told from an older one
//! - [`attempt`]: identifiers of requests and of their runs
//! - [`refusal`]: reasons why a request was not run, or why it is unknown whether it ran
//! - [`event_stream`]: where events end in an event stream
//! - [`hash`]: stable hash functions, which give the same result on every instance
//!
//! Nothing in this crate does input or output, reads a clock or generates random numbers.

pub mod announce;
pub mod attempt;
pub mod event_stream;
pub mod fence;
pub mod hash;
pub mod head;
pub mod name;
pub mod refusal;

pub use verbenaslip_macros::data;
