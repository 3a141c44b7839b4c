//! `verbenaslip explain`.
//!
//! [`line`] parses log lines, [`tally`] counts the results of requests.

mod line;
mod tally;

use std::fs;
use std::path::Path;

use serde_json::json;

use self::line::Line;
use self::tally::Tally;
use crate::args::Explain;
use crate::error::Error;
use crate::exit::Exit;
use crate::terminal::Terminal;

/// Reads log files and prints a summary of all requests, or the log lines of one request.
pub(crate) fn run(args: &Explain, terminal: &mut Terminal<'_>) -> Result<Exit, Error> {
    if args.files.is_empty() {
        return Err(Error::Usage("name at least one file with log lines".into()));
    }
    let mut lines = Vec::new();
    let mut skipped = 0;
    for file in &args.files {
        let text = read(file)?;
        let file_name = file.display().to_string();
        for raw in text.lines().filter(|raw| !raw.trim().is_empty()) {
            match Line::parse(raw, &file_name) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
        }
    }
    lines.sort_by_key(|line| line.at);
    if skipped > 0 {
        terminal.remark(&format!("{skipped} lines are no log lines and were passed over"));
    }
    match &args.id {
        Some(id) => show_request(id, &lines, terminal),
        None => show_summary(&lines, terminal),
    }
}

/// Prints all log lines about one request in order of time.
///
/// This includes the requests of callers that took the same stream up, crash and quarantine events
/// of other requests with the same content or with the prompt part for which it was held back, and
/// limits of upstreams and lost paths to them at the same entry, since a request that was refused
/// or detoured for these has no such lines of its own.
fn show_request(id: &str, lines: &[Line], terminal: &mut Terminal<'_>) -> Result<Exit, Error> {
    let mentions: Vec<&Line> = lines.iter().filter(|line| line.mentions(id)).collect();
    let contents: Vec<&str> = mentions.iter().flat_map(|line| line.contents()).collect();
    let streams: Vec<&str> = mentions.iter().filter_map(|line| line.resumes()).collect();
    let is_related = |line: &&Line| {
        line.mentions(id)
            || streams.iter().any(|stream| line.mentions(stream))
            || contents.iter().any(|content| line.is_about_content(content))
            || mentions.iter().any(|ended| line.explains(ended))
    };
    let related: Vec<&Line> = lines.iter().filter(is_related).collect();
    if related.is_empty() {
        let cause = format!("no line of these files mentions the request {id}");
        return Err(Error::Usage(cause));
    }
    let object = json!(related.iter().map(|line| line.to_json()).collect::<Vec<_>>());
    let text: Vec<String> = related.iter().map(|line| line.format()).collect();
    terminal.result(&object, &text.join("\n"))?;
    Ok(Exit::Done)
}

fn show_summary(lines: &[Line], terminal: &mut Terminal<'_>) -> Result<Exit, Error> {
    let mut tally = Tally::default();
    lines.iter().filter_map(Line::ended).for_each(|ended| tally.add(&ended));
    terminal.result(&tally.to_json(), &tally.format())?;
    Ok(Exit::Done)
}

fn read(file: &Path) -> Result<String, Error> {
    let file_error = |cause: String| Error::File { file: file.display().to_string(), cause };
    let bytes = fs::read(file).map_err(|error| file_error(error.to_string()))?;
    // A truncated log may end within a UTF-8 character.
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}
