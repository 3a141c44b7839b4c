//! The data directory of one voter.

use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;

use verbenaslip_base::name::Instance;
use verbenaslip_replica::entry::{Entry, Position};
use verbenaslip_replica::storage::{
    Error, FileOperation, HardState, Recovered, Snapshot, Storage, Write,
};
use verbenaslip_replica::voter::Identity;

use crate::files::{Files, LOCK_FILE, SystemFiles};
use crate::{checksummed, file_name, segment};

/// The default size at which a new log file is started, in bytes.
const DEFAULT_SEGMENT_BYTES: u64 = 4 << 20;

/// Options for opening a data directory on given files.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The identity of the data directory if it is new.
    pub new_identity: Identity,
    /// The size at which a new log file is started, in bytes.
    pub segment_bytes: u64,
}

/// Stores the state of one voter in a directory, which is locked while it is open.
pub struct DataDirectory {
    pub(crate) files: Box<dyn Files>,
    pub(crate) identity: Identity,
    /// The instances that form the group, until they are stored in a new data directory.
    pub(crate) new_founders: Vec<Instance>,
    pub(crate) segments: Vec<Segment>,
    /// Records that are not yet written to the last log file.
    buffer: Vec<u8>,
    /// The index that the next entry must have, or `None` if any index may follow.
    pub(crate) next_index: Option<u64>,
    /// The index that the stored snapshot covers.
    pub(crate) snapshot_index: Option<u64>,
    /// The size at which a new log file is started, in bytes.
    max_segment_bytes: u64,
    /// Whether the last log file has content that is not synced.
    unsynced: bool,
    /// Whether an earlier write or sync failed.
    failed: bool,
}

/// Describes one log file.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) name: String,
    pub(crate) first_index: u64,
    /// The offset of each entry's record.
    pub(crate) offsets: Vec<u64>,
    pub(crate) size: u64,
    /// The number of bytes that are durable.
    pub(crate) durable_bytes: u64,
}

impl Segment {
    /// Returns the index after the last entry.
    pub(crate) fn next_index(&self) -> u64 {
        self.first_index + self.offsets.len() as u64
    }
}

impl DataDirectory {
    /// Opens a data directory, creating it if needed, and reads its content.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory is in use, can't be read, or is damaged.
    pub fn open(path: impl AsRef<Path>) -> Result<(Self, Recovered), Error> {
        Self::open_for(path, Vec::new())
    }

    /// Opens a data directory like [`open`](Self::open), and stores the instances that form the
    /// group if it is new.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory is in use, can't be read, or is damaged.
    pub fn open_for(
        path: impl AsRef<Path>,
        founders: Vec<Instance>,
    ) -> Result<(Self, Recovered), Error> {
        let path = path.as_ref();
        let files = SystemFiles::open(path).map_err(|error| match error.kind() {
            ErrorKind::WouldBlock => {
                Error::Locked { file: path.join(LOCK_FILE).display().to_string().into() }
            }
            _ => storage_error(FileOperation::Open, &path.display().to_string(), &error),
        })?;
        let options =
            Options { new_identity: random_identity(path), segment_bytes: DEFAULT_SEGMENT_BYTES };
        Self::open_on_for(files, options, founders)
    }

    /// Opens a data directory on given files.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory can't be read or is damaged.
    pub fn open_on(
        files: impl Files + 'static,
        options: Options,
    ) -> Result<(Self, Recovered), Error> {
        Self::open_on_for(files, options, Vec::new())
    }

    /// Opens a data directory like [`open_for`](Self::open_for) on given files.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory can't be read or is damaged.
    pub fn open_on_for(
        files: impl Files + 'static,
        options: Options,
        founders: Vec<Instance>,
    ) -> Result<(Self, Recovered), Error> {
        let mut directory = Self {
            files: Box::new(files),
            identity: options.new_identity,
            new_founders: founders,
            segments: Vec::new(),
            buffer: Vec::new(),
            next_index: None,
            snapshot_index: None,
            max_segment_bytes: options.segment_bytes,
            unsynced: false,
            failed: false,
        };
        let recovered = directory.read_all()?;
        Ok((directory, recovered))
    }

    /// Applies one write.
    fn apply_write(&mut self, write: &Write) -> Result<(), Error> {
        match write {
            Write::HardState(hard_state) => self.write_hard_state(hard_state),
            Write::Append(entries) => entries.iter().try_for_each(|entry| self.buffer_entry(entry)),
            Write::Truncate { from } => self.truncate(*from),
            Write::Compact { snapshot, first } => self.compact(snapshot, *first),
            Write::Install(snapshot) => self.install(snapshot),
        }
    }

    /// Replaces the hard state.
    fn write_hard_state(&mut self, hard_state: &HardState) -> Result<(), Error> {
        let content = postcard::to_stdvec(hard_state).unwrap_or_default();
        self.replace_file(file_name::HARD_STATE, &checksummed::encode(&content))
    }

    /// Adds an entry to the buffer, and starts a new log file if the last one is full.
    fn buffer_entry(&mut self, entry: &Entry) -> Result<(), Error> {
        let index = entry.position.index;
        if self.next_index.is_some_and(|next| next != index) {
            let what = format!("got entry {index}, expected {:?}", self.next_index);
            return Err(Error::OutOfOrder { what: what.into() });
        }
        if self.segments.last().is_none_or(|last| last.size >= self.max_segment_bytes) {
            self.start_segment(index)?;
        }
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        let previous = self.buffer.len();
        segment::append_record(entry, last.durable_bytes, &mut self.buffer);
        last.offsets.push(last.size);
        last.size += (self.buffer.len() - previous) as u64;
        self.next_index = Some(index + 1);
        Ok(())
    }

    /// Starts a log file. The previous one is synced first, so that only the last one can be torn.
    fn start_segment(&mut self, first_index: u64) -> Result<(), Error> {
        self.finish_last_segment()?;
        let name = file_name::log(first_index);
        self.run_operation(FileOperation::Write, &name, |files, name| files.create(name))?;
        let header = segment::encode_header(first_index);
        self.run_operation(FileOperation::Write, &name, |files, name| files.append(name, &header))?;
        self.run_operation(FileOperation::Sync, &name, |files, name| files.sync(name))?;
        self.run_operation(FileOperation::Sync, &name, |files, _| files.sync_directory())?;
        let size = header.len() as u64;
        self.segments.push(Segment {
            name,
            first_index,
            offsets: Vec::new(),
            size,
            durable_bytes: size,
        });
        Ok(())
    }

    /// Removes an entry and all after it.
    fn truncate(&mut self, from: u64) -> Result<(), Error> {
        self.flush()?;
        // A file that starts at or after `from` would become empty, so it is removed. The newest
        // file is removed first, so that a power loss in between leaves no gap.
        while self.segments.last().is_some_and(|last| last.first_index >= from) {
            self.remove_last_segment()?;
        }
        self.next_index = Some(from);
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        let kept_entries = usize::try_from(from - last.first_index).unwrap_or(usize::MAX);
        let Some(size) = last.offsets.get(kept_entries).copied() else {
            return self.sync_and_seal();
        };
        last.offsets.truncate(kept_entries);
        last.size = size;
        last.durable_bytes = size;
        let name = last.name.clone();
        self.run_operation(FileOperation::Truncate, &name, |files, name| {
            files.truncate(name, size)
        })?;
        self.run_operation(FileOperation::Sync, &name, |files, name| files.sync(name))?;
        self.unsynced = false;
        Ok(())
    }

    /// Stores a snapshot, then removes the log files that end before an index.
    fn compact(&mut self, snapshot: &Snapshot, first_index: u64) -> Result<(), Error> {
        self.write_snapshot(snapshot)?;
        // The oldest file is removed first, so that a power loss in between leaves no gap.
        while self.segments.len() > 1 && self.segments[0].next_index() <= first_index {
            let name = self.segments[0].name.clone();
            self.remove_file(&name)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    /// Stores a snapshot, then removes the whole log.
    fn install(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.write_snapshot(snapshot)?;
        self.remove_log()?;
        self.next_index = Some(snapshot.position.index + 1);
        Ok(())
    }

    /// Removes all log files, the newest first.
    pub(crate) fn remove_log(&mut self) -> Result<(), Error> {
        self.buffer.clear();
        while !self.segments.is_empty() {
            self.remove_last_segment()?;
        }
        self.unsynced = false;
        Ok(())
    }

    /// Removes the last log file.
    fn remove_last_segment(&mut self) -> Result<(), Error> {
        let Some(last) = self.segments.pop() else { return Ok(()) };
        self.remove_file(&last.name)
    }

    /// Stores a snapshot, then removes the previous one.
    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let header =
            SnapshotHeader { position: snapshot.position, config: snapshot.config.clone() };
        let mut content = postcard::to_stdvec(&header).unwrap_or_default();
        content.extend_from_slice(&snapshot.state);
        let index = snapshot.position.index;
        self.replace_file(&file_name::snapshot(index), &checksummed::encode(&content))?;
        let previous = self.snapshot_index.replace(index).filter(|previous| *previous != index);
        previous.map_or(Ok(()), |previous| self.remove_file(&file_name::snapshot(previous)))
    }

    /// Replaces a file atomically: after a power loss, either the old or the new content is there.
    pub(crate) fn replace_file(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        let temporary = format!("{name}{}", file_name::UNFINISHED_SUFFIX);
        self.run_operation(FileOperation::Write, &temporary, |files, name| files.create(name))?;
        self.run_operation(FileOperation::Write, &temporary, |files, name| {
            files.append(name, bytes)
        })?;
        self.run_operation(FileOperation::Sync, &temporary, |files, name| files.sync(name))?;
        self.run_operation(FileOperation::Rename, name, |files, name| {
            files.rename(&temporary, name)
        })?;
        // Without this sync, a power loss could undo the rename and thus a vote that was already
        // sent.
        self.run_operation(FileOperation::Sync, name, |files, _| files.sync_directory())
    }

    /// Removes a file durably.
    pub(crate) fn remove_file(&mut self, name: &str) -> Result<(), Error> {
        self.run_operation(FileOperation::Remove, name, |files, name| files.remove(name))?;
        self.run_operation(FileOperation::Sync, name, |files, _| files.sync_directory())
    }

    /// Writes the buffered records to the last log file.
    fn flush(&mut self) -> Result<(), Error> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let Some(last) = self.segments.last() else { return Ok(()) };
        let (name, bytes) = (last.name.clone(), std::mem::take(&mut self.buffer));
        self.unsynced = true;
        self.run_operation(FileOperation::Write, &name, |files, name| files.append(name, &bytes))
    }

    /// Syncs the last log file, with its seal, before another one follows.
    ///
    /// If a power loss tore off the seal of a file that is not the last, it would look like damage.
    fn finish_last_segment(&mut self) -> Result<(), Error> {
        self.flush()?;
        self.sync_last_segment()
    }

    /// Syncs the last log file if needed, and appends a seal.
    fn sync_and_seal(&mut self) -> Result<(), Error> {
        self.flush()?;
        if !self.unsynced {
            return Ok(());
        }
        self.sync_last_segment()?;
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        // The seal needs no sync of its own, because it only helps to detect damage that occurs
        // later.
        let mut seal = Vec::new();
        segment::append_seal(last.durable_bytes, &mut seal);
        last.size += seal.len() as u64;
        let name = last.name.clone();
        self.run_operation(FileOperation::Write, &name, |files, name| files.append(name, &seal))
    }

    /// Syncs the last log file.
    fn sync_last_segment(&mut self) -> Result<(), Error> {
        let Some(last) = self.segments.last() else { return Ok(()) };
        let name = last.name.clone();
        self.run_operation(FileOperation::Sync, &name, |files, name| files.sync(name))?;
        self.unsynced = false;
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        last.durable_bytes = last.size;
        Ok(())
    }

    /// Runs an operation on a file and converts its error.
    pub(crate) fn run_operation<T>(
        &mut self,
        step: FileOperation,
        name: &str,
        operation: impl FnOnce(&mut dyn Files, &str) -> io::Result<T>,
    ) -> Result<T, Error> {
        operation(self.files.as_mut(), name).map_err(|error| storage_error(step, name, &error))
    }

    /// Runs an operation unless an earlier one failed, and records whether it fails.
    ///
    /// After a failed write or sync, the content of the disk is unknown; a second sync may even
    /// succeed although pages were dropped. Continuing would acknowledge writes that are not
    /// stored.
    fn run_unless_failed(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), Error>,
    ) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Stopped);
        }
        let result = operation(self);
        self.failed = result.is_err();
        result
    }
}

impl Storage for DataDirectory {
    fn load(&mut self) -> Result<Recovered, Error> {
        self.run_unless_failed(Self::flush)?;
        self.read_all()
    }

    fn write(&mut self, writes: &[Write]) -> Result<(), Error> {
        self.run_unless_failed(|directory| {
            writes.iter().try_for_each(|write| directory.apply_write(write))?;
            directory.flush()
        })
    }

    fn sync(&mut self) -> Result<(), Error> {
        self.run_unless_failed(Self::sync_and_seal)
    }
}

/// The header of a snapshot file, which precedes the encoded state.
#[verbenaslip_base::data]
pub(crate) struct SnapshotHeader {
    pub(crate) position: Position,
    pub(crate) config: verbenaslip_replica::config::Config,
}

/// Converts an error of the operating system.
pub(crate) fn storage_error(step: FileOperation, name: &str, error: &io::Error) -> Error {
    let file: Arc<str> = name.into();
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => Error::Full { step, file },
        _ => Error::Io { step, file, reason: error.to_string().into() },
    }
}

/// Returns a random identity, based on the random state of the standard library.
fn random_identity(path: &Path) -> Identity {
    let random_half =
        |salt: u8| u128::from(RandomState::new().hash_one((path, std::process::id(), salt)));
    Identity((random_half(0) << 64) | random_half(1))
}
