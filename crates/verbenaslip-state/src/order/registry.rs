//! The orders that have not ended, and the last ended order of each upstream.

use std::collections::BTreeMap;

use verbenaslip_base::data;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::hash;
use verbenaslip_base::name::Upstream;

use super::{MAX_LIFETIME_MS, Order, OrderEnd, Pending, Verdict};

/// Maximum number of pending orders, and of upstreams whose last ended order is kept.
const MAX_PENDING_ORDERS: usize = 16_384;

/// Keeps at most one pending order per upstream until its result is reported.
#[data(default)]
pub(crate) struct Registry {
    pending: BTreeMap<Upstream, Pending>,
    ended: BTreeMap<Upstream, EndedOrder>,
}

/// Identifies the last ended order of an upstream, to detect copies of it.
#[data(copy)]
struct EndedOrder {
    fence: Fence,
    digest: u128,
}

impl Registry {
    /// Numbers an order or refuses it.
    ///
    /// Only one order per upstream is in flight, also across leaders. If two orders overtook each
    /// other on the network, an upstream that does not check fence numbers would end with the older
    /// one.
    pub(crate) fn order(&mut self, fence: Fence, order: &Order) -> Verdict {
        if !(1..=MAX_LIFETIME_MS).contains(&order.lifetime) {
            return Verdict::Lifetime;
        }
        // A leader repeats a proposal that was not answered, and both copies may be committed.
        match self.pending.get(&order.upstream) {
            Some(pending) if pending.order == *order => return Verdict::Numbered(pending.fence),
            Some(pending) => return Verdict::Busy(pending.fence),
            None => {}
        }
        let last = self.ended.get(&order.upstream);
        if let Some(last) = last.filter(|last| last.digest == digest(order)) {
            return Verdict::Repeated(last.fence);
        }
        if self.pending.len() >= MAX_PENDING_ORDERS {
            return Verdict::Full;
        }
        let pending = Pending { fence, order: order.clone() };
        self.pending.insert(order.upstream.clone(), pending);
        Verdict::Numbered(fence)
    }

    /// Ends an order; returns whether the order was pending.
    pub(crate) fn complete(&mut self, ordered: &OrderEnd) -> bool {
        let fence = ordered.fence;
        let found = self.pending.get(&ordered.upstream);
        let Some(pending) = found.filter(|pending| pending.fence == fence) else { return false };
        let last = EndedOrder { fence, digest: digest(&pending.order) };
        self.pending.remove(&ordered.upstream);
        self.ended.insert(ordered.upstream.clone(), last);
        if self.ended.len() > MAX_PENDING_ORDERS {
            let oldest = self.ended.iter().min_by_key(|(_, last)| last.fence);
            let oldest = oldest.map(|(upstream, _)| upstream.clone());
            self.ended.retain(|upstream, _| Some(upstream) != oldest.as_ref());
        }
        true
    }

    pub(crate) fn pending(&self) -> impl Iterator<Item = &Pending> {
        self.pending.values()
    }

    pub(crate) fn is_consistent(&self) -> bool {
        let mut keys_match =
            self.pending.iter().map(|(name, pending)| *name == pending.order.upstream);
        self.pending.len().max(self.ended.len()) <= MAX_PENDING_ORDERS
            && keys_match.all(|same| same)
    }
}

fn digest(order: &Order) -> u128 {
    // Encoding this type to memory cannot fail.
    hash::wide(&[&postcard::to_stdvec(order).unwrap_or_default()])
}
