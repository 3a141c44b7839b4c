//! One voter's data folder.

use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;

use verbenaslip_replica::entry::{Entry, Position};
use verbenaslip_replica::storage::{
    Error, FileOperation, HardState, Recovered, Snapshot, Storage, Write,
};
use verbenaslip_replica::voter::Identity;

use crate::files::{Files, LOCK_FILE, SystemFiles};
use crate::{checksummed, file_name, segment};

/// Bytes after which a new log file is begun, where nothing else is said.
const DEFAULT_SEGMENT_BYTES: u64 = 4 << 20;

/// Says how a folder is opened on given files.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The identity that a new folder gets.
    pub new_identity: Identity,
    /// Bytes after which a new log file is begun.
    pub segment_bytes: u64,
}

/// Keeps one voter's state in a folder that is open here and nowhere else.
pub struct DataDirectory {
    pub(crate) files: Box<dyn Files>,
    pub(crate) identity: Identity,
    pub(crate) segments: Vec<Segment>,
    /// Records that are not yet handed to the last log file.
    buffer: Vec<u8>,
    /// The index that the next entry must have; none when any may follow.
    pub(crate) next_index: Option<u64>,
    /// The index at which the kept snapshot ends.
    pub(crate) snapshot_index: Option<u64>,
    /// Bytes after which a new log file is begun.
    max_segment_bytes: u64,
    /// Whether the last log file has content that is not durable.
    unsynced: bool,
    /// Whether an earlier write or sync failed.
    failed: bool,
}

/// Describes one log file.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) name: String,
    pub(crate) first_index: u64,
    /// Where each entry's record begins.
    pub(crate) offsets: Vec<u64>,
    pub(crate) size: u64,
    /// How much of it is durable.
    pub(crate) durable_bytes: u64,
}

impl Segment {
    /// Returns the index after its last entry.
    pub(crate) fn next_index(&self) -> u64 {
        self.first_index + self.offsets.len() as u64
    }
}

impl DataDirectory {
    /// Opens a folder, creating it where needed, and reads what it holds.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder is in use, can't be read, or is damaged.
    pub fn open(path: impl AsRef<Path>) -> Result<(Self, Recovered), Error> {
        let path = path.as_ref();
        let files = SystemFiles::open(path).map_err(|error| match error.kind() {
            ErrorKind::WouldBlock => {
                Error::Locked { file: path.join(LOCK_FILE).display().to_string().into() }
            }
            _ => storage_error(FileOperation::Open, &path.display().to_string(), &error),
        })?;
        Self::open_on(
            files,
            Options { new_identity: random_identity(path), segment_bytes: DEFAULT_SEGMENT_BYTES },
        )
    }

    /// Opens a folder on given files.
    ///
    /// # Errors
    ///
    /// Returns an error when the folder can't be read or is damaged.
    pub fn open_on(
        files: impl Files + 'static,
        options: Options,
    ) -> Result<(Self, Recovered), Error> {
        let mut directory = Self {
            files: Box::new(files),
            identity: options.new_identity,
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

    /// Writes one write.
    fn apply_write(&mut self, write: &Write) -> Result<(), Error> {
        match write {
            Write::HardState(hard_state) => self.write_hard_state(hard_state),
            Write::Append(entries) => entries.iter().try_for_each(|entry| self.buffer_entry(entry)),
            Write::Truncate { from } => self.truncate(*from),
            Write::Compact { snapshot, first } => self.compact(snapshot, *first),
            Write::Install(snapshot) => self.install(snapshot),
        }
    }

    /// Replaces the term and vote.
    fn write_hard_state(&mut self, hard_state: &HardState) -> Result<(), Error> {
        let content = postcard::to_stdvec(hard_state).unwrap_or_default();
        self.replace_file(file_name::HARD_STATE, &checksummed::encode(&content))
    }

    /// Adds an entry to the buffer, in a new log file when the last one is full.
    fn buffer_entry(&mut self, entry: &Entry) -> Result<(), Error> {
        let index = entry.position.index;
        if self.next_index.is_some_and(|next| next != index) {
            let what = format!("entry {index} comes where {:?} is due", self.next_index);
            return Err(Error::OutOfOrder { what: what.into() });
        }
        if self.segments.last().is_none_or(|last| last.size >= self.max_segment_bytes) {
            self.start_segment(index)?;
        }
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        let before = self.buffer.len();
        segment::append_record(entry, last.durable_bytes, &mut self.buffer);
        last.offsets.push(last.size);
        last.size += (self.buffer.len() - before) as u64;
        self.next_index = Some(index + 1);
        Ok(())
    }

    /// Begins a log file; the one before it is durable first, so that only the last can be torn.
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

    /// Drops an entry and all after it.
    fn truncate(&mut self, from: u64) -> Result<(), Error> {
        self.flush()?;
        // A file that begins at the cut would be left empty; the newest go first, so that a power
        // loss on the way leaves no gap.
        while self.segments.last().is_some_and(|last| last.first_index >= from) {
            self.remove_last_segment()?;
        }
        self.next_index = Some(from);
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        let keep = usize::try_from(from - last.first_index).unwrap_or(usize::MAX);
        let Some(size) = last.offsets.get(keep).copied() else { return self.sync_and_seal() };
        last.offsets.truncate(keep);
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

    /// Keeps a snapshot, then drops the log files that lie before an index.
    fn compact(&mut self, snapshot: &Snapshot, first_index: u64) -> Result<(), Error> {
        self.write_snapshot(snapshot)?;
        // The oldest go first, so that a power loss on the way leaves no gap.
        while self.segments.len() > 1 && self.segments[0].next_index() <= first_index {
            let name = self.segments[0].name.clone();
            self.remove_file(&name)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    /// Keeps a snapshot, then drops the whole log.
    fn install(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.write_snapshot(snapshot)?;
        self.remove_log()?;
        self.next_index = Some(snapshot.position.index + 1);
        Ok(())
    }

    /// Drops all log files, the newest first.
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

    /// Keeps a snapshot, then removes the one before it.
    fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let header =
            SnapshotHeader { position: snapshot.position, config: snapshot.config.clone() };
        let mut content = postcard::to_stdvec(&header).unwrap_or_default();
        content.extend_from_slice(&snapshot.state);
        let index = snapshot.position.index;
        self.replace_file(&file_name::snapshot(index), &checksummed::encode(&content))?;
        let before = self.snapshot_index.replace(index).filter(|before| *before != index);
        before.map_or(Ok(()), |before| self.remove_file(&file_name::snapshot(before)))
    }

    /// Puts a file in place whole, so that after a power loss there is the old one or the new one.
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
        // Without this the rename may be undone by a power loss, and with it a vote that has left.
        self.run_operation(FileOperation::Sync, name, |files, _| files.sync_directory())
    }

    /// Removes a file for good.
    pub(crate) fn remove_file(&mut self, name: &str) -> Result<(), Error> {
        self.run_operation(FileOperation::Remove, name, |files, name| files.remove(name))?;
        self.run_operation(FileOperation::Sync, name, |files, _| files.sync_directory())
    }

    /// Hands buffered records to the last log file.
    fn flush(&mut self) -> Result<(), Error> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let Some(last) = self.segments.last() else { return Ok(()) };
        let (name, bytes) = (last.name.clone(), std::mem::take(&mut self.buffer));
        self.unsynced = true;
        self.run_operation(FileOperation::Write, &name, |files, name| files.append(name, &bytes))
    }

    /// Makes the last log file durable, with its seal, before another one follows it.
    ///
    /// A seal that is torn off by a power loss would look like damage in a file that is not the last.
    fn finish_last_segment(&mut self) -> Result<(), Error> {
        self.flush()?;
        self.sync_last_segment()
    }

    /// Makes the last log file durable if it is not, and seals it.
    fn sync_and_seal(&mut self) -> Result<(), Error> {
        self.flush()?;
        if !self.unsynced {
            return Ok(());
        }
        self.sync_last_segment()?;
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        // The seal needs no sync of its own: it only has to reach the disk before the disk decays.
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

    /// Does one thing with a file.
    pub(crate) fn run_operation<T>(
        &mut self,
        step: FileOperation,
        name: &str,
        operation: impl FnOnce(&mut dyn Files, &str) -> io::Result<T>,
    ) -> Result<T, Error> {
        operation(self.files.as_mut(), name).map_err(|error| storage_error(step, name, &error))
    }

    /// Runs work unless an earlier one failed, and notes when this one does.
    ///
    /// After a failed write or sync nobody knows what is on the disk; a second sync may even claim
    /// success for pages that were dropped. Going on would acknowledge what is not kept.
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

/// Describes a snapshot in its file, before the state's bytes.
#[verbenaslip_base::data]
pub(crate) struct SnapshotHeader {
    pub(crate) position: Position,
    pub(crate) config: verbenaslip_replica::config::Config,
}

/// Words what the system said.
pub(crate) fn storage_error(step: FileOperation, name: &str, error: &io::Error) -> Error {
    let file: Arc<str> = name.into();
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => Error::Full { step, file },
        _ => Error::Io { step, file, reason: error.to_string().into() },
    }
}

/// Draws an identity from the randomness that the standard library takes from the system.
fn random_identity(path: &Path) -> Identity {
    let half = |salt: u8| u128::from(RandomState::new().hash_one((path, std::process::id(), salt)));
    Identity((half(0) << 64) | half(1))
}
