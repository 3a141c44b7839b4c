//! A request as it goes to an upstream.

use std::time::Duration;

use crate::dialect::ForwardedFields;
use crate::forward::admission::Job;
use crate::forward::answer;
use crate::forward::context::Context;
use crate::http::head;
use crate::policy::placement::Choice;

/// Writes a request for an upstream: the caller's own words, but for what concerns one connection
/// and what the system sets itself.
pub fn write(
    context: &Context,
    job: &Job<'_>,
    choice: &Choice,
    remaining: Duration,
    after: Option<u64>,
) -> Vec<u8> {
    let mut out = Vec::with_capacity(512 + job.body.len());
    let line = format!("{} {} HTTP/1.1\r\n", job.head.method, job.head.target);
    out.extend_from_slice(line.as_bytes());
    let fields = &job.head.fields;
    for field in fields {
        let length = field.name.eq_ignore_ascii_case("content-length")
            || field.name.eq_ignore_ascii_case("expect");
        let ours = context.dialect.is_reserved(&field.name);
        if !length && !ours && !head::is_hop(fields, &field.name) {
            answer::put(&mut out, &field.name, &field.value);
        }
    }
    let forwarded = ForwardedFields {
        upstream: &choice.run.upstream,
        team: job.team.map(|team| &team.name),
        remaining,
        last_event_id: after.or(job.call.last_event_id),
        rank: (!job.call.prompt_parts.is_empty()).then_some(job.rank),
    };
    context.dialect.write_forwarded(&forwarded, &mut |name, value| {
        answer::put(&mut out, name, value.as_bytes());
    });
    if !job.body.is_empty() || !matches!(&*job.head.method, "GET" | "HEAD") {
        answer::put(&mut out, "Content-Length", job.body.len().to_string().as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(job.body);
    out
}
