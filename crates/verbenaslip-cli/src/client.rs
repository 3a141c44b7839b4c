//! HTTP client for the `admin` addresses of instances.

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

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// The timeout for an answer, in addition to the time that the instance may wait before it answers.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// The pause before all instances are tried again.
pub(crate) const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Calls instances, and tries the next one when a call fails.
pub struct Client {
    admins: Vec<SocketAddr>,
    authorization: HeaderValue,
}

impl Client {
    /// Creates a client with the addresses and key given on the command line or in the environment.
    ///
    /// # Errors
    ///
    /// Returns an error if the addresses or the key file are missing or invalid.
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

    /// Sends a call to the instances in turn until one executes it.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] or another final error from an instance, [`Error::Unreachable`]
    /// if the call was certainly not executed, and [`Error::Unknown`] if it may have been executed.
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

    /// Tries each instance once and sets `unknown` if an instance may have made the change.
    fn try_each(&mut self, call: &Call, unknown: &mut bool) -> Result<RoundOutcome, Error> {
        let mut attempts = Attempts::default();
        for index in 0..self.admins.len() {
            match self.attempt(self.admins[index], call) {
                Ok(reply) => {
                    // The next call starts with the instance that answered.
                    self.admins.rotate_left(index);
                    return Ok(RoundOutcome::Answered(reply));
                }
                Err(AttemptError::Final(error)) if !*unknown => return Err(error),
                Err(AttemptError::Final(error)) => {
                    // An earlier instance may have made the change. Reporting only this refusal
                    // would claim that nothing was changed.
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

    /// Sends a call to one instance.
    fn attempt(&self, peer: SocketAddr, call: &Call) -> Result<Reply, AttemptError> {
        let failed = |step, cause: String| Attempt { peer, step, cause };
        // The HTTP library does not report whether an error occurred before or after the request
        // was sent. If this test connection fails, nothing was sent, so even a call that must not
        // be executed twice can go to the next instance.
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

/// Holds the result of trying each instance once.
enum RoundOutcome {
    /// An instance answered.
    Answered(Reply),
    /// No instance executed the call.
    Exhausted(Attempts),
}

/// Converts a refusal to a failed attempt.
fn refusal_attempt(peer: SocketAddr, error: Error) -> Attempt {
    let cause = match error {
        Error::Refused { message, .. } => message,
        other => other.to_string(),
    };
    Attempt { peer, step: Step::Answer, cause }
}

/// Reads the key file and returns the value of the `Authorization` header.
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
