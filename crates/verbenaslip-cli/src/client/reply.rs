//! Responses of instances and classification of failed calls.

use std::io::Read;
use std::net::SocketAddr;

use oxhttp::model::{Body, Response};
use serde::de::DeserializeOwned;

use crate::answer::ErrorResponse;
use crate::error::{Attempt, Error, Step};

/// The maximum number of bytes read of a response body.
const MAX_ANSWER_BYTES: u64 = 64 << 20;
/// The response header with the revision of a table.
const REVISION_HEADER: &str = "verbenaslip-revision";

/// Holds an instance's response.
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

    /// Parses the body as JSON.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_slice(&self.body)
            .map_err(|error| self.invalid_response(&error.to_string()))
    }

    /// Returns the body as text, because a generic JSON value cannot hold all of its numbers.
    pub(crate) fn text(&self) -> Result<String, Error> {
        String::from_utf8(self.body.clone()).map_err(|_| self.invalid_response("not UTF-8"))
    }

    /// Returns the error for a response that cannot be understood.
    pub(crate) fn invalid_response(&self, cause: &str) -> Error {
        Error::Answer { peer: self.peer, cause: format!("status {}, {cause}", self.status) }
    }

    /// Returns the error for a refused call, as described by the body.
    pub(crate) fn refusal(&self) -> Error {
        match self.json::<ErrorResponse>() {
            Ok(ErrorResponse { error }) => {
                Error::Refused { peer: self.peer, message: error.message, hint: error.hint }
            }
            Err(error) => error,
        }
    }

    /// Returns why the instance could not execute the call and whether it may have been executed.
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

/// Classifies a failed attempt by whether the call may have been executed.
pub(super) enum AttemptError {
    /// Another instance would give the same error.
    Final(Error),
    /// The call was certainly not executed.
    NotDone(Attempt),
    /// The call may have been executed.
    Unknown(Attempt),
}
