//! Settings of stand-ins: keys from an INI file's section and from the command line.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use displaydoc::Display;
use ini::Ini;
use verbenaslip::settings::value::Value;
use verbenaslip_base::announce::Market;

/// Says why a command could not run.
#[derive(Debug, Display)]
pub enum Error {
    /// {path} can't be read: {hint}; it must be an INI file
    Settings {
        /// The file.
        path: String,
        /// What is wrong.
        hint: String,
    },
    /// {section}: {key} = "{value}": it must be {allowed}
    Value {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What stands there.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// {section}: {key} is not known
    Unknown {
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// "{value}" must be written key=value
    Pair {
        /// What was given.
        value: String,
    },
    /// {step}: {error}
    Failed {
        /// What was being done.
        step: String,
        /// What went wrong.
        error: io::Error,
    },
}

impl std::error::Error for Error {}

impl Error {
    /// Wraps an error of a step.
    pub(crate) fn failed(step: &str, error: io::Error) -> Self {
        Self::Failed { step: step.to_owned(), error }
    }
}

/// Holds one of several sections of the same kind.
pub(crate) struct Group {
    /// The section's name after the kind.
    pub(crate) name: String,
    /// Its keys.
    pub(crate) values: Values,
}

/// Holds the keys of one section until all are taken.
pub(crate) struct Values {
    section: String,
    values: BTreeMap<String, String>,
}

impl Values {
    /// Reads a section of a file, if one is given, and what the command line sets above it.
    pub(crate) fn read(section: &str, file: Option<&str>, set: &[String]) -> Result<Self, Error> {
        let mut values = BTreeMap::new();
        if let Some(path) = file {
            let ini = open(path)?;
            let pairs = ini.section(Some(section)).into_iter().flat_map(|found| found.iter());
            values.extend(pairs.map(|(key, value)| (key.to_owned(), value.to_owned())));
        }
        for pair in set {
            let pair = pair.split_once('=').ok_or_else(|| Error::Pair { value: pair.clone() })?;
            values.insert(pair.0.trim().to_owned(), pair.1.trim().to_owned());
        }
        Ok(Self { section: section.to_owned(), values })
    }

    /// Reads every section of a file whose name begins with a word and a space; returns them by the
    /// rest of the name.
    pub(crate) fn groups(word: &str, file: Option<&str>) -> Result<Vec<Group>, Error> {
        let Some(path) = file else { return Ok(Vec::new()) };
        let ini = open(path)?;
        let mut groups = Vec::new();
        for (section, pairs) in &ini {
            let Some(section) = section else { continue };
            let Some(name) = section.strip_prefix(word).and_then(|rest| rest.strip_prefix(' '))
            else {
                continue;
            };
            let pairs = pairs.iter().map(|(key, value)| (key.to_owned(), value.to_owned()));
            let values = Self { section: section.to_owned(), values: pairs.collect() };
            groups.push(Group { name: name.to_owned(), values });
        }
        Ok(groups)
    }

    /// Takes a key's value, if it is there.
    pub(crate) fn take<T: Read>(&mut self, key: &str, target: &mut T) -> Result<(), Error> {
        let Some(text) = self.values.remove(key) else { return Ok(()) };
        let Some(value) = T::read(&text) else {
            let (section, key) = (self.section.clone(), key.to_owned());
            return Err(Error::Value { section, key, value: text, allowed: T::ALLOWED });
        };
        *target = value;
        Ok(())
    }

    /// Fails when a key was not taken.
    pub(crate) fn finish(self) -> Result<(), Error> {
        match self.values.into_keys().next() {
            Some(key) => Err(Error::Unknown { section: self.section, key }),
            None => Ok(()),
        }
    }
}

fn open(path: &str) -> Result<Ini, Error> {
    Ini::load_from_file(path)
        .map_err(|error| Error::Settings { path: path.to_owned(), hint: error.to_string() })
}

/// Reads one kind of value.
pub(crate) trait Read: Sized {
    /// Says what is allowed, after the words "it must be".
    const ALLOWED: &'static str;

    /// Returns the value, or none when the text is not one.
    fn read(text: &str) -> Option<Self>;
}

macro_rules! parsed {
    ($($kind:ty: $allowed:literal;)*) => {$(
        impl Read for $kind {
            const ALLOWED: &'static str = $allowed;

            fn read(text: &str) -> Option<Self> {
                text.parse().ok()
            }
        }
    )*};
}

parsed! {
    u32: "a whole number";
    u64: "a whole number";
    f64: "a number";
    bool: "true or false";
    String: "text";
    SocketAddr: "an address such as 127.0.0.1:8080";
    PathBuf: "a path";
}

impl Read for Duration {
    const ALLOWED: &'static str = <Self as Value>::ALLOWED;

    fn read(text: &str) -> Option<Self> {
        <Self as Value>::read(text)
    }
}

impl Read for Market {
    const ALLOWED: &'static str = "reclaimable or on_demand";

    fn read(text: &str) -> Option<Self> {
        match text {
            "reclaimable" => Some(Self::Reclaimable),
            "on_demand" => Some(Self::OnDemand),
            _ => None,
        }
    }
}

impl<T: Read> Read for Option<T> {
    const ALLOWED: &'static str = T::ALLOWED;

    fn read(text: &str) -> Option<Self> {
        T::read(text).map(Some)
    }
}

impl<T: Read> Read for Vec<T> {
    const ALLOWED: &'static str = T::ALLOWED;

    fn read(text: &str) -> Option<Self> {
        text.split(',').map(str::trim).filter(|part| !part.is_empty()).map(T::read).collect()
    }
}
