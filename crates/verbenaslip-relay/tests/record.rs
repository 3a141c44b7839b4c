//! What an entry remembers of requests with the same content, and which of them it holds back.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_fleet::View;
use verbenaslip_fleet::crash_report::ObservedAnswer;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::quarantine::{Block, Blocklist};
use verbenaslip_relay::http::Framing;
use verbenaslip_relay::policy::quarantine::{Quarantine, proves_execution};

const SECOND: Duration = Duration::from_secs(1);

const OWN: ([u8; 4], u16) = ([10, 2, 0, 1], 7_000);
const OTHER: ([u8; 4], u16) = ([10, 2, 0, 2], 7_000);

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::of(7, "red", "h", "/safe/x", name.as_bytes())
}

fn watching(fingerprints: &[Fingerprint]) -> Arc<Blocklist> {
    let watched: BTreeSet<Fingerprint> = fingerprints.iter().copied().collect();
    Arc::new(Blocklist { key: Some(7), watched, quarantined: BTreeMap::new() })
}

/// Returns the view of an entry in which a request is quarantined until a time, or may be tried by
/// an entry.
fn holding(fingerprint: Fingerprint, until: u64, tried_by: Option<SocketAddr>) -> View {
    let held = Block { since: 0, until, failed_trials: 0, trial_entry: tried_by };
    let blocklist = Blocklist {
        key: Some(7),
        watched: BTreeSet::new(),
        quarantined: BTreeMap::from([(fingerprint, held)]),
    };
    View { blocklist: Arc::new(blocklist), own_address: Some(OWN.into()), ..View::default() }
}

#[test]
fn the_same_content_has_the_same_print_and_any_other_has_another() {
    let of = |key, team, host, target, body: &str| {
        Fingerprint::of(key, team, host, target, body.as_bytes())
    };
    let fingerprint = of(7, "red", "h", "/x?page=1", "body");
    assert_eq!(of(7, "red", "h", "/x?page=1", "body"), fingerprint);
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    for other in [
        of(8, "red", "h", "/x?page=1", "body"),
        of(7, "blue", "h", "/x?page=1", "body"),
        of(7, "red", "g", "/x?page=1", "body"),
        of(7, "red", "h", "/x?page=2", "body"),
        of(7, "red", "h", "/x?page=1", "bodY"),
        of(7, "re", "dh", "/x?page=1", "body"),
        of(7, "red", "h", "/x?page=1b", "ody"),
    ] {
        assert_ne!(other, fingerprint);
    }
}

#[test]
fn an_answer_from_before_a_request_was_watched_is_told_once_it_is() {
    // A popular request was answered a moment ago; then two upstreams crash during it elsewhere.
    let mut record = Quarantine::default();
    let (popular, bad) = (fingerprint("popular"), fingerprint("bad"));
    record.update(&watching(&[]));
    assert!(!record.record_answer(SECOND, popular, &watching(&[])), "the request is not watched");
    let blocklist = watching(&[popular, bad]);
    assert_eq!(record.update(&blocklist), [ObservedAnswer { fingerprint: popular, at: SECOND }]);
    assert_eq!(record.update(&blocklist), [], "once");
    assert!(record.record_answer(SECOND * 2, popular, &blocklist), "each later answer is reported");
}

#[test]
fn a_flood_of_answers_pushes_a_popular_one_out_only_until_it_is_answered_again() {
    let mut record = Quarantine::default();
    let popular = fingerprint("popular");
    let none = watching(&[]);
    record.update(&none);
    record.record_answer(SECOND, popular, &none);
    for number in 0..5_000 {
        record.record_answer(SECOND, fingerprint(&number.to_string()), &none);
    }
    let blocklist = watching(&[popular]);
    assert_eq!(record.update(&blocklist), []);
    assert!(record.record_answer(SECOND * 2, popular, &blocklist));
}

#[test]
fn what_is_held_back_is_refused_until_then_with_when_to_come_back() {
    let mut record = Quarantine::default();
    let bad = fingerprint("bad");
    let view = holding(bad, 61_000, None);
    assert_eq!(record.quarantined_for(SECOND, bad, &view), Some(SECOND * 60));
    assert_eq!(record.quarantined_for(SECOND, fingerprint("other"), &view), None);
    let back = record.quarantined_for(SECOND * 70, bad, &view);
    assert_eq!(back, Some(SECOND * 5), "the retry time has a minimum");
}

#[test]
fn the_chosen_entry_lets_one_through_and_no_second_one() {
    // Guards against several trials of one request. An entry that gets a poison request ten times
    // a second would crash ten upstreams before it learns of the first crash.
    let mut record = Quarantine::default();
    let bad = fingerprint("bad");
    let elsewhere = holding(bad, 61_000, Some(OTHER.into()));
    assert!(record.quarantined_for(SECOND * 70, bad, &elsewhere).is_some());
    let here = holding(bad, 61_000, Some(OWN.into()));
    assert_eq!(record.quarantined_for(SECOND * 70, bad, &here), None);
    assert!(record.quarantined_for(SECOND * 70, bad, &here).is_some());
    assert!(record.quarantined_for(SECOND * 71, bad, &elsewhere).is_some());
    assert!(
        record.quarantined_for(SECOND * 72, bad, &here).is_some(),
        "an entry chosen again makes no second trial"
    );
    let later = holding(bad, 400_000, Some(OWN.into()));
    assert_eq!(record.quarantined_for(SECOND * 401, bad, &later), None, "the next quarantine allows another trial");
}

#[test]
fn only_an_answer_that_was_surely_run_tells_that_an_upstream_survives() {
    // Guards against releasing a poison request. An upstream that fails part of its requests
    // answers it with an error, or crashes in the middle of an answer without a length; neither
    // proves that the upstream survived.
    assert!(proves_execution(200, Some(Framing::Chunked)));
    assert!(proves_execution(404, Some(Framing::Length(3))));
    assert!(proves_execution(204, Some(Framing::Empty)));
    assert!(!proves_execution(500, Some(Framing::Length(3))));
    assert!(!proves_execution(200, Some(Framing::UntilClose)));
    assert!(!proves_execution(200, None));
}
