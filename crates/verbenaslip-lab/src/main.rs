//! The command line of the stand-ins and the load tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    verbenaslip_lab::command::run(&argh::from_env())
}
