//! The operators' command-line program.

use std::io::{stderr, stdout};
use std::process::ExitCode;

use verbenaslip_cli::args::{Operator, parse};
use verbenaslip_cli::run;
use verbenaslip_cli::terminal::Terminal;

fn main() -> ExitCode {
    let args: Operator = match parse("verbenaslip") {
        Ok(args) => args,
        Err(exit) => return exit.into(),
    };
    let (mut out, mut remarks) = (stdout().lock(), stderr().lock());
    run(&args, &mut Terminal::new(&mut out, &mut remarks, args.json)).into()
}
