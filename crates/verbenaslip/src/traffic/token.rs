//! Chunks of an engine's answer.

use serde::Deserialize;
use verbenaslip_base::attempt::Attempt;
use verbenaslip_request::answer::TokenBatch;

/// Holds a chunk of an engine's answer.
#[derive(Deserialize)]
pub(crate) struct Chunk {
    request: Option<String>,
    attempt: Option<u32>,
    /// The position of its last token.
    pub position: Option<u32>,
    tokens: Option<u32>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<String>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

impl Chunk {
    /// Says whether the chunk is of that run; one that does not say so is not.
    pub(crate) fn belongs(&self, attempt: Attempt) -> bool {
        let request = attempt.request.to_string();
        self.attempt == Some(attempt.number) && self.request.as_ref() == Some(&request)
    }

    /// Returns its text, and why the answer ended with it.
    pub(crate) fn content(&self) -> (&str, Option<String>) {
        let Some(choice) = self.choices.first() else {
            return ("", None);
        };
        (choice.delta.content.as_deref().unwrap_or_default(), choice.finish_reason.clone())
    }

    /// Returns its tokens with their text; none when it has none.
    pub(crate) fn piece(&self, text: &str) -> Option<TokenBatch> {
        let count = self.tokens.unwrap_or(u32::from(!text.is_empty()));
        let position = self.position?;
        (count > 0).then(|| TokenBatch { position, count, text: text.into() })
    }
}
