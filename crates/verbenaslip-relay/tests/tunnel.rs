//! What an entry and a gateway send to each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::gateway::Gateway;
use verbenaslip_fleet::registry::Run;
use verbenaslip_relay::http::connection::Progress;
use verbenaslip_relay::policy::gateways::{Gateways, Refusal};
use verbenaslip_relay::tunnel::{self, Opening, Prefix, Reply, Status};

fn opening() -> Opening {
    let run = Run { upstream: Upstream::new("i-7"), incarnation: 9 };
    Opening { run, limit: Duration::from_millis(300) }
}

#[test]
fn openings_replies_and_prefixes_arrive_as_sent_at_any_split() {
    // Guards against messages that only arrive if they come in one piece.
    let bytes = opening().encode();
    for split in 0..bytes.len() {
        let mut buffer = BytesMut::from(&bytes[..split]);
        assert_eq!(Opening::take(&mut buffer).expect("the start of an opening"), None);
        buffer.extend_from_slice(&bytes[split..]);
        assert_eq!(Opening::take(&mut buffer).expect("an opening"), Some(opening()));
        assert!(buffer.is_empty());
    }
    for status in [Status::Open, Status::Unreachable, Status::NoPath, Status::Busy] {
        let reply = Reply { status, load: 300 };
        assert_eq!(Reply::decode(reply.encode()), Some(reply));
    }
    assert_eq!(Reply::decode([9, 0, 0]), None);
    let bytes = Prefix::wrap("r-1", b"POST", 300);
    for split in 0..bytes.len() - 4 {
        assert_eq!(Prefix::take(&mut BytesMut::from(&bytes[..split])), None);
    }
    let mut buffer = BytesMut::from(&bytes[..]);
    assert_eq!(Prefix::take(&mut buffer), Some(Prefix { id: "r-1".to_owned(), length: 304 }));
    assert_eq!(&buffer[..], b"POST");
}

#[test]
fn bytes_that_are_no_opening_are_refused() {
    // Guards against connections that another protocol opens.
    assert!(Opening::take(&mut BytesMut::from(&b"GET / HTTP/1.1"[..])).is_err());
    let mut bytes = opening().encode();
    *bytes.last_mut().expect("a name") = 0xff;
    assert!(Opening::take(&mut BytesMut::from(&bytes[..])).is_err());
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7_000))
}

fn gateways(zones: &[&str]) -> Gateways {
    let named = zones.iter().zip(1..);
    let list = named.map(|(zone, host)| Gateway { address: address(host), zone: (*zone).into() });
    let mut gateways = Gateways::default();
    gateways.update(&list.collect::<Vec<_>>());
    gateways
}

#[test]
fn connections_are_spread_over_near_gateways_and_then_over_others() {
    // Guards against one near gateway that carries a whole zone.
    let mut gateways = gateways(&["north", "north", "south", "south"]);
    let zone = AvailabilityZone::from("north");
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for number in 0..40 {
        let fraction = f64::from(number % 7) / 7.0;
        let chosen = gateways.choose(Duration::ZERO, &zone, &[], fraction).expect("a gateway");
        *counts.entry(chosen).or_default() += 1;
    }
    let counts: Vec<usize> = (1..=4).map(|host| counts[&address(host)]).collect();
    let (near, far) = (counts[0] + counts[1], counts[2] + counts[3]);
    assert!(near > far && far >= 4, "{counts:?}");
    assert!(counts[0].abs_diff(counts[1]) <= 2 && counts[2].abs_diff(counts[3]) <= 2, "{counts:?}");
}

#[test]
fn gateways_that_refuse_are_left_for_a_while() {
    // Guards against asking gateways that are cut off themselves again and again.
    let mut gateways = gateways(&["north", "north"]);
    let zone = AvailabilityZone::from("north");
    gateways.record_refusal(Duration::ZERO, address(1), Refusal::NoPath);
    for number in 0..10 {
        let fraction = f64::from(number) / 10.0;
        let chosen = gateways.choose(Duration::ZERO, &zone, &[], fraction);
        assert_eq!(chosen, Some(address(2)));
    }
    assert_eq!(gateways.choose(Duration::ZERO, &zone, &[address(2)], 0.0), None);
    let later = Duration::from_secs(2);
    assert_eq!(gateways.choose(later, &zone, &[address(2)], 0.0), Some(address(1)));
}

#[test]
fn a_request_goes_out_though_the_gateway_says_that_it_stops() {
    // Guards against an entry that waits for an answer after the notice, before it has sent the request.
    const REQUEST: &[u8] = b"POST";
    const RETIRING: [u8; 2] = [0xff, 0xff];
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        for attempt in 0..20 {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port is free");
            let address = listener.local_addr().expect("the listener is bound");
            let gateway = tokio::spawn(async move {
                let (mut entry, _) = listener.accept().await.expect("an entry");
                let mut opening = vec![0; opening().encode().len()];
                entry.read_exact(&mut opening).await.expect("an opening");
                let reply = Reply { status: Status::Open, load: 1_001 }.encode();
                entry.write_all(&[&reply[..], &RETIRING].concat()).await.expect("an entry");
                let mut request = [0; REQUEST.len()];
                entry.read_exact(&mut request).await.expect("a request");
                request
            });
            let run = opening().run;
            let opened = tunnel::connect(address, &run, Duration::from_secs(1)).await;
            let (mut connection, _) = opened.expect("the gateway opens the connection");
            connection.readable().await.expect("the notice has arrived");
            let written = connection.write_or_read(REQUEST);
            let written = tokio::time::timeout(Duration::from_secs(2), written).await;
            let progress = written.unwrap_or_else(|_| panic!("attempt {attempt}: nothing written"));
            assert_eq!(progress.expect("the connection is open"), Progress::Wrote(REQUEST.len()));
            assert_eq!(gateway.await.expect("the gateway runs"), REQUEST);
        }
    });
}
