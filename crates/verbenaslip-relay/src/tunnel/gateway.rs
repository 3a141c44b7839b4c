//! Opens connections to upstreams for other entries and passes their bytes on.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::{Buf, BytesMut};
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::registry::Status as UpstreamStatus;

use crate::event_log::{self, Kind};
use crate::forward::context::Context;
use crate::http::connection::YIELD_BYTES;
use crate::socket;
use crate::tunnel::wire::{self, Opening, Prefix, Reply, Status};

/// A gateway passes on a request of another entry.
const REQUEST_CARRIED: Kind = Kind { number: 955, name: "request_carried" };

/// Time within which an entry sends its opening.
const OPENING_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes that a read can take at once.
const READ_BYTES: usize = 8 << 10;

/// Load that a gateway adds while it is stopping, so that others are preferred.
const STOPPING_LOAD: u32 = 1_000;

/// Limit on the bytes of an opening.
const MAX_OPENING_BYTES: usize = 512;

/// Accepts connections of other entries, at most `max_tunnels` at once; `active` counts them among the
/// requests for which a planned stop waits.
pub(crate) async fn serve(
    listener: TcpListener,
    context: Rc<Context>,
    max_tunnels: u32,
    active: Arc<AtomicUsize>,
) {
    let open_count = Rc::new(Cell::new(0_u32));
    loop {
        let stream = socket::accept(&listener).await;
        let (context, open_count, active) = (context.clone(), open_count.clone(), active.clone());
        active.fetch_add(1, Ordering::Relaxed);
        open_count.set(open_count.get() + 1);
        tokio::task::spawn_local(async move {
            let has_room = open_count.get() <= max_tunnels;
            // An entry that has left needs no answer.
            let _ = carry(&context, stream, has_room, &open_count).await;
            open_count.set(open_count.get() - 1);
            active.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn carry(
    context: &Context,
    mut entry: TcpStream,
    has_room: bool,
    open_count: &Cell<u32>,
) -> std::io::Result<()> {
    socket::set_options(&entry)?;
    let mut received = BytesMut::new();
    let opening = tokio::time::timeout(OPENING_TIMEOUT, read_opening(&mut entry, &mut received));
    let Some(opening) = opening.await?? else { return Ok(()) };
    let opened = open(context, &opening, has_room).await;
    let status = opened.as_ref().err().copied().unwrap_or(Status::Open);
    metrics::counter!("verbenaslip_gateway_openings_total", "status" => status.name()).increment(1);
    let stopping_load = if context.shared.is_draining() { STOPPING_LOAD } else { 0 };
    let reply = Reply { status, load: open_count.get() + stopping_load };
    entry.write_all(&reply.encode()).await?;
    let Ok(upstream) = opened else { return Ok(()) };
    let tunnel = Tunnel {
        entry_address: entry.peer_addr()?,
        upstream_name: opening.run.upstream,
        to_upstream: BytesMut::new(),
        to_entry: BytesMut::new(),
        received,
        request_left: 0,
    };
    tunnel.run(context, entry, upstream).await
}

async fn read_opening(
    entry: &mut TcpStream,
    received: &mut BytesMut,
) -> std::io::Result<Option<Opening>> {
    while received.len() <= MAX_OPENING_BYTES {
        if let Some(opening) = Opening::take(received)? {
            return Ok(Some(opening));
        }
        if entry.read_buf(received).await? == 0 {
            return Ok(None);
        }
    }
    Err(std::io::ErrorKind::InvalidData.into())
}

/// Connects to the upstream, or returns why not.
async fn open(context: &Context, opening: &Opening, has_room: bool) -> Result<TcpStream, Status> {
    if !has_room || context.shared.has_stopped_admitting() {
        return Err(Status::Busy);
    }
    let view = context.shared.view();
    let record = view.record(&opening.run).ok_or(Status::NoPath)?;
    if matches!(record.status, UpstreamStatus::Gone | UpstreamStatus::Lost) {
        return Err(Status::NoPath);
    }
    let group = Context::group_of(record);
    if !context.paths.borrow().may_reach(&group, &opening.run) {
        return Err(Status::NoPath);
    }
    let started_at = tokio::time::Instant::now();
    let stream = socket::connect(record.announcement.address, opening.limit).await;
    let stream = stream.map_err(|_| Status::Unreachable)?;
    context.record_direct(&group, &opening.run, started_at.elapsed());
    Ok(stream)
}

/// Passes bytes between an entry and an upstream.
struct Tunnel {
    entry_address: SocketAddr,
    upstream_name: Upstream,
    /// Bytes from the entry that are not decoded yet.
    received: BytesMut,
    /// Bytes of the present request that have not arrived yet.
    request_left: u32,
    to_upstream: BytesMut,
    to_entry: BytesMut,
}

impl Tunnel {
    /// Passes bytes on until one side ends.
    ///
    /// Bytes are read only when those before have been written, so a slow reader holds up its
    /// sender and takes no memory here.
    async fn run(
        mut self,
        context: &Context,
        mut entry: TcpStream,
        mut upstream: TcpStream,
    ) -> std::io::Result<()> {
        let (mut from_entry, mut to_entry) = entry.split();
        let (mut from_upstream, mut to_upstream) = upstream.split();
        let mut answer = BytesMut::new();
        let (mut has_ended, mut is_retiring) = (false, false);
        let mut bytes_since_yield = 0;
        loop {
            if bytes_since_yield >= YIELD_BYTES {
                bytes_since_yield = 0;
                tokio::task::yield_now().await;
            }
            self.decode_requests();
            if has_ended && self.to_entry.is_empty() {
                return to_entry.shutdown().await;
            }
            self.received.reserve(READ_BYTES);
            answer.reserve(READ_BYTES);
            tokio::select! {
                read = from_entry.read_buf(&mut self.received), if self.to_upstream.is_empty() => {
                    if read? == 0 {
                        return Ok(());
                    }
                }
                written = to_upstream.write(&self.to_upstream), if !self.to_upstream.is_empty() => {
                    self.to_upstream.advance(written?);
                }
                read = from_upstream.read_buf(&mut answer), if self.to_entry.is_empty() && !has_ended => {
                    if read? == 0 {
                        has_ended = true;
                        wire::write_end(&mut self.to_entry);
                    }
                    bytes_since_yield += answer.len();
                    wire::write_chunks(&answer, &mut self.to_entry);
                    answer.clear();
                }
                written = to_entry.write(&self.to_entry), if !self.to_entry.is_empty() => {
                    self.to_entry.advance(written?);
                }
                () = context.shared.wait_until_draining(), if !is_retiring => {
                    is_retiring = true;
                    wire::write_retiring(&mut self.to_entry);
                }
            }
        }
    }

    /// Moves the requests that have arrived to the upstream, and logs each at its start.
    fn decode_requests(&mut self) {
        loop {
            if self.request_left > 0 {
                let count = self.received.len().min(self.request_left as usize);
                let piece = self.received.split_to(count);
                self.to_upstream.extend_from_slice(&piece);
                self.request_left -= u32::try_from(count).unwrap_or(self.request_left);
                if self.request_left > 0 {
                    return;
                }
            }
            let Some(Prefix { id, length }) = Prefix::take(&mut self.received) else { return };
            self.request_left = length;
            metrics::counter!("verbenaslip_requests_carried_total").increment(1);
            event_log::emit(
                REQUEST_CARRIED,
                [
                    ("id", json!(id)),
                    ("upstream", json!(self.upstream_name.as_str())),
                    ("entry", json!(self.entry_address.ip().to_string())),
                ],
            );
        }
    }
}

impl Status {
    fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Unreachable => "unreachable",
            Self::NoPath => "no_path",
            Self::Busy => "busy",
        }
    }
}
