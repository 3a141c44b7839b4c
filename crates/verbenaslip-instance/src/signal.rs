//! Signals as messages.

use std::io;
use std::thread;

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::sync::mpsc::UnboundedSender;

/// Says what a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Stop in good order.
    Stop,
    /// Read the settings again.
    Reload,
}

/// Passes signals on; a second stop ends the process at once.
///
/// # Errors
///
/// Fails when signals can't be taken or no thread can be started.
pub fn watch(sender: UnboundedSender<Signal>) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let forward = move || {
        for signal in signals.forever() {
            let message = if signal == SIGHUP { Signal::Reload } else { Signal::Stop };
            // The receiver is gone only when the process ends.
            let _ = sender.send(message);
        }
    };
    thread::Builder::new().name("signals".into()).spawn(forward)?;
    Ok(())
}
