//! What one caller may use up.

use std::time::Duration;

/// Limits what callers and upstreams may make a traffic thread hold or wait for.
#[derive(Clone, Debug)]
pub struct Limits {
    /// The most bytes of a request's body.
    pub body: usize,
    /// The most bytes of a request's head; at least 8,192.
    pub header: usize,
    /// How long a request's head may take, counted from the answer before it on the connection.
    pub header_time: Duration,
    /// How long a request's body may take.
    pub body_time: Duration,
    /// How long a caller may take no byte of its answer.
    pub write_time: Duration,
    /// How long a stream is silent before it shows that it is alive.
    pub beat_time: Duration,
    /// How long opening a connection may take.
    pub connect_time: Duration,
    /// The most connections of callers at once, and of other instances for answers.
    pub connections: usize,
    /// The most bytes of one answer.
    pub answer: usize,
    /// The tokens an answer may have when the caller gives no limit.
    pub output: u32,
    /// The most tokens that a caller may ask for.
    pub output_max: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 1 << 20,
            header: 16 << 10,
            header_time: Duration::from_secs(30),
            body_time: Duration::from_secs(20),
            write_time: Duration::from_secs(20),
            beat_time: Duration::from_secs(10),
            connect_time: Duration::from_secs(2),
            connections: 4096,
            answer: 4 << 20,
            output: 1024,
            output_max: 1 << 20,
        }
    }
}
