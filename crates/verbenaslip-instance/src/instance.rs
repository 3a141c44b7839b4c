//! Starts an instance in its configured role, and runs it until it ends.

use std::path::PathBuf;
use std::sync::Arc;

use displaydoc::Display;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::task::LocalSet;
use verbenaslip::settings::Invalid;
use verbenaslip_relay::dialect::Dialect;
use verbenaslip_relay::event_log;

use crate::core::Ports;
use crate::event;
use crate::settings::Settings;
use crate::{core, entry, metric, signal};

/// An instance whose settings have been read.
pub struct Instance {
    path: PathBuf,
    settings: Settings,
}

/// Reason why an instance did not start.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Settings(Invalid),
    /// the settings name neither [entry] nor [core]; write one of them
    NoRole,
    /// a thread can't be started: {0}
    Thread(std::io::Error),
    /// {0}
    Entry(entry::Error),
    /// {0}
    Core(core::Error),
}

impl std::error::Error for Error {}

impl Instance {
    /// Reads the settings of an instance.
    ///
    /// # Errors
    ///
    /// Returns all problems of the settings.
    pub fn open(path: impl Into<PathBuf>) -> Result<Self, Error> {
        let path = path.into();
        let settings = Settings::read(&path).map_err(Error::Settings)?;
        Ok(Self { path, settings })
    }

    /// Runs the instance on the current thread until it is stopped.
    ///
    /// # Errors
    ///
    /// Returns why the instance did not start.
    pub fn run(self, dialect: Arc<dyn Dialect>, ports: Ports) -> Result<(), Error> {
        event_log::start().map_err(Error::Thread)?;
        let (signal_sender, signals) = mpsc::unbounded_channel();
        signal::watch(signal_sender).map_err(Error::Thread)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(Error::Thread)?;
        let local = LocalSet::new();
        let result = local.block_on(&runtime, self.serve(dialect, ports, signals));
        event_log::emit(
            event::STOPPED,
            [("cause", json!(result.as_ref().err().map(ToString::to_string)))],
        );
        // Peers and callers need not wait for the log to see that the connections have ended.
        drop(local);
        drop(runtime);
        event_log::flush();
        result
    }

    async fn serve(
        self,
        dialect: Arc<dyn Dialect>,
        ports: Ports,
        signals: mpsc::UnboundedReceiver<signal::Signal>,
    ) -> Result<(), Error> {
        let Self { path, settings } = self;
        if let Err(problem) = metric::start(settings.metrics) {
            // Serving callers without metrics is better than not serving them.
            event_log::emit(event::METRICS_UNAVAILABLE, [("problem", json!(problem))]);
        }
        event_log::emit(
            event::STARTED,
            [
                ("instance", json!(settings.name.as_str())),
                ("zone", json!(settings.zone.as_str())),
                ("peers", json!(settings.peers.to_string())),
                ("version", json!(env!("CARGO_PKG_VERSION"))),
            ],
        );
        let reload = move || {
            let settings = Settings::read(&path);
            let problem = settings.as_ref().err().map(ToString::to_string);
            event_log::emit(event::RELOADED, [("problem", json!(problem))]);
            settings.ok()
        };
        match (settings.entry.clone(), settings.core.clone()) {
            (Some(entry), _) => {
                let result = entry::run(settings, entry, dialect, signals, reload).await;
                result.map_err(Error::Entry)
            }
            (None, Some(core)) => {
                core::run(settings, core, ports, signals, reload).await.map_err(Error::Core)
            }
            (None, None) => Err(Error::NoRole),
        }
    }
}
