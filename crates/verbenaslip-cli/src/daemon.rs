//! `verbenaslipd`: one instance as a process.
//!
//! [`run`] reads the settings, starts the instance and waits for its end; [`check`] only looks for
//! problems. Signals are taken from before the start, so that one that comes early stops it too.

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

use crate::args::Daemon;
use crate::exit::Stop;

pub use self::check::check;

/// The name of the thread that owns the decisions.
const CONTROL: &str = "control";

/// Does what the command line says and returns how the process ends.
pub fn run(args: &Daemon) -> Stop {
    if args.version {
        println!("verbenaslipd {}", env!("CARGO_PKG_VERSION"));
        return Stop::Graceful;
    }
    let Some(path) = &args.settings else {
        eprintln!("verbenaslipd: --settings is missing: name the settings file");
        return Stop::Usage;
    };
    let settings = match check(path) {
        Ok(settings) => settings,
        Err(findings) => {
            eprintln!("{findings}");
            return Stop::Settings;
        }
    };
    if args.check {
        println!("{}: good", path.display());
        return Stop::Graceful;
    }
    start(&settings)
}

/// Runs the instance until it is stopped.
fn start(settings: &Settings) -> Stop {
    let signals = match Signals::new([SIGTERM, SIGINT]) {
        Ok(signals) => signals,
        Err(error) => return failed(&format!("signals can't be taken: {error}")),
    };
    if let Err(error) = logger::open(&settings.log) {
        return failed(&error.to_string());
    }
    report_panics();
    let server = match Server::open(settings) {
        Ok(server) => server,
        Err(error) => return refused(&error),
    };
    if let Err(error) = watch(signals, server.stopper()) {
        return failed(&format!("the thread for signals can't be started: {error}"));
    }
    match server.wait() {
        Ended::Drained => Stop::Graceful,
        Ended::TimedOut => Stop::TimedOut,
        Ended::DiskFailed => Stop::Fault,
    }
}

/// Stops the instance at the first signal and the process at the second.
fn watch(mut signals: Signals, stopper: Stopper) -> io::Result<()> {
    let watch = move || {
        for (count, _) in signals.forever().enumerate() {
            if count == 0 {
                stopper.stop();
                continue;
            }
            Event::StoppedAtOnce {}.log();
            process::exit(Stop::AtOnce as i32);
        }
    };
    thread::Builder::new().name("signals".into()).spawn(watch)?;
    Ok(())
}

/// Logs each panic, and ends the process when the control thread is lost.
///
/// Without its control thread an instance still takes connections and never answers, which shows as
/// callers that wait for their deadlines; the platform restarts a process that has ended.
fn report_panics() {
    let before = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        before(info);
        let thread = thread::current();
        let name = thread.name().unwrap_or("unnamed");
        Event::ThreadLost { thread: name.into(), cause: info.to_string().into() }.log();
        if name == CONTROL {
            process::exit(Stop::Fault as i32);
        }
    }));
}

/// Says why the instance did not start.
fn refused(error: &Error) -> Stop {
    eprintln!("verbenaslipd: {error}");
    match error {
        Error::Keys(_) | Error::TableFile(..) | Error::Table(..) | Error::Secret(..) => {
            Stop::Settings
        }
        Error::Folder(_) | Error::Listen(..) | Error::Thread(_) => Stop::NotStarted,
    }
}

fn failed(cause: &str) -> Stop {
    eprintln!("verbenaslipd: {cause}");
    Stop::NotStarted
}
