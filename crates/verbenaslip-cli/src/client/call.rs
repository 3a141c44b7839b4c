//! One call, and what may be done with it when its answer is lost.

use std::fmt::Write;
use std::time::Duration;

/// Describes one call.
pub(crate) struct Call {
    pub(super) path: String,
    pub(super) body: Option<Vec<u8>>,
    pub(super) content_type: &'static str,
    pub(super) changes: bool,
    pub(super) resend: bool,
    pub(super) server_wait: Duration,
    pub(super) retry_timeout: Duration,
    pub(super) expected_statuses: &'static [u16],
    pub(super) hint: &'static str,
}

impl Call {
    /// Reads something; a lost answer is no harm.
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

    /// Changes something; `hint` says how to find out after a lost answer.
    pub(crate) fn post(path: impl Into<String>, body: Vec<u8>, hint: &'static str) -> Self {
        Self { body: Some(body), changes: true, resend: false, hint, ..Self::get(path) }
    }

    /// Lets the call be sent again after a lost answer, because twice is the same as once.
    pub(crate) fn resend_for(self, retry_timeout: Duration) -> Self {
        Self { resend: true, retry_timeout, ..self }
    }

    /// Says how long the instance itself may wait before it answers.
    pub(crate) fn with_server_wait(self, server_wait: Duration) -> Self {
        Self { server_wait, ..self }
    }

    /// Sends CSV.
    pub(crate) fn with_csv_body(self) -> Self {
        Self { content_type: "text/csv", ..self }
    }

    /// Takes these statuses as replies and not as failures.
    pub(crate) fn with_expected_statuses(self, expected_statuses: &'static [u16]) -> Self {
        Self { expected_statuses, ..self }
    }
}

/// Writes a text so that it can stand in a query.
pub(crate) fn percent_encode(text: &str) -> String {
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
