//! A call to an instance and the rules for sending it again.

use std::fmt::Write;
use std::time::Duration;

/// Describes one HTTP call to an instance.
pub(crate) struct Call {
    pub(super) path: String,
    pub(super) body: Option<Vec<u8>>,
    pub(super) content_type: &'static str,
    /// Whether the call makes a change.
    pub(super) changes: bool,
    /// Whether the call may be sent again after a lost answer.
    pub(super) resend: bool,
    /// How long the instance may wait before it answers.
    pub(super) server_wait: Duration,
    /// How long the client may keep trying the instances.
    pub(super) retry_timeout: Duration,
    /// HTTP statuses other than 2xx that are returned as replies.
    pub(super) expected_statuses: &'static [u16],
    /// Advice to the operator after a lost answer.
    pub(super) hint: &'static str,
}

impl Call {
    /// Creates a call that only reads, so it is safe to send again.
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            body: None,
            content_type: "application/json",
            changes: false,
            resend: true,
            server_wait: Duration::ZERO,
            retry_timeout: Duration::ZERO,
            expected_statuses: &[],
            hint: "",
        }
    }

    /// Creates a call that makes a change; `hint` tells the operator what to do if the answer is
    /// lost.
    pub(crate) fn post(path: impl Into<String>, body: Vec<u8>, hint: &'static str) -> Self {
        Self { body: Some(body), changes: true, resend: false, hint, ..Self::get(path) }
    }

    /// Allows the call, which must be idempotent, to be sent again until `retry_timeout` is over.
    pub(crate) fn resend_for(self, retry_timeout: Duration) -> Self {
        Self { resend: true, retry_timeout, ..self }
    }

    /// Sets how long the instance may wait before it answers.
    pub(crate) fn with_server_wait(self, server_wait: Duration) -> Self {
        Self { server_wait, ..self }
    }

    /// Sets the content type of the body to CSV.
    pub(crate) fn with_csv_body(self) -> Self {
        Self { content_type: "text/csv", ..self }
    }

    /// Sets HTTP statuses that are returned as replies instead of errors.
    pub(crate) fn with_expected_statuses(self, expected_statuses: &'static [u16]) -> Self {
        Self { expected_statuses, ..self }
    }
}

/// Percent-encodes a text for use in a URL query.
pub(crate) fn percent_encode(text: &str) -> String {
    let mut encoded = String::new();
    for byte in text.bytes() {
        match byte {
            b'-' | b'.' | b'_' | b'~' => encoded.push(byte.into()),
            _ if byte.is_ascii_alphanumeric() => encoded.push(byte.into()),
            // Writing to a string cannot fail.
            _ => _ = write!(encoded, "%{byte:02X}"),
        }
    }
    encoded
}
