//! What can go wrong with a command.

use std::net::SocketAddr;

use displaydoc::Display;

use verbenaslip_table::Problems;

use crate::exit::Exit;

/// Says why a command was not done, and where.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// {0}
    Usage(String),
    /// {file}: {cause}
    File {
        /// The file.
        file: String,
        /// What is wrong with it.
        cause: String,
    },
    /// {file}: {problems}
    Table {
        /// The file.
        file: String,
        /// Everything that is wrong with it.
        problems: Problems,
    },
    /// {peer} refused it, nothing was changed: {message} {hint}
    Refused {
        /// The instance's `admin` address.
        peer: SocketAddr,
        /// What it said.
        message: String,
        /// What it advised.
        hint: String,
    },
    /// conflict, nothing was changed: {by} made revision {newest} after base {base}; rows changed since: {differs}. Fetch the newest table with `verbenaslip table show --to FILE`, edit it and apply it again
    Conflict {
        /// The revision from which the edit was made.
        base: u64,
        /// The newest revision.
        newest: u64,
        /// Who made it.
        by: String,
        /// The rows that changed in between.
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
        /// How to find out.
        hint: &'static str,
    },
    /// {peer} gave an answer that is not understood: {cause}
    Answer {
        /// The instance's `admin` address.
        peer: SocketAddr,
        /// What is wrong with it.
        cause: String,
    },
    /// the output can't be written: {0}
    Output(String),
}

impl Error {
    /// Returns the exit code that goes with it.
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

/// Lists what was tried in vain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Attempts(pub Vec<Attempt>);

impl std::fmt::Display for Attempts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.iter().try_for_each(|attempt| write!(f, "\n  {attempt}"))
    }
}

/// Tells of one try at one instance.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[displaydoc("{peer}: {step}: {cause}")]
pub struct Attempt {
    /// The instance's `admin` address.
    pub peer: SocketAddr,
    /// How far it came.
    pub step: Step,
    /// What was noticed.
    pub cause: String,
}

/// Names the steps of a call.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Step {
    /// connect
    Connect,
    /// send and receive
    Exchange,
    /// answer
    Answer,
}
