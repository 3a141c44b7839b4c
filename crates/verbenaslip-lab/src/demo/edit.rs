//! Edits one row of the table, and asks which revision is in force.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::body::Bytes;
use tokio::runtime;

use super::layout::OPERATOR_KEY;
use crate::http::client::{self, Answer, Call};

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(8);

/// How long an edit may take to be in force everywhere, in milliseconds.
const WAIT: u64 = 6_000;

/// Tells of an edit.
pub(crate) struct Edited {
    /// The revision that it made.
    pub(crate) revision: u64,
    /// Whether it was in force everywhere when the answer came.
    pub(crate) in_force: bool,
}

/// Replaces one row by another and waits until that is in force everywhere.
pub(crate) fn row(admin: SocketAddr, from: &str, to: &str) -> io::Result<Edited> {
    let table = ask(admin, &get("/v1/table"))?;
    let base = revision(&table)?;
    let text = String::from_utf8_lossy(&table.body);
    if !text.contains(from) {
        return Err(io::Error::other("the table lacks the row"));
    }
    let edit = format!("demo-{}", crate::engine::core::unix());
    let mut call = get(&format!("/v1/table?base={base}&edit={edit}&wait_ms={WAIT}"));
    call.method = "POST";
    call.body = Bytes::from(text.replace(from, to));
    let answer = ask(admin, &call)?;
    let body = answer.json();
    let revision = body["revision"].as_u64().ok_or_else(|| refused(&answer))?;
    Ok(Edited { revision, in_force: body["in_force"] == true })
}

/// Returns the revision in force at an instance.
pub(crate) fn in_force(admin: SocketAddr) -> io::Result<u64> {
    revision(&ask(admin, &get("/v1/table"))?)
}

/// Says whether an instance is ready and knows the back ends.
pub(crate) fn serves(admin: SocketAddr, back_ends: &[String]) -> bool {
    let is_ready = ask(admin, &Call::get("/readyz")).is_ok_and(|answer| answer.status.is_success());
    let status = ask(admin, &get("/v1/status")).map(|answer| answer.json().to_string());
    is_ready && status.is_ok_and(|status| back_ends.iter().all(|name| status.contains(name)))
}

fn revision(answer: &Answer) -> io::Result<u64> {
    let revision = answer.header("verbenaslip-revision").and_then(|text| text.parse().ok());
    revision.ok_or_else(|| refused(answer))
}

fn refused(answer: &Answer) -> io::Error {
    let body = String::from_utf8_lossy(&answer.body);
    io::Error::other(format!("{}: {body}", answer.status))
}

fn get(path: &str) -> Call {
    Call::get(path).with("authorization", format!("Bearer {OPERATOR_KEY}"))
}

fn ask(admin: SocketAddr, call: &Call) -> io::Result<Answer> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    let answer = runtime.block_on(client::ask(admin, call, PATIENCE));
    answer.map_err(|failure| io::Error::other(format!("{admin}: {failure:?}")))
}
