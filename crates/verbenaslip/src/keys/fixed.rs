//! Keys held in memory, for embedding and tests.

use std::sync::Arc;

use super::Keys;
use super::secret::{Salt, Secret, find};

/// Answers from keys given when it was made.
#[derive(Clone, Debug)]
pub struct Fixed {
    secrets: Vec<Secret>,
    salt: Salt,
}

impl Fixed {
    /// Takes pairs of name and key.
    pub fn new<'a>(pairs: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let salt = Salt::draw();
        let secrets = pairs.into_iter().map(|(name, key)| Secret::new(name, key, &salt)).collect();
        Self { secrets, salt }
    }
}

impl Keys for Fixed {
    fn owner(&self, key: &str) -> Option<Arc<str>> {
        find(&self.secrets, &self.salt, key)
    }
}
