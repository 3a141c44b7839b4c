//! Datagrams and connections from other instances.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, BufReader};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::sleep;

use crate::event::Event;
use crate::peers::link::{BEAT, SILENT};
use crate::peers::wire::{DATAGRAM_MAX, Datagram, Frame, Purpose, Stamp};
use crate::peers::{Report, Shared, Via, count};

/// The name of the listener in events.
const LISTENER: &str = "peers";

/// The most connections from others at once.
const CONNECTIONS_MAX: usize = 2048;

/// How long is rested after the system has failed to give a connection or a datagram.
const REST: Duration = Duration::from_millis(20);

/// Receives datagrams.
pub(crate) async fn datagrams(shared: Arc<Shared>, socket: UdpSocket) {
    let mut buffer = vec![0; DATAGRAM_MAX + 1];
    loop {
        // An error tells of an earlier datagram that nobody took; the socket goes on.
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            sleep(REST).await;
            continue;
        };
        match Datagram::decode(&buffer[..length]) {
            Ok(datagram) if known(&shared, &datagram.stamp, source) => {
                let Stamp { from, incarnation, .. } = datagram.stamp;
                let (via, bytes) = (Via::Datagram, datagram.bytes);
                shared.tell(Report { from, incarnation, source, via, bytes });
            }
            Ok(_) => {}
            Err(error) => refuse(&shared, source, &error),
        }
    }
}

/// Takes connections.
pub(crate) async fn accept(shared: Arc<Shared>, listener: TcpListener) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let (stream, source) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(error) => {
                let cause = error.to_string().into();
                Event::AcceptFailed { listener: LISTENER.into(), cause }.log();
                sleep(REST).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= CONNECTIONS_MAX {
            count(&shared.counts.refused);
            let limit = CONNECTIONS_MAX as u64;
            Event::ConnectionsFull { listener: LISTENER.into(), limit }.log();
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (shared, open) = (shared.clone(), open.clone());
        tokio::spawn(async move {
            if let Err(error) = serve(&shared, stream, source).await {
                match error.kind() {
                    io::ErrorKind::InvalidData => refuse(&shared, source, &error),
                    _ => log::debug!("connection from {source} ended: {error}"),
                }
            }
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Serves one connection until it ends or is silent.
async fn serve(shared: &Shared, mut stream: TcpStream, source: SocketAddr) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let Frame::Hello { stamp, purpose } = Frame::read(&mut stream, SILENT).await? else {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the first frame is no greeting"));
    };
    if !known(shared, &stamp, source) {
        return Ok(());
    }
    match purpose {
        Purpose::Messages => messages(shared, stream, &stamp, source).await,
        Purpose::Answers => {
            shared.answers.adopt(stream.into_std()?);
            Ok(())
        }
    }
}

/// Passes on messages, and sends heartbeats meanwhile.
async fn messages(
    shared: &Shared,
    mut stream: TcpStream,
    stamp: &Stamp,
    source: SocketAddr,
) -> io::Result<()> {
    let (reader, writer) = stream.split();
    // The heartbeats wait for nothing: as answers they would come too late behind a large frame.
    tokio::select! {
        read = pass_on(shared, BufReader::new(reader), stamp, source) => read,
        beaten = beat(writer) => beaten,
    }
}

async fn pass_on(
    shared: &Shared,
    mut reader: impl AsyncRead + Unpin,
    stamp: &Stamp,
    source: SocketAddr,
) -> io::Result<()> {
    loop {
        match Frame::read(&mut reader, SILENT).await? {
            Frame::Heartbeat => {}
            Frame::Message(bytes) => {
                let Stamp { from, incarnation, .. } = stamp.clone();
                let via = Via::Stream;
                shared.tell(Report { from, incarnation, source, via, bytes });
            }
            _ => return Err(io::Error::new(io::ErrorKind::InvalidData, "the frame is no message")),
        }
    }
}

async fn beat(mut writer: impl AsyncWrite + Unpin) -> io::Result<()> {
    loop {
        Frame::Heartbeat.write(&mut writer, SILENT).await?;
        sleep(BEAT).await;
    }
}

/// Says whether a sender is of this deployment.
fn known(shared: &Shared, stamp: &Stamp, source: SocketAddr) -> bool {
    let known = stamp.deployment == shared.stamp.deployment;
    if !known {
        count(&shared.counts.refused);
        Event::ForeignCluster { peer: stamp.from.clone(), address: source }.log();
    }
    known
}

fn refuse(shared: &Shared, source: SocketAddr, error: &dyn std::error::Error) {
    count(&shared.counts.refused);
    Event::FrameRefused { address: source, cause: error.to_string().into() }.log();
}
