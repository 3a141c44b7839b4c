//! Calls to the `admin` addresses of instances.

use std::fmt::Write;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::model::header::{AUTHORIZATION, CONTENT_TYPE};
use oxhttp::model::{Body, HeaderValue, Request, Response};
use serde::de::DeserializeOwned;

use crate::answer::Failure;
use crate::args::{Operator, addresses};
use crate::error::{Error, Step, Tried, Try};

mod key;

/// The longest time to open a connection.
const CONNECT: Duration = Duration::from_secs(2);
/// The longest time for an answer, on top of what the call itself waits.
const ANSWER: Duration = Duration::from_secs(10);
/// The time between two rounds through all instances.
pub(crate) const PAUSE: Duration = Duration::from_millis(300);
/// The largest answer that is read, in bytes.
const ANSWER_MAX: u64 = 64 << 20;
/// The header that tells a table's revision.
const REVISION: &str = "verbenaslip-revision";

/// Speaks with instances, the next one when one fails.
pub struct Client {
    admins: Vec<SocketAddr>,
    authorization: HeaderValue,
}

impl Client {
    /// Reads addresses and key from the command line or the environment.
    ///
    /// # Errors
    ///
    /// Says which of the two is missing or wrong.
    pub fn open(args: &Operator) -> Result<Self, Error> {
        let admin = args.admin.clone().or_else(|| std::env::var("VERBENASLIP_ADMIN").ok());
        let admin = admin.ok_or_else(|| missing("--admin", "the admin address of an instance"))?;
        let admins = addresses(&admin).ok_or_else(|| {
            let allowed = "IP numbers with ports and commas between, as in 10.0.0.7:7001";
            Error::Usage(format!("--admin = `{admin}`: it must be {allowed}"))
        })?;
        let file = args.key_file.clone();
        let file = file.or_else(|| std::env::var_os("VERBENASLIP_KEY_FILE").map(Into::into));
        let file = file.ok_or_else(|| missing("--key-file", "the file with your key"))?;
        Ok(Self { admins, authorization: bearer(&file)? })
    }

    /// Makes a call at the first instance that can do it.
    ///
    /// # Errors
    ///
    /// Tells apart what was refused, what surely was not done and what may have been done.
    pub(crate) fn call(&mut self, call: &Call) -> Result<Reply, Error> {
        let end = Instant::now() + call.patience;
        let mut unknown = false;
        loop {
            let tried = match self.round(call, &mut unknown)? {
                Round::Done(reply) => return Ok(reply),
                Round::Failed(tried) => tried,
            };
            let over = Instant::now() + PAUSE >= end;
            if unknown && (over || !call.resend) {
                return Err(Error::Unknown { tried, hint: call.hint });
            }
            if over {
                return Err(Error::Unreachable { tried });
            }
            thread::sleep(PAUSE);
        }
    }

    /// Tries each instance once; `unknown` remembers whether one may have made the change.
    fn round(&mut self, call: &Call, unknown: &mut bool) -> Result<Round, Error> {
        let mut tried = Tried::default();
        for index in 0..self.admins.len() {
            match self.attempt(self.admins[index], call) {
                Ok(reply) => {
                    // The next call begins where this one succeeded.
                    self.admins.rotate_left(index);
                    return Ok(Round::Done(reply));
                }
                Err(Failed::Final(error)) if !*unknown => return Err(error),
                Err(Failed::Final(error)) => {
                    // This instance refuses, but one before may have done it: reporting the refusal
                    // alone would say that nothing was changed.
                    tried.0.push(refusal(self.admins[index], error));
                    return Err(Error::Unknown { tried, hint: call.hint });
                }
                Err(Failed::NotDone(one)) => tried.0.push(one),
                Err(Failed::Unknown(one)) => {
                    tried.0.push(one);
                    *unknown |= call.changes;
                    if *unknown && !call.resend {
                        break;
                    }
                }
            }
        }
        Ok(Round::Failed(tried))
    }

    /// Makes a call at one instance.
    fn attempt(&self, peer: SocketAddr, call: &Call) -> Result<Reply, Failed> {
        let failed = |step, cause: String| Try { peer, step, cause };
        // The library does not say whether an error came before or after the request was sent. If
        // this connection can't be opened, nothing was sent, and the next instance may be asked
        // even for what must not be done twice.
        TcpStream::connect_timeout(&peer, CONNECT)
            .map_err(|error| Failed::NotDone(failed(Step::Connect, error.to_string())))?;
        let client = oxhttp::Client::new().with_global_timeout(ANSWER + call.wait);
        let lost = |error: std::io::Error| {
            Failed::Unknown(failed(Step::Exchange, format!("no whole answer came: {error}")))
        };
        let request = self.request(peer, call).map_err(Failed::Final)?;
        let response = client.request(request).map_err(lost)?;
        let reply = Reply::read(peer, response).map_err(lost)?;
        match reply.status {
            200..=299 => Ok(reply),
            _ if call.expects.contains(&reply.status) => Ok(reply),
            500..=599 => Err(reply.failed()),
            _ => Err(Failed::Final(reply.refused())),
        }
    }

    fn request(&self, peer: SocketAddr, call: &Call) -> Result<Request<Body>, Error> {
        let (method, body) = match &call.body {
            None => ("GET", Body::empty()),
            Some(body) => ("POST", Body::from(body.clone())),
        };
        Request::builder()
            .method(method)
            .uri(format!("http://{peer}{}", call.path))
            .header(AUTHORIZATION, self.authorization.clone())
            .header(CONTENT_TYPE, call.content)
            .body(body)
            .map_err(|error| Error::Usage(error.to_string()))
    }
}

/// Describes one call.
pub(crate) struct Call {
    path: String,
    body: Option<Vec<u8>>,
    content: &'static str,
    changes: bool,
    resend: bool,
    wait: Duration,
    patience: Duration,
    expects: &'static [u16],
    hint: &'static str,
}

impl Call {
    /// Reads something; a lost answer is no harm.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            body: None,
            content: "application/json",
            changes: false,
            resend: true,
            wait: Duration::ZERO,
            patience: Duration::ZERO,
            expects: &[],
            hint: "",
        }
    }

    /// Changes something; `hint` says how to find out after a lost answer.
    pub(crate) fn post(path: impl Into<String>, body: Vec<u8>, hint: &'static str) -> Self {
        Self { body: Some(body), changes: true, resend: false, hint, ..Self::get(path) }
    }

    /// Lets the call be sent again after a lost answer, because twice is the same as once.
    pub(crate) fn again_for(self, patience: Duration) -> Self {
        Self { resend: true, patience, ..self }
    }

    /// Says how long the instance itself may wait before it answers.
    pub(crate) fn waiting(self, wait: Duration) -> Self {
        Self { wait, ..self }
    }

    /// Sends CSV.
    pub(crate) fn csv(self) -> Self {
        Self { content: "text/csv", ..self }
    }

    /// Takes these statuses as replies and not as failures.
    pub(crate) fn expecting(self, expects: &'static [u16]) -> Self {
        Self { expects, ..self }
    }
}

/// Holds an instance's answer.
pub(crate) struct Reply {
    pub(crate) peer: SocketAddr,
    pub(crate) status: u16,
    pub(crate) revision: Option<u64>,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    fn read(peer: SocketAddr, response: Response<Body>) -> std::io::Result<Self> {
        let status = response.status().as_u16();
        let header = response.headers().get(REVISION).and_then(|value| value.to_str().ok());
        let revision = header.and_then(|value| value.parse().ok());
        let mut body = Vec::new();
        response.into_body().take(ANSWER_MAX).read_to_end(&mut body)?;
        Ok(Self { peer, status, revision, body })
    }

    /// Reads the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body).map_err(|error| self.odd(&error.to_string()))
    }

    /// Returns the body as text: a value of JSON may hold numbers that only its own type can.
    pub(crate) fn text(&self) -> Result<String, Error> {
        String::from_utf8(self.body.clone()).map_err(|_| self.odd("not UTF-8"))
    }

    /// Says that the answer is not understood.
    pub(crate) fn odd(&self, cause: &str) -> Error {
        Error::Answer { peer: self.peer, cause: format!("status {}, {cause}", self.status) }
    }

    /// Reads a refusal.
    pub(crate) fn refused(&self) -> Error {
        match self.json::<Failure>() {
            Ok(Failure { error }) => {
                Error::Refused { peer: self.peer, message: error.message, hint: error.hint }
            }
            Err(error) => error,
        }
    }

    /// Reads why an instance could not do it, and whether it may have been done.
    fn failed(&self) -> Failed {
        let failure = self.json::<Failure>().map(|failure| failure.error);
        let not_run = failure.as_ref().is_ok_and(|error| error.kind == "not_run");
        let cause = match failure {
            Ok(error) => error.message,
            Err(_) => format!("status {}", self.status),
        };
        let one = Try { peer: self.peer, step: Step::Answer, cause };
        if not_run { Failed::NotDone(one) } else { Failed::Unknown(one) }
    }
}

/// Says how a round through all instances ended.
enum Round {
    /// One has answered.
    Done(Reply),
    /// None has.
    Failed(Tried),
}

/// Says what a failed try lets one conclude.
enum Failed {
    /// Another instance would say the same.
    Final(Error),
    /// It surely was not done.
    NotDone(Try),
    /// It may have been done.
    Unknown(Try),
}

/// Tells of a refusal as one try among others.
fn refusal(peer: SocketAddr, error: Error) -> Try {
    let cause = match error {
        Error::Refused { message, .. } => message,
        other => other.to_string(),
    };
    Try { peer, step: Step::Answer, cause }
}

/// Writes a text so that it can stand in a query.
pub(crate) fn encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        match byte {
            b'-' | b'.' | b'_' | b'~' => encoded.push(byte.into()),
            _ if byte.is_ascii_alphanumeric() => encoded.push(byte.into()),
            // Writing to a string does not fail.
            _ => _ = write!(encoded, "%{byte:02X}"),
        }
    }
    encoded
}

/// Reads the key and makes the header that shows it.
fn bearer(file: &Path) -> Result<HeaderValue, Error> {
    let wrong = |cause: String| Error::File { file: file.display().to_string(), cause };
    let key = key::read(file).map_err(&wrong)?;
    let mut value =
        HeaderValue::try_from(format!("Bearer {key}")).map_err(|error| wrong(error.to_string()))?;
    value.set_sensitive(true);
    Ok(value)
}

fn missing(option: &str, what: &str) -> Error {
    let name = option.trim_start_matches("--").replace('-', "_").to_uppercase();
    Error::Usage(format!("{option} is missing: give {what}, or set VERBENASLIP_{name}"))
}
