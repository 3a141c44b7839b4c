//! Sockets with options that detect unresponsive connections.
//!
//! An open connection may become unresponsive for good, without a reset, while new connections
//! work. Requests on it would then wait until their deadlines. The kernel drops such a connection
//! when sent bytes stay unacknowledged, or when keepalive probes on an idle connection stay
//! unanswered.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

/// Time that sent bytes may stay unacknowledged; well below the shortest timeout of a route, and
/// many times the longest round trip between two availability zones.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Idle time after which a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

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
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(Duration::from_secs(1))
        .with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}
