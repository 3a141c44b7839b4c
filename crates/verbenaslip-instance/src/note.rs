//! What a core believes, as log lines.

use serde_json::json;
use verbenaslip_fleet::core::Note;
use verbenaslip_relay::journal::{self, Kind};

const ROLE: Kind = Kind { number: 910, name: "log_role" };
const SHEET: Kind = Kind { number: 911, name: "routes_in_force" };
const UPSTREAM: Kind = Kind { number: 912, name: "upstream_changed" };
const WITHDRAWN: Kind = Kind { number: 913, name: "upstream_withdrawn" };
const VOTERS: Kind = Kind { number: 914, name: "voters_changing" };
const CLOSED: Kind = Kind { number: 915, name: "usage_closed" };
const UNSURE: Kind = Kind { number: 916, name: "call_unsure" };
const UNREADABLE: Kind = Kind { number: 917, name: "log_unreadable" };

/// Writes what a core believes to the log.
pub fn say(note: Note) {
    match note {
        Note::Role { term, duty, leader } => {
            let leader = leader.map(|leader| leader.to_string());
            let duty = format!("{duty:?}");
            journal::say(
                ROLE,
                [("term", json!(term)), ("role", json!(duty)), ("leader", json!(leader))],
            );
        }
        Note::Sheet { revision, routes } => {
            journal::say(SHEET, [("revision", json!(revision)), ("routes", json!(routes))]);
        }
        Note::Upstream { record } => {
            let it = &record.announcement;
            journal::say(
                UPSTREAM,
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
            journal::say(WITHDRAWN, [("upstream", json!(upstream.as_str()))]);
        }
        Note::Voters { change } => {
            journal::say(VOTERS, [("change", json!(format!("{change:?}")))]);
        }
        Note::Closed { window, requests } => {
            journal::say(CLOSED, [("window", json!(window)), ("requests", json!(requests))]);
        }
        Note::Unsure { what } => journal::say(UNSURE, [("asked", json!(what))]),
        Note::Unreadable(what) => journal::say(UNREADABLE, [("cause", json!(what))]),
    }
}
