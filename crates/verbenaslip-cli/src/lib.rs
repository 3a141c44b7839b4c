//! The daemon and the operators' command.
//!
//! [`args`] says what can be typed. [`run`] does one command of `verbenaslip`: each lives in
//! [`command`], speaks with instances through [`client::Client`], reads their [`answer`]s and
//! writes to the [`terminal::Terminal`]. What goes wrong is an [`error::Error`], which knows its
//! [`exit::Exit`] code. [`daemon`] is `verbenaslipd`.

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

/// Does one command and returns how the process ends; errors are written to the terminal.
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
