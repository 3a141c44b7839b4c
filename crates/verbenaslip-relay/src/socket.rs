//! Sockets with the options that notice a connection that has gone silent.
//!
//! An open connection may go silent for good while new ones work, without a reset. One would notice
//! requests that wait on it until their deadlines. The kernel gives it up when what was sent stays
//! unacknowledged, or probes on an idle one stay unanswered.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};

/// How long sent bytes may stay unacknowledged: well under the shortest timeout of a route, and
/// many times the longest path between two availability zones.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// After this idle time a connection is probed.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(2);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Between two tries to accept a connection when there is no descriptor for it: other connections
/// end all the time.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Connects within a time.
///
/// # Errors
///
/// Fails when the address does not answer, or not in time.
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
/// Fails when the address can't be listened on.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection.
///
/// Out of descriptors it fails until some are free again; tried again without a pause it would take
/// all of the thread's time.
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
/// Fails when the connection has ended meanwhile.
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
