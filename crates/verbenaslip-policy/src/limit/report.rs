//! What instances tell each other about demand.

use verbenaslip_base::data;

/// The most rows in a report, so that it fits into 200 bytes with `postcard`.
pub const MAX_ENTRIES: usize = 14;
/// The whole of a limit's shared rest, in the units of [`Entry::part`].
pub(crate) const FULL_SHARE: u16 = 16_000;

/// Tells what one instance holds of the shared limits; the newest replaces all before it.
#[data(default)]
pub struct Report {
    /// Rises at each start of the instance; higher ones replace lower ones.
    pub incarnation: u64,
    /// Rises at each report.
    pub sequence: u32,
    /// The rows with the most demand.
    pub entries: Vec<ReportEntry>,
}

/// Tells what one instance holds of one row's limits.
#[data(copy, ord)]
pub struct ReportEntry {
    /// A short hash of the row's key.
    pub row: u32,
    /// Demand on a logarithmic scale.
    pub demand: u16,
    /// The part of the shared rest that it holds or will hold, in 16,000ths.
    pub share: u16,
}

impl ReportEntry {
    /// Puts a demand on the logarithmic scale of a report.
    pub(crate) fn encode_demand(demand: f64) -> u16 {
        ((demand.max(0.0) + 1.0).ln() * 1000.0).min(f64::from(u16::MAX)) as u16
    }

    /// Returns the demand that stands behind the logarithmic scale.
    pub(crate) fn decode_demand(&self) -> f64 {
        (f64::from(self.demand) / 1000.0).exp() - 1.0
    }
}
