//! Heads of requests and responses.

use crate::http::MessageError;
use crate::http::body::Framing;

/// Holds one header field as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name of the field.
    pub name: Box<str>,
    /// Value of the field without surrounding white space.
    pub value: Box<[u8]>,
}

/// Holds the head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method.
    pub method: Box<str>,
    /// Path and query as received.
    pub target: Box<str>,
    /// Minor HTTP version: 0 or 1.
    pub minor_version: u8,
    /// Header fields in order.
    pub fields: Vec<Field>,
}

/// Holds the head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Minor HTTP version: 0 or 1.
    pub minor_version: u8,
    /// Reason phrase.
    pub reason: Box<str>,
    /// Header fields in order.
    pub fields: Vec<Field>,
}

/// Returns the length of a complete head at the start of the bytes, including its empty line.
pub fn head_length(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|bytes| bytes == b"\r\n\r\n").map(|start| start + 4)
}

impl RequestHead {
    /// Parses a complete head.
    ///
    /// # Errors
    ///
    /// Fails on anything that another reader could understand differently; otherwise a request
    /// could be smuggled to an upstream inside the bytes of another request.
    pub fn parse(bytes: &[u8]) -> Result<Self, MessageError> {
        let mut lines = lines(bytes)?;
        let line = lines.next().ok_or(MessageError::StartLine)?;
        let mut words = line.split(' ');
        let (method, target, version) = (words.next(), words.next(), words.next());
        let (Some(method), Some(target), Some(version), None) =
            (method, target, version, words.next())
        else {
            return Err(MessageError::StartLine);
        };
        let method_fits = !method.is_empty() && method.bytes().all(is_token);
        let target_fits = target.starts_with('/') && target.bytes().all(|it| it.is_ascii_graphic());
        if !method_fits || !target_fits {
            return Err(MessageError::StartLine);
        }
        let minor = parse_minor_version(version)?;
        let fields = parse_fields(lines)?;
        let request =
            Self { method: method.into(), target: target.into(), minor_version: minor, fields };
        if request.all("host").count() != 1 {
            return Err(MessageError::Host);
        }
        Ok(request)
    }

    /// Returns all fields with a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Field> {
        all(&self.fields, name)
    }

    /// Returns the value of a field as text, if the field occurs exactly once.
    pub fn text(&self, name: &str) -> Option<&str> {
        text(&self.fields, name)
    }

    /// Returns how the body is delimited.
    ///
    /// # Errors
    ///
    /// Fails if the body's length is given twice or in two ways, or the transfer coding is not
    /// supported.
    pub fn framing(&self) -> Result<Framing, MessageError> {
        let length = content_length(&self.fields)?;
        if !is_chunked(&self.fields)? {
            return Ok(length.map_or(Framing::Empty, Framing::Length));
        }
        if length.is_some() || self.minor_version == 0 {
            return Err(MessageError::BodyLength);
        }
        Ok(Framing::Chunked)
    }

    /// Returns whether the connection ends with this request.
    pub fn closes_connection(&self) -> bool {
        self.minor_version == 0 || has_list_item(&self.fields, "connection", "close")
    }
}

impl ResponseHead {
    /// Parses a complete head.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a response head.
    pub fn parse(bytes: &[u8]) -> Result<Self, MessageError> {
        let mut lines = lines(bytes)?;
        let line = lines.next().ok_or(MessageError::StartLine)?;
        let mut words = line.splitn(3, ' ');
        let (Some(version), Some(status)) = (words.next(), words.next()) else {
            return Err(MessageError::StartLine);
        };
        let is_numeric = status.len() == 3 && status.bytes().all(|it| it.is_ascii_digit());
        let status = status
            .parse()
            .ok()
            .filter(|it| is_numeric && *it >= 100)
            .ok_or(MessageError::StartLine)?;
        let (minor, reason) =
            (parse_minor_version(version)?, words.next().unwrap_or_default().into());
        let fields = parse_fields(lines)?;
        let response = Self { status, minor_version: minor, reason, fields };
        // Without this, the first part of another head and this one would be read as one.
        let values = response.fields.iter().map(|field| &*field.value);
        if values.chain([response.reason.as_bytes()]).any(ends_with_status_line) {
            return Err(MessageError::StartLine);
        }
        Ok(response)
    }

    /// Returns all fields with a name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Field> {
        all(&self.fields, name)
    }

    /// Returns the value of a field as text, if the field occurs exactly once.
    pub fn text(&self, name: &str) -> Option<&str> {
        text(&self.fields, name)
    }

    /// Returns how the body is delimited in an answer to a request with the given method.
    ///
    /// # Errors
    ///
    /// Fails if the body's length is given twice or in two ways, or the transfer coding is not
    /// supported.
    pub fn framing(&self, method: &str) -> Result<Framing, MessageError> {
        let bodiless = matches!(self.status, 100..200 | 204 | 304) || method == "HEAD";
        let length = content_length(&self.fields)?;
        let chunked = is_chunked(&self.fields)?;
        match (bodiless, chunked, length) {
            (true, _, _) => Ok(Framing::Empty),
            (false, true, Some(_)) => Err(MessageError::BodyLength),
            (false, true, None) => Ok(Framing::Chunked),
            (false, false, Some(length)) => Ok(Framing::Length(length)),
            (false, false, None) => Ok(Framing::UntilClose),
        }
    }

    /// Returns whether the connection ends with this response.
    pub fn closes_connection(&self) -> bool {
        self.minor_version == 0 || has_list_item(&self.fields, "connection", "close")
    }
}

/// Returns whether a field applies to one connection only and is not forwarded.
///
/// Fields that a `Connection` header names are included.
pub fn is_hop_by_hop(fields: &[Field], name: &str) -> bool {
    const HOP_BY_HOP: [&str; 9] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    HOP_BY_HOP.iter().any(|hop| name.eq_ignore_ascii_case(hop))
        || has_list_item(fields, "connection", name)
}

/// Returns whether one of the comma-separated items of a field equals `word`.
pub fn has_list_item(fields: &[Field], name: &str, word: &str) -> bool {
    let values = all(fields, name).filter_map(|field| std::str::from_utf8(&field.value).ok());
    let mut words = values.flat_map(|value| value.split(','));
    words.any(|it| it.trim().eq_ignore_ascii_case(word))
}

fn all<'a>(fields: &'a [Field], name: &'a str) -> impl Iterator<Item = &'a Field> {
    fields.iter().filter(move |field| field.name.eq_ignore_ascii_case(name))
}

fn text<'a>(fields: &'a [Field], name: &str) -> Option<&'a str> {
    let mut found = fields.iter().filter(|field| field.name.eq_ignore_ascii_case(name));
    let (Some(field), None) = (found.next(), found.next()) else { return None };
    std::str::from_utf8(&field.value).ok()
}

/// Splits a head into lines; each must end with CRLF and contain no other control character.
fn lines(bytes: &[u8]) -> Result<impl Iterator<Item = &str>, MessageError> {
    let text = std::str::from_utf8(bytes);
    let text = text
        .ok()
        .and_then(|it| it.strip_suffix("\r\n\r\n"))
        .ok_or(MessageError::ControlCharacter)?;
    let lines = text.split("\r\n");
    if lines.clone().any(|line| line.bytes().any(|it| it.is_ascii_control() && it != b'\t')) {
        return Err(MessageError::ControlCharacter);
    }
    Ok(lines)
}

fn parse_fields<'a>(lines: impl Iterator<Item = &'a str>) -> Result<Vec<Field>, MessageError> {
    lines.map(parse_field).collect()
}

fn parse_field(line: &str) -> Result<Field, MessageError> {
    let (name, value) = line.split_once(':').ok_or(MessageError::HeaderField)?;
    // A name with white space before the colon, and a folded line, are understood differently by
    // different readers.
    if name.is_empty() || !name.bytes().all(is_token) {
        return Err(MessageError::HeaderField);
    }
    Ok(Field { name: name.into(), value: value.trim_matches([' ', '\t']).as_bytes().into() })
}

fn parse_minor_version(version: &str) -> Result<u8, MessageError> {
    match version {
        "HTTP/1.1" => Ok(1),
        "HTTP/1.0" => Ok(0),
        _ => Err(MessageError::StartLine),
    }
}

/// Returns whether the last part of a line is the first line of a response.
fn ends_with_status_line(line: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    let starts = (0..line.len()).filter(|start| line[*start..].starts_with(VERSION));
    starts.map(|start| &line[start + VERSION.len()..]).any(|rest| match rest {
        [b'0' | b'1', b' ', status @ ..] => {
            let digits = status.iter().take_while(|it| it.is_ascii_digit()).count();
            digits == 3 && status.get(3).is_none_or(|it| *it == b' ')
        }
        _ => false,
    })
}

fn content_length(fields: &[Field]) -> Result<Option<u64>, MessageError> {
    let mut values = all(fields, "content-length");
    let Some(field) = values.next() else { return Ok(None) };
    let is_numeric = !field.value.is_empty() && field.value.iter().all(u8::is_ascii_digit);
    let value = std::str::from_utf8(&field.value).ok().and_then(|it| it.parse().ok());
    match (value, values.next()) {
        (Some(value), None) if is_numeric => Ok(Some(value)),
        _ => Err(MessageError::BodyLength),
    }
}

fn is_chunked(fields: &[Field]) -> Result<bool, MessageError> {
    let mut values = all(fields, "transfer-encoding");
    let Some(field) = values.next() else { return Ok(false) };
    let is_chunked_only = values.next().is_none() && field.value.eq_ignore_ascii_case(b"chunked");
    if is_chunked_only { Ok(true) } else { Err(MessageError::TransferCoding) }
}

fn is_token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte)
}
