//! The form of a case, and the run of a table.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::runtime;
use tokio::time::timeout;

use crate::http::client::{self, Answer, Call};

/// How long one answer may take in all.
const PATIENCE: Duration = Duration::from_secs(10);

/// Describes one question and what must be true of its answer.
#[derive(Clone, Debug)]
pub struct Case {
    /// What the case is about.
    pub name: &'static str,
    method: &'static str,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: String,
    status: u16,
    checks: Vec<Check>,
}

#[derive(Clone, Debug)]
enum Check {
    Is(&'static str, Value),
    Kind(&'static str, &'static str),
    Header(&'static str, &'static str),
    Contains(String),
    Lacks(String),
}

/// Tells of a case that does not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The case.
    pub name: &'static str,
    /// What was found.
    pub found: String,
}

impl Case {
    /// Describes a question for which a status is due.
    pub fn new(name: &'static str, method: &'static str, path: &str, status: u16) -> Self {
        Self {
            name,
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: String::new(),
            status,
            checks: Vec::new(),
        }
    }

    /// Adds a header to the question.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Gives the question a body.
    #[must_use]
    pub fn body(mut self, body: &impl ToString) -> Self {
        self.body = body.to_string();
        self
    }

    /// Checks a value of the answer by its JSON pointer.
    #[must_use]
    pub fn is(mut self, pointer: &'static str, value: impl Into<Value>) -> Self {
        self.checks.push(Check::Is(pointer, value.into()));
        self
    }

    /// Checks the kind of a value of the answer: `string`, `number`, `boolean`, `array` or `object`.
    #[must_use]
    pub fn kind(mut self, pointer: &'static str, kind: &'static str) -> Self {
        self.checks.push(Check::Kind(pointer, kind));
        self
    }

    /// Checks a header of the answer; an empty value allows any.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: &'static str) -> Self {
        self.checks.push(Check::Header(name, value));
        self
    }

    /// Checks that the answer's body contains a text.
    #[must_use]
    pub fn contains(mut self, text: &str) -> Self {
        self.checks.push(Check::Contains(text.to_owned()));
        self
    }

    /// Checks that the answer's body does not contain a text.
    #[must_use]
    pub fn lacks(mut self, text: &str) -> Self {
        self.checks.push(Check::Lacks(text.to_owned()));
        self
    }

    fn call(&self) -> Call {
        Call {
            method: self.method,
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone().into(),
        }
    }

    fn judge(&self, answer: &Answer) -> Option<String> {
        let text = String::from_utf8_lossy(&answer.body);
        if answer.status.as_u16() != self.status {
            return Some(format!("{}, not {}: {text}", answer.status.as_u16(), self.status));
        }
        let json = answer.json();
        let failed = self.checks.iter().find(|check| !check.holds(answer, &json, &text))?;
        Some(format!("{failed:?} does not hold: {text}"))
    }
}

impl Check {
    fn holds(&self, answer: &Answer, json: &Value, text: &str) -> bool {
        match self {
            Self::Is(pointer, value) => json.pointer(pointer) == Some(value),
            Self::Kind(pointer, kind) => json.pointer(pointer).map(kind_of) == Some(kind),
            Self::Header(name, value) => {
                answer.header(name).is_some_and(|found| value.is_empty() || found == *value)
            }
            Self::Contains(part) => text.contains(part.as_str()),
            Self::Lacks(part) => !text.contains(part.as_str()),
        }
    }
}

/// Asks every case's question in order and returns the cases that do not hold.
///
/// # Errors
///
/// Fails when no runtime can be started.
pub fn run(address: SocketAddr, cases: &[Case]) -> io::Result<Vec<Broken>> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(ask_all(address, cases)))
}

async fn ask_all(address: SocketAddr, cases: &[Case]) -> Vec<Broken> {
    let mut broken = Vec::new();
    for case in cases {
        let answer = timeout(PATIENCE, client::ask(address, &case.call(), PATIENCE)).await;
        let found = match answer {
            Ok(Ok(answer)) => case.judge(&answer),
            Ok(Err(failure)) => Some(format!("{failure:?}")),
            Err(_) => Some("no whole answer in time".to_owned()),
        };
        broken.extend(found.map(|found| Broken { name: case.name, found }));
    }
    broken
}

fn kind_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "boolean",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(_) => "array",
        Value::Object(_) => "object",
    }
}
