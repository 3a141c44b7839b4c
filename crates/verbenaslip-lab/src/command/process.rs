//! The life of a stand-in's process.

use std::io::{self, Write};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_json::Value;
use signal_hook::consts::{SIGINT, SIGTERM};

/// How often the end is looked for.
const LOOK: Duration = Duration::from_millis(10);

/// How often the truth is written.
const KEEP: Duration = Duration::from_secs(1);

/// Waits for the end of a process.
pub(crate) struct Process {
    ended: Arc<AtomicBool>,
}

impl Process {
    /// Listens for signals to end.
    pub(crate) fn open() -> io::Result<Self> {
        let ended = Arc::new(AtomicBool::new(false));
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, ended.clone())?;
        }
        Ok(Self { ended })
    }

    /// Says that the stand-in listens, and waits for its end; keeps the truth in a file meanwhile,
    /// if one is named.
    pub(crate) fn serve<T: Serialize>(
        &self,
        ready: &Value,
        file: Option<&Path>,
        truth: impl Fn() -> T,
        gone: impl Fn() -> bool,
    ) -> io::Result<()> {
        println!("ready {ready}");
        io::stdout().flush()?;
        let mut kept = Instant::now();
        while !self.ended.load(Ordering::SeqCst) && !gone() {
            thread::sleep(LOOK);
            if kept.elapsed() > KEEP {
                keep(file, &truth())?;
                kept = Instant::now();
            }
        }
        keep(file, &truth())
    }
}

/// Writes the truth so that a reader never sees half of it.
fn keep(file: Option<&Path>, truth: &impl Serialize) -> io::Result<()> {
    let Some(file) = file else { return Ok(()) };
    let draft = file.with_extension("draft");
    std::fs::write(&draft, serde_json::to_vec(truth)?)?;
    std::fs::rename(draft, file)
}
