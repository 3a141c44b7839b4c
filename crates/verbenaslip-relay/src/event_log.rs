//! Structured log lines on standard output, bounded and never waited for.
//!
//! A pipe that nobody reads would block whoever writes to it, and a thread that waits for its log
//! answers nobody. So lines go through a short queue to a thread of their own; what does not fit is
//! dropped and counted, and the next line that fits says how many were.

use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crossbeam::channel::{self, Receiver, Sender, TrySendError};
use serde_json::{Map, Value};

use crate::monotonic;

/// Lines that may wait: some seconds' worth of a busy entry, under a megabyte.
const MAX_QUEUED_LINES: usize = 2_048;

/// Lines wait up to this long to be written together, since each write costs processor time.
const BATCH_DELAY: Duration = Duration::from_millis(200);

static QUEUE: OnceLock<Sender<String>> = OnceLock::new();
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Names a kind of line; the number stays, whatever the name becomes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Kind {
    /// Its number in the catalogue.
    pub number: u16,
    /// Its name.
    pub name: &'static str,
}

/// Starts the thread that writes; without it lines are dropped.
///
/// # Errors
///
/// Fails when no thread can be started.
pub fn start() -> std::io::Result<()> {
    let (sender, receiver) = channel::bounded(MAX_QUEUED_LINES);
    thread::Builder::new().name("journal".into()).spawn(move || write_lines(&receiver))?;
    // A second opening keeps the first one's thread.
    let _ = QUEUE.set(sender);
    Ok(())
}

/// Writes a line.
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

/// Waits a moment until what was said is written, before the process ends.
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
        // Nobody is left to tell when standard output itself fails.
        let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    }
}
