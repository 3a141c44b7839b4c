//! Upstreams of one plain service, and requests for them.

#![allow(dead_code)] // Each test file uses its own part.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::{AvailabilityZone, Upstream};
use verbenaslip_fleet::View;
use verbenaslip_fleet::registry::{Announcement, Record, Run, Status};
use verbenaslip_relay::dialect::{Correlation, RateLimit, ResponseInfo};
use verbenaslip_relay::policy::placement::{Choice, Decision, Placement, Query};
use verbenaslip_relay::policy::versions::Tracks;

/// An answer that asks for nothing.
pub const REPLY: ResponseInfo = ResponseInfo {
    correlation: Correlation::Matching,
    not_run: false,
    other_run: false,
    brittle: None,
    unrequested_encoding: false,
    rate_limit: RateLimit::Unlimited,
    leaving: false,
    cooldown: None,
};

pub fn run(number: u16, incarnation: u64) -> Run {
    Run { upstream: Upstream::new(format!("u{number}")), incarnation }
}

/// Returns a ready upstream; its number is its port.
pub fn record(run: Run, zone: &str) -> Record {
    let number: u16 = run.upstream.as_str()[1..].parse().expect("a number");
    let announcement = Announcement {
        run,
        service: "desk".into(),
        address: ([10, 0, 0, 1], number).into(),
        zone: AvailabilityZone::from(zone),
        version: "v1".into(),
        slots: 16,
        draining: false,
        warmup_left: Duration::ZERO,
        reclaimable: false,
        leaves_in: None,
        sequence: 1,
    };
    Record { announcement, status: Status::Ready }
}

pub fn view(runs: impl IntoIterator<Item = Run>) -> View {
    let named = runs.into_iter().map(|run| (run.upstream.clone(), record(run, "north")));
    View { upstreams: Arc::new(named.collect::<BTreeMap<_, _>>()), ..View::default() }
}

pub fn new_placement(view: &View) -> Placement {
    let mut entry = Placement::new(AvailabilityZone::from("north"));
    entry.update(view);
    entry
}

/// Returns a request; `spare` states whether it may be sent to a second upstream.
pub fn query(spare: bool) -> Query<'static> {
    Query {
        service: "desk",
        rank: 0,
        parts: &[],
        prompt_tokens: 0,
        tried_runs: &[],
        objective: Duration::from_millis(300),
        remaining: Duration::from_secs(3),
        has_spare_attempt: spare,
        returning: false,
        may_have_run: false,
        tracks: Tracks::default(),
        version: None,
    }
}

/// Places a request and expects an upstream to take it.
pub fn place(entry: &mut Placement, now: Duration) -> Choice {
    match entry.choose(now, &query(true)) {
        Decision::Send(choice) => choice,
        other => panic!("{other:?}"),
    }
}
