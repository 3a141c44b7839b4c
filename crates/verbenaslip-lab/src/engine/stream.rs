//! The stream of events of one run, on one connection.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use serde_json::json;
use tokio::sync::{mpsc, watch};

use super::core::Core;
use super::fault::{Flaw, Foreign};
use super::run::{Key, Progress};
use super::truth::End;
use crate::text;

/// Events that wait for a slow reader; more wait in the run itself, which costs nothing.
const WINDOW: usize = 8;

/// Reads one run for one connection.
pub(crate) struct Reader {
    core: Arc<Core>,
    key: Key,
    seed: u64,
    model: String,
    flaw: Option<Flaw>,
    progress: watch::Receiver<Progress>,
    cursor: u32,
    repeat: u32,
}

impl Reader {
    /// Begins to read a run after a position; none if the run is not known.
    pub(crate) fn open(core: &Arc<Core>, key: Key, from: Option<u32>) -> Option<Self> {
        let mut state = core.state();
        let run = state.find(key)?;
        run.readers += 1;
        // A flaw concerns a run's first connection; a rejoin gets the run itself.
        let flaw = if from.is_none() { run.flaw.take() } else { None };
        Some(Self {
            core: core.clone(),
            key,
            seed: run.seed,
            model: run.model.clone(),
            flaw,
            progress: run.progress.subscribe(),
            cursor: from.unwrap_or(run.cursor),
            repeat: 0,
        })
    }

    /// Sends the events on until the end or until nobody reads them.
    pub(crate) fn flow(self) -> mpsc::Receiver<io::Result<Bytes>> {
        let (sender, receiver) = mpsc::channel(WINDOW);
        tokio::spawn(self.pump(sender));
        receiver
    }

    async fn pump(mut self, sender: mpsc::Sender<io::Result<Bytes>>) {
        loop {
            let progress = *self.progress.borrow_and_update();
            if self.send(progress.position, &sender).await.is_none() {
                return;
            }
            if let Some(end) = progress.end {
                return self.finish(end, &sender).await;
            }
            tokio::select! {
                changed = self.progress.changed() => if changed.is_err() { return },
                () = sender.closed() => return,
            }
        }
    }

    /// Sends all tokens up to a position; none when the stream has ended early.
    async fn send(&mut self, to: u32, sender: &mpsc::Sender<io::Result<Bytes>>) -> Option<()> {
        while self.cursor < to {
            self.core.thaw().await;
            let position = self.cursor + 1;
            match self.flaw {
                Some(Flaw::Foreign { after, bytes }) if position > after => {
                    self.flaw = None;
                    sender.send(Ok(self.foreign(bytes, position))).await.ok()?;
                }
                Some(Flaw::Cut { after }) if position > after => return None,
                Some(Flaw::Reset { after }) if position > after => {
                    sender.send(Err(io::Error::other("reset"))).await.ok();
                    return None;
                }
                Some(Flaw::Stall { after }) if position > after => {
                    sender.closed().await;
                    return None;
                }
                Some(Flaw::Skip { at }) if position == at => {
                    self.cursor += 1;
                    continue;
                }
                _ => (),
            }
            sender.send(Ok(self.event(position))).await.ok()?;
            self.cursor = self.after(position);
        }
        Some(())
    }

    /// Returns the cursor after a position was sent.
    fn after(&mut self, position: u32) -> u32 {
        match self.flaw {
            Some(Flaw::Repeat { at, count }) if position == at && self.repeat == 0 => {
                self.repeat = 1;
                position.saturating_sub(count)
            }
            _ => position,
        }
    }

    async fn finish(&self, end: End, sender: &mpsc::Sender<io::Result<Bytes>>) {
        self.core.thaw().await;
        if end != End::Done {
            return;
        }
        let chunk = self.chunk(&json!({}), Some("length"), self.cursor, 0);
        sender.send(Ok(format!("data: {chunk}\n\n").into())).await.ok();
        sender.send(Ok(Bytes::from_static(b"data: [DONE]\n\n"))).await.ok();
    }

    fn event(&self, position: u32) -> Bytes {
        let content = text::token(self.seed, position);
        let chunk = self.chunk(&json!({"content": content}), None, position, 1);
        format!("id: {position}\ndata: {chunk}\n\n").into()
    }

    /// Returns bytes of no run, where the token at a position is due.
    fn foreign(&self, foreign: Foreign, position: u32) -> Bytes {
        let content = json!({"content": "foreign"});
        let mut chunk = self.chunk(&content, None, position, 1);
        match foreign {
            Foreign::Binary => return Bytes::from_static(b"\0\xff\n\n"),
            Foreign::Text => return Bytes::from_static(b"data: foreign\n\n"),
            Foreign::Answer => return Bytes::from_static(b"HTTP/1.1 200 OK\r\nx: y\r\n\r\n"),
            Foreign::OtherRun => chunk["attempt"] = json!(self.key.1 + 1),
            Foreign::NoPosition => chunk["position"] = json!(null),
            Foreign::Ahead => chunk["position"] = json!(position + 1),
            Foreign::Reason => chunk = self.chunk(&json!({}), Some("foreign"), position + 1, 0),
        }
        format!("data: {chunk}\n\n").into()
    }

    fn chunk(
        &self,
        delta: &serde_json::Value,
        finish: Option<&str>,
        position: u32,
        tokens: u32,
    ) -> serde_json::Value {
        json!({
            "id": format!("chatcmpl-{:032x}", self.key.0),
            "object": "chat.completion.chunk",
            "model": self.model,
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
            "request": format!("{:032x}", self.key.0),
            "attempt": self.key.1,
            "position": position,
            "tokens": tokens,
        })
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let now: Duration = self.core.now();
        if let Some(run) = self.core.state().find(self.key) {
            run.readers = run.readers.saturating_sub(1);
            run.left = now;
        }
    }
}
