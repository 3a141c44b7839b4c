//! A raw reader of streams, which sees what a connection really carries.

#![allow(dead_code, reason = "each test uses a part")]

pub mod entry;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// How long a test waits for something that must come.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// Reads one answer as it comes.
pub struct Stream {
    reader: BufReader<TcpStream>,
    pub status: u16,
}

/// Tells what a stream carried.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Carried {
    pub ids: Vec<u32>,
    pub text: String,
    pub done: bool,
}

impl Stream {
    /// Sends a request and reads the answer's head.
    pub fn open(address: SocketAddr, method: &str, path: &str, head: &str, body: &str) -> Self {
        let mut stream = TcpStream::connect(address).expect("it accepts connections");
        stream.set_read_timeout(Some(PATIENCE)).expect("a timeout can be set");
        let length = body.len();
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nhost: lab\r\nconnection: close\r\n\
             content-length: {length}\r\n{head}\r\n{body}"
        )
        .expect("the request can be written");
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        reader.read_line(&mut line).expect("an answer begins");
        let status = line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
        while line.trim() != "" {
            line.clear();
            reader.read_line(&mut line).expect("the head goes on");
        }
        Self { reader, status }
    }

    /// Sets how long the next event may take.
    pub fn within(&self, limit: Duration) {
        self.reader.get_ref().set_read_timeout(Some(limit)).expect("a timeout can be set");
    }

    /// Returns the next token's position and text, or none at the end.
    pub fn token(&mut self, carried: &mut Carried) -> Option<u32> {
        let mut id = None;
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if let Some(text) = line.strip_prefix("id: ") {
                id = text.parse().ok();
            }
            let Some(data) = line.strip_prefix("data: ") else { continue };
            if data == "[DONE]" {
                carried.done = true;
                return None;
            }
            let Some(id) = id else { continue };
            let chunk: Value = serde_json::from_str(data).expect("a chunk is JSON");
            carried.ids.push(id);
            carried.text += chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
            return Some(id);
        }
    }

    /// Reads until a position has come.
    pub fn until(&mut self, position: u32) -> Carried {
        let mut carried = Carried::default();
        while let Some(id) = self.token(&mut carried) {
            if id == position {
                break;
            }
        }
        carried
    }

    /// Reads to the end.
    pub fn rest(&mut self) -> Carried {
        let mut carried = Carried::default();
        while self.token(&mut carried).is_some() {}
        carried
    }

    /// Reads the body as JSON, skipping the framing of chunks.
    pub fn json(mut self) -> Value {
        let mut body = String::new();
        self.reader.read_to_string(&mut body).ok();
        let start = body.find('{').unwrap_or(0);
        let end = body.rfind('}').map_or(0, |end| end + 1);
        serde_json::from_str(&body[start..end]).unwrap_or_default()
    }
}

/// Starts a run at an engine.
pub fn run(address: SocketAddr, request: u32, attempt: u32, body: &Value) -> Stream {
    run_with(address, request, attempt, 0, body)
}

/// Starts a run with a priority.
pub fn run_with(
    address: SocketAddr,
    request: u32,
    attempt: u32,
    priority: i32,
    body: &Value,
) -> Stream {
    let head = format!(
        "verbenaslip-request: {request:032x}\r\nverbenaslip-attempt: {attempt}\r\n\
         verbenaslip-priority: {priority}\r\n"
    );
    Stream::open(address, "POST", "/v1/chat/completions", &head, &body.to_string())
}

/// Reads a run again.
pub fn rejoin(address: SocketAddr, request: u32, attempt: u32, from: u32) -> Stream {
    let path = format!("/v1/streams/{request:032x}/{attempt}?from={from}");
    Stream::open(address, "GET", &path, "", "")
}

/// Sends JSON and returns the answer's.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Value {
    Stream::open(address, "POST", path, "", &body.to_string()).json()
}

/// Asks for JSON.
pub fn get(address: SocketAddr, path: &str) -> Value {
    Stream::open(address, "GET", path, "", "").json()
}

/// Returns the body of a request to the model `assistant`.
pub fn body(content: &str, tokens: u32) -> Value {
    json!({
        "model": "assistant",
        "stream": true,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": content}],
    })
}

/// Waits until something holds.
pub fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < PATIENCE, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
