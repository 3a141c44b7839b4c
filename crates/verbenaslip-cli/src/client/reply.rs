//! What an instance answers, and what a failed call lets one conclude.

use std::io::Read;
use std::net::SocketAddr;

use oxhttp::model::{Body, Response};
use serde::de::DeserializeOwned;

use crate::answer::ErrorResponse;
use crate::error::{Attempt, Error, Step};

/// The largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// The header that tells a table's revision.
const REVISION_HEADER: &str = "verbenaslip-revision";

/// Holds an instance's answer.
pub(crate) struct Reply {
    pub(crate) peer: SocketAddr,
    pub(crate) status: u16,
    pub(crate) revision: Option<u64>,
    pub(crate) body: Vec<u8>,
}

impl Reply {
    pub(super) fn read(peer: SocketAddr, response: Response<Body>) -> std::io::Result<Self> {
        let status = response.status().as_u16();
        let header = response.headers().get(REVISION_HEADER).and_then(|value| value.to_str().ok());
        let revision = header.and_then(|value| value.parse().ok());
        let mut body = Vec::new();
        response.into_body().take(MAX_ANSWER_BYTES).read_to_end(&mut body)?;
        Ok(Self { peer, status, revision, body })
    }

    /// Reads the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body)
            .map_err(|error| self.invalid_response(&error.to_string()))
    }

    /// Returns the body as text: a value of JSON may hold numbers that only its own type can.
    pub(crate) fn text(&self) -> Result<String, Error> {
        String::from_utf8(self.body.clone()).map_err(|_| self.invalid_response("not UTF-8"))
    }

    /// Says that the answer is not understood.
    pub(crate) fn invalid_response(&self, cause: &str) -> Error {
        Error::Answer { peer: self.peer, cause: format!("status {}, {cause}", self.status) }
    }

    /// Reads a refusal.
    pub(crate) fn refusal(&self) -> Error {
        match self.json::<ErrorResponse>() {
            Ok(ErrorResponse { error }) => {
                Error::Refused { peer: self.peer, message: error.message, hint: error.hint }
            }
            Err(error) => error,
        }
    }

    /// Reads why an instance could not do it, and whether it may have been done.
    pub(super) fn attempt_error(&self) -> AttemptError {
        let failure = self.json::<ErrorResponse>().map(|failure| failure.error);
        let not_run = failure.as_ref().is_ok_and(|error| error.kind == "not_run");
        let cause = match failure {
            Ok(error) => error.message,
            Err(_) => format!("status {}", self.status),
        };
        let attempt = Attempt { peer: self.peer, step: Step::Answer, cause };
        if not_run { AttemptError::NotDone(attempt) } else { AttemptError::Unknown(attempt) }
    }
}

/// Says what a failed try lets one conclude.
pub(super) enum AttemptError {
    /// Another instance would say the same.
    Final(Error),
    /// It surely was not done.
    NotDone(Attempt),
    /// It may have been done.
    Unknown(Attempt),
}
