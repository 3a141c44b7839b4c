//! An upstream that does exactly what a script says.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::thread;

use crossbeam::channel::{Receiver, Sender, unbounded};
use verbenaslip_base::attempt::Attempt;

const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";

/// Says what the upstream does next on a connection.
#[derive(Clone, Debug)]
pub enum Act {
    /// Writes bytes.
    Say(String),
    /// Writes bytes that may be no text.
    Bytes(Vec<u8>),
    /// Writes the head of an event stream.
    Head,
    /// Writes tokens of a run, from a position to one.
    Tokens(Attempt, u32, u32),
    /// Writes the chunk with the reason.
    Finish(Attempt),
    /// Writes the end mark and the end of the body.
    Done,
    /// Goes on when the test says so.
    Pause,
    /// Keeps the connection open and silent.
    Silence,
    /// Repeats bytes until the other end closes.
    Endless(String),
}

/// Runs the scripts, one a connection in the order of connections.
pub struct Script {
    /// Where it listens.
    pub address: SocketAddr,
    /// The requests that came, whole.
    pub requests: Receiver<String>,
    /// Ends a pause.
    pub go: Sender<()>,
}

impl Script {
    /// Starts an upstream with a script for each connection.
    pub fn spawn(scripts: Vec<Vec<Act>>) -> Self {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        let address = listener.local_addr().expect("the listener has an address");
        let (sender, requests) = unbounded();
        let (go, gone) = unbounded();
        thread::spawn(move || {
            for script in scripts {
                let Ok((stream, _)) = listener.accept() else { return };
                let (sender, gone) = (sender.clone(), gone.clone());
                thread::spawn(move || play(stream, &script, &sender, &gone));
            }
        });
        Self { address, requests, go }
    }

    /// Returns an address that refuses connections.
    pub fn refusing() -> SocketAddr {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port is free");
        listener.local_addr().expect("the listener has an address")
    }
}

fn play(mut stream: TcpStream, script: &[Act], requests: &Sender<String>, go: &Receiver<()>) {
    let Some(request) = request(&mut stream) else { return };
    let _ = requests.send(request);
    for act in script {
        let text = match act {
            Act::Say(text) => text.clone(),
            Act::Bytes(bytes) => {
                let _ = stream.write_all(bytes);
                continue;
            }
            Act::Head => HEAD.into(),
            Act::Tokens(attempt, from, to) => (*from..=*to).map(|at| token(*attempt, at)).collect(),
            Act::Finish(attempt) => finish(*attempt),
            Act::Done => done(),
            Act::Pause => {
                let _ = go.recv();
                continue;
            }
            Act::Endless(text) => {
                let block = text.repeat((16 << 10) / text.len() + 1);
                while stream.write_all(block.as_bytes()).is_ok() {}
                return;
            }
            Act::Silence => {
                // Ends when the other end closes.
                let _ = stream.read(&mut [0]);
                continue;
            }
        };
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// Returns a whole answer of so many tokens.
pub fn stream(attempt: Attempt, tokens: u32) -> String {
    let tokens: String = (1..=tokens).map(|at| token(attempt, at)).collect();
    format!("{HEAD}{tokens}{}{}", finish(attempt), done())
}

fn done() -> String {
    format!("{}0\r\n\r\n", chunk("data: [DONE]\n\n"))
}

/// Returns the text of a token.
pub fn word(position: u32) -> String {
    format!("w{position} ")
}

/// Returns the text of tokens from 1.
pub fn words(to: u32) -> String {
    (1..=to).map(word).collect()
}

/// Returns one token's event in a chunk of the body.
pub fn token(attempt: Attempt, position: u32) -> String {
    let (request, number, text) = (attempt.request, attempt.number, word(position));
    chunk(&format!(
        "id: {position}\ndata: {{\"request\":\"{request}\",\"attempt\":{number},\
         \"position\":{position},\"tokens\":1,\"choices\":[{{\"index\":0,\
         \"delta\":{{\"content\":\"{text}\"}},\"finish_reason\":null}}]}}\n\n"
    ))
}

fn finish(attempt: Attempt) -> String {
    let (request, number) = (attempt.request, attempt.number);
    chunk(&format!(
        "data: {{\"request\":\"{request}\",\"attempt\":{number},\
         \"choices\":[{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"stop\"}}]}}\n\n"
    ))
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Reads one request whole.
fn request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let length = name.eq_ignore_ascii_case("content-length");
                length.then(|| value.trim().parse().ok()).flatten()
            });
            if body.len() >= length.unwrap_or(0) {
                return Some(text);
            }
        }
        let read = stream.read(&mut buffer).ok().filter(|read| *read > 0)?;
        bytes.extend_from_slice(&buffer[..read]);
    }
}
