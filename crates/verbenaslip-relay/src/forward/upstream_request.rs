//! A request as it goes to an upstream.

use std::time::Duration;

use crate::dialect::ForwardedFields;
use crate::forward::admission::AdmittedRequest;
use crate::forward::answer;
use crate::forward::context::Context;
use crate::http::head;
use crate::policy::placement::Choice;

/// Bytes up to which a body is sent together with its head. A larger one is not copied.
const INLINE_BODY_BYTES: usize = 16 << 10;

/// Holds a request as an upstream gets it.
pub struct UpstreamRequest<'a> {
    /// Head of the request, and its body if that is short.
    pub head: Vec<u8>,
    /// Body that follows the head, if it does.
    pub body: &'a [u8],
}

/// Writes a request for an upstream: the caller's own words, but for what concerns one connection
/// and what the system sets itself.
pub fn write<'a>(
    context: &Context,
    request: &AdmittedRequest<'a>,
    choice: &Choice,
    remaining: Duration,
    last_event_id: Option<u64>,
) -> UpstreamRequest<'a> {
    let body = &request.body[..];
    let is_inline = body.len() <= INLINE_BODY_BYTES;
    let (inline, later) = if is_inline { (body, &[][..]) } else { (&[][..], body) };
    let mut out = Vec::with_capacity(512 + inline.len());
    let line = format!("{} {} HTTP/1.1\r\n", request.head.method, request.head.target);
    out.extend_from_slice(line.as_bytes());
    let fields = &request.head.fields;
    for field in fields {
        let is_replaced = field.name.eq_ignore_ascii_case("content-length")
            || field.name.eq_ignore_ascii_case("expect");
        let is_reserved = context.dialect.is_reserved(&field.name);
        if !is_replaced && !is_reserved && !head::is_hop_by_hop(fields, &field.name) {
            answer::write_field(&mut out, &field.name, &field.value);
        }
    }
    let forwarded = ForwardedFields {
        upstream: &choice.run.upstream,
        team: request.team.map(|team| &team.name),
        remaining,
        last_event_id: last_event_id.or(request.info.last_event_id),
        rank: (!request.info.prompt_parts.is_empty()).then_some(request.rank),
    };
    context.dialect.write_forwarded(&forwarded, &mut |name, value| {
        answer::write_field(&mut out, name, value.as_bytes());
    });
    if !request.body.is_empty() || !matches!(&*request.head.method, "GET" | "HEAD") {
        answer::write_field(&mut out, "Content-Length", request.body.len().to_string().as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(inline);
    UpstreamRequest { head: out, body: later }
}
