//! Files in memory that lose unsynced changes.

#![allow(dead_code, reason = "each test file uses only a part of this module")]

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex};

use verbenaslip_disk::files::Files;

/// The visible content of a file, and its content after a power loss.
#[derive(Clone, Debug, Default)]
struct Content {
    visible: Vec<u8>,
    durable: Vec<u8>,
}

/// Holds the files of one directory; clones share the same files.
#[derive(Clone, Debug, Default)]
pub struct MemoryFiles {
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Debug, Default)]
struct State {
    contents: Vec<Content>,
    /// The index of the content of each name, as visible and as after a power loss.
    visible_names: BTreeMap<String, usize>,
    durable_names: BTreeMap<String, usize>,
    operations: u64,
    /// The number of the operation at which the power fails.
    fails_at: Option<u64>,
    /// The number of free bytes on the disk.
    free_bytes: Option<usize>,
}

/// The unsynced changes that a power loss discards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Loses all changes.
    All,
    /// Loses contents, but keeps names.
    Contents,
    /// Loses names, but keeps contents.
    Names,
    /// Keeps names, and the given number of unsynced bytes of each file.
    Part(usize),
    /// Keeps names, and the sizes of the files, but unsynced contents are zeros.
    Zeros,
    /// Loses nothing, as when only the process exits.
    Nothing,
}

impl MemoryFiles {
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    pub fn fail_at(&self, operation: u64) {
        self.lock().fails_at = Some(operation);
    }

    pub fn set_free_bytes(&self, bytes: Option<usize>) {
        self.lock().free_bytes = bytes;
    }

    /// Returns the files as they are after a power loss.
    pub fn after_power_loss(&self, loss: Loss) -> Self {
        if loss == Loss::Nothing {
            return self.after_process_exit();
        }
        let state = self.lock().clone();
        let names = if matches!(loss, Loss::All | Loss::Names) {
            state.durable_names
        } else {
            state.visible_names
        };
        let contents = state.contents.into_iter().map(|content| {
            let Content { visible, durable } = content;
            let remaining = match loss {
                Loss::All | Loss::Contents => durable,
                Loss::Names | Loss::Nothing => visible,
                Loss::Part(bytes) => durable_with_partial_tail(&visible, &durable, bytes),
                Loss::Zeros => durable_with_zeroed_tail(&visible, &durable),
            };
            let durable = remaining.clone();
            Content { visible: remaining, durable }
        });
        let mut state = State { contents: contents.collect(), ..State::default() };
        state.visible_names = names.clone();
        state.durable_names = names;
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Returns the files as they are after the process exits, without a power loss.
    pub fn after_process_exit(&self) -> Self {
        let mut state = self.lock().clone();
        state.fails_at = None;
        state.free_bytes = None;
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Flips a bit of a file.
    pub fn flip_bit(&self, name: &str, offset: usize) {
        let mut state = self.lock();
        let content = state.visible_names[name];
        state.contents[content].visible[offset] ^= 0x10;
    }

    pub fn size(&self, name: &str) -> usize {
        let state = self.lock();
        state.contents[state.visible_names[name]].visible.len()
    }

    pub fn names(&self) -> Vec<String> {
        self.lock().visible_names.keys().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no test panics while it holds the lock")
    }

    /// Performs one operation unless the power fails at it.
    fn run_operation<T>(&self, work: impl FnOnce(&mut State) -> Result<T>) -> Result<T> {
        let mut state = self.lock();
        if state.fails_at.is_some_and(|fails| state.operations >= fails) {
            return Err(Error::other("the power failed"));
        }
        state.operations += 1;
        work(&mut state)
    }
}

/// Returns the durable content and at most `bytes` of the unsynced content after it.
fn durable_with_partial_tail(visible: &[u8], durable: &[u8], bytes: usize) -> Vec<u8> {
    if !visible.starts_with(durable) {
        return durable.to_vec();
    }
    visible[..visible.len().min(durable.len() + bytes)].to_vec()
}

/// Returns the durable content followed by zeros in place of the unsynced content.
fn durable_with_zeroed_tail(visible: &[u8], durable: &[u8]) -> Vec<u8> {
    let mut remaining = durable.to_vec();
    remaining.resize(visible.len().max(durable.len()), 0);
    remaining
}

impl State {
    fn content(&mut self, name: &str) -> Result<&mut Content> {
        let index = *self.visible_names.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.contents[index])
    }
}

impl Files for MemoryFiles {
    fn list(&mut self) -> Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>> {
        Ok(self.lock().content(name)?.visible.clone())
    }

    fn create(&mut self, name: &str) -> Result<()> {
        self.run_operation(|state| {
            state.contents.push(Content::default());
            state.visible_names.insert(name.to_owned(), state.contents.len() - 1);
            Ok(())
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.run_operation(|state| {
            let free_bytes = state.free_bytes.unwrap_or(usize::MAX);
            let fits = bytes.len().min(free_bytes);
            state.content(name)?.visible.extend_from_slice(&bytes[..fits]);
            state.free_bytes = state.free_bytes.map(|free_bytes| free_bytes - fits);
            if fits < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
        })
    }

    fn truncate(&mut self, name: &str, size: u64) -> Result<()> {
        self.run_operation(|state| {
            state
                .content(name)?
                .visible
                .truncate(usize::try_from(size).expect("test files are small"));
            Ok(())
        })
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.run_operation(|state| {
            let content = state.content(name)?;
            content.durable = content.visible.clone();
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.run_operation(|state| {
            let content = state.visible_names.remove(from).ok_or(ErrorKind::NotFound)?;
            state.visible_names.insert(to.to_owned(), content);
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.run_operation(|state| {
            state.visible_names.remove(name).ok_or(ErrorKind::NotFound)?;
            Ok(())
        })
    }

    fn sync_directory(&mut self) -> Result<()> {
        self.run_operation(|state| {
            state.durable_names = state.visible_names.clone();
            Ok(())
        })
    }
}
