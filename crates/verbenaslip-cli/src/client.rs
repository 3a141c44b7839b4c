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
use crate::error::{Attempt, Attempts, Error, Step};

pub(crate) use self::call::{Call, percent_encode};
use self::reply::AttemptError;
pub(crate) use self::reply::Reply;

/// The longest time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest time for an answer, on top of what the call itself waits.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The time between two rounds through all instances.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(300);

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
        let admin =
            admin.ok_or_else(|| missing_option("--admin", "the admin address of an instance"))?;
        let admins = addresses(&admin).ok_or_else(|| {
            let allowed = "IP numbers with ports and commas between, as in 10.0.0.7:7001";
            Error::Usage(format!("--admin = `{admin}`: it must be {allowed}"))
        })?;
        let file = args.key_file.clone();
        let file = file.or_else(|| std::env::var_os("VERBENASLIP_KEY_FILE").map(Into::into));
        let file = file.ok_or_else(|| missing_option("--key-file", "the file with your key"))?;
        Ok(Self { admins, authorization: authorization_header(&file)? })
    }

    /// Makes a call at the first instance that can do it.
    ///
    /// # Errors
    ///
    /// Tells apart what was refused, what surely was not done and what may have been done.
    pub(crate) fn call(&mut self, call: &Call) -> Result<Reply, Error> {
        let end = Instant::now() + call.retry_timeout;
        let mut unknown = false;
        loop {
            let attempts = match self.try_each(call, &mut unknown)? {
                RoundOutcome::Answered(reply) => return Ok(reply),
                RoundOutcome::Exhausted(attempts) => attempts,
            };
            let timed_out = Instant::now() + RETRY_PAUSE >= end;
            if unknown && (timed_out || !call.resend) {
                return Err(Error::Unknown { attempts, hint: call.hint });
            }
            if timed_out {
                return Err(Error::Unreachable { attempts });
            }
            thread::sleep(RETRY_PAUSE);
        }
    }

    /// Tries each instance once; `unknown` remembers whether one may have made the change.
    fn try_each(&mut self, call: &Call, unknown: &mut bool) -> Result<RoundOutcome, Error> {
        let mut attempts = Attempts::default();
        for index in 0..self.admins.len() {
            match self.attempt(self.admins[index], call) {
                Ok(reply) => {
                    // The next call begins where this one succeeded.
                    self.admins.rotate_left(index);
                    return Ok(RoundOutcome::Answered(reply));
                }
                Err(AttemptError::Final(error)) if !*unknown => return Err(error),
                Err(AttemptError::Final(error)) => {
                    // This instance refuses, but one before may have done it: reporting the refusal
                    // alone would say that nothing was changed.
                    attempts.0.push(refusal_attempt(self.admins[index], error));
                    return Err(Error::Unknown { attempts, hint: call.hint });
                }
                Err(AttemptError::NotDone(attempt)) => attempts.0.push(attempt),
                Err(AttemptError::Unknown(attempt)) => {
                    attempts.0.push(attempt);
                    *unknown |= call.changes;
                    if *unknown && !call.resend {
                        break;
                    }
                }
            }
        }
        Ok(RoundOutcome::Exhausted(attempts))
    }

    /// Makes a call at one instance.
    fn attempt(&self, peer: SocketAddr, call: &Call) -> Result<Reply, AttemptError> {
        let failed = |step, cause: String| Attempt { peer, step, cause };
        // The library does not say whether an error came before or after the request was sent. If
        // this connection can't be opened, nothing was sent, and the next instance may be asked
        // even for what must not be done twice.
        TcpStream::connect_timeout(&peer, CONNECT_TIMEOUT)
            .map_err(|error| AttemptError::NotDone(failed(Step::Connect, error.to_string())))?;
        let client = oxhttp::Client::new().with_global_timeout(ANSWER_TIMEOUT + call.server_wait);
        let lost = |error: std::io::Error| {
            AttemptError::Unknown(failed(Step::Exchange, format!("no whole answer came: {error}")))
        };
        let request = self.request(peer, call).map_err(AttemptError::Final)?;
        let response = client.request(request).map_err(lost)?;
        let reply = Reply::read(peer, response).map_err(lost)?;
        match reply.status {
            200..=299 => Ok(reply),
            _ if call.expected_statuses.contains(&reply.status) => Ok(reply),
            500..=599 => Err(reply.attempt_error()),
            _ => Err(AttemptError::Final(reply.refusal())),
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
            .header(CONTENT_TYPE, call.content_type)
            .body(body)
            .map_err(|error| Error::Usage(error.to_string()))
    }
}

/// Says how a round through all instances ended.
enum RoundOutcome {
    /// One has answered.
    Answered(Reply),
    /// None has.
    Exhausted(Attempts),
}

/// Tells of a refusal as one try among others.
fn refusal_attempt(peer: SocketAddr, error: Error) -> Attempt {
    let cause = match error {
        Error::Refused { message, .. } => message,
        other => other.to_string(),
    };
    Attempt { peer, step: Step::Answer, cause }
}

/// Reads the key and makes the header that shows it.
fn authorization_header(file: &Path) -> Result<HeaderValue, Error> {
    let file_error = |cause: String| Error::File { file: file.display().to_string(), cause };
    let key = key::read(file).map_err(&file_error)?;
    let mut value = HeaderValue::try_from(format!("Bearer {key}"))
        .map_err(|error| file_error(error.to_string()))?;
    value.set_sensitive(true);
    Ok(value)
}

fn missing_option(option: &str, what: &str) -> Error {
    let name = option.trim_start_matches("--").replace('-', "_").to_uppercase();
    Error::Usage(format!("{option} is missing: give {what}, or set VERBENASLIP_{name}"))
}
