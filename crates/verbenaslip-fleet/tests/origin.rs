//! What cores remember of the versions at which streams began.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_fleet::frame::Frame;
use verbenaslip_fleet::origin::{Build, Origin, Origins, Stream, keepers};

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn origin(id: &str, version: &str, lifetime_ms: u32) -> Origin {
    Origin { stream: Stream::of(id), build: Build::of("desk", version), lifetime_ms }
}

#[test]
fn an_origin_is_known_until_its_lifetime_ends() {
    let mut origins = Origins::new(ms(0));
    origins.record(ms(1_000), &origin("a", "v1", 6_000));
    let found = origins.find(ms(1_400), Stream::of("a"));
    assert_eq!((found.origin, found.complete_ms), (Some((Build::of("desk", "v1"), 400)), 1_400));
    assert!(origins.find(ms(7_000), Stream::of("a")).origin.is_some());
    assert_eq!(origins.find(ms(7_001), Stream::of("a")).origin, None);
    assert_eq!(origins.find(ms(1_400), Stream::of("b")).origin, None);
}

#[test]
fn the_last_version_before_the_first_event_counts() {
    let mut origins = Origins::new(ms(0));
    origins.record(ms(0), &origin("a", "v1", 60_000));
    origins.record(ms(10), &origin("a", "v2", 6_000));
    let found = origins.find(ms(10), Stream::of("a")).origin;
    assert_eq!(found, Some((Build::of("desk", "v2"), 0)));
    assert_eq!(origins.len(), 1);
}

// Guards against a table that grows with all streams of a day.
#[test]
fn expired_origins_are_dropped() {
    let mut origins = Origins::new(ms(0));
    for second in 0..600 {
        for number in 0..10 {
            let id = format!("{second}-{number}");
            origins.record(ms(second * 1_000), &origin(&id, "v1", 6_000));
        }
    }
    assert!(origins.len() <= 10 * (6 + 8 + 1), "{}", origins.len());
}

// Guards against an answer that a stream is unknown from a core that had no room for it.
#[test]
fn a_full_table_says_that_it_does_not_know_all() {
    let mut origins = Origins::new(ms(0));
    let mut number = 0;
    while origins.take_loss(ms(1_000)).is_none() {
        origins.record(ms(1_000), &origin(&number.to_string(), "v1", 60_000));
        number += 1;
    }
    assert_eq!(origins.find(ms(1_500), Stream::of("x")).complete_ms, 500);
    origins.record(ms(2_000), &origin("x", "v1", 60_000));
    assert_eq!(origins.take_loss(ms(5_999)), None);
    assert_eq!(origins.take_loss(ms(6_000)), Some(1));
}

#[test]
fn versions_of_two_services_differ() {
    assert_ne!(Build::of("desk", "v1"), Build::of("shop", "v1"));
    assert_ne!(Build::of("desk", "v1"), Build::of("desk", "v2"));
}

#[test]
fn entries_spread_over_all_cores_as_keepers() {
    let address = |host: u8| SocketAddr::from(([10, 0, 0, host], 7_600));
    let cores: Vec<SocketAddr> = (1..=9).map(address).collect();
    let mut loads = [0; 9];
    for entry in 10..250 {
        let chosen = keepers(address(entry), &cores);
        assert_eq!(chosen.len(), 2);
        assert_ne!(chosen[0], chosen[1]);
        for (load, core) in loads.iter_mut().zip(&cores) {
            *load += usize::from(chosen.contains(core));
        }
    }
    // 53 on average; four standard deviations are 25.
    assert!(loads.iter().all(|load| (28..=78).contains(load)), "{loads:?}");
    assert_eq!(keepers(address(10), &cores[..1]), cores[..1]);
}

/// Returns the bytes that an entry sends to two cores in a second whose streams begin evenly, in one frame
/// in 20 ms at most, each of which asks for an acknowledgement.
fn bytes_per_second(streams_per_second: u32) -> usize {
    let frame_count = streams_per_second.min(50);
    let acknowledge_to = Some(SocketAddr::from(([10, 0, 0, 200], 7_600)));
    let length = |number: u32| {
        let count = streams_per_second / frame_count;
        let origins = (0..count).map(|it| origin(&format!("{number}-{it}"), "v1", 6_000));
        let frame = Frame::RecordOrigins { acknowledge_to, origins: origins.collect() };
        postcard::to_stdvec(&frame).expect("a frame can be encoded").len() + 4
    };
    2 * (0..frame_count).map(length).sum::<usize>()
}

#[test]
fn records_take_a_small_part_of_the_control_traffic() {
    let (usual, large) = (bytes_per_second(13), bytes_per_second(100));
    println!("{usual} B/s at 13 streams a second, {large} B/s at 100");
    assert!(usual <= 1_000, "{usual}");
    assert!(large <= 6_000, "{large}");
}
