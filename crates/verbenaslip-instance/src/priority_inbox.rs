//! The order in which a core takes what has come.

use std::collections::VecDeque;

use tokio::sync::mpsc::UnboundedReceiver;
use verbenaslip_fleet::frame::{Frame, Request};

use crate::control::Call;

/// Tells what does not wait for its turn.
pub trait Urgent {
    /// Whether this goes before what is not urgent.
    fn is_urgent(&self) -> bool;
}

/// A vote or a heartbeat behind the reports of hundreds of entries would come too late: one would notice
/// elections that end without a leader, over and over, just after a power loss of all.
impl Urgent for Frame {
    fn is_urgent(&self) -> bool {
        matches!(self, Self::Log { .. })
    }
}

/// Upstreams that stay call a core hundreds of times a second; behind them an operator's edit, or the word of
/// an upstream that goes, would be given up by its sender before it is read.
impl Urgent for Call {
    fn is_urgent(&self) -> bool {
        !matches!(&self.request, Request::Announce(announcement) if !announcement.draining)
    }
}

/// Hands out what has come, the urgent first.
pub struct PriorityInbox<T> {
    inbox: UnboundedReceiver<T>,
    urgent: VecDeque<T>,
    normal: VecDeque<T>,
}

impl<T: Urgent> PriorityInbox<T> {
    /// Takes from an inbox.
    pub fn open(inbox: UnboundedReceiver<T>) -> Self {
        Self { inbox, urgent: VecDeque::new(), normal: VecDeque::new() }
    }

    /// Waits for the next one; none once nothing can come any more.
    ///
    /// Nothing is lost when the wait is given up.
    pub async fn next(&mut self) -> Option<T> {
        if self.urgent.is_empty() && self.normal.is_empty() {
            let item = self.inbox.recv().await?;
            self.enqueue(item);
        }
        while let Ok(item) = self.inbox.try_recv() {
            self.enqueue(item);
        }
        self.urgent.pop_front().or_else(|| self.normal.pop_front())
    }

    /// Returns how many wait.
    pub fn len(&self) -> usize {
        self.inbox.len() + self.urgent.len() + self.normal.len()
    }

    /// Tells whether none waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn enqueue(&mut self, item: T) {
        let queue = if item.is_urgent() { &mut self.urgent } else { &mut self.normal };
        queue.push_back(item);
    }
}
