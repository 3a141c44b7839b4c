//! What cores remember of the versions at which streams began.

mod net;

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_fleet::core::Event;
use verbenaslip_fleet::frame::{Frame, OriginsFoundExtension, Trailing};
use verbenaslip_fleet::origin::copy::{Page, PageRequest};
use verbenaslip_fleet::origin::{Build, Origin, Origins, Stream, keepers};

use net::Network;

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

/// Time after which no caller takes a stream of these tests up any more.
const MAX_AGE_MS: u32 = 16_000;

/// Runs a fleet for longer than a stream lasts, and records streams of two versions.
fn network_with_streams(cores: usize) -> Network {
    let mut network = Network::new(cores, 2);
    network.run(ms(20_000));
    let version = |number| if number % 2 == 0 { "v1" } else { "v2" };
    let origins = (0..40).map(|it| origin(&format!("s-{it}"), version(it), MAX_AGE_MS));
    network.record_origins(0, origins.collect());
    network.run(ms(100));
    network
}

// Guards against cores that forget, one after another, where streams began.
#[test]
fn origins_outlive_cores_that_restart_in_turn() {
    let mut network = network_with_streams(3);
    for core in 0..3 {
        network.restart(core);
        network.run(ms(200));
    }
    for number in 0..40 {
        let stream = Stream::of(&format!("s-{number}"));
        let version = if number % 2 == 0 { "v1" } else { "v2" };
        let findings = network.find_origin(1, stream);
        let known = findings.values().filter_map(|it| it.origin);
        let builds: Vec<Build> = known.map(|(build, _)| build).collect();
        assert!(!builds.is_empty(), "s-{number} is not known");
        assert!(builds.iter().all(|it| *it == Build::of("desk", version)));
    }
    let unknown = network.find_origin(1, Stream::of("x"));
    let complete_ms: Vec<u32> = unknown.values().map(|it| it.complete_ms).collect();
    assert!(complete_ms.iter().all(|it| *it >= MAX_AGE_MS), "{complete_ms:?}");
}

// Guards against a claim to know everything after a restart of all cores at once.
#[test]
fn cores_that_restart_at_once_claim_nothing() {
    let mut network = network_with_streams(3);
    (0..3).for_each(|core| network.stop(core));
    (0..3).for_each(|core| network.restart(core));
    network.run(ms(3_000));
    let unknown = network.find_origin(1, Stream::of("s-0"));
    assert_eq!(unknown.len(), 3);
    for finding in unknown.values() {
        assert_eq!(finding.origin, None);
        assert!(finding.complete_ms <= 3_100, "{}", finding.complete_ms);
    }
}

// Guards against a claim to know everything while the core is silent that may have been told as well.
#[test]
fn core_that_restarts_claims_nothing_while_another_is_silent() {
    let mut network = network_with_streams(3);
    network.disconnect_core(1);
    network.restart(0);
    network.run(ms(1_000));
    let finding = network.find_origin(1, Stream::of("x"))[&0];
    assert!(finding.complete_ms <= 1_100, "{}", finding.complete_ms);
    network.reconnect_core(1);
    network.run(ms(500));
    let finding = network.find_origin(1, Stream::of("x"))[&0];
    assert!(finding.complete_ms >= MAX_AGE_MS, "{}", finding.complete_ms);
}

// Guards against taking the answer of a core that sends no pages for the answer of one that knows nothing.
#[test]
fn answer_without_a_page_completes_no_copy() {
    let mut network = network_with_streams(3);
    (1..3).for_each(|core| network.disconnect_core(core));
    network.restart(0);
    for core in [1, 2] {
        let from = SocketAddr::from(([10, 1, 0, core], 7_000));
        let extension = Trailing::default();
        let frame = Frame::OriginsFound { from, findings: Vec::new(), extension };
        network.deliver_to_core(0, frame);
    }
    network.run(ms(1_000));
    let finding = network.find_origin(1, Stream::of("x"))[&0];
    assert!(finding.complete_ms <= 1_100, "{}", finding.complete_ms);
    network.run(ms(5_000));
    let events = network.take_events();
    let missing = events.iter().find_map(|(core, event)| match event {
        Event::OriginsCopied(outcome) if *core == 0 && !outcome.missing.is_empty() => {
            Some(outcome.missing.len())
        }
        _ => None,
    });
    assert_eq!(missing, Some(2));
}

// Guards against a core that restarts and ends before the next one has its copy.
#[test]
fn copy_is_complete_within_a_hundred_milliseconds() {
    let mut network = network_with_streams(3);
    network.take_events();
    network.restart(2);
    network.run(ms(100));
    let events = network.take_events();
    let outcome = events.iter().find_map(|(core, event)| match event {
        Event::OriginsCopied(outcome) if *core == 2 => Some(outcome.clone()),
        _ => None,
    });
    let outcome = outcome.expect("a copy");
    assert_eq!((outcome.cores, outcome.missing.len(), outcome.origins), (2, 0, 40));
}

// Guards against copies that are remembered anew with each restart.
#[test]
fn copied_origin_keeps_its_age_and_its_lifetime() {
    let (mut first, mut second) = (Origins::new(ms(0)), Origins::new(ms(500_000)));
    first.record(ms(1_000), &origin("a", "v1", 6_000));
    let (origins, next) = first.page(ms(3_000), None);
    assert_eq!(next, None);
    origins.iter().for_each(|it| second.merge(ms(500_010), ms(500_000), it));
    let found = second.find(ms(500_010), Stream::of("a"));
    assert_eq!(found.origin, Some((Build::of("desk", "v1"), 2_010)));
    assert!(second.find(ms(504_010), Stream::of("a")).origin.is_some());
    assert_eq!(second.find(ms(504_011), Stream::of("a")).origin, None);
}

// Guards against a copy that displaces the version to which a stream moved before its first event.
#[test]
fn later_origin_is_kept_beside_an_earlier_copy() {
    let (mut first, mut second) = (Origins::new(ms(0)), Origins::new(ms(0)));
    first.record(ms(1_000), &origin("a", "v1", 6_000));
    let (origins, _) = first.page(ms(2_000), None);
    second.record(ms(1_500), &origin("a", "v2", 6_000));
    origins.iter().for_each(|it| second.merge(ms(2_010), ms(2_000), it));
    let found = second.find(ms(2_010), Stream::of("a")).origin;
    assert_eq!(found.map(|it| it.0), Some(Build::of("desk", "v2")));
}

/// Returns the sizes of the frames in which a table is copied.
fn copy_sizes(stream_count: u32) -> Vec<usize> {
    let mut origins = Origins::new(ms(0));
    for number in 0..stream_count {
        let now = ms(u64::from(number) * 15_000 / u64::from(stream_count));
        origins.record(now, &origin(&number.to_string(), "v1", MAX_AGE_MS));
    }
    let (mut sizes, mut after, mut streams) = (Vec::new(), None, 0);
    loop {
        let (copied, next) = origins.page(ms(15_000), after);
        streams += copied.len();
        let request = PageRequest { number: u64::MAX, after };
        let from = SocketAddr::from(([10, 0, 0, 200], 7_600));
        let page = Page {
            request,
            incarnation: u64::MAX,
            origins: copied,
            next,
            complete_ms: 60_000,
            cores: vec![from; 9],
        };
        let page = Trailing(Some(Box::new(page)));
        let extension = Trailing(OriginsFoundExtension { page, ..Default::default() });
        let frame = Frame::OriginsFound { from, findings: Vec::new(), extension };
        let bytes = postcard::to_stdvec(&frame).expect("a frame can be encoded");
        let decoded: Frame = postcard::from_bytes(&bytes).expect("a frame can be read");
        assert_eq!(decoded, frame);
        sizes.push(bytes.len() + 4);
        after = next;
        if after.is_none() {
            break;
        }
    }
    assert_eq!(streams, stream_count as usize);
    sizes
}

#[test]
fn copies_are_small_and_come_in_bounded_frames() {
    let usual: usize = copy_sizes(13 * 15).iter().sum();
    let large = copy_sizes(100_000);
    println!(
        "{usual} B of 195 streams; {} B in {} frames of 100,000",
        large.iter().sum::<usize>(),
        large.len()
    );
    assert!(usual <= 5_000, "{usual}");
    assert!(large.iter().all(|it| *it <= 40_000));
}

// Guards against frames of older builds that can't be read, and against frames that they can't read.
#[test]
fn questions_and_findings_are_those_of_older_builds_without_copies() {
    let from = SocketAddr::from(([10, 0, 0, 200], 7_600));
    let streams = vec![Stream::of("a")];
    let question = Frame::FindOrigins { from, streams, copy: Trailing(None) };
    let bytes = postcard::to_stdvec(&question).expect("a frame can be encoded");
    // The kind, an address with its family and port, and one stream.
    assert_eq!(bytes.len(), 1 + 1 + 4 + 2 + 1 + 8);
    assert_eq!(postcard::from_bytes::<Frame>(&bytes).expect("a frame can be read"), question);
}
