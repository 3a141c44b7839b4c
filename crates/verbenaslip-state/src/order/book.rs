//! The orders that have not ended.

use std::collections::BTreeMap;

use verbenaslip_base::data;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::Upstream;

use super::{MAX_LIFETIME_MS, Order, Ordered, Pending, Verdict};

/// Bounds the orders that have not ended.
const MAX_PENDING: usize = 16_384;

/// Keeps at most one order for each upstream until its end is told.
#[data(default)]
pub(crate) struct Book {
    pending: BTreeMap<Upstream, Pending>,
}

impl Book {
    /// Numbers an order, or refuses it.
    ///
    /// Only one order is in flight for an upstream, also across leaders: two that pass each other
    /// on the way would leave an upstream that checks no numbers with the older one.
    pub(crate) fn order(&mut self, fence: Fence, order: &Order) -> Verdict {
        if !(1..=MAX_LIFETIME_MS).contains(&order.lifetime) {
            return Verdict::Lifetime;
        }
        if let Some(pending) = self.pending.get(&order.upstream) {
            return Verdict::Busy(pending.fence);
        }
        if self.pending.len() >= MAX_PENDING {
            return Verdict::Full;
        }
        let pending = Pending { fence, order: order.clone() };
        self.pending.insert(order.upstream.clone(), pending);
        Verdict::Numbered(fence)
    }

    /// Ends an order; says whether it was waiting for its end.
    pub(crate) fn end(&mut self, ordered: &Ordered) -> bool {
        let waiting = self.pending.get(&ordered.upstream);
        let found = waiting.is_some_and(|pending| pending.fence == ordered.fence);
        if found {
            self.pending.remove(&ordered.upstream);
        }
        found
    }

    pub(crate) fn pending(&self) -> impl Iterator<Item = &Pending> {
        self.pending.values()
    }

    pub(crate) fn is_whole(&self) -> bool {
        let mut named = self.pending.iter().map(|(name, pending)| *name == pending.order.upstream);
        self.pending.len() <= MAX_PENDING && named.all(|same| same)
    }
}
