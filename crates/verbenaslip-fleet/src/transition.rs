//! Status changes of upstreams in an instance's view, for the event log.

use verbenaslip_base::name::Upstream;

use crate::registry::Status;

/// Maximum number of changes that are listed individually, so that memory remains bounded if nobody
/// takes them. The upstreams of a whole zone that leave together exceed it.
const MAX_LISTED: usize = 32;

/// Describes the new status of an upstream in an instance's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The upstream.
    pub upstream: Upstream,
    /// Its status, or `None` if it was removed.
    pub standing: Option<Status>,
}

/// Lists the upstreams whose status has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transitions {
    /// The new statuses.
    pub changed: Vec<Transition>,
    /// Number of further changes that are not listed.
    pub unlisted: usize,
}

impl Transitions {
    /// Records the previous and current status of an upstream, if they differ.
    pub(crate) fn record(
        &mut self,
        upstream: &Upstream,
        previous: Option<Status>,
        current: Option<Status>,
    ) {
        if previous == current {
            return;
        }
        if self.changed.len() < MAX_LISTED {
            self.changed.push(Transition { upstream: upstream.clone(), standing: current });
        } else {
            self.unlisted += 1;
        }
    }
}
