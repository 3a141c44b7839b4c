//! Which parts of prompts an upstream is likely to have cached.

use std::collections::HashMap;
use std::time::Duration;

use crate::dialect::PromptPart;

/// Limit on the parts remembered for one upstream; beyond it the older half is forgotten.
const MAX_PARTS: usize = 4_096;

/// Time for which a part counts as cached after its last use here. Engines evict the least
/// recently used parts, which takes longer than this at the memory sizes and token rates of the
/// design.
const CACHED_FOR: Duration = Duration::from_secs(15);

/// Remembers the prompt parts that this entry has sent to one upstream.
#[derive(Debug, Default)]
pub struct Cache {
    parts: HashMap<u64, Duration>,
}

impl Cache {
    /// Returns the tokens at the start of a prompt that the upstream has most likely cached.
    pub fn cached_tokens(&self, now: Duration, parts: &[PromptPart]) -> u64 {
        let is_fresh = |part: &&PromptPart| {
            self.parts
                .get(&part.id)
                .is_some_and(|sent_at| now.saturating_sub(*sent_at) < CACHED_FOR)
        };
        parts.iter().take_while(is_fresh).map(|part| u64::from(part.tokens)).sum()
    }

    /// Records that a prompt was sent to the upstream.
    pub fn record_sent(&mut self, now: Duration, parts: &[PromptPart]) {
        if self.parts.len() + parts.len() > MAX_PARTS {
            let mut times: Vec<Duration> = self.parts.values().copied().collect();
            times.sort_unstable();
            let median = times.get(times.len() / 2).copied().unwrap_or_default();
            self.parts.retain(|_, sent_at| *sent_at > median);
        }
        self.parts.extend(parts.iter().map(|part| (part.id, now)));
    }
}
