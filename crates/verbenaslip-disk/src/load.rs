//! Loading a data directory, and repairing what a power loss may leave.

use std::io::ErrorKind;
use std::sync::Arc;

use verbenaslip_base::name::Instance;
use verbenaslip_replica::entry::Entry;
use verbenaslip_replica::storage::{
    Error, FileOperation, HardState, Recovered, Snapshot, TornTail,
};
use verbenaslip_replica::voter::Identity;

use crate::directory::{DataDirectory, Segment, SnapshotHeader, storage_error};
use crate::segment::{HEADER_BYTES, Scan};
use crate::{checksummed, file_name, segment};

/// Holds the content of the log files.
struct LoadedLog {
    entries: Vec<Entry>,
    torn_tail: Option<TornTail>,
}

impl DataDirectory {
    /// Reads everything, and truncates what never became durable.
    pub(crate) fn read_all(&mut self) -> Result<Recovered, Error> {
        let names = self.list_files()?;
        let founders = self.read_founders(&names)?;
        self.identity = self.read_identity(&names)?;
        let hard_state = self.read_hard_state(&names)?;
        let snapshot = self.read_snapshot(&names)?;
        let LoadedLog { entries, torn_tail } = self.read_log(&names)?;
        let snapshot_index = snapshot.as_ref().map_or(0, |snapshot| snapshot.position.index);
        check_no_gap(snapshot_index, &entries)?;
        let count = entries.len();
        let recovered = Recovered {
            identity: self.identity,
            founders,
            hard_state,
            snapshot,
            entries,
            torn_tail,
        }
        .without_stale_entries();
        if recovered.entries.is_empty() && (count > 0 || !self.segments.is_empty()) {
            self.remove_log()?;
        }
        self.sync_loaded()?;
        self.next_index = recovered
            .entries
            .last()
            .map_or(snapshot_index, |entry| entry.position.index)
            .checked_add(1);
        Ok(recovered)
    }

    /// Syncs what was read.
    ///
    /// After a process crash without a power loss, the files show writes that were never synced.
    /// The voter would acknowledge them as stored, and a later power loss could remove them.
    fn sync_loaded(&mut self) -> Result<(), Error> {
        if let Some(name) = self.segments.last().map(|last| last.name.clone()) {
            self.run_operation(FileOperation::Sync, &name, |files, name| files.sync(name))?;
        }
        self.run_operation(FileOperation::Sync, "the data directory", |files, _| {
            files.sync_directory()
        })
    }

    /// Returns the file names in order, and removes files that were not completely written.
    fn list_files(&mut self) -> Result<Vec<String>, Error> {
        let mut names =
            self.run_operation(FileOperation::List, "the data directory", |files, _| files.list())?;
        names.sort();
        for temporary in names.extract_if(.., |name| name.ends_with(file_name::UNFINISHED_SUFFIX)) {
            self.run_operation(FileOperation::Remove, &temporary, |files, name| {
                files.remove(name)
            })?;
        }
        Ok(names)
    }

    /// Reads the founders, or stores those given if the data directory is new.
    ///
    /// They are stored before the identity: a directory that has one and no founders has never been
    /// a founder's.
    fn read_founders(&mut self, names: &[String]) -> Result<Vec<Instance>, Error> {
        if let Some(content) = self.read_checksummed(file_name::FOUNDERS)? {
            let founders = postcard::from_bytes(&content);
            return founders.map_err(|_| damaged(file_name::FOUNDERS, 0, &"it can't be decoded"));
        }
        let is_new = !names.iter().any(|name| name == file_name::IDENTITY);
        let founders = std::mem::take(&mut self.new_founders);
        if !is_new || founders.is_empty() {
            return Ok(Vec::new());
        }
        let content = postcard::to_stdvec(&founders).unwrap_or_default();
        self.replace_file(file_name::FOUNDERS, &checksummed::encode(&content))?;
        Ok(founders)
    }

    /// Reads the identity, or stores the random one if the data directory is new.
    fn read_identity(&mut self, names: &[String]) -> Result<Identity, Error> {
        if let Some(content) = self.read_checksummed(file_name::IDENTITY)? {
            let identity = postcard::from_bytes(&content);
            return identity.map_err(|_| damaged(file_name::IDENTITY, 0, &"it can't be decoded"));
        }
        let has_voter_files = names.iter().any(|name| {
            name == file_name::HARD_STATE
                || is_log(name)
                || file_name::snapshot_index(name).is_some()
        });
        if has_voter_files {
            // With a new identity, this voter could vote twice in a term.
            return Err(damaged(
                file_name::IDENTITY,
                0,
                &"it is missing although other files exist",
            ));
        }
        let content = postcard::to_stdvec(&self.identity).unwrap_or_default();
        self.replace_file(file_name::IDENTITY, &checksummed::encode(&content))?;
        Ok(self.identity)
    }

    /// Reads the hard state.
    fn read_hard_state(&mut self, names: &[String]) -> Result<HardState, Error> {
        let Some(content) = self.read_checksummed(file_name::HARD_STATE)? else {
            // The hard state is written before the first entry, so it can't be missing if there is
            // a log.
            let has_log =
                names.iter().any(|name| is_log(name) || file_name::snapshot_index(name).is_some());
            let missing_error =
                || damaged(file_name::HARD_STATE, 0, &"it is missing although there is a log");
            return if has_log { Err(missing_error()) } else { Ok(HardState::default()) };
        };
        postcard::from_bytes(&content)
            .map_err(|_| damaged(file_name::HARD_STATE, 0, &"it can't be decoded"))
    }

    /// Reads the newest snapshot, and removes older ones.
    fn read_snapshot(&mut self, names: &[String]) -> Result<Option<Arc<Snapshot>>, Error> {
        let mut indices: Vec<u64> =
            names.iter().filter_map(|n| file_name::snapshot_index(n)).collect();
        let Some(newest) = indices.pop() else { return Ok(None) };
        let name = file_name::snapshot(newest);
        let undecodable = || damaged(&name, 0, &"it can't be decoded");
        let content = self.read_checksummed(&name)?.ok_or_else(undecodable)?;
        let (header, state) =
            postcard::take_from_bytes::<SnapshotHeader>(&content).map_err(|_| undecodable())?;
        if header.position.index != newest {
            return Err(damaged(&name, 0, &"its name does not match its content"));
        }
        let SnapshotHeader { position, config } = header;
        self.snapshot_index = Some(newest);
        for older in indices {
            self.remove_file(&file_name::snapshot(older))?;
        }
        Ok(Some(Arc::new(Snapshot { position, config, state: state.into() })))
    }

    /// Reads the log files, and truncates a torn tail.
    fn read_log(&mut self, names: &[String]) -> Result<LoadedLog, Error> {
        self.segments.clear();
        let logs: Vec<&String> = names.iter().filter(|name| is_log(name)).collect();
        let mut entries: Vec<Entry> = Vec::new();
        let mut torn_tail = None;
        for (position, name) in logs.iter().enumerate() {
            let bytes =
                self.run_operation(FileOperation::Read, name, |files, name| files.read(name))?;
            let scan = segment::scan(&bytes);
            if let Some(fault) = scan.fault {
                let last = position + 1 == logs.len();
                if !last || fault.was_durable {
                    return Err(damaged(name, scan.valid_bytes, &fault.kind));
                }
                torn_tail = Some(self.truncate_torn_tail(name, &scan, bytes.len() as u64)?);
            }
            let Some(first_index) = scan.first_index else { continue };
            check_continuity(name, first_index, &scan, entries.last())?;
            let offsets = scan.records.iter().map(|record| record.offset).collect();
            let (name, size) = (name.to_string(), scan.valid_bytes);
            self.segments.push(Segment { name, first_index, offsets, size, durable_bytes: size });
            entries.extend(scan.records.into_iter().map(|record| record.entry));
        }
        Ok(LoadedLog { entries, torn_tail })
    }

    /// Truncates a torn tail of the last log file, or removes a file without a complete header.
    fn truncate_torn_tail(
        &mut self,
        name: &str,
        scan: &Scan,
        size: u64,
    ) -> Result<TornTail, Error> {
        if scan.valid_bytes < HEADER_BYTES as u64 {
            self.remove_file(name)?;
        } else {
            self.run_operation(FileOperation::Truncate, name, |files, name| {
                files.truncate(name, scan.valid_bytes)
            })?;
            self.run_operation(FileOperation::Sync, name, |files, name| files.sync(name))?;
        }
        Ok(TornTail { file: name.into(), offset: scan.valid_bytes, bytes: size - scan.valid_bytes })
    }

    /// Reads the content of a checksummed file, or returns `None` if the file does not exist.
    fn read_checksummed(&mut self, name: &str) -> Result<Option<Vec<u8>>, Error> {
        let bytes = match self.files.read(name) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(storage_error(FileOperation::Read, name, &error)),
        };
        let content = checksummed::decode(&bytes).map_err(|fault| damaged(name, 0, &fault))?;
        Ok(Some(content.to_vec()))
    }
}

/// Checks that a log file matches its name, follows the previous one, and has no gap.
fn check_continuity(
    name: &str,
    first_index: u64,
    scan: &Scan,
    previous_entry: Option<&Entry>,
) -> Result<(), Error> {
    if file_name::log_index(name) != Some(first_index) {
        return Err(damaged(name, 0, &"its name does not match its content"));
    }
    if previous_entry.is_some_and(|previous_entry| previous_entry.position.index + 1 != first_index)
    {
        return Err(damaged(name, 0, &"a log file before it is missing"));
    }
    let out_of_order = (first_index..)
        .zip(&scan.records)
        .find(|(expected, r)| r.entry.position.index != *expected);
    if let Some((_, record)) = out_of_order {
        return Err(damaged(name, record.offset, &"an entry is out of order"));
    }
    Ok(())
}

/// Checks that no entry is missing between the snapshot and the log.
fn check_no_gap(snapshot_index: u64, entries: &[Entry]) -> Result<(), Error> {
    let Some(first_index) = entries.first().map(|entry| entry.position.index) else {
        return Ok(());
    };
    if first_index > snapshot_index + 1 {
        return Err(damaged(&file_name::log(first_index), 0, &"the entries before it are missing"));
    }
    Ok(())
}

/// Returns whether a file is a log file.
fn is_log(name: &str) -> bool {
    file_name::log_index(name).is_some()
}

/// Returns the error for a damaged file.
fn damaged(name: &str, offset: u64, what: &impl ToString) -> Error {
    Error::Damaged { file: name.into(), offset, what: what.to_string().into() }
}
