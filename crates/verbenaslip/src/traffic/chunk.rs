//! Chat-completion chunks and objects as callers read them.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::Serialize;
use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;

use crate::traffic::body::Form;
use crate::traffic::shelf::Rest;

/// Holds what every chunk of one answer repeats.
pub(crate) struct Style {
    id: String,
    model: String,
    created: u64,
    prompt: u32,
    usage: bool,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: &'a [Choice<'a>],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Delta<'a>>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
}

impl Style {
    /// Takes what the chunks repeat from the request.
    pub(crate) fn new(head: &Head, form: Form) -> Self {
        let created = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs());
        let Request(number) = head.request;
        Self {
            id: format!("chatcmpl-{number:032x}"),
            model: head.model.as_str().to_owned(),
            created,
            prompt: head.prompt,
            usage: form == Form::Events { usage: true },
        }
    }

    /// Returns the events of a part of an answer.
    pub(crate) fn events(&self, rest: &Rest) -> String {
        let mut text = String::new();
        for piece in &rest.pieces {
            let role = (piece.position == piece.count).then_some("assistant");
            let delta = Delta { role, content: Some(&piece.text) };
            let choice =
                Choice { index: 0, delta: Some(delta), message: None, finish_reason: None };
            let data = self.chunk("chat.completion.chunk", &[choice], None);
            text.push_str(&format!("id: {}\ndata: {data}\n\n", piece.position));
        }
        if let Some(end) = &rest.end {
            let delta = Delta { role: None, content: None };
            let finish_reason = Some(&*end.reason);
            let choice = Choice { index: 0, delta: Some(delta), message: None, finish_reason };
            let data = self.chunk("chat.completion.chunk", &[choice], None);
            text.push_str(&format!("data: {data}\n\n"));
            if self.usage {
                let usage = Some(self.used(end.position));
                let data = self.chunk("chat.completion.chunk", &[], usage);
                text.push_str(&format!("data: {data}\n\n"));
            }
            text.push_str("data: [DONE]\n\n");
        }
        text
    }

    /// Returns the whole answer as one object.
    pub(crate) fn object(&self, content: &str, tokens: u32, reason: &str) -> String {
        let message = Delta { role: Some("assistant"), content: Some(content) };
        let finish_reason = Some(reason);
        let choice = Choice { index: 0, delta: None, message: Some(message), finish_reason };
        self.chunk("chat.completion", &[choice], Some(self.used(tokens)))
    }

    fn used(&self, tokens: u32) -> Usage {
        Usage {
            prompt_tokens: self.prompt,
            completion_tokens: tokens,
            total_tokens: self.prompt.saturating_add(tokens),
        }
    }

    fn chunk(&self, object: &'static str, choices: &[Choice<'_>], usage: Option<Usage>) -> String {
        let (id, model) = (&*self.id, &*self.model);
        let chunk = Chunk { id, object, created: self.created, model, choices, usage };
        serde_json::to_string(&chunk).unwrap_or_default()
    }
}
