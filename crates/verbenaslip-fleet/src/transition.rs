//! What an instance has come to believe of upstreams, for its log.

use verbenaslip_base::name::Upstream;

use crate::registry::Status;

/// Changes that are listed by name, also for whoever never asks for them. A zone's upstreams that go
/// together are more than that.
const MAX_LISTED: usize = 32;

/// Says how an upstream stands in an instance's view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The upstream.
    pub upstream: Upstream,
    /// How it stands; none for one that has gone.
    pub standing: Option<Status>,
}

/// Lists upstreams of which an instance believes something else than before.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Transitions {
    /// How they stand now.
    pub changed: Vec<Transition>,
    /// How many more there are.
    pub unlisted: usize,
}

impl Transitions {
    /// Takes how an upstream stood and stands.
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
