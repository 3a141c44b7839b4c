//! Which version of a service an entry chooses for a request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::rollout::{Cohort, Plan, State};
use verbenaslip_relay::policy::upstream_state::Ending;
use verbenaslip_relay::policy::versions::{Track, Tracks, Versions};

const NOW: Duration = Duration::from_secs(20);

fn plan(state: State, share: f64, shifting: bool) -> Plan {
    Plan {
        id: 1,
        step: 1,
        version: "v2".into(),
        rejected: BTreeSet::new(),
        state,
        share,
        route_shares: BTreeMap::from([("r".into(), share)]),
        canaries: (!shifting).then(|| BTreeSet::from(["c".into()])),
        shifting,
        slow_ms: BTreeMap::from([("r".into(), 100)]),
    }
}

fn view(plan: Plan, confirmed: Duration) -> View {
    let plans = BTreeMap::from([(Arc::from("pool"), plan)]);
    View { rollout_plans: Arc::new(plans), plans_confirmed_at: Some(confirmed), ..View::default() }
}

fn preferred_track(versions: &Versions, is_retry: bool, random_fraction: f64) -> Track {
    versions.choose_tracks(NOW, "pool", "r", is_retry, random_fraction).preferred
}

#[test]
fn without_rollout_only_stable_track_is_used() {
    let versions = Versions::default();
    assert_eq!(versions.choose_tracks(NOW, "pool", "r", false, 0.0), Tracks::default());
}

#[test]
fn canaries_get_their_share_and_no_retries() {
    let mut versions = Versions::default();
    versions.update(&view(plan(State::Serving, 0.1, false), NOW));
    assert_eq!(preferred_track(&versions, false, 0.05), Track::Candidate);
    assert_eq!(preferred_track(&versions, false, 0.15), Track::Stable);
    assert_eq!(preferred_track(&versions, true, 0.05), Track::Stable);
}

#[test]
fn entry_without_leader_prefers_stable_track() {
    let mut versions = Versions::default();
    versions.update(&view(plan(State::Serving, 1.0, true), NOW - Duration::from_millis(900)));
    assert_eq!(preferred_track(&versions, false, 0.5), Track::Candidate);
    versions.update(&view(plan(State::Serving, 1.0, true), NOW - Duration::from_millis(1_100)));
    let tracks = versions.choose_tracks(NOW, "pool", "r", false, 0.5);
    let second = Some(Track::Candidate);
    assert_eq!(
        tracks,
        Tracks { preferred: Track::Stable, fallback: second },
        "the stable upstreams may be gone"
    );
}

#[test]
fn rollback_holds_against_later_leader() {
    let mut versions = Versions::default();
    versions.update(&view(plan(State::RolledBack, 0.0, false), NOW));
    versions.update(&view(plan(State::Serving, 1.0, true), NOW));
    assert_eq!(versions.choose_tracks(NOW, "pool", "r", false, 0.0), Tracks::default());
    assert!(versions.report(NOW)[0].halted, "the leader must learn of the rollback");
}

#[test]
fn slow_request_counts_as_bad_once_before_its_answer() {
    let mut versions = Versions::default();
    versions.update(&view(plan(State::Serving, 0.1, false), NOW));
    let route: Arc<str> = "r".into();
    let ticket = versions
        .record_sent(NOW, "pool", &route, Cohort::Canary, 7)
        .expect("the request is counted");
    let later = NOW + Duration::from_millis(150);
    let counts = |versions: &mut Versions| {
        let rows = versions.report(later).remove(0).rows;
        (rows[0].1.sent, rows[0].1.ended, rows[0].1.bad)
    };
    assert_eq!(counts(&mut versions), (1, 1, 1));
    versions.record_first_event("pool", ticket, Duration::from_millis(160));
    versions.record_end(later, "pool", ticket, Ending::Complete);
    assert_eq!(counts(&mut versions), (1, 1, 1));
}

#[test]
fn unreached_request_does_not_count_as_ended() {
    let mut versions = Versions::default();
    versions.update(&view(plan(State::Serving, 0.1, false), NOW));
    let route: Arc<str> = "r".into();
    for ending in [Ending::Unreachable, Ending::Full, Ending::Abandoned] {
        let ticket = versions
            .record_sent(NOW, "pool", &route, Cohort::Canary, 7)
            .expect("the request is counted");
        versions.record_end(NOW, "pool", ticket, ending);
    }
    let rows = versions.report(NOW).remove(0).rows;
    assert_eq!((rows[0].1.sent, rows[0].1.ended, rows[0].1.bad), (2, 0, 0));
}

#[test]
fn entry_stops_using_a_failing_candidate() {
    let mut versions = Versions::default();
    versions.update(&view(plan(State::Serving, 1.0, true), NOW));
    let route: Arc<str> = "r".into();
    for _ in 0..12 {
        let ticket = versions.record_sent(NOW, "pool", &route, Cohort::Candidate, 7);
        versions.record_end(NOW, "pool", ticket.expect("the request is counted"), Ending::Failed);
    }
    versions.report(NOW);
    assert_eq!(preferred_track(&versions, false, 0.0), Track::Stable);
}
