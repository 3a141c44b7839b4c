//! Errors of the operators' commands.

use std::net::SocketAddr;

use displaydoc::Display;

use verbenaslip_table::Problems;

use crate::exit::Exit;

/// Describes why a command failed and where.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// {0}
    Usage(String),
    /// {file}: {cause}
    File {
        /// The file.
        file: String,
        /// What is wrong with the file.
        cause: String,
    },
    /// {file}: {problems}
    Table {
        /// The file.
        file: String,
        /// All problems of the table.
        problems: Problems,
    },
    /// {peer} refused it, nothing was changed: {message} {hint}
    Refused {
        /// The instance's `admin` address.
        peer: SocketAddr,
        /// The message of the instance.
        message: String,
        /// The advice of the instance.
        hint: String,
    },
    /// conflict, nothing was changed: {by} made revision {newest} after base {base}; rows changed since: {differs}. Fetch the newest table with `verbenaslip table show --to FILE`, edit it and apply it again
    Conflict {
        /// The revision that the edit is based on.
        base: u64,
        /// The newest revision.
        newest: u64,
        /// The operator who made the newest revision.
        by: String,
        /// The rows that changed after the base.
        differs: String,
    },
    /// no instance could do it, nothing was changed:{attempts}
    Unreachable {
        /// Each address, step and cause.
        attempts: Attempts,
    },
    /// the answer was lost, so it may have been done:{attempts}{hint}
    Unknown {
        /// Each address, step and cause.
        attempts: Attempts,
        /// Advice on what to do next.
        hint: &'static str,
    },
    /// {peer} gave an answer that is not understood: {cause}
    Answer {
        /// The instance's `admin` address.
        peer: SocketAddr,
        /// What is wrong with the answer.
        cause: String,
    },
    /// the output can't be written: {0}
    Output(String),
}

impl Error {
    /// Returns the exit code for the error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Usage(_) => Exit::Usage,
            Self::File { .. } | Self::Table { .. } => Exit::Input,
            Self::Refused { .. } | Self::Conflict { .. } => Exit::Refused,
            Self::Unreachable { .. } => Exit::Unreachable,
            Self::Unknown { .. } | Self::Answer { .. } | Self::Output(_) => Exit::Unknown,
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(error: std::io::Error) -> Self {
        Self::Output(error.to_string())
    }
}

/// Lists the failed attempts of a call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts(pub Vec<Attempt>);

impl std::fmt::Display for Attempts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|attempt| write!(f, "\n  {attempt}"))
    }
}

/// Describes one failed attempt at one instance.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[displaydoc("{peer}: {step}: {cause}")]
pub struct Attempt {
    /// The instance's `admin` address.
    pub peer: SocketAddr,
    /// The step that failed.
    pub step: Step,
    /// The cause of the failure.
    pub cause: String,
}

/// Identifies a step of a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// connect
    Connect,
    /// send and receive
    Exchange,
    /// answer
    Answer,
}
