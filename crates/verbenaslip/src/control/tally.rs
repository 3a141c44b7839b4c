//! Messages, bytes and inputs counted by kind.
//!
//! Naming a metric with its labels costs more than counting, so counts are gathered here and handed
//! over about once a second.

use std::collections::BTreeMap;

use verbenaslip_node::{Input, Message};

use crate::metric::Metric;

/// Counts since the last handing over.
#[derive(Default)]
pub(super) struct Tally {
    sent: BTreeMap<&'static str, Count>,
    received: BTreeMap<&'static str, Count>,
    inputs: BTreeMap<&'static str, u64>,
    refused: u64,
}

/// Counts messages of one kind.
#[derive(Default)]
struct Count {
    messages: u64,
    bytes: u64,
}

impl Tally {
    /// Counts a message to another instance.
    pub(super) fn sent(&mut self, kind: &'static str, bytes: usize) {
        self.sent.entry(kind).or_default().add(bytes);
    }

    /// Counts a message from another instance.
    pub(super) fn received(&mut self, kind: &'static str, bytes: usize) {
        self.received.entry(kind).or_default().add(bytes);
    }

    /// Counts an input of the decisions.
    pub(super) fn input(&mut self, input: &Input) {
        *self.inputs.entry(input_kind(input)).or_default() += 1;
    }

    /// Hands the counts over; `refused` is how many frames were refused since the start.
    pub(super) fn hand_over(&mut self, metric: &Metric, refused: u64) {
        for (kind, count) in std::mem::take(&mut self.sent) {
            metric.messages_sent(kind, count.messages);
            metric.bytes_sent(kind, count.bytes);
        }
        for (kind, count) in std::mem::take(&mut self.received) {
            metric.messages_received(kind, count.messages);
            metric.bytes_received(kind, count.bytes);
        }
        for (kind, count) in std::mem::take(&mut self.inputs) {
            metric.steps(kind, count);
        }
        metric.frames_refused(refused.saturating_sub(self.refused));
        self.refused = refused;
    }
}

impl Count {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// Names the kind of datagrams, which all belong to membership and the registry.
pub(super) const DATAGRAM: &str = "gossip";

/// Names the kind of a message.
pub(super) fn kind(message: &Message) -> &'static str {
    match message {
        Message::Log(_) => "log",
        Message::Watch(_) => "table",
        Message::Request(_) => "request",
        Message::Propose { .. } | Message::Change { .. } | Message::ProposalResult { .. } => {
            "proposal"
        }
        Message::Query { .. } | Message::QueryResult { .. } => "query",
        Message::Drain { .. } => "drain",
    }
}

fn input_kind(input: &Input) -> &'static str {
    match input {
        Input::Tick => "tick",
        Input::Clock(_) => "clock",
        Input::Peer { .. } => "message",
        Input::Datagram { .. } => "datagram",
        Input::Arrived { .. } | Input::Subscribed { .. } => "arrival",
        Input::ConnectionClosed(_) | Input::RelayLost { .. } => "departure",
        Input::RunEvent { .. } => "run",
        Input::Mirrored { .. } => "mirror",
        Input::Announced { .. } => "announcement",
        Input::Called { .. } => "call",
        Input::Reclaimed { .. } => "notice",
        Input::WriteDurable { .. } => "stored",
        Input::OrderAnswered { .. } | Input::StateRead { .. } => "order",
        Input::Surveyed(_) | Input::Started { .. } => "cloud",
        Input::CacheEvents { .. } => "cache",
        Input::Stop { .. } => "stop",
    }
}
