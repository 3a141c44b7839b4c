//! Structured log lines on standard output, with a bounded queue that never blocks the caller.
//!
//! Writing to a pipe that nobody reads would block the writing thread, and that thread could then
//! answer no requests. Lines therefore go through a short queue to a thread of their own. Lines
//! that do not fit are dropped and counted, and the next line that fits states how many were
//! dropped.

use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender, TrySendError};
use serde_json::{Map, Value};

use crate::monotonic;

/// Limit on queued lines: some seconds' worth at a busy entry, less than a megabyte.
const MAX_QUEUED_LINES: usize = 2_048;

/// Time for which lines are collected before one write, since each write costs processor time.
const BATCH_DELAY: Duration = Duration::from_millis(200);

static QUEUE: OnceLock<Sender<String>> = OnceLock::new();
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Identifies a kind of event; the number stays the same if the name changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Number of the kind in the event catalogue.
    pub number: u16,
    /// Name of the kind.
    pub name: &'static str,
}

/// Starts the writer thread; lines emitted before are dropped.
///
/// # Errors
///
/// Fails if the thread cannot be started.
pub fn start() -> std::io::Result<()> {
    let (sender, receiver) = channel::bounded(MAX_QUEUED_LINES);
    thread::Builder::new().name("journal".into()).spawn(move || write_lines(&receiver))?;
    // A second call keeps the first writer thread.
    let _ = QUEUE.set(sender);
    Ok(())
}

/// Emits a log line, or drops and counts it if the queue is full.
pub fn emit(kind: Kind, fields: impl IntoIterator<Item = (&'static str, Value)>) {
    let Some(lines) = QUEUE.get() else { return };
    let mut map = Map::new();
    map.insert("at".into(), monotonic::unix_ms().into());
    map.insert("event".into(), kind.number.into());
    map.insert("what".into(), kind.name.into());
    map.extend(fields.into_iter().map(|(name, value)| (name.to_owned(), value)));
    let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        map.insert("dropped_before".into(), dropped.into());
    }
    if let Err(TrySendError::Full(_)) = lines.try_send(Value::Object(map).to_string()) {
        DROPPED_LINES.fetch_add(dropped + 1, Ordering::Relaxed);
    }
}

/// Waits until the lines emitted so far have most likely been written, before the process ends.
pub fn flush() {
    thread::sleep(BATCH_DELAY + BATCH_DELAY / 2);
}

fn write_lines(lines: &Receiver<String>) {
    while let Ok(first) = lines.recv() {
        thread::sleep(BATCH_DELAY);
        let mut text = first;
        text.push('\n');
        for line in lines.try_iter() {
            text.push_str(&line);
            text.push('\n');
        }
        let mut out = std::io::stdout().lock();
        // A failure of standard output cannot be reported anywhere.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}
