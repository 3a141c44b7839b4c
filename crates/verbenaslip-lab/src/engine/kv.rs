//! KV caches that were exported or imported.

use std::collections::BTreeMap;

use verbenaslip_base::data;

use super::setup::KV_BYTES;

/// Holds KV caches by their handles.
#[derive(Default)]
pub(crate) struct Store {
    blocks: BTreeMap<String, Block>,
}

/// Describes one KV cache that is handed on.
#[data]
pub(crate) struct Block {
    /// Its name.
    pub(crate) handle: String,
    /// What the answer's text is made from.
    pub(crate) seed: u64,
    /// Tokens of the prompt.
    pub(crate) prompt: u32,
    /// The last answer position that it covers.
    pub(crate) position: u32,
}

impl Block {
    /// Returns how many tokens it covers.
    pub(crate) fn tokens(&self) -> u32 {
        self.prompt.saturating_add(self.position)
    }

    /// Returns its size.
    pub(crate) fn bytes(&self) -> u64 {
        u64::from(self.tokens()) * KV_BYTES
    }
}

impl Store {
    /// Keeps a KV cache.
    pub(crate) fn put(&mut self, block: Block) {
        self.blocks.insert(block.handle.clone(), block);
    }

    /// Returns the KV cache of a handle.
    pub(crate) fn get(&self, handle: &str) -> Option<&Block> {
        self.blocks.get(handle)
    }
}
