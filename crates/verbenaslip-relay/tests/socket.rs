//! Options of connections that detect unresponsive peers.

use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};
use verbenaslip_relay::socket;

/// Time for which a sound peer may fall silent and go on.
const SHORT_SILENCE: Duration = Duration::from_secs(2);

/// Time within which a connection that is silent for good must be noticed.
const MAX_DETECTION_TIME: Duration = Duration::from_secs(4);

#[tokio::test]
async fn a_short_silence_of_a_peer_ends_no_connection() {
    // Guards against a `TCP_USER_TIMEOUT` that ends keepalive sooner than the number of probes says.
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let stream = TcpStream::connect(address).await.expect("the listener accepts");
    socket::set_options(&stream).expect("the connection is open");
    let options = SockRef::from(&stream);
    let user_timeout = options.tcp_user_timeout().expect("an option").expect("a limit");
    let first_probe = options.tcp_keepalive_time().expect("an option");
    let interval = options.tcp_keepalive_interval().expect("an option");
    assert!(options.keepalive().expect("an option"));
    assert!(user_timeout >= SHORT_SILENCE, "{user_timeout:?}");
    assert!(user_timeout - first_probe >= SHORT_SILENCE, "{first_probe:?} of {user_timeout:?}");
    let noticed_after = first_probe.max(user_timeout) + interval;
    assert!(noticed_after <= MAX_DETECTION_TIME, "{noticed_after:?}");
}
