//! Connections to upstreams through another entry.
//!
//! An entry that has lost its own path to an upstream opens the connection through a *gateway*:
//! an entry that passes bytes on and decides nothing. All decisions about a request, such as its
//! limits, its retries and its deadline, stay with the entry that read it, so each promise to
//! callers holds as on a direct connection. A gateway opens direct connections only, and only to
//! upstreams that it knows itself.
//!
//! The entry sends an [`Opening`], and the gateway answers with a [`Reply`]. After that, the entry
//! sends each request behind a [`Prefix`], by which the gateway logs its identity. The gateway
//! sends what arrives in chunks with an explicit end. Without that, an answer that ends with its
//! connection would look complete when the gateway dies.

pub mod gateway;
mod wire;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use verbenaslip_fleet::registry::Run;

use crate::http::Connection;
use crate::policy::gateways::Refusal;
use crate::socket;
pub use crate::tunnel::wire::{Decoder, Opening, Prefix, Reply, Status};

/// Time within which a gateway accepts a connection; many times the longest round trip.
const GATEWAY_TIMEOUT: Duration = Duration::from_millis(150);

/// Opens a connection to a run of an upstream through a gateway, and returns it with the number of
/// connections that the gateway carries; `limit` is the time that the gateway may take to connect.
///
/// # Errors
///
/// Fails if the gateway does not answer in time or does not open the connection.
pub async fn connect(
    gateway: SocketAddr,
    run: &Run,
    limit: Duration,
) -> Result<(Connection, u32), Refusal> {
    let stream = socket::connect(gateway, GATEWAY_TIMEOUT).await;
    let mut stream = stream.map_err(|_| Refusal::Silent)?;
    let opened = tokio::time::timeout(limit + GATEWAY_TIMEOUT, open(&mut stream, run, limit)).await;
    let Ok(Ok(Reply { status, load })) = opened else { return Err(Refusal::Silent) };
    match status {
        Status::Open => Ok((Connection::through(stream, Decoder::new(gateway)), load)),
        Status::Unreachable => Err(Refusal::UpstreamUnreachable),
        Status::NoPath => Err(Refusal::NoPath),
        Status::Busy => Err(Refusal::Busy),
    }
}

async fn open(stream: &mut TcpStream, run: &Run, limit: Duration) -> std::io::Result<Reply> {
    let opening = Opening { run: run.clone(), limit };
    stream.write_all(&opening.encode()).await?;
    let mut reply = [0; Reply::LENGTH];
    stream.read_exact(&mut reply).await?;
    Reply::decode(reply).ok_or_else(|| std::io::ErrorKind::InvalidData.into())
}
