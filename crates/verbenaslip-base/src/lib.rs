//! The words that every part of verbenaslip shares.
//!
//! [`name`] holds the names of machines, zones, teams and back ends. [`head`] describes one request
//! as far as decisions need it: never its text. [`announce`] is what an upstream says about itself.
//! [`fence`] orders the leaders that may give orders. [`attempt`] names one run of one request.
//! [`refusal`] separates what was surely not run from what may have run. [`hash`] gives the one
//! stable hash that every instance computes alike.
//!
//! Nothing here does input or output, reads a clock or draws a random number.

pub mod announce;
pub mod attempt;
pub mod fence;
pub mod hash;
pub mod head;
pub mod name;
pub mod refusal;

pub use verbenaslip_macros::data;
