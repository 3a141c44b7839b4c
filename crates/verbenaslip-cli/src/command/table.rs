//! `verbenaslip table`.

mod apply;
mod file;
mod read;

use crate::args::{Table, TableAction};
use crate::client::Client;
use crate::error::Error;
use crate::exit::Exit;
use crate::terminal::Terminal;

/// Runs one command; `open` is called only by commands that contact an instance.
pub(crate) fn run(
    args: &Table,
    open: impl FnOnce() -> Result<Client, Error>,
    terminal: &mut Terminal<'_>,
) -> Result<Exit, Error> {
    match &args.action {
        TableAction::Show(show) => read::show(show, &mut open()?, terminal),
        TableAction::Check(check) => read::check(check, terminal),
        TableAction::Diff(diff) => read::diff(diff, &mut open()?, terminal),
        TableAction::Apply(apply) => apply::run(apply, &mut open()?, terminal),
        TableAction::History(_) => read::history(&mut open()?, terminal),
    }
}
