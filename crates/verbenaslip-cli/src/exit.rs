//! How a process ends.

use std::process::ExitCode;

/// Lists the exit codes of both programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It is done.
    Done = 0,
    /// The instance refused it, or another edit came first; nothing was changed.
    Refused = 1,
    /// The command line was not understood; nothing was tried.
    Usage = 2,
    /// A file that was given has a problem; nothing was changed.
    Input = 3,
    /// No instance could be reached or had a quorum; nothing was changed.
    Unreachable = 4,
    /// The answer was lost: the change may have been made.
    Unknown = 5,
    /// The edit is accepted, but was not in force everywhere in time.
    NotInForce = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
