//! Asks over HTTP/1.1, with one connection a request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// Holds a request to be sent.
#[derive(Clone, Default)]
pub(crate) struct Call {
    pub(crate) method: &'static str,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
}

impl Call {
    /// Asks for a path.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self { method: "GET", path: path.into(), ..Self::default() }
    }

    /// Sends JSON to a path.
    pub(crate) fn post(path: impl Into<String>, body: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default().into();
        let headers = vec![("content-type", "application/json".to_owned())];
        Self { method: "POST", path: path.into(), headers, body }
    }

    /// Adds a header.
    pub(crate) fn with(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

/// Holds an answer that has been read whole.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Answer {
    /// Returns a header's text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the body as JSON, or null.
    pub(crate) fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Says how a request failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No connection was made, so nothing was sent.
    Refused,
    /// The connection broke or the answer was no HTTP.
    Broken,
    /// Nothing came in time.
    Silent,
}

/// Reads an answer as it comes; dropping it closes the connection.
pub(crate) struct Flow {
    pub(crate) response: Response<Incoming>,
    driver: JoinHandle<()>,
}

impl Flow {
    /// Returns the next bytes, none at the end.
    pub(crate) async fn next(&mut self, limit: Duration) -> Result<Option<Bytes>, Failure> {
        loop {
            let frame = timeout(limit, self.response.body_mut().frame()).await;
            match frame.map_err(|_| Failure::Silent)? {
                None => return Ok(None),
                Some(Err(_)) => return Err(Failure::Broken),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Reads the rest.
    pub(crate) async fn whole(mut self, limit: Duration) -> Result<Answer, Failure> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next(limit).await? {
            body.extend_from_slice(&bytes);
        }
        let status = self.response.status();
        let headers = std::mem::take(self.response.headers_mut());
        Ok(Answer { status, headers, body: body.into() })
    }
}

impl Drop for Flow {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Sends a request and returns as soon as the answer's head is there.
pub(crate) async fn open(
    address: SocketAddr,
    call: &Call,
    limit: Duration,
) -> Result<Flow, Failure> {
    open_within(address, call, limit, limit).await
}

/// Does the same with a limit of its own for the connection.
pub(crate) async fn open_within(
    address: SocketAddr,
    call: &Call,
    connect: Duration,
    limit: Duration,
) -> Result<Flow, Failure> {
    let connected = timeout(connect, TcpStream::connect(address)).await;
    let stream = connected.map_err(|_| Failure::Refused)?.map_err(|_| Failure::Refused)?;
    stream.set_nodelay(true).ok();
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|_| Failure::Broken)?;
    let driver = tokio::spawn(async move {
        connection.await.ok();
    });
    let request = request(address, call).map_err(|_| Failure::Broken)?;
    let answer = timeout(limit, sender.send_request(request)).await;
    match answer {
        Ok(Ok(response)) => Ok(Flow { response, driver }),
        Ok(Err(_)) => {
            driver.abort();
            Err(Failure::Broken)
        }
        Err(_) => {
            driver.abort();
            Err(Failure::Silent)
        }
    }
}

/// Sends a request and reads the whole answer; `limit` bounds each silence.
pub(crate) async fn ask(
    address: SocketAddr,
    call: &Call,
    limit: Duration,
) -> Result<Answer, Failure> {
    open(address, call, limit).await?.whole(limit).await
}

fn request(address: SocketAddr, call: &Call) -> io::Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method)
        .uri(call.path.as_str())
        .header("host", address.to_string());
    for (name, value) in &call.headers {
        builder = builder.header(*name, value);
    }
    builder.body(Full::new(call.body.clone())).map_err(io::Error::other)
}
