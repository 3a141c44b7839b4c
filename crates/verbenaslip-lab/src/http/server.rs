//! Answers HTTP/1.1 on one listener.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Instant;

use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use hyper::service::service_fn;
use hyper::{Method, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::body::Body;
use super::connection::Silencer;

/// The most bytes that a stand-in reads of one body.
const BODY_LIMIT: usize = 64 << 20;

/// Holds a request that has been read whole.
pub(crate) struct Request {
    pub(crate) arrival: Instant,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Request {
    /// Reads the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|error| {
            Reply::error(StatusCode::BAD_REQUEST, "invalid_request_error", &error.to_string())
        })
    }

    /// Returns a header's text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns a number from the query, if it is there.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(key, _)| *key == name)?;
        value.parse().ok()
    }

    /// Returns the path's parts.
    pub(crate) fn parts(&self) -> Vec<&str> {
        self.path.trim_start_matches('/').split('/').collect()
    }
}

/// Holds an answer.
pub(crate) struct Reply(Box<Response<Body>>);

impl Reply {
    /// Answers with JSON.
    pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Self {
        let bytes = serde_json::to_vec(value).unwrap_or_default();
        Self::bytes(status, "application/json", bytes)
    }

    /// Answers with bytes of the given type.
    pub(crate) fn bytes(status: StatusCode, content: &'static str, bytes: Vec<u8>) -> Self {
        let mut response = Response::new(Body::Whole(Some(bytes.into())));
        *response.status_mut() = status;
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content));
        Self(Box::new(response))
    }

    /// Answers with nothing but the status.
    pub(crate) fn empty(status: StatusCode) -> Self {
        let mut response = Response::new(Body::Whole(None));
        *response.status_mut() = status;
        Self(Box::new(response))
    }

    /// Answers with an event stream.
    pub(crate) fn flow(flow: mpsc::Receiver<io::Result<Bytes>>) -> Self {
        let mut response = Response::new(Body::Flow(flow));
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
        Self(Box::new(response))
    }

    /// Answers with an error in the callers' shape.
    pub(crate) fn error(status: StatusCode, code: &str, message: &str) -> Self {
        Self::json(
            status,
            &json!({"error": {"message": message, "type": code, "code": code, "hint": null}}),
        )
    }

    /// Answers that the request was not run.
    pub(crate) fn not_run(code: &str) -> Self {
        let error =
            json!({"error": {"message": "not run", "type": "not_run", "code": code, "hint": null}});
        Self::json(StatusCode::SERVICE_UNAVAILABLE, &error).with("verbenaslip-outcome", "not-run")
    }

    /// Answers that the path is not known.
    pub(crate) fn missing() -> Self {
        Self::error(StatusCode::NOT_FOUND, "not_found", "nothing is known under this path")
    }

    /// Returns the answer as the server sends it.
    fn whole(self) -> Response<Body> {
        *self.0
    }

    /// Adds a header.
    pub(crate) fn with(mut self, name: &'static str, value: &str) -> Self {
        if let Ok(value) = HeaderValue::from_str(value) {
            self.0.headers_mut().insert(HeaderName::from_static(name), value);
        }
        self
    }
}

/// Answers requests.
pub(crate) trait Service: Send + Sync + 'static {
    /// Answers one request.
    fn answer(self: Arc<Self>, request: Request) -> impl Future<Output = Reply> + Send;
}

/// Answers on the listener for good.
pub(crate) async fn serve<S: Service>(
    listener: TcpListener,
    silencer: Arc<Silencer>,
    service: Arc<S>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        stream.set_nodelay(true).ok();
        let line = TokioIo::new(silencer.wrap(stream));
        let service = service.clone();
        let answer = service_fn(move |request| respond(service.clone(), request));
        tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(line, answer));
    }
}

async fn respond<S: Service>(
    service: Arc<S>,
    incoming: hyper::Request<Incoming>,
) -> Result<Response<Body>, Infallible> {
    let (head, body) = incoming.into_parts();
    let Ok(body) = Limited::new(body, BODY_LIMIT).collect().await else {
        return Ok(
            Reply::error(StatusCode::BAD_REQUEST, "bad_body", "the body was not whole").whole()
        );
    };
    let request = Request {
        arrival: Instant::now(),
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body: body.to_bytes(),
    };
    Ok(service.answer(request).await.whole())
}
