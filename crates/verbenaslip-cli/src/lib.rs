//! The daemon and the operators' command-line program.
//!
//! [`args`] defines the command lines. [`run`] executes one command of `verbenaslip`. The modules
//! of [`command`] implement the commands: they call instances through [`client::Client`], parse
//! their [`answer`]s and write to the [`terminal::Terminal`]. Each [`error::Error`] has an
//! [`exit::Exit`] code. [`daemon`] implements `verbenaslipd`.

pub mod answer;
pub mod args;
pub mod client;
pub mod command;
pub mod daemon;
pub mod error;
pub mod exit;
pub mod terminal;

use crate::args::{Action, Operator};
use crate::client::Client;
use crate::error::Error;
use crate::exit::Exit;
use crate::terminal::Terminal;

/// Runs one command, prints any error to the terminal and returns the exit code.
pub fn run(args: &Operator, terminal: &mut Terminal<'_>) -> Exit {
    match dispatch(args, terminal) {
        Ok(exit) => exit,
        Err(error) => {
            terminal.report_error(&error);
            error.exit()
        }
    }
}

fn dispatch(args: &Operator, terminal: &mut Terminal<'_>) -> Result<Exit, Error> {
    let open = || Client::open(args);
    match &args.action {
        Action::Status(_) => command::status::run(&mut open()?, terminal),
        Action::Table(table) => command::table::run(table, open, terminal),
        Action::Audit(audit) => command::audit::run(audit, &mut open()?, terminal),
        Action::Drain(drain) => command::drain::run(drain, &mut open()?, terminal),
        Action::Explain(explain) => command::explain::run(explain, terminal),
        Action::Voters(voters) => command::voters::run(voters, &mut open()?, terminal),
    }
}
