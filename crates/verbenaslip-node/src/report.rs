//! What an instance tells its neighbours about itself once a second.

use verbenaslip_base::data;
use verbenaslip_gossip::MAX_REPORT_BYTES;
use verbenaslip_policy::limit;

/// Tells the neighbours what they need to share the work.
#[data(default)]
pub(crate) struct InstanceReport {
    /// Whether this instance votes, and so has the table from the log.
    pub(crate) voter: bool,
    /// Whether this instance leads the log.
    pub(crate) leads: bool,
    /// Its part of the limits.
    pub(crate) limits: limit::Report,
}

impl InstanceReport {
    /// Writes it so that it fits; rows with the least demand are left out where it does not.
    pub(crate) fn encode(mut self) -> Vec<u8> {
        loop {
            let bytes = postcard::to_stdvec(&self).unwrap_or_default();
            if bytes.len() <= MAX_REPORT_BYTES || self.limits.entries.pop().is_none() {
                return bytes;
            }
        }
    }

    /// Reads what a neighbour wrote; none when it is of another version.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
