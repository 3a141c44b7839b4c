//! Keys in a file: one `name key` a line, `#` before comments.

use std::fs::{self, Metadata};
use std::os::unix::fs::{MetadataExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, Instant, SystemTime};

use displaydoc::Display;

use super::Keys;
use super::secret::{Salt, Secret, find};
use crate::event::Event;
use crate::settings::value::is_name;

/// Permission bits of group and others.
const OTHERS: u32 = 0o077;
/// The shortest key, in bytes, so that none can be guessed.
const KEY_MIN: usize = 16;
/// The longest key, in bytes.
const KEY_MAX: usize = 512;
/// Time between two looks at the file.
const RELOAD: Duration = Duration::from_secs(1);

/// Answers from a file, and reads it again when it was changed.
///
/// A changed file that can't be used is reported once and the keys read before stay: a slip in an
/// editor must not lock out all teams.
#[derive(Debug)]
pub struct File {
    path: PathBuf,
    salt: Salt,
    secrets: RwLock<Arc<[Secret]>>,
    seen: Mutex<Seen>,
}

impl File {
    /// Reads the file.
    ///
    /// # Errors
    ///
    /// Says what is wrong with the file, never showing a key.
    pub fn open(path: impl Into<PathBuf>) -> Result<Self, Error> {
        let path = path.into();
        let salt = Salt::draw();
        let version = Version::of(&path);
        let secrets = read(&path, &salt)?;
        loaded(&path, secrets.len());
        let secrets = RwLock::new(secrets.into());
        let seen = Mutex::new(Seen { version, next: Instant::now() + RELOAD });
        Ok(Self { path, salt, secrets, seen })
    }

    /// Reads the file again if it was changed since it was last read.
    pub fn reload(&self) {
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let version = Version::of(&self.path);
        seen.next = Instant::now() + RELOAD;
        if version == seen.version {
            return;
        }
        seen.version = version;
        match read(&self.path, &self.salt) {
            Ok(secrets) => {
                loaded(&self.path, secrets.len());
                *self.secrets.write().unwrap_or_else(PoisonError::into_inner) = secrets.into();
            }
            Err(error) => Event::KeysRefused { problem: error.to_string().into() }.log(),
        }
    }

    fn is_due(&self) -> bool {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        Instant::now() >= seen.next
    }
}

impl Keys for File {
    fn owner(&self, key: &str) -> Option<Arc<str>> {
        if self.is_due() {
            self.reload();
        }
        let secrets = self.secrets.read().unwrap_or_else(PoisonError::into_inner).clone();
        find(&secrets, &self.salt, key)
    }
}

/// Remembers which content was read and when to look again.
#[derive(Debug)]
struct Seen {
    version: Option<Version>,
    next: Instant,
}

/// Tells one content of a file from the next without reading it.
#[derive(Debug, PartialEq)]
struct Version {
    modified: Option<SystemTime>,
    inode: u64,
    length: u64,
    mode: u32,
}

impl Version {
    fn of(path: &Path) -> Option<Self> {
        let meta = fs::metadata(path).ok()?;
        Some(Self {
            modified: meta.modified().ok(),
            inode: meta.ino(),
            length: meta.len(),
            mode: meta.permissions().mode(),
        })
    }
}

/// Says why a file of keys can't be used.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// {path}: can't be read: {cause}
    Read {
        /// The file.
        path: String,
        /// What the system said.
        cause: String,
    },
    /// {path}: is readable by group or others (mode {mode}); run `chmod 600 {path}`
    Open {
        /// The file.
        path: String,
        /// Its permission bits in octal.
        mode: String,
    },
    /// {path}: line {line}: {allowed}
    Line {
        /// The file.
        path: String,
        /// The line, from 1.
        line: usize,
        /// What is allowed there.
        allowed: &'static str,
    },
    /// {path}: holds nothing but comments; write the key on a line
    Empty {
        /// The file.
        path: String,
    },
}

impl std::error::Error for Error {}

/// Logs that keys were read.
fn loaded(path: &Path, keys: usize) {
    let file = path.display().to_string().into();
    Event::KeysLoaded { file, keys: keys as u64 }.log();
}

/// Reads the word of a file that only its owner may read: its only line that is no comment.
///
/// # Errors
///
/// Says what is wrong with the file, never showing the word.
pub fn word(path: impl AsRef<Path>) -> Result<Arc<str>, Error> {
    let path = path.as_ref();
    let text = text(path)?;
    let is_content = |line: &&str| !line.is_empty() && !line.starts_with('#');
    let mut lines = text.lines().map(str::trim).filter(is_content);
    let shown = || path.display().to_string();
    let word = lines.next().ok_or_else(|| Error::Empty { path: shown() })?;
    if lines.next().is_some() {
        let allowed = "one line that is no comment";
        return Err(Error::Line { path: shown(), line: text.lines().count(), allowed });
    }
    Ok(word.into())
}

/// Reads all keys of a file that only its owner may read.
fn read(path: &Path, salt: &Salt) -> Result<Vec<Secret>, Error> {
    let shown = path.display().to_string();
    let secrets = parse(&text(path)?, &shown, salt)?;
    if secrets.is_empty() { Err(Error::Empty { path: shown }) } else { Ok(secrets) }
}

/// Reads the text of a file that only its owner may read.
fn text(path: &Path) -> Result<String, Error> {
    let shown = path.display().to_string();
    let unread =
        |error: std::io::Error| Error::Read { path: shown.clone(), cause: error.to_string() };
    let file = fs::File::open(path).map_err(unread)?;
    // The opened file is checked and not its path, which could be exchanged in between.
    check(&file.metadata().map_err(unread)?, &shown)?;
    std::io::read_to_string(file).map_err(unread)
}

/// Refuses a file that others may read or write.
fn check(meta: &Metadata, path: &str) -> Result<(), Error> {
    let mode = meta.permissions().mode() & 0o777;
    if mode & OTHERS == 0 {
        return Ok(());
    }
    Err(Error::Open { path: path.into(), mode: format!("{mode:03o}") })
}

/// Reads the lines of a file.
fn parse(text: &str, path: &str, salt: &Salt) -> Result<Vec<Secret>, Error> {
    let mut secrets: Vec<Secret> = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let wrong = |allowed| Error::Line { path: path.into(), line: index + 1, allowed };
        let (name, key) = pair(line).map_err(wrong)?;
        // One key for two names would leave it to chance whose limits a request uses.
        if find(&secrets, salt, key).is_some() {
            return Err(wrong("the same key stands on an earlier line; each key has one name"));
        }
        secrets.push(Secret::new(name, key, salt));
    }
    Ok(secrets)
}

/// Splits and checks one line.
fn pair(line: &str) -> Result<(&str, &str), &'static str> {
    let mut words = line.split_ascii_whitespace();
    let (Some(name), Some(key), None) = (words.next(), words.next(), words.next()) else {
        return Err("write a name, a space and a key");
    };
    if !is_name(name) {
        return Err("the name must be 1 to 64 letters, digits, `-`, `_` or `.`");
    }
    if !(KEY_MIN..=KEY_MAX).contains(&key.len()) || !key.bytes().all(|byte| byte.is_ascii_graphic())
    {
        return Err("the key must be 16 to 512 visible ASCII characters");
    }
    Ok((name, key))
}
