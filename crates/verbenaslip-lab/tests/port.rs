//! Ports that are known before they are bound.

use std::collections::BTreeSet;
use std::net::{TcpListener, UdpSocket};

use verbenaslip_lab::port;

/// From here Linux gives out ports by itself.
const EPHEMERAL: u16 = 32_768;

/// Symptom: now and then an instance of a test can't listen because its address is in use.
/// Sequence: ports are drawn one after the other, each freed before the next is drawn, and bound
/// later. Cause: the system may give the same port again, or to an outgoing connection.
#[test]
fn no_port_comes_twice_or_goes_to_an_outgoing_connection() {
    let addresses: Vec<_> = (0..1_000).map(|_| port::free().expect("a port is free")).collect();
    assert_eq!(addresses.iter().collect::<BTreeSet<_>>().len(), addresses.len());
    assert!(addresses.iter().all(|address| address.port() < EPHEMERAL));
}

#[test]
fn a_port_is_free_for_both_protocols() {
    let address = port::free().expect("a port is free");
    let tcp = TcpListener::bind(address).expect("it is free for TCP");
    let udp = UdpSocket::bind(address).expect("it is free for UDP");
    assert_eq!(tcp.local_addr().ok(), udp.local_addr().ok());
}
