//! The HTTP side of the admin address.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crossbeam::channel::{Sender, bounded};
use oxhttp::Server;
use oxhttp::model::header::{AUTHORIZATION, CONNECTION, CONTENT_TYPE};
use oxhttp::model::{Body, HeaderValue, Request, Response};

use crate::admin::Setup;
use crate::admin::call::{Call, Report};
use crate::admin::read;
use crate::admin::write::{self, Answer, Problem};
use crate::event::Event;
use crate::keys::ring::Ring;

/// The most bytes of a body; a table of many thousand rows fits.
const BODY_MAX: u64 = 8 << 20;

/// How often a free port is tried that somebody else takes in between.
const PORT_TRIES: u32 = 16;

/// Starts the server and returns its address.
pub(crate) fn spawn(
    setup: Setup,
    calls: &Sender<Report>,
    closed: &Arc<AtomicBool>,
) -> io::Result<SocketAddr> {
    let setup = Arc::new(setup);
    let mut tries = 0;
    loop {
        let address = free(setup.address)?;
        let (held, calls, closed) = (setup.clone(), calls.clone(), closed.clone());
        let spawned = Server::new(move |request| {
            let answer = respond(request, &held, &calls, &closed);
            end(request);
            encode(answer)
        })
        .bind(address)
        .with_global_timeout(setup.read_time)
        .with_max_concurrent_connections(setup.connections)
        .spawn();
        tries += 1;
        match spawned {
            Ok(_) => return Ok(address),
            Err(_) if setup.address.port() == 0 && tries < PORT_TRIES => {}
            Err(error) => return Err(error),
        }
    }
}

/// Returns the address with a port that is free now: the library does not say which it was given.
fn free(address: SocketAddr) -> io::Result<SocketAddr> {
    if address.port() != 0 {
        return Ok(address);
    }
    TcpListener::bind(address)?.local_addr()
}

/// Makes the library close the connection after this answer.
///
/// It answers a kept connection that is idle for too long with an error before it closes it. A client
/// that sends its next request just then takes that error for the answer, so that an edit seems to
/// have failed. The library reads the request's own header after the answer was made.
fn end(request: &mut Request<Body>) {
    request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

fn respond(
    request: &mut Request<Body>,
    setup: &Setup,
    calls: &Sender<Report>,
    closed: &AtomicBool,
) -> Answer {
    if request.uri().path() == "/healthz" {
        return write::healthy();
    }
    if closed.load(Ordering::Acquire) {
        return Problem::unanswered(false).answer();
    }
    match read(request, &setup.keys) {
        Ok(call) => exchange(call, setup, calls),
        Err(problem) => {
            refused(request, &problem);
            problem.answer()
        }
    }
}

/// Logs a call that was refused before it reached the decisions.
fn refused(request: &Request<Body>, problem: &Problem) {
    let path: Arc<str> = request.uri().path().into();
    let cause = problem.shown().into();
    if &*path == "/v1/upstreams" {
        Event::AnnouncementRefused { cause }.log();
    } else {
        Event::OperatorRefused { call: path, cause }.log();
    }
}

fn read(request: &mut Request<Body>, keys: &Ring) -> Result<Call, Problem> {
    let mut body = Vec::new();
    let read = request.body_mut().take(BODY_MAX + 1).read_to_end(&mut body);
    read.map_err(|_| Problem::unreadable())?;
    if body.len() as u64 > BODY_MAX {
        return Err(Problem::large(BODY_MAX));
    }
    let bearer = request.headers().get(AUTHORIZATION).and_then(|value| value.to_str().ok());
    let bearer = bearer.and_then(|value| value.split_once(' '));
    let bearer = bearer.filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"));
    let request = read::Request {
        method: request.method().as_str(),
        path: request.uri().path(),
        query: request.uri().query().unwrap_or_default(),
        bearer: bearer.map_or("", |(_, key)| key.trim()),
        body: &body,
    };
    read::call(&request, keys)
}

/// Passes a call on and waits for its reply.
fn exchange(call: Call, setup: &Setup, calls: &Sender<Report>) -> Answer {
    let changes = call.changes();
    let wait = match &call {
        Call::Apply { wait, .. } => setup.reply_time + *wait,
        _ => setup.reply_time,
    };
    let (reply, replies) = bounded(1);
    if calls.send(Report { call, reply }).is_err() {
        return Problem::unanswered(false).answer();
    }
    match replies.recv_timeout(wait) {
        Ok(reply) => write::reply(reply),
        Err(_) => Problem::unanswered(changes).answer(),
    }
}

fn encode(answer: Answer) -> Response<Body> {
    let mut response =
        Response::builder().status(answer.status).header(CONTENT_TYPE, answer.content);
    if let Some(revision) = answer.revision {
        response = response.header("verbenaslip-revision", revision);
    }
    if answer.status == 401 {
        response = response.header("www-authenticate", "Bearer");
    }
    let body = Body::from(answer.body);
    response.body(body).unwrap_or_else(|_| Response::new(Body::empty()))
}
