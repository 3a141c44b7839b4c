//! Enforces the limits of route table rows, shared by all instances without a call per request.
//!
//! A fraction of each limit ([`BASE_FRACTION`]) is split evenly between all known instances as
//! their base shares. The rest is distributed by demand. An instance announces in its periodic
//! [`Report`] which share of the rest it wants, and uses the share only after [`ANNOUNCE_DELAY`],
//! when every other instance has received the announcement and this instance has received theirs.
//! If two instances announce too much, the one that checks last sees the other's announcement and
//! yields. Giving up a share takes effect at once.
//!
//! While reports reach all instances within [`ANNOUNCE_DELAY`], the shares in use never add up to
//! more than the limit. No share grows while reports from a known instance are missing. The share
//! of an instance that is no longer a member stays reserved for [`DEPARTED_RETENTION`]. An instance
//! that receives reports from less than a majority falls back to its base share and removes no
//! other instance. With `k` of `n` instances partitioned for a long time, the sum is at most
//! `1 + BASE_FRACTION * k / n` of the limit. In addition, each instance rounds its request rate up
//! to one request and its token rate up to the last request, so `n` instances admit at most
//! `rate * time + burst + n` requests in any period. Concurrency is never rounded up.

mod bucket;
mod limiter;
mod peers;
mod report;
mod share;

pub use self::limiter::{Exceeded, Limit, Limiter};
pub use self::peers::{DEPARTED_RETENTION, REPORT_MAX_AGE};
pub use self::report::{MAX_ENTRIES, Report, ReportEntry};
pub use self::share::{ANNOUNCE_DELAY, BASE_FRACTION};
