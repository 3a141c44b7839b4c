//! The keys of all kinds of callers of one instance.

use std::path::PathBuf;
use std::sync::Arc;

use super::Keys;
use super::file::{Error, File};
use super::fixed::Fixed;
use crate::settings::section::Files;

/// Holds the keys that an instance accepts, by who may show them.
#[derive(Clone)]
pub struct Ring {
    /// Keys of teams, shown by callers.
    pub teams: Arc<dyn Keys>,
    /// Keys of operators.
    pub operators: Arc<dyn Keys>,
    /// Keys of upstreams, shown with announcements.
    pub upstreams: Arc<dyn Keys>,
}

impl Ring {
    /// Reads the files named in the settings; a kind without a file has no keys.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the first file that can't be used.
    pub fn open(files: &Files) -> Result<Self, Error> {
        Ok(Self {
            teams: open(files.team_keys.as_ref())?,
            operators: open(files.operator_keys.as_ref())?,
            upstreams: open(files.upstream_keys.as_ref())?,
        })
    }
}

/// Reads one file, or accepts no key without one.
fn open(path: Option<&PathBuf>) -> Result<Arc<dyn Keys>, Error> {
    let Some(path) = path else { return Ok(Arc::new(Fixed::new([]))) };
    Ok(Arc::new(File::open(path)?))
}
