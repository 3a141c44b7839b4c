//! The settings of one instance, read from an INI file into typed values.
//!
//! [`Settings`] holds one field per section; [`section`] says what each key means and what it is
//! without an entry. [`value`] reads single values with their units. A file with problems gives
//! [`Invalid`], which lists all of them at once, each with file, section, key, value and what is
//! allowed.

mod check;
mod problem;
pub mod reader;
pub mod section;
pub mod value;

use std::path::Path;

use ini::{Ini, ParseOption};

pub use self::problem::{Invalid, Problem};
use self::reader::Reader;
use self::section::{Cloud, Cluster, Files, Instance, Limits, Log, Timing, Weights};

/// Holds all settings of one instance, checked.
///
/// The default suits an instance embedded in another program: it listens on free loopback ports,
/// belongs to no cluster and reads no files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// Who this instance is and where it listens.
    pub instance: Instance,
    /// How it finds the other instances.
    pub cluster: Cluster,
    /// The files it reads.
    pub files: Files,
    /// Where it logs and how much.
    pub log: Log,
    /// What one caller may take.
    pub limits: Limits,
    /// How long it waits for what.
    pub timing: Timing,
    /// The cloud's interface, if it has one.
    pub cloud: Option<Cloud>,
    /// The weight store, if there is one.
    pub weights: Option<Weights>,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Lists every problem of the file, or the one for which it could not be read.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, Invalid> {
        let path = path.as_ref();
        Self::parse(&text(path)?, path)
    }

    /// Checks the text of a settings file; `origin` names it in problems, and relative paths in the
    /// text start at its folder.
    ///
    /// # Errors
    ///
    /// Lists every problem of the text.
    pub fn parse(text: &str, origin: impl AsRef<Path>) -> Result<Self, Invalid> {
        let origin = origin.as_ref();
        let Collected { taken: settings, mut problems } = collect(text, origin, Self::collect)?;
        // A value that could not be read leaves its default, which would only give follow-on
        // problems; relations are checked once every value is what the file says.
        if problems.is_empty() {
            check::relations(&settings, origin, &mut problems);
        }
        if problems.is_empty() { Ok(settings) } else { Err(Invalid { problems }) }
    }

    /// Takes every section in turn, and reports what was not taken.
    fn collect(reader: &mut Reader<'_>) -> Self {
        let settings = Self {
            instance: reader.section(Instance::take),
            cluster: reader.section(Cluster::take),
            files: reader.section(Files::take),
            log: reader.section(Log::take),
            limits: reader.section(Limits::take),
            timing: reader.section(Timing::take),
            cloud: reader.optional("cloud", Cloud::take),
            weights: reader.optional("weights", Weights::take),
        };
        reader.finish();
        settings
    }
}

/// Reads the text of a settings file.
///
/// # Errors
///
/// Says why the file could not be read.
pub fn text(path: &Path) -> Result<String, Invalid> {
    let bytes = std::fs::read(path)
        .map_err(|error| Invalid::one(Problem::file(path, format!("it can't be read: {error}"))))?;
    String::from_utf8(bytes).map_err(|_| Invalid::one(Problem::file(path, "it must be UTF-8 text")))
}

/// Holds settings of any kind with the problems of the text that they were taken from.
pub struct Collected<T> {
    /// The settings; with problems they are not to be used.
    pub taken: T,
    /// The problems.
    pub problems: Vec<Problem>,
}

/// Takes settings of any kind out of a text, with the problems on the way.
///
/// # Errors
///
/// Says why the text is no INI file.
pub fn collect<T>(
    text: &str,
    origin: &Path,
    take: impl FnOnce(&mut Reader<'_>) -> T,
) -> Result<Collected<T>, Invalid> {
    let ini = Ini::load_from_str_opt(text, options()).map_err(|error| {
        let hint = format!("it can't be read at line {}; write `key = value`", error.line);
        Invalid::one(Problem::file(origin, hint))
    })?;
    let mut problems = Vec::new();
    let taken = take(&mut Reader::new(&ini, origin, &mut problems));
    Ok(Collected { taken, problems })
}

/// Turns off what INI files elsewhere do with quotes and backslashes, so that values are literal.
fn options() -> ParseOption {
    ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() }
}
