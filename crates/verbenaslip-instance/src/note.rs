//! What a core believes, as log lines.

use std::time::Duration;

use serde_json::{Value, json};
use verbenaslip_fleet::core::Event;
use verbenaslip_fleet::departure::Departure;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::hub::AckCounts;
use verbenaslip_fleet::quarantine::Finding;
use verbenaslip_fleet::registry::{Record, Run, StaleAnnouncement};
use verbenaslip_fleet::rollout::Rollout;
use verbenaslip_fleet::transition::Transition;
use verbenaslip_fleet::view::Version;
use verbenaslip_relay::event_log::{self, Kind};

use crate::event;

/// Writes what a core believes to the log.
pub fn say(note: Event) {
    match note {
        Event::Role { term, role: duty, leader } => {
            let leader = leader.map(|leader| leader.to_string());
            let duty = format!("{duty:?}");
            event_log::emit(
                event::ROLE,
                [("term", json!(term)), ("role", json!(duty)), ("leader", json!(leader))],
            );
        }
        Event::RouteTable { revision, routes } => {
            event_log::emit(
                event::SHEET,
                [("revision", json!(revision)), ("routes", json!(routes))],
            );
        }
        Event::Upstream { record } => say_upstream(&record),
        Event::UpstreamWithdrawn(run) => run_line(event::WITHDRAWN, &run),
        Event::StaleAnnouncement(late) => say_late(&late),
        Event::DepartureAcknowledged { departure, waited, version: change, acks: spread } => {
            say_acknowledged(&departure, waited, change, spread);
        }
        Event::LeadershipStarted { term, upstreams, logged, departures, quarantined: held } => {
            event_log::emit(
                event::BEGAN,
                [
                    ("term", json!(term)),
                    ("upstreams", json!(upstreams)),
                    ("logged", json!(logged)),
                    ("departures", json!(departures)),
                    ("held_back", json!(held)),
                ],
            )
        }
        Event::LeaseLost { term } => event_log::emit(event::LAPSED, [("term", json!(term))]),
        Event::LeadershipResumed { term } => {
            event_log::emit(event::RESUMED, [("term", json!(term))])
        }
        Event::UnknownService(run) => run_line(event::FOREIGN, &run),
        Event::VotersChanged { change } => {
            event_log::emit(event::VOTERS, [("change", json!(format!("{change:?}")))]);
        }
        Event::QuarantineDecided(finding) => say_found(&finding),
        Event::LimitChanged(sighting) => event_log::emit(
            event::LIMIT,
            [
                ("upstream", json!(sighting.run.upstream.as_str())),
                ("incarnation", json!(sighting.run.incarnation)),
                ("per_second", json!(sighting.limit.rate)),
                ("answered", json!(sighting.limit.reported_at_ms)),
            ],
        ),
        Event::WindowClosed { window, requests } => {
            event_log::emit(
                event::CLOSED,
                [("window", json!(window)), ("requests", json!(requests))],
            );
        }
        Event::RolloutStage { rollout, stage, exposure } => {
            let stage = ("stage", json!(format!("{stage:?}")));
            event_log::emit(
                event::ROLLOUT_STAGE,
                rollout_fields(&rollout, exposure).chain([stage]),
            );
        }
        Event::RolloutDecided { rollout, verdict, exposure } => {
            let state = format!("{:?}", verdict.state);
            metrics::counter!("verbenaslip_rollouts_decided_total", "state" => state.clone())
                .increment(1);
            let reason = ("reason", json!(format!("{:?}", verdict.reason)));
            let fields = [("state", json!(state)), reason];
            event_log::emit(
                event::ROLLOUT_DECIDED,
                rollout_fields(&rollout, exposure).chain(fields),
            );
        }
        Event::ScalingPlanned { service, initial_count: base, busy_upstreams: busy, upstreams } => {
            event_log::emit(
                event::PLANNED,
                [
                    ("service", json!(service)),
                    ("base", json!(base)),
                    ("busy", json!(busy.map(|busy| (busy * 100.0).round() / 100.0))),
                    ("upstreams", json!(upstreams)),
                ],
            )
        }
        Event::CallTimedOut { call: what } => {
            event_log::emit(event::UNSURE, [("asked", json!(what))])
        }
        Event::UnreadableLog(what) => event_log::emit(event::UNREADABLE, [("cause", json!(what))]),
    }
}

/// Writes a line about an acknowledged departure.
fn say_acknowledged(departure: &Departure, waited: Duration, change: Version, spread: AckCounts) {
    let complete = spread.acknowledged >= spread.reachable;
    metrics::histogram!("verbenaslip_leaving_seconds").record(waited.as_secs_f64());
    event_log::emit(
        event::ACKNOWLEDGED,
        [
            ("upstream", json!(departure.run.upstream.as_str())),
            ("incarnation", json!(departure.run.incarnation)),
            ("standing", json!(format!("{:?}", departure.status))),
            ("waited_ms", json!(waited.as_millis())),
            ("term", json!(change.term)),
            ("change", json!(change.change)),
            ("seen", json!(spread.acknowledged)),
            ("heard", json!(spread.reachable)),
            ("silent", json!(spread.silent)),
            ("complete", json!(complete)),
        ],
    );
}

/// Lists what a line says of a roll-out: its order and the requests that its candidate got.
fn rollout_fields(
    rollout: &Rollout,
    (all, candidate): (u64, u64),
) -> impl Iterator<Item = (&'static str, Value)> {
    [
        ("rollout", json!(rollout.id)),
        ("service", json!(rollout.order.service)),
        ("version", json!(rollout.order.version)),
        ("limit_ms", json!(rollout.order.time_limit.as_millis())),
        ("requests", json!(all)),
        ("candidate_requests", json!(candidate)),
    ]
    .into_iter()
}

/// Writes a line about what is known of an upstream.
fn say_upstream(record: &Record) {
    let it = &record.announcement;
    event_log::emit(
        event::UPSTREAM,
        [
            ("upstream", json!(it.run.upstream.as_str())),
            ("incarnation", json!(it.run.incarnation)),
            ("service", json!(it.service)),
            ("address", json!(it.address.to_string())),
            ("zone", json!(it.zone.as_str())),
            ("sequence", json!(it.sequence)),
            ("reclaimable", json!(it.reclaimable)),
            ("leaves_ms", json!(it.leaves_in.map(|leaves| leaves.as_millis()))),
            ("standing", json!(format!("{:?}", record.status))),
        ],
    );
}

/// Writes a line about an announcement that was passed over.
fn say_late(late: &StaleAnnouncement) {
    metrics::counter!("verbenaslip_announcements_late_total").increment(1);
    let (known, last) = late.known.unzip();
    let (standing, age) = late.departed.unzip();
    event_log::emit(
        event::LATE,
        [
            ("upstream", json!(late.run.upstream.as_str())),
            ("incarnation", json!(late.run.incarnation)),
            ("sequence", json!(late.sequence)),
            ("known_incarnation", json!(known)),
            ("known_sequence", json!(last)),
            ("departed", json!(standing.map(|it| format!("{it:?}")))),
            ("departed_ms", json!(age.map(|age| age.as_millis()))),
        ],
    );
}

/// Writes a line about a request that ends upstreams, or may do so.
fn say_found(finding: &Finding) {
    let runs = |runs: &[Run]| json!(runs.iter().map(|it| it.upstream.as_str()).collect::<Vec<_>>());
    let content = |fingerprint: &Fingerprint| ("content", json!(fingerprint.to_string()));
    match finding {
        Finding::Suspected { fingerprint, runs: ended } => {
            event_log::emit(event::SUSPECTED, [content(fingerprint), ("upstreams", runs(ended))]);
        }
        Finding::Quarantined { fingerprint, runs: ended, held } => {
            metrics::counter!("verbenaslip_requests_held_back_total").increment(1);
            event_log::emit(
                event::HELD,
                [
                    content(fingerprint),
                    ("upstreams", runs(ended)),
                    ("until", json!(held.until)),
                    ("tries", json!(held.failed_trials)),
                ],
            );
        }
        Finding::Cleared { fingerprint, cause } => {
            event_log::emit(
                event::CLEARED,
                [content(fingerprint), ("cause", json!(format!("{cause:?}")))],
            );
        }
        Finding::TrialOffered { fingerprint, entry } => {
            event_log::emit(
                event::TRIED,
                [content(fingerprint), ("entry", json!(entry.to_string()))],
            );
        }
    }
}

/// Lists how upstreams stand, by name; null for one that is gone.
pub(crate) fn standings(changed: &[Transition]) -> Value {
    let named = |it: &Transition| {
        let standing = it.standing.map(|standing| format!("{standing:?}"));
        (it.upstream.as_str().to_owned(), json!(standing))
    };
    Value::Object(changed.iter().map(named).collect())
}

/// Writes a line about one run of an upstream.
fn run_line(kind: Kind, run: &Run) {
    let fields =
        [("upstream", json!(run.upstream.as_str())), ("incarnation", json!(run.incarnation))];
    event_log::emit(kind, fields);
}
