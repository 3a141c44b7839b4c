//! What a core believes, as log lines.

use serde_json::json;
use verbenaslip_fleet::core::Note;
use verbenaslip_fleet::registry::Run;
use verbenaslip_relay::journal::{self, Kind};

use crate::event;

/// Writes what a core believes to the log.
pub fn say(note: Note) {
    match note {
        Note::Role { term, duty, leader } => {
            let leader = leader.map(|leader| leader.to_string());
            let duty = format!("{duty:?}");
            journal::say(
                event::ROLE,
                [("term", json!(term)), ("role", json!(duty)), ("leader", json!(leader))],
            );
        }
        Note::Sheet { revision, routes } => {
            journal::say(event::SHEET, [("revision", json!(revision)), ("routes", json!(routes))]);
        }
        Note::Upstream { record } => {
            let it = &record.announcement;
            journal::say(
                event::UPSTREAM,
                [
                    ("upstream", json!(it.run.upstream.as_str())),
                    ("incarnation", json!(it.run.incarnation)),
                    ("service", json!(it.service)),
                    ("address", json!(it.address.to_string())),
                    ("zone", json!(it.zone.as_str())),
                    ("sequence", json!(it.sequence)),
                    ("reclaimable", json!(it.reclaimable)),
                    ("leaves_ms", json!(it.leaves.map(|leaves| leaves.as_millis()))),
                    ("standing", json!(format!("{:?}", record.standing))),
                ],
            );
        }
        Note::Withdrawn(run) => run_line(event::WITHDRAWN, &run),
        Note::Foreign(run) => run_line(event::FOREIGN, &run),
        Note::Voters { change } => {
            journal::say(event::VOTERS, [("change", json!(format!("{change:?}")))]);
        }
        Note::Closed { window, requests } => {
            journal::say(event::CLOSED, [("window", json!(window)), ("requests", json!(requests))]);
        }
        Note::Planned { service, base, busy, upstreams } => journal::say(
            event::PLANNED,
            [
                ("service", json!(service)),
                ("base", json!(base)),
                ("busy", json!(busy.map(|busy| (busy * 100.0).round() / 100.0))),
                ("upstreams", json!(upstreams)),
            ],
        ),
        Note::Unsure { what } => journal::say(event::UNSURE, [("asked", json!(what))]),
        Note::Unreadable(what) => journal::say(event::UNREADABLE, [("cause", json!(what))]),
    }
}

/// Writes a line about one run of an upstream.
fn run_line(kind: Kind, run: &Run) {
    let fields =
        [("upstream", json!(run.upstream.as_str())), ("incarnation", json!(run.incarnation))];
    journal::say(kind, fields);
}
