//! What the head of a caller's request says, checked.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderMap};
use hyper::{Method, Uri};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Class, Model, Team};
use verbenaslip_request::caller::{Arrival, Body, Ticket};

use crate::keys::Keys;
use crate::traffic::Limits;
use crate::traffic::body::{self, Form};
use crate::traffic::error::Problem;

const CHAT: &str = "/v1/chat/completions";
const SERVICES: &str = "/v1/services/";
const KEY_MAX: usize = 200;
const NAME_MAX: usize = 200;

/// Tells what a path asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// A model's answer.
    Chat,
    /// A plain service's answer.
    Service {
        /// The service.
        name: Model,
        /// The path at the service, from its slash.
        path: Arc<str>,
    },
}

/// Holds what the head of a request says.
#[derive(Clone, Debug)]
pub(crate) struct Preface {
    /// What it asks for.
    pub target: Target,
    team: Team,
    class: Class,
    key: Option<String>,
    issued: Option<u64>,
    due: Option<Duration>,
    idempotent: bool,
    after: Option<u32>,
    content: Arc<str>,
}

/// Holds a whole request.
#[derive(Clone, Debug)]
pub(crate) struct Asked {
    /// What the control thread is told; its deadline is not set.
    pub arrival: Arrival,
    /// How long after arrival the answer is due.
    pub due: Option<Duration>,
    /// The form of the answer.
    pub form: Form,
}

impl Preface {
    /// Reads the head of a request.
    pub(crate) fn read(
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
        keys: &dyn Keys,
    ) -> Result<Self, Problem> {
        let target = target(uri)?;
        if method != Method::POST {
            return Err(Problem::invalid(
                405,
                "method",
                format!("{method} is not answered here."),
                "Use POST.",
            ));
        }
        let team = team(headers, keys)?;
        let key = key(headers)?;
        let issued = number(headers, "idempotency-key-issued")?;
        let issued = issued.or_else(|| key.as_deref().and_then(uuid_time));
        let idempotent = idempotent(headers)?;
        if !idempotent && key.is_some() && issued.is_none() {
            return Err(unissued());
        }
        Ok(Self {
            target,
            team,
            class: Class::new(text(headers, "verbenaslip-class")?.unwrap_or("default")),
            key,
            issued,
            due: number(headers, "verbenaslip-deadline-ms")?.map(Duration::from_millis),
            idempotent,
            after: after(headers)?,
            content: text(headers, CONTENT_TYPE.as_str())?.unwrap_or("application/json").into(),
        })
    }

    /// Reads the body of the request.
    pub(crate) fn whole(
        self,
        bytes: Vec<u8>,
        limits: &Limits,
        draw: impl FnOnce() -> Request,
    ) -> Result<Asked, Problem> {
        let request = match &self.key {
            Some(key) => Request::of_key(&self.team, key),
            None => draw(),
        };
        let (facts, path) = match &self.target {
            Target::Chat => (body::chat(&bytes, limits)?, CHAT.into()),
            Target::Service { name, path } => (body::plain(name), path.clone()),
        };
        let head = Head {
            request,
            team: self.team,
            class: self.class,
            model: facts.model,
            idempotent: self.idempotent,
            keyed: self.key.is_some(),
            issued: self.issued,
            deadline: Duration::MAX,
            prompt: facts.prompt,
            output: facts.output,
            prefix: facts.prefix,
        };
        let body = Arc::new(Body { path, content: self.content, bytes });
        // A caller that wants one object has no event before it to go on from.
        let after = self.after.filter(|_| matches!(facts.form, Form::Events { .. }));
        let arrival = Arrival { ticket: Ticket(0), head, body, after };
        Ok(Asked { arrival, due: self.due, form: facts.form })
    }
}

fn target(uri: &Uri) -> Result<Target, Problem> {
    let path = uri.path();
    if path == CHAT {
        return Ok(Target::Chat);
    }
    let service = path.strip_prefix(SERVICES).and_then(|rest| rest.split_once('/'));
    let Some((name, _)) = service.filter(|(name, _)| !name.is_empty()) else {
        return Err(Problem::invalid(
            404,
            "path",
            "There is nothing at this path.",
            "Use /v1/chat/completions or /v1/services/{name}/{path}.",
        ));
    };
    let tail = &path[SERVICES.len() + name.len()..];
    let tail = uri.query().map_or_else(|| tail.to_owned(), |query| format!("{tail}?{query}"));
    Ok(Target::Service { name: Model::new(name), path: tail.into() })
}

fn team(headers: &HeaderMap, keys: &dyn Keys) -> Result<Team, Problem> {
    let unknown = || {
        Problem::invalid(
            401,
            "key",
            "The bearer key is missing or names no team.",
            "Send `Authorization: Bearer KEY` with your team's key.",
        )
    };
    let value = single(headers, AUTHORIZATION.as_str()).map_err(|_| unknown())?;
    let value = value.and_then(|value| value.split_once(' ')).ok_or_else(unknown)?;
    let bearer = Some(value.1.trim()).filter(|_| value.0.eq_ignore_ascii_case("bearer"));
    bearer.and_then(|bearer| keys.owner(bearer)).map(Team::new).ok_or_else(unknown)
}

fn key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let name = "idempotency-key";
    let Some(value) = single(headers, name)? else {
        return Ok(None);
    };
    let fits = (1..=KEY_MAX).contains(&value.len()) && value.bytes().all(|b| b.is_ascii_graphic());
    if !fits {
        return Err(header(name, "must be 1 to 200 visible ASCII characters"));
    }
    Ok(Some(value.to_owned()))
}

/// Returns the Unix milliseconds in a UUIDv7.
fn uuid_time(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let dashed = bytes.len() == 36 && [8, 13, 18, 23].iter().all(|&at| bytes[at] == b'-');
    let digits: String = key.chars().filter(|c| *c != '-').collect();
    let variant = digits.as_bytes().get(16).is_some_and(|c| b"89abAB".contains(c));
    if !dashed || !variant || digits.as_bytes().get(12) != Some(&b'7') {
        return None;
    }
    let value = u128::from_str_radix(&digits, 16).ok()?;
    u64::try_from(value >> 80).ok()
}

fn unissued() -> Problem {
    Problem::invalid(
        400,
        "idempotency_key_issued",
        "A request that must not run twice needs the time at which its key was first used.",
        "Send Idempotency-Key-Issued in Unix milliseconds, or use a UUIDv7 as key.",
    )
}

fn idempotent(headers: &HeaderMap) -> Result<bool, Problem> {
    let name = "verbenaslip-idempotent";
    match single(headers, name)? {
        None | Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(header(name, "must be `true` or `false`")),
    }
}

fn after(headers: &HeaderMap) -> Result<Option<u32>, Problem> {
    let name = "last-event-id";
    let Some(value) = number(headers, name)? else {
        return Ok(None);
    };
    u32::try_from(value).map(Some).map_err(|_| header(name, "must be the id of an event"))
}

fn number(headers: &HeaderMap, name: &'static str) -> Result<Option<u64>, Problem> {
    let Some(value) = single(headers, name)? else {
        return Ok(None);
    };
    let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
    let number = value.parse().ok().filter(|_| digits);
    number.map(Some).ok_or_else(|| header(name, "must be a whole number from 0"))
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Problem> {
    let value = single(headers, name)?;
    if value.is_some_and(|value| value.is_empty() || value.len() > NAME_MAX) {
        return Err(header(name, "must have 1 to 200 characters"));
    }
    Ok(value)
}

/// Returns a header's value; one that is given twice is refused, for the two may differ.
fn single<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Problem> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(header(name, "must be given once"));
    }
    value.to_str().map(Some).map_err(|_| header(name, "must be visible ASCII"))
}

fn header(name: &'static str, rule: &str) -> Problem {
    Problem::invalid(400, name, format!("The header {name} {rule}."), "Correct the header.")
}
