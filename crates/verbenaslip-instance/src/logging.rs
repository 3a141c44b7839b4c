//! Log lines about the events of a core.

use std::time::Duration;

use serde_json::{Value, json};
use verbenaslip_fleet::core::{EditAnswer, Event};
use verbenaslip_fleet::departure::Departure;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::hub::AckCounts;
use verbenaslip_fleet::measurement::Figure;
use verbenaslip_fleet::measurement::summary::Summary;
use verbenaslip_fleet::origin::copy::CopyOutcome;
use verbenaslip_fleet::quarantine::Finding;
use verbenaslip_fleet::registry::{Record, Run, StaleAnnouncement};
use verbenaslip_fleet::rollout::Rollout;
use verbenaslip_fleet::transition::Transition;
use verbenaslip_fleet::view::Version;
use verbenaslip_relay::event_log::{Kind, emit};

use crate::event;

/// Logs an event of a core.
pub fn log_event(event: Event) {
    match event {
        Event::Role { term, role, leader } => {
            let leader = leader.map(|leader| leader.to_string());
            let role = format!("{role:?}");
            emit(
                event::ROLE,
                [("term", json!(term)), ("role", json!(role)), ("leader", json!(leader))],
            );
        }
        Event::RouteTable { revision, routes } => {
            emit(
                event::ROUTE_TABLE_COMMITTED,
                [("revision", json!(revision)), ("routes", json!(routes))],
            );
        }
        Event::EditAnswered(answer) => log_edit(&answer),
        Event::Upstream { record } => log_upstream(&record),
        Event::UpstreamWithdrawn(run) => log_run(event::UPSTREAM_WITHDRAWN, &run),
        Event::StaleAnnouncement(stale) => log_stale(&stale),
        Event::DepartureAcknowledged { departure, waited, version, acks } => {
            log_departure(&departure, waited, version, acks);
        }
        Event::LeadershipStarted { term, upstreams, logged, departures, quarantined } => emit(
            event::LEADERSHIP_STARTED,
            [
                ("term", json!(term)),
                ("upstreams", json!(upstreams)),
                ("logged", json!(logged)),
                ("departures", json!(departures)),
                ("held_back", json!(quarantined)),
            ],
        ),
        Event::LeaseLost { term } => emit(event::LEASE_LOST, [("term", json!(term))]),
        Event::LeadershipResumed { term } => {
            emit(event::LEADERSHIP_RESUMED, [("term", json!(term))])
        }
        Event::UnknownService(run) => log_run(event::UNKNOWN_SERVICE, &run),
        Event::VotersChanged { change } => {
            emit(event::VOTERS_CHANGED, [("change", json!(format!("{change:?}")))]);
        }
        Event::QuarantineDecided(finding) => log_finding(&finding),
        Event::LimitChanged(observed) => emit(
            event::LIMIT_CHANGED,
            [
                ("upstream", json!(observed.run.upstream.as_str())),
                ("incarnation", json!(observed.run.incarnation)),
                ("per_second", json!(observed.limit.rate)),
                ("answered", json!(observed.limit.reported_at_ms)),
            ],
        ),
        Event::WindowClosed { window, requests } => {
            emit(event::WINDOW_CLOSED, [("window", json!(window)), ("requests", json!(requests))]);
        }
        Event::RolloutStage { rollout, stage, exposure } => {
            let stage = ("stage", json!(format!("{stage:?}")));
            emit(event::ROLLOUT_STAGE, rollout_fields(&rollout, exposure).chain([stage]));
        }
        Event::RolloutDecided { rollout, verdict, exposure } => {
            let state = format!("{:?}", verdict.state);
            metrics::counter!("verbenaslip_rollouts_decided_total", "state" => state.clone())
                .increment(1);
            let reason = ("reason", json!(format!("{:?}", verdict.reason)));
            let fields = [("state", json!(state)), reason];
            emit(event::ROLLOUT_DECIDED, rollout_fields(&rollout, exposure).chain(fields));
        }
        Event::ScalingPlanned { service, initial_count, busy_upstreams, upstreams } => emit(
            event::SCALING_PLANNED,
            [
                ("service", json!(service)),
                ("base", json!(initial_count)),
                ("busy", json!(busy_upstreams.map(|busy| (busy * 100.0).round() / 100.0))),
                ("upstreams", json!(upstreams)),
            ],
        ),
        Event::UpstreamFigures(summary) => log_figures(&summary),
        Event::OriginsLost { count } => emit(event::ORIGINS_LOST, [("count", json!(count))]),
        Event::OriginsCopied(outcome) => log_copy(&outcome),
        Event::CallTimedOut { call } => emit(event::CALL_TIMED_OUT, [("asked", json!(call))]),
        Event::UnreadableLog(cause) => emit(event::LOG_UNREADABLE, [("cause", json!(cause))]),
    }
}

/// Logs what all entries together measure at the upstreams of a service.
fn log_figures(summary: &Summary) {
    let rounded = |value: f64| json!((value * 100.0).round() / 100.0);
    let fields = |figure: &Figure| {
        json!({
            "stream_rate": figure.stream_rate.map(rounded),
            "wait_ms": rounded(figure.wait_ms),
            "pending_tokens": figure.pending_tokens,
            "active": figure.active,
            "events_per_s": rounded(figure.events_per_s),
            "failure_rate": rounded(figure.failure_rate),
        })
    };
    let upstreams = summary.upstreams.iter();
    let upstreams = upstreams.map(|(name, figure)| (name.as_str().to_owned(), fields(figure)));
    emit(
        event::UPSTREAM_FIGURES,
        [
            ("service", json!(summary.service)),
            ("figures", json!(summary.figures)),
            ("oldest_ms", json!(summary.oldest_age.as_millis())),
            ("median_stream_rate", rounded(summary.median_stream_rate)),
            ("median_wait_ms", rounded(summary.median_wait_ms)),
            ("upstreams", Value::Object(upstreams.collect())),
        ],
    );
}

/// Logs the end of a copy of the origins of streams.
fn log_copy(outcome: &CopyOutcome) {
    let missing: Vec<String> = outcome.missing.iter().map(ToString::to_string).collect();
    emit(
        event::ORIGINS_COPIED,
        [
            ("cores", json!(outcome.cores)),
            ("missing", json!(missing)),
            ("count", json!(outcome.origins)),
            ("complete_ms", json!(outcome.complete.as_millis())),
            ("elapsed_ms", json!(outcome.elapsed.as_millis())),
        ],
    );
}

/// Logs the answer to an edit.
fn log_edit(answer: &EditAnswer) {
    let EditAnswer { requested, revision, forwarded_by, token } = answer;
    let (core, core_token) = forwarded_by.unzip();
    emit(
        event::EDIT_ANSWERED,
        [
            ("requested", json!(requested)),
            ("revision", json!(revision)),
            ("token", json!(token)),
            ("forwarded_by", json!(core.map(|core| core.to_string()))),
            ("forwarded_token", json!(core_token)),
        ],
    );
}

/// Logs an acknowledged departure.
fn log_departure(departure: &Departure, waited: Duration, version: Version, acks: AckCounts) {
    let complete = acks.acknowledged >= acks.reachable;
    metrics::histogram!("verbenaslip_leaving_seconds").record(waited.as_secs_f64());
    emit(
        event::DEPARTURE_ACKNOWLEDGED,
        [
            ("upstream", json!(departure.run.upstream.as_str())),
            ("incarnation", json!(departure.run.incarnation)),
            ("standing", json!(format!("{:?}", departure.status))),
            ("waited_ms", json!(waited.as_millis())),
            ("term", json!(version.term)),
            ("change", json!(version.change)),
            ("seen", json!(acks.acknowledged)),
            ("heard", json!(acks.reachable)),
            ("silent", json!(acks.silent)),
            ("complete", json!(complete)),
        ],
    );
}

/// Returns the log fields of a rollout: its order and the counts of all requests and those at the candidate version.
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

/// Logs what the leader knows of an upstream.
fn log_upstream(record: &Record) {
    let announcement = &record.announcement;
    emit(
        event::UPSTREAM_CHANGED,
        [
            ("upstream", json!(announcement.run.upstream.as_str())),
            ("incarnation", json!(announcement.run.incarnation)),
            ("service", json!(announcement.service)),
            ("address", json!(announcement.address.to_string())),
            ("zone", json!(announcement.zone.as_str())),
            ("sequence", json!(announcement.sequence)),
            ("reclaimable", json!(announcement.reclaimable)),
            ("leaves_ms", json!(announcement.leaves_in.map(|leaves_in| leaves_in.as_millis()))),
            ("standing", json!(format!("{:?}", record.status))),
        ],
    );
}

/// Logs a stale announcement, which was ignored.
fn log_stale(stale: &StaleAnnouncement) {
    metrics::counter!("verbenaslip_announcements_late_total").increment(1);
    let (known_incarnation, known_sequence) = stale.known.unzip();
    let (departed, departed_for) = stale.departed.unzip();
    emit(
        event::STALE_ANNOUNCEMENT,
        [
            ("upstream", json!(stale.run.upstream.as_str())),
            ("incarnation", json!(stale.run.incarnation)),
            ("sequence", json!(stale.sequence)),
            ("known_incarnation", json!(known_incarnation)),
            ("known_sequence", json!(known_sequence)),
            ("departed", json!(departed.map(|it| format!("{it:?}")))),
            ("departed_ms", json!(departed_for.map(|time| time.as_millis()))),
        ],
    );
}

/// Logs a finding about a request that may crash upstreams.
fn log_finding(finding: &Finding) {
    let runs = |runs: &[Run]| json!(runs.iter().map(|it| it.upstream.as_str()).collect::<Vec<_>>());
    let content = |fingerprint: &Fingerprint| ("content", json!(fingerprint.to_string()));
    let kind = |fingerprint: &Fingerprint| if fingerprint.is_part() { "part" } else { "content" };
    match finding {
        Finding::Suspected { fingerprint, runs: crashed } => emit(
            event::REQUEST_SUSPECTED,
            [
                content(fingerprint),
                ("kind", json!(kind(fingerprint))),
                ("upstreams", runs(crashed)),
            ],
        ),
        Finding::Quarantined { fingerprint, runs: crashed, held } => {
            let kind = kind(fingerprint);
            metrics::counter!("verbenaslip_requests_held_back_total", "kind" => kind).increment(1);
            emit(
                event::REQUEST_QUARANTINED,
                [
                    content(fingerprint),
                    ("kind", json!(kind)),
                    ("upstreams", runs(crashed)),
                    ("until", json!(held.until)),
                    ("tries", json!(held.failed_trials)),
                ],
            );
        }
        Finding::Cleared { fingerprint, cause } => {
            emit(
                event::QUARANTINE_CLEARED,
                [content(fingerprint), ("cause", json!(format!("{cause:?}")))],
            );
        }
        Finding::TrialOffered { fingerprint, entry } => {
            emit(event::TRIAL_OFFERED, [content(fingerprint), ("entry", json!(entry.to_string()))]);
        }
    }
}

/// Returns the statuses of upstreams by name; null for a removed upstream.
pub(crate) fn statuses(changed: &[Transition]) -> Value {
    let named_status = |it: &Transition| {
        let standing = it.standing.map(|standing| format!("{standing:?}"));
        (it.upstream.as_str().to_owned(), json!(standing))
    };
    Value::Object(changed.iter().map(named_status).collect())
}

/// Logs an event about one run of an upstream.
fn log_run(kind: Kind, run: &Run) {
    let fields =
        [("upstream", json!(run.upstream.as_str())), ("incarnation", json!(run.incarnation))];
    emit(kind, fields);
}
