//! Messages that wait for a connection.

use std::collections::VecDeque;
use std::sync::Mutex;

use tokio::sync::Notify;

use crate::peers::lock;

/// The most messages that wait.
const MESSAGES_MAX: usize = 4096;

/// The most bytes that wait.
const BYTES_MAX: usize = 16 << 20;

/// Holds the newest messages for one peer.
#[derive(Default)]
pub(crate) struct Queue {
    waiting: Mutex<Waiting>,
    pushed: Notify,
}

#[derive(Default)]
struct Waiting {
    messages: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Queue {
    /// Adds a message and returns how many of the oldest were dropped for it.
    pub(crate) fn push(&self, message: Vec<u8>) -> u64 {
        let mut waiting = lock(&self.waiting);
        waiting.bytes += message.len();
        waiting.messages.push_back(message);
        let mut dropped = 0;
        // A peer that takes nothing must not fill the memory. What is newest is of most use to it.
        while waiting.messages.len() > MESSAGES_MAX || waiting.bytes > BYTES_MAX {
            let Some(oldest) = waiting.messages.pop_front() else { break };
            waiting.bytes -= oldest.len();
            dropped += 1;
        }
        drop(waiting);
        self.pushed.notify_one();
        dropped
    }

    /// Waits for the oldest message.
    pub(crate) async fn pop(&self) -> Vec<u8> {
        loop {
            let pushed = self.pushed.notified();
            if let Some(message) = self.take() {
                return message;
            }
            pushed.await;
        }
    }

    /// Takes the oldest message.
    pub(crate) fn take(&self) -> Option<Vec<u8>> {
        let mut waiting = lock(&self.waiting);
        let message = waiting.messages.pop_front()?;
        waiting.bytes -= message.len();
        Some(message)
    }

    /// Says whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        lock(&self.waiting).messages.is_empty()
    }
}
