//! Sockets with options that detect unresponsive connections.
//!
//! An open connection may become unresponsive for good, without a reset, while new connections
//! work. Requests on it would then wait until their deadlines. The kernel drops such a connection
//! when sent bytes stay unacknowledged, or when keepalive probes on an idle connection stay
//! unanswered.
//!
//! `TCP_USER_TIMEOUT` decides both: where it is set, Linux drops an idle connection at the first
//! probe that is due after this time without a byte, whatever the number of probes. All
//! connections have the same options: those of callers, of upstreams, between entries and gateways,
//! and between instances.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

/// Time that sent bytes or probes may stay unacknowledged. A sound peer may fall silent for a second
/// or so and go on.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time after which a connection is probed; a peer that falls silent just before the first
/// probe has the rest of [`UNACKNOWLEDGED_TIMEOUT`] to go on.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);

/// Time between two probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Pause before accepting again when no file descriptor is free; other connections end all the
/// time and free theirs.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Connects within `limit`.
///
/// # Errors
///
/// Fails if the address does not answer in time, or refuses.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address));
    let stream = stream.await.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Listens on an address.
///
/// # Errors
///
/// Fails if the address cannot be listened on.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection.
///
/// Accepting fails while no file descriptor is free. Retrying without a pause would take all of
/// the thread's time.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Sets the options of a connection.
///
/// # Errors
///
/// Fails if the connection has already ended.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let keepalive = TcpKeepalive::new().with_time(KEEPALIVE_IDLE).with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}
