//! The interface to the files of one directory.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Accesses the files of one directory by name.
///
/// Content is durable only after `sync`; creating, renaming and removing a file is durable only
/// after `sync_directory`.
pub trait Files: Send {
    /// Returns the file names, in any order.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn list(&mut self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; `NotFound` if the file does not exist.
    fn read(&mut self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, or truncates the existing one.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn create(&mut self, name: &str) -> io::Result<()>;

    /// Appends to a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; a part may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;

    /// Truncates a file to a size in bytes.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn truncate(&mut self, name: &str, size: u64) -> io::Result<()>;

    /// Makes a file's content durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; the durable content is then unknown.
    fn sync(&mut self, name: &str) -> io::Result<()>;

    /// Renames a file and replaces the file that has the new name, if any.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn remove(&mut self, name: &str) -> io::Result<()>;

    /// Makes creation, renaming and removal of files durable.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    fn sync_directory(&mut self) -> io::Result<()>;
}

/// Accesses the files of a real directory, and locks it against other processes.
#[derive(Debug)]
pub struct SystemFiles {
    path: PathBuf,
    /// The file that was last written, kept open.
    last_opened: Option<OpenFile>,
    /// The lock file, which stays locked until it is dropped.
    _lock: File,
}

/// A file that is open for appending.
#[derive(Debug)]
struct OpenFile {
    name: String,
    file: File,
}

/// The name of the lock file.
pub const LOCK_FILE: &str = "lock";

impl SystemFiles {
    /// Opens a directory, creating it if needed, and locks it.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system; `WouldBlock` if another process has it open.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        // Two processes on one directory could vote twice in a term and would interleave their
        // records.
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path.join(LOCK_FILE))?;
        lock.try_lock()?;
        // The directory itself is durable once its parent is synced.
        if let Some(parent) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            File::open(parent)?.sync_all()?;
        }
        Ok(Self { path: path.to_owned(), last_opened: None, _lock: lock })
    }

    /// Returns the file, opened for appending.
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

    /// Closes a file that is about to be renamed, replaced or removed.
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
