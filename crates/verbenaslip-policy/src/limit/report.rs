//! Defines the reports that instances exchange about demand and shares.

use verbenaslip_base::data;

/// The maximum number of rows in a report, so that it fits into 200 bytes encoded with `postcard`.
pub const MAX_ENTRIES: usize = 14;
/// The full demand-based part of a limit, in the units of [`ReportEntry::share`].
pub(crate) const FULL_SHARE: u16 = 16_000;

/// Reports the shares that one instance holds. A newer report replaces all earlier ones.
#[data(default)]
pub struct Report {
    /// The incarnation, which increases with each start of the instance. A higher one replaces
    /// lower ones.
    pub incarnation: u64,
    /// The sequence number, which increases with each report.
    pub sequence: u32,
    /// The rows with the largest shares and the most demand.
    pub entries: Vec<ReportEntry>,
}

/// Reports the share that one instance holds of one row's limits.
#[data(copy, ord)]
pub struct ReportEntry {
    /// A short hash of the row's key.
    pub row: u32,
    /// The demand on a logarithmic scale.
    pub demand: u16,
    /// The share of the demand-based part that the instance uses or has announced, in units of
    /// 1/16,000.
    pub share: u16,
}

impl ReportEntry {
    /// Converts a demand to the logarithmic scale of a report.
    pub(crate) fn encode_demand(demand: f64) -> u16 {
        ((demand.max(0.0) + 1.0).ln() * 1000.0).min(f64::from(u16::MAX)) as u16
    }

    /// Converts the logarithmic value back to a demand.
    pub(crate) fn decode_demand(&self) -> f64 {
        (f64::from(self.demand) / 1000.0).exp() - 1.0
    }
}
