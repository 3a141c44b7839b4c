//! Ports that are known before they are bound.
//!
//! A port that the system calls free may go to whoever asks next, or to an outgoing connection,
//! before its owner binds it; one notices an instance that can't listen. So ports come from below
//! those that the system gives out by itself, and each comes only once in a process.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// The lowest port.
const FIRST: u32 = 10_000;

/// How many ports there are, up to those that Linux gives out by itself, from 32,768.
const COUNT: u32 = 22_000;

/// Between the first ports of processes that were started one after the other, so that those running
/// at once seldom try the same.
const STEP: u32 = 509;

/// Returns a loopback address whose port is free for TCP and UDP.
///
/// # Errors
///
/// Fails when no port is free.
pub fn free() -> io::Result<SocketAddr> {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(STEP);
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        if taken >= COUNT {
            return Err(io::ErrorKind::AddrNotAvailable.into());
        }
        let port = FIRST + start.wrapping_add(taken) % COUNT;
        let port = u16::try_from(port).map_err(|_| io::ErrorKind::AddrNotAvailable)?;
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
