//! An entry instance that answers by a script, one step a connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::{Value, json};
use verbenaslip_lab::text;

/// Says how one connection is answered.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The whole stream, after the last event that the caller has.
    Whole,
    /// The stream up to a position, and then the connection closes.
    Cut(u32),
    /// The whole stream, in which a position comes twice.
    Double(u32),
    /// The whole stream of another request.
    Mixed,
    /// Not run; come back at once.
    Refuse,
    /// Not run; for good.
    RefuseForGood,
    /// It may have run.
    Unknown,
    /// The stream up to a position, and then it may have run.
    UnknownAfter(u32),
    /// Not understood.
    Error,
    /// The connection closes without an answer.
    Close,
}

/// Holds the heads of all requests that came.
pub type Heads = Arc<Mutex<Vec<String>>>;

/// Starts an entry instance that answers by the steps, the last one for good.
pub fn spawn(steps: &'static [Step]) -> (SocketAddr, Heads) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let heads = Heads::default();
    let kept = heads.clone();
    thread::spawn(move || {
        for (index, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { return };
            let step = steps[index.min(steps.len() - 1)];
            let kept = kept.clone();
            thread::spawn(move || answer(stream, step, &kept));
        }
    });
    (address, heads)
}

fn answer(mut stream: TcpStream, step: Step, heads: &Heads) {
    let (head, body) = read(&stream);
    heads.lock().expect("no holder panics").push(head.clone());
    let from = header(&head, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let limit = u32::try_from(body["max_tokens"].as_u64().unwrap_or(0)).expect("few tokens");
    let seed = text::seed(&text::prompt(&body));
    let reply = match step {
        Step::Whole => stream_of(seed, from, limit) + DONE,
        Step::Cut(to) => stream_of(seed, from, to),
        Step::Double(at) => stream_of(seed, from, at) + &stream_of(seed, at - 1, limit) + DONE,
        Step::Mixed => stream_of(seed + 1, from, limit) + DONE,
        Step::Refuse => refusal("retry-after-ms: 1\r\n"),
        Step::RefuseForGood => refusal(""),
        Step::Unknown => error(504, "verbenaslip-outcome: unknown\r\n", "outcome_unknown"),
        Step::UnknownAfter(to) => {
            let error = json!({"error": {"type": "outcome_unknown", "code": "upstream_lost"}});
            stream_of(seed, from, to) + &format!("event: error\ndata: {error}\n\n")
        }
        Step::Error => error(400, "", "invalid_request_error"),
        Step::Close => return,
    };
    let reply = if reply.starts_with("HTTP") { reply } else { OK.to_owned() + &reply };
    stream.write_all(reply.as_bytes()).ok();
}

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

const DONE: &str = "data: [DONE]\n\n";

fn stream_of(seed: u64, from: u32, to: u32) -> String {
    let events = (from + 1..=to).map(|id| {
        let chunk = json!({"choices": [{"delta": {"content": text::token(seed, id)}}]});
        format!("id: {id}\ndata: {chunk}\n\n")
    });
    events.collect()
}

fn refusal(headers: &str) -> String {
    error(503, &format!("verbenaslip-outcome: not-run\r\n{headers}"), "not_run")
}

fn error(status: u16, headers: &str, kind: &str) -> String {
    let body = json!({"error": {"type": kind, "code": "test"}}).to_string();
    let length = body.len();
    format!("HTTP/1.1 {status} Error\r\ncontent-length: {length}\r\n{headers}\r\n{body}")
}

fn read(stream: &TcpStream) -> (String, Value) {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).unwrap_or(0) == 0 {
            return (head, Value::Null);
        }
    }
    let length = header(&head, "content-length").and_then(|length| length.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok();
    (head, serde_json::from_slice(&body).unwrap_or_default())
}

/// Returns a header's value.
pub fn header(head: &str, name: &str) -> Option<String> {
    let line = head.lines().find(|line| line.to_lowercase().starts_with(&format!("{name}:")))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}
