//! The port to the files of one folder.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Works on the files of one folder, by name.
///
/// Content lasts only after `sync`; creation, renaming and removal last only after `sync_directory`.
pub trait Files: Send {
    /// Lists the names, in any order.
    ///
    /// # Errors
    ///
    /// Returns what the system says.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads a file whole.
    ///
    /// # Errors
    ///
    /// Returns what the system says; `NotFound` when there is none.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or empties the one there is.
    ///
    /// # Errors
    ///
    /// Returns what the system says.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Writes at the end of a file.
    ///
    /// # Errors
    ///
    /// Returns what the system says; a part may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Cuts a file to a size.
    ///
    /// # Errors
    ///
    /// Returns what the system says.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;

    /// Makes a file's content durable.
    ///
    /// # Errors
    ///
    /// Returns what the system says; then nothing is known about what lasts.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Gives a file another name, in place of the file that had it.
    ///
    /// # Errors
    ///
    /// Returns what the system says.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns what the system says.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes the folder's names durable.
    ///
    /// # Errors
    ///
    /// Returns what the system says.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// Works on the files of a real folder, and keeps other processes out of it.
#[derive(Debug)]
pub struct SystemFiles {
    path: PathBuf,
    /// The file that was written last, kept open.
    last_opened: Option<OpenFile>,
    /// Holds the lock until it is dropped.
    _lock: File,
}

/// Holds a file open for writing at its end.
#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

/// The name of the lock file.
pub const LOCK_FILE: &str = "lock";

impl SystemFiles {
    /// Opens a folder, creating it where needed, and locks it.
    ///
    /// # Errors
    ///
    /// Returns what the system says; `WouldBlock` when another process has it open.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        // Two processes on one folder would vote twice in a term and mix their records.
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        lock.try_lock()?;
        // The folder itself lasts once its parent is synced.
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self { path: path.to_owned(), last_opened: None, _lock: lock })
    }

    /// Returns the file, open for writing at its end.
    fn open_for_append(&mut self, name: &str) -> io::Result<&mut File> {
        let file = match self.last_opened.take().filter(|file| file.name == name) {
            Some(file) => file,
            None => OpenFile {
                name: name.to_owned(),
                file: OpenOptions::new().append(true).open(self.path.join(name))?,
            },
        };
        Ok(&mut self.last_opened.insert(file).file)
    }

    /// Lets go of a file that is about to change its name or to go.
    fn close(&mut self, name: &str) {
        self.last_opened = self.last_opened.take().filter(|file| file.name != name);
    }
}

impl Files for SystemFiles {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        File::create(self.path.join(name)).map(drop)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.open_for_append(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()> {
        self.open_for_append(name)?.set_len(size)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.open_for_append(name)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.close(from);
        self.close(to);
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.close(name);
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&mut self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
