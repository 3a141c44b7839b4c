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

const OWN_ADDRESS: ([u8; 4], u16) = ([10, 2, 0, 1], 7_000);
const OTHER_ADDRESS: ([u8; 4], u16) = ([10, 2, 0, 2], 7_000);

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::of(7, "red", "h", "/safe/x", name.as_bytes())
}

fn blocklist_watching(fingerprints: &[Fingerprint]) -> Arc<Blocklist> {
    let watched: BTreeSet<Fingerprint> = fingerprints.iter().copied().collect();
    Arc::new(Blocklist { key: Some(7), watched, quarantined: BTreeMap::new() })
}

/// Returns the view of an entry in which a request is quarantined until a time, or may be tried by
/// an entry.
fn view_with_quarantined(
    fingerprint: Fingerprint,
    until: u64,
    trial_entry: Option<SocketAddr>,
) -> View {
    let held = Block { since: 0, until, failed_trials: 0, trial_entry };
    let blocklist = Blocklist {
        key: Some(7),
        watched: BTreeSet::new(),
        quarantined: BTreeMap::from([(fingerprint, held)]),
    };
    View {
        blocklist: Arc::new(blocklist),
        own_address: Some(OWN_ADDRESS.into()),
        ..View::default()
    }
}

/// Records an answer; returns whether the leader wants to know of it.
fn record_answer(
    record: &mut Quarantine,
    now: Duration,
    fingerprint: Fingerprint,
    blocklist: &Blocklist,
) -> bool {
    !record.record_answer(now, std::iter::once(fingerprint), blocklist).is_empty()
}

/// Returns how long a request is quarantined.
fn quarantined_for(
    record: &mut Quarantine,
    now: Duration,
    fingerprint: Fingerprint,
    view: &View,
) -> Option<Duration> {
    let (held_by, time) = record.quarantined_for(now, std::iter::once(fingerprint), view)?;
    assert_eq!(held_by, fingerprint);
    Some(time)
}

#[test]
fn fingerprint_depends_on_exact_content() {
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
fn earlier_answer_is_reported_once_request_is_watched() {
    // A popular request was answered a moment ago; then two upstreams crash during it elsewhere.
    let mut record = Quarantine::default();
    let (popular, poison) = (fingerprint("popular"), fingerprint("bad"));
    record.update(SECOND, &blocklist_watching(&[]));
    assert!(
        !record_answer(&mut record, SECOND, popular, &blocklist_watching(&[])),
        "the request is not watched"
    );
    let blocklist = blocklist_watching(&[popular, poison]);
    assert_eq!(
        record.update(SECOND, &blocklist),
        [ObservedAnswer { fingerprint: popular, at: SECOND }]
    );
    assert_eq!(record.update(SECOND, &blocklist), [], "once");
    assert!(
        record_answer(&mut record, SECOND * 2, popular, &blocklist),
        "each later answer is reported"
    );
}

#[test]
fn evicted_answer_is_remembered_again_after_next_answer() {
    let mut record = Quarantine::default();
    let popular = fingerprint("popular");
    let none = blocklist_watching(&[]);
    record.update(SECOND, &none);
    record_answer(&mut record, SECOND, popular, &none);
    for number in 0..5_000 {
        record_answer(&mut record, SECOND, fingerprint(&number.to_string()), &none);
    }
    let blocklist = blocklist_watching(&[popular]);
    assert_eq!(record.update(SECOND, &blocklist), []);
    assert!(record_answer(&mut record, SECOND * 2, popular, &blocklist));
}

#[test]
fn answers_to_a_watched_request_are_reported_at_intervals() {
    // Guards against hundreds of entries that report each answer to a part which most prompts share.
    let mut record = Quarantine::default();
    let popular = Fingerprint::of_part(7, "model", 1);
    let blocklist = blocklist_watching(&[popular]);
    record.update(SECOND, &blocklist);
    let reported = (0..1_000).filter(|millis| {
        let now = SECOND + Duration::from_millis(*millis);
        record_answer(&mut record, now, popular, &blocklist)
    });
    assert_eq!(reported.count(), 4);
}

#[test]
fn parts_answered_around_a_crash_are_no_suspects() {
    let mut record = Quarantine::default();
    let (shared, content) = (Fingerprint::of_part(7, "model", 1), fingerprint("content"));
    let none = blocklist_watching(&[]);
    assert!(record.is_suspect(shared, SECOND), "it was never answered");
    for fingerprint in [shared, content] {
        record_answer(&mut record, SECOND * 10, fingerprint, &none);
    }
    assert!(!record.is_suspect(shared, SECOND * 9), "answered since");
    assert!(!record.is_suspect(shared, SECOND * 12), "answered a moment before");
    assert!(record.is_suspect(shared, SECOND * 13));
    assert!(record.is_suspect(content, SECOND * 9), "the leader decides on contents");
}

#[test]
fn a_trial_is_not_spent_while_another_fingerprint_is_quarantined() {
    let mut record = Quarantine::default();
    let (tried, held) = (fingerprint("tried"), Fingerprint::of_part(7, "model", 1));
    let mut view = view_with_quarantined(tried, 61_000, Some(OWN_ADDRESS.into()));
    let mut blocklist = Blocklist::clone(&view.blocklist);
    let block = Block { since: 0, until: 900_000, failed_trials: 0, trial_entry: None };
    blocklist.quarantined.insert(held, block);
    view.blocklist = Arc::new(blocklist);
    let both = || [tried, held].into_iter();
    let refused = record.quarantined_for(SECOND * 70, both(), &view);
    assert_eq!(refused.map(|it| it.0), Some(held));
    assert_eq!(quarantined_for(&mut record, SECOND * 70, tried, &view), None);
}

#[test]
fn quarantined_request_is_refused_with_retry_time() {
    let mut record = Quarantine::default();
    let poison = fingerprint("bad");
    let view = view_with_quarantined(poison, 61_000, None);
    assert_eq!(quarantined_for(&mut record, SECOND, poison, &view), Some(SECOND * 60));
    assert_eq!(quarantined_for(&mut record, SECOND, fingerprint("other"), &view), None);
    let retry_after = quarantined_for(&mut record, SECOND * 70, poison, &view);
    assert_eq!(retry_after, Some(SECOND * 5), "the retry time has a minimum");
}

#[test]
fn chosen_entry_lets_a_single_trial_through() {
    // Guards against several trials of one request. An entry that gets a poison request ten times
    // a second would crash ten upstreams before it learns of the first crash.
    let mut record = Quarantine::default();
    let poison = fingerprint("bad");
    let elsewhere = view_with_quarantined(poison, 61_000, Some(OTHER_ADDRESS.into()));
    assert!(quarantined_for(&mut record, SECOND * 70, poison, &elsewhere).is_some());
    let here = view_with_quarantined(poison, 61_000, Some(OWN_ADDRESS.into()));
    assert_eq!(quarantined_for(&mut record, SECOND * 70, poison, &here), None);
    assert!(quarantined_for(&mut record, SECOND * 70, poison, &here).is_some());
    assert!(quarantined_for(&mut record, SECOND * 71, poison, &elsewhere).is_some());
    assert!(
        quarantined_for(&mut record, SECOND * 72, poison, &here).is_some(),
        "an entry chosen again makes no second trial"
    );
    let later = view_with_quarantined(poison, 400_000, Some(OWN_ADDRESS.into()));
    assert_eq!(
        quarantined_for(&mut record, SECOND * 401, poison, &later),
        None,
        "the next quarantine allows another trial"
    );
}

#[test]
fn only_certain_execution_proves_survival() {
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
