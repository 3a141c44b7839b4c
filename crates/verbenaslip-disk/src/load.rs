//! Reads a folder, and repairs what a power loss may leave.

use std::io::ErrorKind;
use std::sync::Arc;

use verbenaslip_replica::entry::Entry;
use verbenaslip_replica::storage::{Error, HardState, Recovered, Snapshot, Step, Torn};
use verbenaslip_replica::voter::Identity;

use crate::directory::{DataDirectory, Head, Segment, failure};
use crate::segment::{HEADER, Scan};
use crate::{checksummed, file_name, segment};

/// Holds what the log files contain.
struct Log {
    entries: Vec<Entry>,
    torn: Option<Torn>,
}

impl DataDirectory {
    /// Reads everything, and cuts what never became durable.
    pub(crate) fn read_all(&mut self) -> Result<Recovered, Error> {
        let names = self.names()?;
        self.identity = self.read_identity(&names)?;
        let hard = self.read_hard(&names)?;
        let snapshot = self.read_snapshot(&names)?;
        let Log { entries, torn } = self.read_log(&names)?;
        let end = snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        check_follows(end, &entries)?;
        let count = entries.len();
        let recovered = Recovered {
            identity: self.identity,
            hard_state: hard,
            snapshot,
            entries,
            torn_tail: torn,
        }
        .without_stale_entries();
        if recovered.entries.is_empty() && (count > 0 || !self.segments.is_empty()) {
            self.drop_log()?;
        }
        self.keep()?;
        self.next =
            recovered.entries.last().map_or(end, |entry| entry.position.index).checked_add(1);
        Ok(recovered)
    }

    /// Makes durable what was read.
    ///
    /// After a process died without a power loss, the files show writes that were never synced. The
    /// voter would acknowledge them as stored, and a power loss would then take them away.
    fn keep(&mut self) -> Result<(), Error> {
        if let Some(name) = self.segments.last().map(|last| last.name.clone()) {
            self.io(Step::Sync, &name, |files, name| files.sync(name))?;
        }
        self.io(Step::Sync, "the data folder", |files, _| files.sync_folder())
    }

    /// Lists the files in order, and removes those that were never finished.
    fn names(&mut self) -> Result<Vec<String>, Error> {
        let mut names = self.io(Step::List, "the data folder", |files, _| files.list())?;
        names.sort();
        for unfinished in names.extract_if(.., |name| name.ends_with(file_name::UNFINISHED)) {
            self.io(Step::Remove, &unfinished, |files, name| files.remove(name))?;
        }
        Ok(names)
    }

    /// Reads the folder's identity, or keeps the one that was drawn if the folder is new.
    fn read_identity(&mut self, names: &[String]) -> Result<Identity, Error> {
        if let Some(content) = self.read_checked(file_name::IDENTITY)? {
            let identity = postcard::from_bytes(&content);
            return identity.map_err(|_| damaged(file_name::IDENTITY, 0, &"it can't be read"));
        }
        let foreign = names.iter().any(|name| {
            name == file_name::HARD || is_log(name) || file_name::snapshot_index(name).is_some()
        });
        if foreign {
            // With a new identity this voter could vote twice; it must not go on as itself.
            return Err(damaged(file_name::IDENTITY, 0, &"it is missing beside a log"));
        }
        let content = postcard::to_stdvec(&self.identity).unwrap_or_default();
        self.replace(file_name::IDENTITY, &checksummed::encode(&content))?;
        Ok(self.identity)
    }

    /// Reads the term and vote.
    fn read_hard(&mut self, names: &[String]) -> Result<HardState, Error> {
        let Some(content) = self.read_checked(file_name::HARD)? else {
            // The term is written before the first entry, so it can't be missing beside one.
            let log =
                names.iter().any(|name| is_log(name) || file_name::snapshot_index(name).is_some());
            let missing = || damaged(file_name::HARD, 0, &"it is missing beside a log");
            return if log { Err(missing()) } else { Ok(HardState::default()) };
        };
        postcard::from_bytes(&content).map_err(|_| damaged(file_name::HARD, 0, &"it can't be read"))
    }

    /// Reads the newest snapshot, and removes older ones.
    fn read_snapshot(&mut self, names: &[String]) -> Result<Option<Arc<Snapshot>>, Error> {
        let mut indices: Vec<u64> =
            names.iter().filter_map(|n| file_name::snapshot_index(n)).collect();
        let Some(newest) = indices.pop() else { return Ok(None) };
        let name = file_name::snapshot(newest);
        let unreadable = || damaged(&name, 0, &"it can't be read");
        let content = self.read_checked(&name)?.ok_or_else(unreadable)?;
        let (head, state) =
            postcard::take_from_bytes::<Head>(&content).map_err(|_| unreadable())?;
        if head.position.index != newest {
            return Err(damaged(&name, 0, &"its name does not match its content"));
        }
        let Head { position, config } = head;
        self.snapshot = Some(newest);
        for older in indices {
            self.remove(&file_name::snapshot(older))?;
        }
        Ok(Some(Arc::new(Snapshot { position, config, state: state.into() })))
    }

    /// Reads the log files, and cuts a torn tail.
    fn read_log(&mut self, names: &[String]) -> Result<Log, Error> {
        self.segments.clear();
        let logs: Vec<&String> = names.iter().filter(|name| is_log(name)).collect();
        let mut entries: Vec<Entry> = Vec::new();
        let mut torn = None;
        for (place, name) in logs.iter().enumerate() {
            let bytes = self.io(Step::Read, name, |files, name| files.read(name))?;
            let scan = segment::scan(&bytes);
            if let Some(fault) = scan.fault {
                let last = place + 1 == logs.len();
                if !last || fault.durable {
                    return Err(damaged(name, scan.end, &fault.what));
                }
                torn = Some(self.cut(name, &scan, bytes.len() as u64)?);
            }
            let Some(first) = scan.first else { continue };
            check_chain(name, first, &scan, entries.last())?;
            let offsets = scan.records.iter().map(|record| record.offset).collect();
            let (name, size) = (name.to_string(), scan.end);
            self.segments.push(Segment { name, first, offsets, size, durable: size });
            entries.extend(scan.records.into_iter().map(|record| record.entry));
        }
        Ok(Log { entries, torn })
    }

    /// Cuts a torn tail off the last log file; a file without a whole header goes.
    fn cut(&mut self, name: &str, scan: &Scan, size: u64) -> Result<Torn, Error> {
        if scan.end < HEADER as u64 {
            self.remove(name)?;
        } else {
            self.io(Step::Truncate, name, |files, name| files.truncate(name, scan.end))?;
            self.io(Step::Sync, name, |files, name| files.sync(name))?;
        }
        Ok(Torn { file: name.into(), offset: scan.end, bytes: size - scan.end })
    }

    /// Reads the content of a file that is replaced whole, none when there is no such file.
    fn read_checked(&mut self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let bytes = match self.files.read(name) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(failure(Step::Read, name, &error)),
        };
        let content = checksummed::decode(&bytes).map_err(|fault| damaged(name, 0, &fault))?;
        Ok(Some(content.to_vec()))
    }
}

/// Checks that a log file begins where its name and the file before say, without a gap.
fn check_chain(name: &str, first: u64, scan: &Scan, before: Option<&Entry>) -> Result<(), Error> {
    if file_name::log_index(name) != Some(first) {
        return Err(damaged(name, 0, &"its name does not match its content"));
    }
    if before.is_some_and(|before| before.position.index + 1 != first) {
        return Err(damaged(name, 0, &"a log file before it is missing"));
    }
    let gap = (first..).zip(&scan.records).find(|(due, r)| r.entry.position.index != *due);
    if let Some((_, record)) = gap {
        return Err(damaged(name, record.offset, &"an entry is out of order"));
    }
    Ok(())
}

/// Checks that no entry is missing between the snapshot and the log.
fn check_follows(end: u64, entries: &[Entry]) -> Result<(), Error> {
    let Some(first) = entries.first().map(|entry| entry.position.index) else { return Ok(()) };
    if first > end + 1 {
        return Err(damaged(&file_name::log(first), 0, &"the entries before it are missing"));
    }
    Ok(())
}

/// Tells whether a file is a log file.
fn is_log(name: &str) -> bool {
    file_name::log_index(name).is_some()
}

/// Words a damage.
fn damaged(name: &str, offset: u64, what: &impl ToString) -> Error {
    Error::Damaged { file: name.into(), offset, what: what.to_string().into() }
}
