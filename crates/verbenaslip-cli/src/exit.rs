//! Exit codes.

use std::process::ExitCode;

/// Lists the exit codes of the operators' command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The instance refused the call, or another edit was made first; nothing was changed.
    Refused = 1,
    /// The command line is invalid; nothing was attempted.
    Usage = 2,
    /// A given file is invalid; nothing was changed.
    Input = 3,
    /// No instance was reachable and had a quorum; nothing was changed.
    Unreachable = 4,
    /// The answer was lost, so the change may have been made.
    Unknown = 5,
    /// The edit was accepted, but did not take force on all instances before the timeout.
    NotInForce = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// Lists the exit codes of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DaemonExit {
    /// The daemon stopped gracefully, or the check found no problem.
    Graceful = 0,
    /// The drain timeout expired with requests in progress.
    TimedOut = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The settings or a file that they name are invalid; the daemon did not start.
    Settings = 3,
    /// The daemon could not start: an address is in use or the data directory is unusable.
    NotStarted = 4,
    /// A second signal stopped the daemon at once, with requests in progress.
    AtOnce = 5,
    /// The daemon stopped because of a program or disk failure.
    Fault = 6,
}

impl From<DaemonExit> for ExitCode {
    fn from(exit: DaemonExit) -> Self {
        Self::from(exit as u8)
    }
}
