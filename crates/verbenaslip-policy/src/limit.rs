//! Limits of table rows, shared by all instances without a call per request.
//!
//! Of each limit a part is split evenly between all known instances ([`FLOOR`]); the rest is handed
//! out by demand. An instance announces in its periodic [`Report`] which part of that rest it wants
//! to hold, and uses it only after [`HOLD`], when every other instance has heard of it and it has
//! heard of theirs. Of two that announce too much, the one that looks last sees the other and
//! yields. Giving up a part takes effect at once.
//!
//! The bound: while reports reach all within [`HOLD`], the parts in use never add up to more than
//! the limit. No part is raised while a known instance is unheard. A part stays kept free for an
//! instance that left the members until [`FORGET`]; an instance that hears less than a majority
//! falls back to its even part and forgets nobody. So with `k` of `n` instances cut off for long the
//! sum is at most `1 + FLOOR * k / n` of the limit. Besides, each instance rounds its rate up to one
//! request and its tokens up to the last request, so `n` instances admit at most
//! `rate * time + burst + n` requests in any time. Concurrency is never rounded up.

mod bucket;
mod limiter;
mod peers;
mod report;
mod share;

pub use self::limiter::{Exceeded, Limit, Limiter};
pub use self::peers::{DEPARTED_RETENTION, REPORT_MAX_AGE};
pub use self::report::{MAX_ENTRIES, Report, ReportEntry};
pub use self::share::{ANNOUNCE_DELAY, BASE_FRACTION};
