//! Reads one streamed answer, coming back through another instance when its connection breaks.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use tokio::runtime;

use crate::engine::core::unix;
use crate::http::client::{self, Call};
use crate::load::event::Parser;
use crate::text;

use super::back_end::MODEL;
use super::layout::TEAM_KEY;

/// How long the stream may be silent.
const PATIENCE: Duration = Duration::from_secs(5);

/// How often it comes back.
const TRIES: usize = 6;

/// Holds a streamed answer as far as it came.
pub(crate) struct Answer {
    /// Stands for the prompt in the back ends' truth.
    pub(crate) seed: u64,
    /// The text so far.
    pub(crate) text: String,
    /// Tokens so far.
    pub(crate) tokens: u32,
    /// Whether its end mark came.
    pub(crate) done: bool,
    /// How long it took to the first token.
    pub(crate) first: Option<Duration>,
    expected: String,
    body: Value,
    key: String,
    start: Instant,
}

impl Answer {
    /// Asks for an answer of some tokens.
    pub(crate) fn new(content: &str, tokens: u32) -> Self {
        let body = json!({
            "model": MODEL,
            "stream": true,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": content}],
        });
        let prompt = text::prompt(&body);
        Self {
            seed: text::seed(&prompt),
            text: String::new(),
            tokens: 0,
            done: false,
            first: None,
            expected: text::expect(&prompt, tokens),
            body,
            key: format!("demo-{}", unix()),
            start: Instant::now(),
        }
    }

    /// Says whether the whole answer came and is the one that this prompt has.
    pub(crate) fn is_whole(&self) -> bool {
        self.done && self.text == self.expected
    }

    /// Reads to the end mark; tells of every token as it comes.
    pub(crate) fn read(
        &mut self,
        entries: &[SocketAddr],
        mut told: impl FnMut(&Self, &str),
    ) -> io::Result<()> {
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        for entry in entries.iter().cycle().take(TRIES) {
            if self.done {
                break;
            }
            runtime.block_on(self.read_from(*entry, &mut told));
        }
        Ok(())
    }

    async fn read_from(&mut self, entry: SocketAddr, told: &mut impl FnMut(&Self, &str)) {
        let Ok(mut flow) = client::open(entry, &self.call(), PATIENCE).await else { return };
        let mut parser = Parser::default();
        while let Ok(Some(bytes)) = flow.next(PATIENCE).await {
            for event in parser.push(&bytes) {
                if event.data == "[DONE]" {
                    self.done = true;
                    return;
                }
                let chunk: Value = serde_json::from_str(&event.data).unwrap_or_default();
                let content = chunk["choices"][0]["delta"]["content"].as_str().unwrap_or_default();
                let Some(id) = event.id.filter(|_| !content.is_empty()) else { continue };
                self.first.get_or_insert(self.start.elapsed());
                self.tokens = id;
                self.text.push_str(content);
                told(self, content);
            }
        }
    }

    fn call(&self) -> Call {
        let call = Call::post("/v1/chat/completions", &self.body)
            .with("authorization", format!("Bearer {TEAM_KEY}"))
            .with("idempotency-key", self.key.clone());
        match self.tokens {
            0 => call,
            tokens => call.with("last-event-id", tokens.to_string()),
        }
    }
}
