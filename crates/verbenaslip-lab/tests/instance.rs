//! Runs the tables of cases for callers and announcements against entry instances.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use verbenaslip_lab::contract::{self, case};
use verbenaslip_lab::demo::layout::{TEAM_KEY, UPSTREAM_KEY};
use verbenaslip_lab::demo::system::System;

fn unix() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
    u64::try_from(now.as_millis()).expect("the clock is right")
}

fn holds(address: SocketAddr, cases: &[case::Case]) {
    let broken = case::run(address, cases).expect("a runtime starts");
    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn instances_hold_to_their_interfaces() {
    let system = System::open().expect("the system starts");
    let (entries, admins) = (system.entries(), system.admins());
    holds(entries[0], &contract::callers::cases(TEAM_KEY, unix()));
    holds(admins[1], &contract::announce::cases(UPSTREAM_KEY));
    assert!(system.stop().expect("no instance panics"), "every instance stops gracefully");
}
