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
use verbenaslip_replica::storage::Error as Folder;

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
        Err(findings) if args.check => {
            eprintln!("{findings}");
            return Stop::Settings;
        }
        Err(findings) => {
            findings.events().for_each(|event| say(&event));
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
        Err(error) => return failed(settings, &format!("signals can't be taken: {error}")),
    };
    if let Err(error) = logger::open(&settings.log, &settings.instance.name) {
        return failed(settings, &error.to_string());
    }
    report_panics();
    let server = match Server::open(settings) {
        Ok(server) => server,
        Err(error) => return refused(settings, &error),
    };
    if let Err(error) = watch(signals, server.stopper()) {
        return failed(settings, &format!("the thread for signals can't be started: {error}"));
    }
    match server.wait() {
        Ended::Drained => Stop::Graceful,
        Ended::TimedOut => Stop::TimedOut,
        Ended::DiskFailed | Ended::ThreadLost => Stop::Fault,
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
fn refused(settings: &Settings, error: &Error) -> Stop {
    let cause = || error.to_string().into();
    let (event, stop) = match error {
        Error::Keys(_) | Error::TableFile(..) | Error::Table(..) | Error::Secret(_) => {
            (Event::SettingsRefused { problem: cause() }, Stop::Settings)
        }
        Error::Listen(listener, address, error) => {
            let cause = error.to_string().into();
            let listener = (*listener).into();
            (Event::ListenFailed { listener, address: *address, cause }, Stop::NotStarted)
        }
        Error::Folder(Folder::Damaged { file, offset, what }) => {
            let (file, offset, cause) = (file.clone(), *offset, what.clone());
            (Event::LogDamaged { file, offset, cause }, Stop::NotStarted)
        }
        Error::Folder(_) | Error::Thread(_) => {
            (Event::StartFailed { cause: cause() }, Stop::NotStarted)
        }
    };
    tell(settings, &event);
    stop
}

fn failed(settings: &Settings, cause: &str) -> Stop {
    tell(settings, &Event::StartFailed { cause: cause.into() });
    Stop::NotStarted
}

/// Tells whoever started the daemon, and the log where that is another place.
fn tell(settings: &Settings, event: &Event) {
    if settings.log.folder.is_some() {
        event.log();
    }
    say(event);
}

fn say(event: &Event) {
    eprintln!("verbenaslipd: V{} {event}", event.entry().number);
}
