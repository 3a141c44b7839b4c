//! Connections of our own to upstreams, one a call, never silently retried.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::http::request::Builder;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use verbenaslip_request::run::Cause;

use crate::traffic::reader::Stopper;

/// Holds one open connection to an upstream.
pub(crate) struct Link {
    sender: SendRequest<Full<Bytes>>,
    address: SocketAddr,
    _connection: Stopper,
}

/// Holds a whole answer of an upstream.
pub(crate) struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub bytes: Bytes,
}

/// Opens a connection; what fails here has sent nothing.
pub(crate) async fn open(address: SocketAddr, limit: Duration) -> Result<Link, Cause> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| Cause::Silent)?.map_err(|_| Cause::Closed)?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| Cause::Closed)?;
    let task = tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(Link { sender, address, _connection: Stopper(task.abort_handle()) })
}

impl Link {
    /// Puts a request together.
    pub(crate) fn request(
        &self,
        request: Builder,
        content: &str,
        body: Vec<u8>,
    ) -> Result<Request<Full<Bytes>>, Cause> {
        request
            .header(HOST, self.address.to_string())
            .header(CONTENT_TYPE, content)
            .body(Full::new(Bytes::from(body)))
            .map_err(|_| Cause::Error)
    }

    /// Sends a request and waits for the answer's head.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Cause> {
        self.sender.send_request(request).await.map_err(|_| Cause::Closed)
    }
}

/// Makes one short call with a JSON body and reads the answer whole.
pub(crate) async fn call(
    address: SocketAddr,
    request: Builder,
    body: Vec<u8>,
    limit: Duration,
    most: usize,
) -> Result<Reply, Cause> {
    let exchange = async {
        let mut link = open(address, limit).await?;
        let request = link.request(request, "application/json", body)?;
        let response = link.send(request).await?;
        let status = response.status();
        let bytes = collect(response.into_body(), most).await?;
        Ok(Reply { status, bytes })
    };
    tokio::time::timeout(limit, exchange).await.unwrap_or(Err(Cause::Silent))
}

/// Reads a body of so many bytes at most.
pub(crate) async fn collect(body: Incoming, most: usize) -> Result<Bytes, Cause> {
    let body = Limited::new(body, most).collect().await;
    body.map(|body| body.to_bytes()).map_err(|error| {
        let large = error.is::<http_body_util::LengthLimitError>();
        if large { Cause::Error } else { Cause::Cut }
    })
}

/// Starts a request without body.
pub(crate) fn get(path: impl AsRef<str>) -> Builder {
    Request::get(path.as_ref())
}

/// Starts a request with a body.
pub(crate) fn post(path: impl AsRef<str>) -> Builder {
    Request::post(path.as_ref())
}
