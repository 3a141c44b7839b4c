//! What is wrong with a settings file, worded for whoever wrote it.

use std::fmt;
use std::path::{Path, PathBuf};

/// Lists all problems of one settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid {
    /// The problems, in the order of the sections; at least one.
    pub problems: Vec<Problem>,
}

impl Invalid {
    /// Wraps the only problem.
    pub(crate) fn one(problem: Problem) -> Self {
        Self { problems: vec![problem] }
    }
}

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, problem) in self.problems.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{problem}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Invalid {}

/// Names one wrong place of a settings file and what is allowed there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The file.
    pub file: PathBuf,
    /// The section; none when the file as a whole is wrong.
    pub section: Option<String>,
    /// The key; none when the section as a whole is wrong.
    pub key: Option<String>,
    /// The value as it stands in the file; none when there is none or it is a secret.
    pub value: Option<String>,
    /// What is allowed there, or how to mend it.
    pub allowed: String,
}

impl Problem {
    /// Says what is wrong with the file as a whole.
    pub(crate) fn file(file: &Path, allowed: impl Into<String>) -> Self {
        Self {
            file: file.to_path_buf(),
            section: None,
            key: None,
            value: None,
            allowed: allowed.into(),
        }
    }

    /// Says what is wrong with a section as a whole.
    pub(crate) fn section(file: &Path, section: &str, allowed: impl Into<String>) -> Self {
        Self { section: Some(section.into()), ..Self::file(file, allowed) }
    }

    /// Says what is wrong with one key.
    pub(crate) fn key(
        file: &Path,
        section: &str,
        key: &str,
        value: Option<&str>,
        allowed: impl Into<String>,
    ) -> Self {
        Self {
            key: Some(key.into()),
            value: value.map(Into::into),
            ..Self::section(file, section, allowed)
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.file.display())?;
        if let Some(section) = &self.section {
            write!(f, "[{}] ", escape(section))?;
        }
        if let Some(key) = &self.key {
            write!(f, "{} ", escape(key))?;
        }
        if let Some(value) = &self.value {
            write!(f, "= `{}` ", escape(value))?;
        }
        if self.section.is_some() {
            f.write_str("- ")?;
        }
        f.write_str(&escape(&self.allowed))
    }
}

/// Shows control characters, so that a file can't write lines of its own into a terminal or log.
fn escape(text: &str) -> String {
    let shown = |c: char| if c.is_control() { c.escape_debug().to_string() } else { c.into() };
    text.chars().map(shown).collect()
}
