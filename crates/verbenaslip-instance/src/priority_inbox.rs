//! A receiver that yields urgent messages before all others.

use std::collections::VecDeque;

use tokio::sync::mpsc::UnboundedReceiver;
use verbenaslip_fleet::frame::{Frame, Request};

use crate::control::Call;

/// Message that may be urgent.
pub trait Urgent {
    /// Returns whether the message is handled before all messages that are not urgent.
    fn is_urgent(&self) -> bool;
}

/// Messages of the replicated log are urgent: a vote or a heartbeat that waits behind the reports of hundreds of
/// entries arrives too late, and elections fail again and again after a power loss of all cores.
impl Urgent for Frame {
    fn is_urgent(&self) -> bool {
        matches!(self, Self::Log { .. })
    }
}

/// All calls but announcements of upstreams that stay are urgent. Such announcements arrive hundreds of times a
/// second; behind them, an operator's edit or a departure would time out at its sender before it is read.
impl Urgent for Call {
    fn is_urgent(&self) -> bool {
        !matches!(&self.request, Request::Announce(announcement) if !announcement.draining)
    }
}

/// Receiver that yields urgent messages first, and messages of equal urgency in the order of their arrival.
pub struct PriorityInbox<T> {
    inbox: UnboundedReceiver<T>,
    urgent: VecDeque<T>,
    normal: VecDeque<T>,
}

impl<T: Urgent> PriorityInbox<T> {
    /// Wraps the receiver of a channel.
    pub fn open(inbox: UnboundedReceiver<T>) -> Self {
        Self { inbox, urgent: VecDeque::new(), normal: VecDeque::new() }
    }

    /// Returns the next message, or `None` once the channel is closed and empty.
    ///
    /// This method is cancel safe: no message is lost.
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

    /// Returns the number of messages that wait.
    pub fn len(&self) -> usize {
        self.inbox.len() + self.urgent.len() + self.normal.len()
    }

    /// Returns whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn enqueue(&mut self, item: T) {
        let queue = if item.is_urgent() { &mut self.urgent } else { &mut self.normal };
        queue.push_back(item);
    }
}
