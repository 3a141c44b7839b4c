//! The command line: each stand-in as a process of its own, and the load tool.

mod ask;
mod call;
mod process;
mod stand;
mod values;

use std::process::ExitCode;

use argh::FromArgs;

pub use self::values::Error;
use crate::demo;

/// Runs stand-ins for model engines, plain services, the cloud and the weight store, and the
/// callers' load tool. A stand-in prints `ready {...}` with its address once it listens, and runs
/// until it is terminated. Exit codes: 0 done, 1 something does not hold, 2 bad settings or input.
#[derive(FromArgs)]
pub struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(stand::Engine),
    Service(stand::Service),
    Cloud(stand::Cloud),
    Weights(stand::Weights),
    Load(call::Load),
    Judge(call::Judge),
    Reclaim(ask::Reclaim),
    Ready(ask::Ready),
    Fault(ask::Fault),
    Demo(Demo),
}

/// See the whole system at work in one process: callers, a stream that moves, an edit of the table.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {}

/// Exit code when something does not hold.
const BROKEN: u8 = 1;

/// Exit code for bad settings or input.
const BAD: u8 = 2;

/// Runs the command.
pub fn run(arguments: &Arguments) -> ExitCode {
    let result = match &arguments.command {
        Command::Engine(command) => command.run(),
        Command::Service(command) => command.run(),
        Command::Cloud(command) => command.run(),
        Command::Weights(command) => command.run(),
        Command::Load(command) => command.run(),
        Command::Judge(command) => command.run(),
        Command::Reclaim(command) => command.run(),
        Command::Ready(command) => command.run(),
        Command::Fault(command) => command.run(),
        Command::Demo(_) => demo::run().map_err(|error| Error::failed("demo", error)),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(BROKEN),
        Err(error) => {
            eprintln!("verbenaslip-lab: {error}");
            ExitCode::from(BAD)
        }
    }
}
