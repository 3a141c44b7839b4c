//! Command-line arguments of both programs.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;

use verbenaslip::settings::value::Value;

use crate::exit::Exit;

/// Look at and steer a verbenaslip deployment: its table, its instances and its voters.
///
/// Operators drive verbenaslip by one table with a row for each team and request class. Fetch it
/// with `table show --to FILE`, edit the file, look at `table diff FILE`, then `table apply FILE
/// --wait`. Options stand before the command: verbenaslip --admin 10.0.0.7:7001 status
#[derive(FromArgs, Debug)]
#[argh(
    example = "verbenaslip --admin 10.0.0.7:7001,10.0.1.7:7001 --key-file ~/operator.key status",
    note = "Without --admin and --key-file the environment's VERBENASLIP_ADMIN and VERBENASLIP_KEY_FILE count.",
    error_code(0, "It is done."),
    error_code(1, "Refused, or another edit came first; nothing was changed."),
    error_code(2, "The command line was not understood; nothing was tried."),
    error_code(3, "A file that was given has a problem; nothing was changed."),
    error_code(4, "No instance could be reached or had a quorum; nothing was changed."),
    error_code(5, "The answer was lost: the change may have been made; run the same again."),
    error_code(6, "The edit is accepted, but was not in force everywhere in time.")
)]
pub struct Operator {
    /// admin addresses of some instances, with commas between; the next one is tried when one fails
    #[argh(option)]
    pub admin: Option<String>,
    /// file that holds your operator's key; only you may be allowed to read it
    #[argh(option)]
    pub key_file: Option<PathBuf>,
    /// write results as JSON, for scripts
    #[argh(switch)]
    pub json: bool,
    #[argh(subcommand)]
    /// what to do
    pub action: Action,
}

/// Selects the command.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Action {
    /// Shows the deployment.
    Status(Status),
    /// Works with the table.
    Table(Table),
    /// Reads the audit trail.
    Audit(Audit),
    /// Stops an instance gracefully.
    Drain(Drain),
    /// Explains the results of requests from log lines.
    Explain(Explain),
    /// Changes the voters.
    Voters(Voters),
}

/// Say from instances' log lines which requests were late, refused or lost, by cause, route, team and
/// second; with --id, all that they say of one request, in order. Asks no instance.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// the request whose life is told
    #[argh(option)]
    pub id: Option<String>,
    /// files with log lines, of as many instances as may have served it
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// Show instances, voters, upstreams, rows and who is behind.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// Show, check, compare and apply the table.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "table")]
pub struct Table {
    #[argh(subcommand)]
    /// what to do
    pub action: TableAction,
}

/// Selects the command on the table.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum TableAction {
    /// Fetches the table.
    Show(Show),
    /// Checks a file.
    Check(Check),
    /// Compares a file.
    Diff(Diff),
    /// Applies a file.
    Apply(Apply),
    /// Lists the edits.
    History(History),
}

/// Fetch the table as CSV.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// revision to fetch instead of the newest
    #[argh(option)]
    pub revision: Option<u64>,
    /// file to write; its revision goes to FILE.base, from which `apply` takes its base
    #[argh(option)]
    pub to: Option<PathBuf>,
}

/// Check a table file without asking any instance.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
pub struct Check {
    /// table file
    #[argh(positional)]
    pub file: PathBuf,
}

/// Show what a file would change.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub struct Diff {
    /// table file
    #[argh(positional)]
    pub file: PathBuf,
    /// revision to compare with instead of the newest
    #[argh(option)]
    pub base: Option<u64>,
    /// end with exit code 1 if anything differs
    #[argh(switch)]
    pub exit_code: bool,
}

/// Put a table file in force.
///
/// Of two edits with the same base exactly one wins; the other is told by whom it was beaten and
/// which rows differ. Run the same command again if its answer was lost: it is the same edit and is
/// made once. A file that changes nothing is no edit.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// table file
    #[argh(positional)]
    pub file: PathBuf,
    /// revision that the file was made from; without it FILE.base counts, else the newest
    #[argh(option)]
    pub base: Option<u64>,
    /// identity of the edit, such as a commit hash; without it one is derived from base and content
    #[argh(option)]
    pub edit: Option<String>,
    /// only check what would happen
    #[argh(switch)]
    pub dry: bool,
    /// wait until the edit is in force everywhere, and say for whom
    #[argh(switch)]
    pub wait: bool,
    /// how long to try and to wait, such as 30s
    #[argh(option, default = "Duration::from_secs(30)", from_str_fn(duration))]
    pub timeout: Duration,
}

/// List the accepted edits: revision, who, when, from which base.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct History {}

/// Read the audit trail: who asked for what, when, and what was answered.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// number of the first entry
    #[argh(option, default = "0")]
    pub since: u64,
}

/// Stop one instance gracefully: no new work, requests in progress are finished or handed over.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// name of the instance
    #[argh(positional)]
    pub instance: String,
    /// wait until it has left
    #[argh(switch)]
    pub wait: bool,
    /// how long to wait, such as 60s
    #[argh(option, default = "Duration::from_secs(60)", from_str_fn(duration))]
    pub timeout: Duration,
}

/// Change the set of voters, one at a time. Each must run and have a data folder.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "voters")]
pub struct Voters {
    #[argh(subcommand)]
    /// what to do
    pub action: VotersAction,
}

/// Selects the change of the voter set.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum VotersAction {
    /// Adds a voter.
    Add(Add),
    /// Removes a voter.
    Remove(Remove),
    /// Replaces a voter by another instance.
    Replace(Replace),
}

/// Make an instance a voter.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "add")]
pub struct Add {
    /// name of the instance
    #[argh(positional)]
    pub instance: String,
}

/// Take the vote from an instance.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "remove")]
pub struct Remove {
    /// name of the instance
    #[argh(positional)]
    pub instance: String,
}

/// Put one instance in the place of another, for example of a lost one.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "replace")]
pub struct Replace {
    /// name of the voter that goes
    #[argh(positional)]
    pub old: String,
    /// name of the instance that comes
    #[argh(positional)]
    pub new: String,
}

/// Run one verbenaslip instance.
///
/// SIGTERM or SIGINT stops it gracefully: it takes no new work, finishes or hands over requests in
/// progress and exits with 0. A second signal stops it at once.
#[derive(FromArgs, Debug)]
#[argh(
    example = "verbenaslipd --settings /etc/verbenaslip/entry-1.ini --check",
    error_code(0, "Stopped gracefully, or the settings are good."),
    error_code(1, "The drain time was over with requests in progress."),
    error_code(2, "The command line was not understood."),
    error_code(3, "The settings, or a file that they name, have a problem; it did not start."),
    error_code(4, "It could not start: an address is taken or the data folder can't be used."),
    error_code(5, "Stopped at once by a second signal, with requests in progress."),
    error_code(6, "Stopped by a fault of the program or of the disk.")
)]
pub struct Daemon {
    /// settings file (INI)
    #[argh(option)]
    pub settings: Option<PathBuf>,
    /// check the settings and the files that they name, list all problems, and do not start
    #[argh(switch)]
    pub check: bool,
    /// print the version
    #[argh(switch)]
    pub version: bool,
}

/// Parses a comma-separated list of admin addresses; returns `None` if any of them is invalid.
pub(crate) fn addresses(text: &str) -> Option<Vec<SocketAddr>> {
    text.split(',').map(|address| address.trim().parse().ok()).collect()
}

/// Parses a duration in the format of the settings file.
fn duration(text: &str) -> Result<Duration, String> {
    Duration::read(text).ok_or_else(|| format!("it must be {}", Duration::ALLOWED))
}

/// Parses the process's command line and prints help to standard output, errors to standard error.
///
/// # Errors
///
/// Returns the exit code if the process must end: after a help request or an invalid command line.
pub fn parse<T: FromArgs>(name: &str) -> Result<T, Exit> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    T::from_args(&[name], &args).map_err(|early| match early.status {
        Ok(()) => {
            println!("{}", early.output);
            Exit::Done
        }
        Err(()) => {
            eprintln!("{}\nRun `{name} --help` for what can be typed.", early.output);
            Exit::Usage
        }
    })
}
