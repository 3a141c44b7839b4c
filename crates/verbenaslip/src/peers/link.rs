//! The connection to one peer, made anew whenever it is lost or silent.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, MissedTickBehavior, interval, sleep, timeout};
use verbenaslip_base::hash;

use crate::peers::queue::Queue;
use crate::peers::wire::{self, Frame, Purpose};
use crate::peers::{Shared, count, lock};

/// How often a heartbeat goes each way.
pub(crate) const BEAT: Duration = Duration::from_millis(500);

/// The silence after which a connection is given up.
pub(crate) const SILENT: Duration = Duration::from_millis(1800);

/// How long opening a connection may take.
const CONNECT: Duration = Duration::from_secs(1);

/// The shortest and the longest wait before the next try.
const WAIT_MIN: Duration = Duration::from_millis(50);
const WAIT_MAX: Duration = Duration::from_secs(2);

/// How long a connection that sends nothing is kept.
const IDLE: Duration = Duration::from_secs(60);

/// Keeps a connection to a peer for as long as there are messages for it.
pub(crate) async fn run(shared: Arc<Shared>, to: SocketAddr, queue: Arc<Queue>) {
    let mut failures = 0u32;
    loop {
        let opened = timeout(CONNECT, TcpStream::connect(to)).await;
        if let Ok(Ok(stream)) = opened {
            count(&shared.counts.opened);
            let begun = Instant::now();
            match carry(&shared, stream, &queue).await {
                Ok(()) => {}
                Err(error) => log::debug!("connection to {to} ended: {error}"),
            }
            // A peer that takes connections and ends them at once must not be called in a loop.
            failures = if begun.elapsed() > SILENT { 0 } else { failures.saturating_add(1) };
        } else {
            failures = failures.saturating_add(1);
        }
        if retire(&shared, to, &queue) {
            return;
        }
        sleep(pause(to, failures)).await;
    }
}

/// Ends the link when nothing waits for the peer; the next message makes a new one.
fn retire(shared: &Shared, to: SocketAddr, queue: &Arc<Queue>) -> bool {
    let mut links = lock(&shared.links);
    let idle = queue.is_empty();
    if idle {
        links.remove(&to);
    }
    idle
}

/// Returns the wait before the next try: doubled each time, and shifted so that instances differ.
fn pause(to: SocketAddr, failures: u32) -> Duration {
    let longest = (WAIT_MIN * 2u32.saturating_pow(failures.min(10))).min(WAIT_MAX);
    let to = to.to_string();
    let share = hash::narrow(&[to.as_bytes(), &failures.to_le_bytes()]) % 512;
    longest / 2 + longest * u32::try_from(share).unwrap_or(0) / 1024
}

/// Carries messages over one connection until it ends, is silent, or has been idle for long.
async fn carry(shared: &Shared, mut stream: TcpStream, queue: &Queue) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.split();
    let hello = Frame::Hello { stamp: shared.stamp.clone(), purpose: Purpose::Messages };
    hello.write(&mut writer, SILENT).await?;
    // The two ends run side by side: a write that waits for the peer must not hide its silence.
    tokio::select! {
        listened = listen(shared, BufReader::new(reader)) => listened,
        sent = talk(shared, writer, queue) => sent,
    }
}

/// Reads heartbeats, and fails when none comes.
async fn listen(shared: &Shared, mut reader: impl AsyncRead + Unpin) -> io::Result<()> {
    loop {
        // A connection whose path has lost track of it never fails by itself. The peer sends
        // heartbeats, so that silence means that a new connection is needed.
        if let Err(error) = Frame::read(&mut reader, SILENT).await {
            if error.kind() == io::ErrorKind::TimedOut {
                count(&shared.counts.silent);
            }
            return Err(error);
        }
    }
}

/// Writes messages and heartbeats.
async fn talk(
    shared: &Shared,
    mut writer: impl AsyncWrite + Unpin,
    queue: &Queue,
) -> io::Result<()> {
    let mut beats = interval(BEAT);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut idle = Instant::now() + IDLE;
    loop {
        let frame = tokio::select! {
            message = queue.pop() => Frame::Message(message),
            _ = beats.tick() => Frame::Heartbeat,
        };
        if let Frame::Message(_) = frame {
            idle = Instant::now() + IDLE;
        } else if Instant::now() > idle {
            return Ok(());
        }
        let Some(bytes) = frame.encode() else {
            count(&shared.counts.dropped);
            continue;
        };
        wire::write(&mut writer, &bytes, SILENT).await?;
        count(&shared.counts.sent);
        shared.counts.sent_bytes.fetch_add(bytes.len() as u64, Ordering::Relaxed);
    }
}
