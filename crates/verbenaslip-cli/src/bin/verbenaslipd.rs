//! The daemon, which runs one instance.

use std::process::ExitCode;

use verbenaslip_cli::args::{Daemon, parse};
use verbenaslip_cli::daemon::run;

fn main() -> ExitCode {
    match parse::<Daemon>("verbenaslipd") {
        Ok(args) => run(&args).into(),
        Err(exit) => exit.into(),
    }
}
