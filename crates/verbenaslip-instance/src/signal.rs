//! Forwards process signals as messages.

use std::io;
use std::thread;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::mpsc::UnboundedSender;

/// Request that a process signal stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Stop gracefully.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Starts a thread that forwards process signals.
///
/// SIGTERM and SIGINT request a stop, and SIGHUP requests a reload.
///
/// # Errors
///
/// Returns an error if the signal handlers can't be installed or the thread can't be started.
pub fn watch(sender: UnboundedSender<Signal>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let forward = move || {
        for signal in signals.forever() {
            let message = if signal == SIGHUP { Signal::Reload } else { Signal::Stop };
            // The receiver is closed only when the process ends.
            let _ = sender.send(message);
        }
    };
    thread::Builder::new().name("signals".into()).spawn(forward)?;
    Ok(())
}
