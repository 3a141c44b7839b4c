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

/// Lists how a daemon ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonExit {
    /// Stopped gracefully, or the check found nothing.
    Graceful = 0,
    /// The drain time was over with requests in progress.
    TimedOut = 1,
    /// The command line was not understood.
    Usage = 2,
    /// The settings, or a file that they name, have a problem; it did not start.
    Settings = 3,
    /// It could not start: an address is taken or the data folder can't be used.
    NotStarted = 4,
    /// Stopped at once by a second signal, with requests in progress.
    AtOnce = 5,
    /// Stopped by a fault: of the program, or of the disk.
    Fault = 6,
}

impl From<DaemonExit> for ExitCode {
    fn from(exit: DaemonExit) -> Self {
        Self::from(exit as u8)
    }
}
