//! A scripted instance on loopback: answers what it is told and remembers what it was asked.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// What the stand-in does with one request.
#[derive(Clone)]
pub enum Step {
    /// Answers with status, headers and body.
    Answer(u16, &'static str, String),
    /// Reads the request and closes the connection.
    Disconnect,
    /// Answers a head that promises more than comes.
    TruncatedBody,
}

/// Answers with JSON.
pub fn json(status: u16, body: &str) -> Step {
    Step::Answer(status, "", body.to_owned())
}

/// Answers with a table.
pub fn table(revision: u64, csv: &str) -> Step {
    let headers = match revision {
        4 => "Verbenaslip-Revision: 4\r\n",
        5 => "Verbenaslip-Revision: 5\r\n",
        _ => "Verbenaslip-Revision: 6\r\n",
    };
    Step::Answer(200, headers, csv.to_owned())
}

/// One scripted instance.
pub struct ScriptedInstance {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
}

impl ScriptedInstance {
    /// Listens and takes the steps in order; beyond the last it hangs up.
    pub fn spawn(steps: impl Into<Vec<Step>>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("a bound listener has an address");
        let requests = Arc::new(Mutex::new(Vec::new()));
        let (recorded, mut steps) = (requests.clone(), steps.into().into_iter());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Some(request) = read(&stream) else { continue };
                recorded.lock().expect("no test panics with the lock").push(request);
                write(&stream, steps.next().unwrap_or(Step::Disconnect));
            }
        });
        Self { address, requests }
    }

    /// Returns method, path and body of each request.
    pub fn requests(&self) -> Vec<String> {
        self.requests.lock().expect("no test panics with the lock").clone()
    }
}

/// Returns an address at which nothing listens.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    listener.local_addr().expect("a bound listener has an address")
}

/// Reads one request; none for a connection that sends nothing.
fn read(stream: &TcpStream) -> Option<String> {
    let mut reader = BufReader::new(stream);
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|count| *count > 0)?;
    let (mut length, mut key) = (0, "without key");
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let line = line.trim_end().to_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().expect("a length is a number");
        }
        if line == "authorization: bearer key-of-anna-00001" {
            key = "with key";
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let request = first.trim_end().trim_end_matches(" HTTP/1.1");
    Some(format!("{request} {key} {}", String::from_utf8_lossy(&body)).trim_end().to_owned())
}

fn write(mut stream: &TcpStream, step: Step) {
    let text = match step {
        Step::Answer(status, headers, body) => {
            format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
        }
        Step::Disconnect => return,
        Step::TruncatedBody => "HTTP/1.1 200 X\r\nContent-Length: 100\r\n\r\n{\"rev".to_owned(),
    };
    let _ = stream.write_all(text.as_bytes());
}
