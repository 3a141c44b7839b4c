//! Bearer keys of teams, operators and upstreams.
//!
//! [`Keys`] is the port through which an adapter asks whose key a caller shows. [`file::File`]
//! answers from a file that only its owner may read and takes up changes by itself; [`fixed::Fixed`]
//! answers from memory. [`ring::Ring`] holds the keys of all three kinds of callers. Keys are compared as digests in constant time, so that neither a key's
//! content nor its length shows in the time of an answer, and no `Debug` or error shows one.

pub mod file;
pub mod fixed;
pub mod ring;
mod secret;

use std::sync::Arc;

/// Answers whose key a caller shows.
pub trait Keys: Send + Sync {
    /// Returns the name that goes with a key, or none when there is no such key.
    fn owner(&self, key: &str) -> Option<Arc<str>>;
}
