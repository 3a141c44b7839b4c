//! One voter's data folder.

use std::hash::{BuildHasher, RandomState};
use std::io::{self, ErrorKind};
use std::path::Path;
use std::sync::Arc;

use verbenaslip_replica::entry::{Entry, Position};
use verbenaslip_replica::storage::{Error, HardState, Recovered, Snapshot, Step, Storage, Write};
use verbenaslip_replica::voter::Identity;

use crate::files::{Files, LOCK, System};
use crate::{checksummed, file_name, segment};

/// Bytes after which a new log file is begun, where nothing else is said.
const SEGMENT: u64 = 4 << 20;

/// Says how a folder is opened on given files.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// The identity that a new folder gets.
    pub fresh: Identity,
    /// Bytes after which a new log file is begun.
    pub segment: u64,
}

/// Keeps one voter's state in a folder that is open here and nowhere else.
pub struct DataDirectory {
    pub(crate) files: Box<dyn Files>,
    pub(crate) identity: Identity,
    pub(crate) segments: Vec<Segment>,
    /// Records that are not yet handed to the last log file.
    buffer: Vec<u8>,
    /// The index that the next entry must have; none when any may follow.
    pub(crate) next: Option<u64>,
    /// The index at which the kept snapshot ends.
    pub(crate) snapshot: Option<u64>,
    /// Bytes after which a new log file is begun.
    limit: u64,
    /// Whether the last log file has content that is not durable.
    unsynced: bool,
    /// Whether an earlier write or sync failed.
    stopped: bool,
}

/// Describes one log file.
#[derive(Debug)]
pub(crate) struct Segment {
    pub(crate) name: String,
    pub(crate) first: u64,
    /// Where each entry's record begins.
    pub(crate) offsets: Vec<u64>,
    pub(crate) size: u64,
    /// How much of it is durable.
    pub(crate) durable: u64,
}

impl Segment {
    /// Returns the index after its last entry.
    pub(crate) fn next(&self) -> u64 {
        self.first + self.offsets.len() as u64
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
        let files = System::open(path).map_err(|error| match error.kind() {
            ErrorKind::WouldBlock => {
                Error::Locked { file: path.join(LOCK).display().to_string().into() }
            }
            _ => failure(Step::Open, &path.display().to_string(), &error),
        })?;
        Self::open_on(files, Options { fresh: draw(path), segment: SEGMENT })
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
        let mut folder = Self {
            files: Box::new(files),
            identity: options.fresh,
            segments: Vec::new(),
            buffer: Vec::new(),
            next: None,
            snapshot: None,
            limit: options.segment,
            unsynced: false,
            stopped: false,
        };
        let recovered = folder.read_all()?;
        Ok((folder, recovered))
    }

    /// Writes one write.
    fn take(&mut self, write: &Write) -> Result<(), Error> {
        match write {
            Write::HardState(hard) => self.keep_hard(hard),
            Write::Append(entries) => entries.iter().try_for_each(|entry| self.append(entry)),
            Write::Truncate { from } => self.truncate(*from),
            Write::Compact { snapshot, first } => self.compact(snapshot, *first),
            Write::Install(snapshot) => self.install(snapshot),
        }
    }

    /// Replaces the term and vote.
    fn keep_hard(&mut self, hard: &HardState) -> Result<(), Error> {
        let content = postcard::to_stdvec(hard).unwrap_or_default();
        self.replace(file_name::HARD, &checksummed::encode(&content))
    }

    /// Adds an entry to the buffer, in a new log file when the last one is full.
    fn append(&mut self, entry: &Entry) -> Result<(), Error> {
        let index = entry.position.index;
        if self.next.is_some_and(|next| next != index) {
            let what = format!("entry {index} comes where {:?} is due", self.next);
            return Err(Error::Order { what: what.into() });
        }
        if self.segments.last().is_none_or(|last| last.size >= self.limit) {
            self.begin(index)?;
        }
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        let before = self.buffer.len();
        segment::put(entry, last.durable, &mut self.buffer);
        last.offsets.push(last.size);
        last.size += (self.buffer.len() - before) as u64;
        self.next = Some(index + 1);
        Ok(())
    }

    /// Begins a log file; the one before it is durable first, so that only the last can be torn.
    fn begin(&mut self, first: u64) -> Result<(), Error> {
        self.close_last()?;
        let name = file_name::log(first);
        self.io(Step::Write, &name, |files, name| files.create(name))?;
        let header = segment::header(first);
        self.io(Step::Write, &name, |files, name| files.append(name, &header))?;
        self.io(Step::Sync, &name, |files, name| files.sync(name))?;
        self.io(Step::Sync, &name, |files, _| files.sync_folder())?;
        let size = header.len() as u64;
        self.segments.push(Segment { name, first, offsets: Vec::new(), size, durable: size });
        Ok(())
    }

    /// Drops an entry and all after it.
    fn truncate(&mut self, from: u64) -> Result<(), Error> {
        self.flush()?;
        // A file that begins at the cut would be left empty; the newest go first, so that a power
        // loss on the way leaves no gap.
        while self.segments.last().is_some_and(|last| last.first >= from) {
            self.drop_last()?;
        }
        self.next = Some(from);
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        let keep = usize::try_from(from - last.first).unwrap_or(usize::MAX);
        let Some(size) = last.offsets.get(keep).copied() else { return self.settle() };
        last.offsets.truncate(keep);
        last.size = size;
        last.durable = size;
        let name = last.name.clone();
        self.io(Step::Truncate, &name, |files, name| files.truncate(name, size))?;
        self.io(Step::Sync, &name, |files, name| files.sync(name))?;
        self.unsynced = false;
        Ok(())
    }

    /// Keeps a snapshot, then drops the log files that lie before an index.
    fn compact(&mut self, snapshot: &Snapshot, first: u64) -> Result<(), Error> {
        self.keep_snapshot(snapshot)?;
        // The oldest go first, so that a power loss on the way leaves no gap.
        while self.segments.len() > 1 && self.segments[0].next() <= first {
            let name = self.segments[0].name.clone();
            self.remove(&name)?;
            self.segments.remove(0);
        }
        Ok(())
    }

    /// Keeps a snapshot, then drops the whole log.
    fn install(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.keep_snapshot(snapshot)?;
        self.drop_log()?;
        self.next = Some(snapshot.position.index + 1);
        Ok(())
    }

    /// Drops all log files, the newest first.
    pub(crate) fn drop_log(&mut self) -> Result<(), Error> {
        self.buffer.clear();
        while !self.segments.is_empty() {
            self.drop_last()?;
        }
        self.unsynced = false;
        Ok(())
    }

    /// Removes the last log file.
    fn drop_last(&mut self) -> Result<(), Error> {
        let Some(last) = self.segments.pop() else { return Ok(()) };
        self.remove(&last.name)
    }

    /// Keeps a snapshot, then removes the one before it.
    fn keep_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        let head = Head { position: snapshot.position, config: snapshot.config.clone() };
        let mut content = postcard::to_stdvec(&head).unwrap_or_default();
        content.extend_from_slice(&snapshot.state);
        let index = snapshot.position.index;
        self.replace(&file_name::snapshot(index), &checksummed::encode(&content))?;
        let before = self.snapshot.replace(index).filter(|before| *before != index);
        before.map_or(Ok(()), |before| self.remove(&file_name::snapshot(before)))
    }

    /// Puts a file in place whole, so that after a power loss there is the old one or the new one.
    pub(crate) fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<(), Error> {
        let unfinished = format!("{name}{}", file_name::UNFINISHED);
        self.io(Step::Write, &unfinished, |files, name| files.create(name))?;
        self.io(Step::Write, &unfinished, |files, name| files.append(name, bytes))?;
        self.io(Step::Sync, &unfinished, |files, name| files.sync(name))?;
        self.io(Step::Rename, name, |files, name| files.rename(&unfinished, name))?;
        // Without this the rename may be undone by a power loss, and with it a vote that has left.
        self.io(Step::Sync, name, |files, _| files.sync_folder())
    }

    /// Removes a file for good.
    pub(crate) fn remove(&mut self, name: &str) -> Result<(), Error> {
        self.io(Step::Remove, name, |files, name| files.remove(name))?;
        self.io(Step::Sync, name, |files, _| files.sync_folder())
    }

    /// Hands buffered records to the last log file.
    fn flush(&mut self) -> Result<(), Error> {
        if self.buffer.is_empty() {
            return Ok(());
        }
        let Some(last) = self.segments.last() else { return Ok(()) };
        let (name, bytes) = (last.name.clone(), std::mem::take(&mut self.buffer));
        self.unsynced = true;
        self.io(Step::Write, &name, |files, name| files.append(name, &bytes))
    }

    /// Makes the last log file durable, with its seal, before another one follows it.
    ///
    /// A seal that is torn off by a power loss would look like damage in a file that is not the last.
    fn close_last(&mut self) -> Result<(), Error> {
        self.flush()?;
        self.sync_last()
    }

    /// Makes the last log file durable if it is not, and seals it.
    fn settle(&mut self) -> Result<(), Error> {
        self.flush()?;
        if !self.unsynced {
            return Ok(());
        }
        self.sync_last()?;
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        // The seal needs no sync of its own: it only has to reach the disk before the disk decays.
        let mut seal = Vec::new();
        segment::put_seal(last.durable, &mut seal);
        last.size += seal.len() as u64;
        let name = last.name.clone();
        self.io(Step::Write, &name, |files, name| files.append(name, &seal))
    }

    /// Syncs the last log file.
    fn sync_last(&mut self) -> Result<(), Error> {
        let Some(last) = self.segments.last() else { return Ok(()) };
        let name = last.name.clone();
        self.io(Step::Sync, &name, |files, name| files.sync(name))?;
        self.unsynced = false;
        let Some(last) = self.segments.last_mut() else { return Ok(()) };
        last.durable = last.size;
        Ok(())
    }

    /// Does one thing with a file.
    pub(crate) fn io<T>(
        &mut self,
        step: Step,
        name: &str,
        work: impl FnOnce(&mut dyn Files, &str) -> io::Result<T>,
    ) -> Result<T, Error> {
        work(self.files.as_mut(), name).map_err(|error| failure(step, name, &error))
    }

    /// Runs work unless an earlier one failed, and notes when this one does.
    ///
    /// After a failed write or sync nobody knows what is on the disk; a second sync may even claim
    /// success for pages that were dropped. Going on would acknowledge what is not kept.
    fn guard(&mut self, work: impl FnOnce(&mut Self) -> Result<(), Error>) -> Result<(), Error> {
        if self.stopped {
            return Err(Error::Stopped);
        }
        let result = work(self);
        self.stopped = result.is_err();
        result
    }
}

impl Storage for DataDirectory {
    fn load(&mut self) -> Result<Recovered, Error> {
        self.guard(Self::flush)?;
        self.read_all()
    }

    fn write(&mut self, writes: &[Write]) -> Result<(), Error> {
        self.guard(|folder| {
            writes.iter().try_for_each(|write| folder.take(write))?;
            folder.flush()
        })
    }

    fn sync(&mut self) -> Result<(), Error> {
        self.guard(Self::settle)
    }
}

/// Describes a snapshot in its file, before the state's bytes.
#[verbenaslip_base::data]
pub(crate) struct Head {
    pub(crate) position: Position,
    pub(crate) config: verbenaslip_replica::config::Config,
}

/// Words what the system said.
pub(crate) fn failure(step: Step, name: &str, error: &io::Error) -> Error {
    let file: Arc<str> = name.into();
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => Error::Full { step, file },
        _ => Error::Io { step, file, reason: error.to_string().into() },
    }
}

/// Draws an identity from the randomness that the standard library takes from the system.
fn draw(path: &Path) -> Identity {
    let half = |salt: u8| u128::from(RandomState::new().hash_one((path, std::process::id(), salt)));
    Identity((half(0) << 64) | half(1))
}
