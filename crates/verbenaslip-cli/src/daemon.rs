//! `verbenaslipd`, the daemon that runs one instance.
//!
//! [`run`] reads the settings, starts the instance and waits for its end; [`check`] only validates.
//! Signal handlers are installed before the start, so that an early signal stops the instance, too.

mod check;

use std::io;
use std::panic;
use std::process;
use std::thread;

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use verbenaslip::event::{Event, logger};
use verbenaslip::server::{Ended, Error, Stopper};
use verbenaslip::{Server, settings::Settings};
use verbenaslip_replica::storage::Error as StorageError;

use crate::args::Daemon;
use crate::exit::DaemonExit;

pub use self::check::check;

/// The name of the thread that runs the state machine.
const CONTROL_THREAD: &str = "control";

/// Runs the daemon as the command line says and returns its exit code.
pub fn run(args: &Daemon) -> DaemonExit {
    if args.version {
        println!("verbenaslipd {}", env!("CARGO_PKG_VERSION"));
        return DaemonExit::Graceful;
    }
    let Some(path) = &args.settings else {
        eprintln!("verbenaslipd: --settings is missing: name the settings file");
        return DaemonExit::Usage;
    };
    let settings = match check(path) {
        Ok(settings) => settings,
        Err(findings) if args.check => {
            eprintln!("{findings}");
            return DaemonExit::Settings;
        }
        Err(findings) => {
            findings.events().for_each(|event| print_event(&event));
            return DaemonExit::Settings;
        }
    };
    if args.check {
        println!("{}: good", path.display());
        return DaemonExit::Graceful;
    }
    start(&settings)
}

/// Runs the instance until it is stopped.
fn start(settings: &Settings) -> DaemonExit {
    let signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => {
            return report_start_failure(settings, &format!("signals can't be taken: {error}"));
        }
    };
    if let Err(error) = logger::open(&settings.log, &settings.instance.name) {
        return report_start_failure(settings, &error.to_string());
    }
    report_panics();
    let server = match Server::open(settings) {
        Ok(server) => server,
        Err(error) => return report_server_error(settings, &error),
    };
    if let Err(error) = handle_signals(signals, server.stopper()) {
        return report_start_failure(
            settings,
            &format!("the thread for signals can't be started: {error}"),
        );
    }
    match server.wait() {
        Ended::Drained => DaemonExit::Graceful,
        Ended::TimedOut => DaemonExit::TimedOut,
        Ended::DiskFailed | Ended::ThreadLost => DaemonExit::Fault,
    }
}

/// Starts a thread that stops the instance at the first signal and exits the process at the second.
fn handle_signals(mut signals: Signals, stopper: Stopper) -> io::Result<()> {
    let handle = move || {
        for (count, _) in signals.forever().enumerate() {
            if count == 0 {
                stopper.stop();
                continue;
            }
            Event::StoppedAtOnce {}.log();
            process::exit(DaemonExit::AtOnce as i32);
        }
    };
    thread::Builder::new().name("signals".into()).spawn(handle)?;
    Ok(())
}

/// Installs a panic hook that logs each panic and ends the process if the control thread panics.
///
/// Without its control thread an instance would accept connections and never answer, so callers
/// would wait until their deadlines. The platform restarts a process that has ended.
fn report_panics() {
    let previous = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        previous(info);
        let thread = thread::current();
        let name = thread.name().unwrap_or("unnamed");
        Event::ThreadLost { thread: name.into(), cause: info.to_string().into() }.log();
        if name == CONTROL_THREAD {
            process::exit(DaemonExit::Fault as i32);
        }
    }));
}

/// Reports why the instance did not start and returns the exit code.
fn report_server_error(settings: &Settings, error: &Error) -> DaemonExit {
    let cause = || error.to_string().into();
    let (event, exit) = match error {
        Error::Keys(_) | Error::TableFile(..) | Error::Table(..) | Error::Secret(_) => {
            (Event::SettingsRefused { problem: cause() }, DaemonExit::Settings)
        }
        Error::Listen(listener, address, error) => {
            let cause = error.to_string().into();
            let listener = (*listener).into();
            (Event::ListenFailed { listener, address: *address, cause }, DaemonExit::NotStarted)
        }
        Error::Folder(StorageError::Damaged { file, offset, what }) => {
            let (file, offset, cause) = (file.clone(), *offset, what.clone());
            (Event::LogDamaged { file, offset, cause }, DaemonExit::NotStarted)
        }
        Error::Folder(_) | Error::Thread(_) => {
            (Event::StartFailed { cause: cause() }, DaemonExit::NotStarted)
        }
    };
    report(settings, &event);
    exit
}

fn report_start_failure(settings: &Settings, cause: &str) -> DaemonExit {
    report(settings, &Event::StartFailed { cause: cause.into() });
    DaemonExit::NotStarted
}

/// Prints an event to standard error, and also writes it to the log if the log goes to a folder.
fn report(settings: &Settings, event: &Event) {
    if settings.log.folder.is_some() {
        event.log();
    }
    print_event(event);
}

fn print_event(event: &Event) {
    eprintln!("verbenaslipd: V{} {event}", event.entry().number);
}
