//! Calls to the `admin` addresses of instances.

mod call;
mod key;
mod reply;

use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use oxhttp::model::header::{AUTHORIZATION, CONTENT_TYPE};
use oxhttp::model::{Body, HeaderValue, Request};

use crate::args::{Operator, addresses};
use crate::error::{Error, Step, Tried, Try};

pub(crate) use self::call::{Call, encode};
use self::reply::Failed;
pub(crate) use self::reply::Reply;

/// The longest time to open a connection.
const CONNECT: Duration = Duration::from_secs(2);
/// The longest time for an answer, on top of what the call itself waits.
const ANSWER: Duration = Duration::from_secs(10);
/// The time between two rounds through all instances.
pub(crate) const PAUSE: Duration = Duration::from_millis(300);

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

/// Says how a round through all instances ended.
enum Round {
    /// One has answered.
    Done(Reply),
    /// None has.
    Failed(Tried),
}

/// Tells of a refusal as one try among others.
fn refusal(peer: SocketAddr, error: Error) -> Try {
    let cause = match error {
        Error::Refused { message, .. } => message,
        other => other.to_string(),
    };
    Try { peer, step: Step::Answer, cause }
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
