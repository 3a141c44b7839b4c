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

// Guards against a request that is not sent on, because its gateway says meanwhile that it is stopping.
#[tokio::test]
async fn request_is_written_although_its_gateway_is_stopping() {
    let retiring = u16::MAX.to_le_bytes();
    for _ in 0..20 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
        let gateway = listener.local_addr().expect("the listener is bound");
        let serve = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let opening = opening().encode();
            stream.read_exact(&mut vec![0; opening.len()]).await.expect("an opening");
            let reply = Reply { status: Status::Open, load: 0 }.encode();
            stream.write_all(&[&reply[..], &retiring[..]].concat()).await.expect("it is read");
            stream
        };
        let run = opening().run;
        let opened = tunnel::connect(gateway, &run, Duration::from_secs(1));
        let (opened, mut stream) = tokio::join!(opened, serve);
        let (mut connection, _) = opened.expect("the gateway opens it");
        let limit = Duration::from_secs(2);
        let written = tokio::time::timeout(limit, connection.write_or_read(b"request")).await;
        assert_eq!(written.expect("no wait").expect("no failure"), Progress::Wrote(7));
        stream.read_exact(&mut [0; 7]).await.expect("the request");
    }
}
