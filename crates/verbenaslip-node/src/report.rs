//! The report that an instance sends to the other instances once per second.

use verbenaslip_base::data;
use verbenaslip_gossip::MAX_REPORT_BYTES;
use verbenaslip_policy::limit;

/// Reports what the other instances need to share the work.
#[data(default)]
pub(crate) struct InstanceReport {
    /// Whether this instance votes and thus gets the table from the log.
    pub(crate) voter: bool,
    /// Whether this instance leads the log.
    pub(crate) leads: bool,
    /// This instance's use of the limits.
    pub(crate) limits: limit::Report,
}

impl InstanceReport {
    /// Encodes the report, and omits the rows with the least demand if it exceeds the size limit.
    pub(crate) fn encode(mut self) -> Vec<u8> {
        loop {
            let bytes = postcard::to_stdvec(&self).unwrap_or_default();
            if bytes.len() <= MAX_REPORT_BYTES || self.limits.entries.pop().is_none() {
                return bytes;
            }
        }
    }

    /// Decodes the report of another instance; returns none if it has another format.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
