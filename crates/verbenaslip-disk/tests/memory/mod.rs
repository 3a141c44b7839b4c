//! Files in memory that forget what was not synced.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::sync::{Arc, Mutex};

use verbenaslip_disk::files::Files;

/// Holds a file's content as it is seen and as it would be after a power loss.
#[derive(Clone, Debug, Default)]
struct Content {
    seen: Vec<u8>,
    durable: Vec<u8>,
}

/// Holds the folder; clones are the same folder.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    state: Arc<Mutex<State>>,
}

#[derive(Clone, Debug, Default)]
struct State {
    contents: Vec<Content>,
    /// Which content each name has, as it is seen and as it would be after a power loss.
    seen: BTreeMap<String, usize>,
    durable: BTreeMap<String, usize>,
    operations: u64,
    /// The operation at which the power fails.
    fails: Option<u64>,
    /// The bytes that still fit.
    room: Option<usize>,
}

/// Says what a power loss leaves of what was not synced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// Nothing.
    All,
    /// Names changed, contents did not.
    Contents,
    /// Contents changed, names did not.
    Names,
    /// Names changed, and a part of each content.
    Part(usize),
    /// Names changed, and contents have their length but zeros in it.
    Zeros,
    /// Nothing is lost, as when only the process ends.
    Nothing,
}

impl Memory {
    pub fn operations(&self) -> u64 {
        self.lock().operations
    }

    pub fn fail_at(&self, operation: u64) {
        self.lock().fails = Some(operation);
    }

    pub fn leave_room(&self, bytes: Option<usize>) {
        self.lock().room = bytes;
    }

    /// Ends the power, and returns the folder as it is afterwards.
    pub fn lose(&self, loss: Loss) -> Self {
        if loss == Loss::Nothing {
            return self.end();
        }
        let state = self.lock().clone();
        let names =
            if matches!(loss, Loss::All | Loss::Names) { state.durable } else { state.seen };
        let contents = state.contents.into_iter().map(|content| {
            let Content { seen, durable } = content;
            let kept = match loss {
                Loss::All | Loss::Contents => durable,
                Loss::Names | Loss::Nothing => seen,
                Loss::Part(bytes) => part(&seen, &durable, bytes),
                Loss::Zeros => zeros(&seen, &durable),
            };
            let durable = kept.clone();
            Content { seen: kept, durable }
        });
        let mut after = State { contents: contents.collect(), ..State::default() };
        after.seen = names.clone();
        after.durable = names;
        Self { state: Arc::new(Mutex::new(after)) }
    }

    /// Ends the process alone: everything is seen, nothing more is durable than before.
    pub fn end(&self) -> Self {
        let mut state = self.lock().clone();
        state.fails = None;
        state.room = None;
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Flips a bit in a file.
    pub fn flip(&self, name: &str, offset: usize) {
        let mut state = self.lock();
        let content = state.seen[name];
        state.contents[content].seen[offset] ^= 0x10;
    }

    pub fn size(&self, name: &str) -> usize {
        let state = self.lock();
        state.contents[state.seen[name]].seen.len()
    }

    pub fn names(&self) -> Vec<String> {
        self.lock().seen.keys().cloned().collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no test panics while it holds the lock")
    }

    /// Does one operation unless the power fails at it.
    fn operate<T>(&self, work: impl FnOnce(&mut State) -> Result<T>) -> Result<T> {
        let mut state = self.lock();
        if state.fails.is_some_and(|fails| state.operations >= fails) {
            return Err(Error::other("the power failed"));
        }
        state.operations += 1;
        work(&mut state)
    }
}

/// Keeps what is durable and so many bytes of what is not.
fn part(seen: &[u8], durable: &[u8], bytes: usize) -> Vec<u8> {
    if !seen.starts_with(durable) {
        return durable.to_vec();
    }
    seen[..seen.len().min(durable.len() + bytes)].to_vec()
}

/// Keeps what is durable, and zeros in place of the rest.
fn zeros(seen: &[u8], durable: &[u8]) -> Vec<u8> {
    let mut kept = durable.to_vec();
    kept.resize(seen.len().max(durable.len()), 0);
    kept
}

impl State {
    fn content(&mut self, name: &str) -> Result<&mut Content> {
        let place = *self.seen.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.contents[place])
    }
}

impl Files for Memory {
    fn list(&mut self) -> Result<Vec<String>> {
        Ok(self.names())
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>> {
        Ok(self.lock().content(name)?.seen.clone())
    }

    fn create(&mut self, name: &str) -> Result<()> {
        self.operate(|state| {
            state.contents.push(Content::default());
            state.seen.insert(name.to_owned(), state.contents.len() - 1);
            Ok(())
        })
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.operate(|state| {
            let room = state.room.unwrap_or(usize::MAX);
            let fits = bytes.len().min(room);
            state.content(name)?.seen.extend_from_slice(&bytes[..fits]);
            state.room = state.room.map(|room| room - fits);
            if fits < bytes.len() { Err(ErrorKind::StorageFull.into()) } else { Ok(()) }
        })
    }

    fn truncate(&mut self, name: &str, size: u64) -> Result<()> {
        self.operate(|state| {
            state
                .content(name)?
                .seen
                .truncate(usize::try_from(size).expect("test files are small"));
            Ok(())
        })
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.operate(|state| {
            let content = state.content(name)?;
            content.durable = content.seen.clone();
            Ok(())
        })
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.operate(|state| {
            let content = state.seen.remove(from).ok_or(ErrorKind::NotFound)?;
            state.seen.insert(to.to_owned(), content);
            Ok(())
        })
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.operate(|state| {
            state.seen.remove(name).ok_or(ErrorKind::NotFound)?;
            Ok(())
        })
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.operate(|state| {
            state.durable = state.seen.clone();
            Ok(())
        })
    }
}
