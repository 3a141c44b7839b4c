//! What a core believes, as log lines.

use serde_json::json;
use verbenaslip_fleet::core::Note;
use verbenaslip_relay::journal;

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
                    ("upstream", json!(it.upstream.as_str())),
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
        Note::Withdrawn(upstream) => {
            journal::say(event::WITHDRAWN, [("upstream", json!(upstream.as_str()))]);
        }
        Note::Voters { change } => {
            journal::say(event::VOTERS, [("change", json!(format!("{change:?}")))]);
        }
        Note::Closed { window, requests } => {
            journal::say(event::CLOSED, [("window", json!(window)), ("requests", json!(requests))]);
        }
        Note::Unsure { what } => journal::say(event::UNSURE, [("asked", json!(what))]),
        Note::Unreadable(what) => journal::say(event::UNREADABLE, [("cause", json!(what))]),
    }
}
