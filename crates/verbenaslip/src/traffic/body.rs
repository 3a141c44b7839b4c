//! What a caller's body says, checked.

use serde_json::Value;
use verbenaslip_base::name::Model;

use crate::traffic::Limits;
use crate::traffic::error::Problem;
use crate::traffic::prefix;

/// The most characters of a model's name.
const NAME_MAX: usize = 200;

/// Names the form in which a caller wants its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Form {
    /// An event stream, with the tokens used told before its end mark or not.
    Events {
        /// Whether they are told.
        usage: bool,
    },
    /// One JSON object.
    Object,
    /// Whatever the service answers.
    Plain,
}

/// Holds what decisions need to know of a body.
pub(crate) struct Facts {
    /// The model or plain service.
    pub model: Model,
    /// Estimated tokens of the prompt.
    pub prompt: u32,
    /// The most tokens the answer may have.
    pub output: u32,
    /// Hashes of the prompt's blocks.
    pub prefix: Vec<u64>,
    /// The form of the answer.
    pub form: Form,
}

/// Describes a request for a plain service.
///
/// It computes no prompt: counted as tokens, a large body would be refused for the time that an
/// engine would take for it.
pub(crate) fn plain(name: &Model) -> Facts {
    Facts { model: name.clone(), prompt: 0, output: 0, prefix: Vec::new(), form: Form::Plain }
}

/// Reads a body of the chat protocol.
pub(crate) fn chat(bytes: &[u8], limits: &Limits) -> Result<Facts, Problem> {
    let value: Value = serde_json::from_slice(bytes).map_err(|error| {
        Problem::invalid(
            400,
            "body",
            format!("The body is not JSON: {error}."),
            "Send one JSON object in UTF-8.",
        )
    })?;
    if !value.is_object() {
        return Err(Problem::invalid(
            400,
            "body",
            "The body is not a JSON object.",
            "Send one JSON object in UTF-8.",
        ));
    }
    let model = value.get("model").and_then(Value::as_str).unwrap_or_default();
    if model.is_empty() || model.len() > NAME_MAX {
        return Err(field("model", "must be a text of 1 to 200 characters"));
    }
    let form = match value.get("stream") {
        Some(Value::Bool(true)) => Form::Events { usage: usage(&value)? },
        None | Some(Value::Null | Value::Bool(false)) => Form::Object,
        Some(_) => return Err(field("stream", "must be true or false")),
    };
    if value.get("n").is_some_and(|n| !n.is_null() && n.as_u64() != Some(1)) {
        return Err(field("n", "must be 1: one answer to one request"));
    }
    let text = prompt(&value)?;
    Ok(Facts {
        model: Model::new(model),
        prompt: prefix::tokens(&text),
        output: output(&value, limits)?,
        prefix: prefix::blocks(&text),
        form,
    })
}

/// Says whether a stream is to tell the tokens used.
fn usage(value: &Value) -> Result<bool, Problem> {
    match value.pointer("/stream_options/include_usage") {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(usage)) => Ok(*usage),
        Some(_) => Err(field("stream_options", "must have an `include_usage` of true or false")),
    }
}

fn output(value: &Value, limits: &Limits) -> Result<u32, Problem> {
    for name in ["max_completion_tokens", "max_tokens"] {
        let given = value.get(name).filter(|given| !given.is_null());
        let Some(given) = given else {
            continue;
        };
        let number = given.as_u64().and_then(|number| u32::try_from(number).ok());
        let fits = number.filter(|number| (1..=limits.output_max).contains(number));
        let rule = format!("must be a whole number from 1 to {}", limits.output_max);
        return fits.ok_or_else(|| field(name, &rule));
    }
    Ok(limits.output)
}

/// Returns every message's role, a newline, its content and a newline, in order.
fn prompt(value: &Value) -> Result<Vec<u8>, Problem> {
    let messages = value.get("messages").and_then(Value::as_array);
    let Some(messages) = messages.filter(|messages| !messages.is_empty()) else {
        return Err(field("messages", "must be a list of at least one message"));
    };
    let mut text = Vec::new();
    for message in messages {
        let Some(role) = message.get("role").and_then(Value::as_str) else {
            return Err(field("messages", "must have a `role` that is a text in each message"));
        };
        text.extend_from_slice(role.as_bytes());
        text.push(b'\n');
        content(message.get("content"), &mut text)?;
        text.push(b'\n');
    }
    Ok(text)
}

fn content(content: Option<&Value>, text: &mut Vec<u8>) -> Result<(), Problem> {
    match content {
        None | Some(Value::Null) => Ok(()),
        Some(Value::String(content)) => {
            text.extend_from_slice(content.as_bytes());
            Ok(())
        }
        Some(Value::Array(parts)) => {
            for part in parts {
                let part = part.get("text").and_then(Value::as_str).unwrap_or_default();
                text.extend_from_slice(part.as_bytes());
            }
            Ok(())
        }
        Some(_) => {
            Err(field("messages", "must have a `content` that is a text or a list of parts"))
        }
    }
}

fn field(name: &'static str, rule: &str) -> Problem {
    Problem::invalid(400, name, format!("The field {name} {rule}."), "Correct the field.")
}
