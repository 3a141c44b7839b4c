//! The catalogue of log events: code and docs agree, and no text from outside forges a line.

mod source;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use verbenaslip::event::throttle::{MOST, Throttle, Verdict, WINDOW};
use verbenaslip::event::{CATALOGUE, Event};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::refusal::Reason;

use source::sources;

const DOCS: &str = include_str!("../../../docs/EVENTS.md");

/// Returns the cells of each event's row in the docs.
fn rows() -> Vec<Vec<&'static str>> {
    let cells = |line: &'static str| line.split('|').map(str::trim).collect::<Vec<_>>();
    DOCS.lines().filter(|line| line.starts_with("| V")).map(cells).collect()
}

#[test]
fn docs_list_each_event_with_its_level_and_text() {
    let rows = rows();
    assert_eq!(rows.len(), CATALOGUE.len(), "as many events in the docs as in code");
    for (row, entry) in rows.iter().zip(CATALOGUE) {
        let [_, number, level, text, meaning, action, _] = row.as_slice() else {
            panic!("{row:?} has five cells")
        };
        assert_eq!(*number, format!("V{}", entry.number), "{}", entry.name);
        assert_eq!(*level, entry.level.as_str().to_lowercase(), "{number}");
        assert_eq!(*text, format!("`{}`", entry.text), "{number}");
        assert!(meaning.ends_with('.'), "{number} says what it means");
        assert!(action.ends_with('.'), "{number} says what to do");
    }
}

#[test]
fn numbers_rise_and_names_are_unique() {
    assert!(CATALOGUE.windows(2).all(|pair| pair[0].number < pair[1].number));
    let names: BTreeSet<&str> = CATALOGUE.iter().map(|entry| entry.name).collect();
    assert_eq!(names.len(), CATALOGUE.len());
}

#[test]
fn events_that_the_docs_refer_to_exist() {
    let numbers: BTreeSet<String> = CATALOGUE.iter().map(|e| format!("V{}", e.number)).collect();
    let words = DOCS.split(|c: char| !c.is_ascii_alphanumeric());
    let is_number = |word: &&str| {
        word.len() == 5 && word.starts_with('V') && word[1..].bytes().all(|b| b.is_ascii_digit())
    };
    for word in words.filter(is_number) {
        assert!(numbers.contains(word), "{word} is in the catalogue");
    }
}

#[test]
fn text_carries_the_fields() {
    let event = Event::RequestRefused {
        request: Request(0xab),
        team: "owners".into(),
        class: "draft".into(),
        reason: Reason::NoUpstream,
        retry: "1500ms".into(),
    };
    let expected = "request 000000000000000000000000000000ab of owners/draft refused, not run: \
        no-upstream, come back after 1500ms";
    assert_eq!(event.to_string(), expected);
}

/// Symptom: a log shows events that never happened. Sequence: a caller or upstream sends a name
/// with a line break followed by what looks like an event. Cause: text from outside written as is.
#[test]
fn text_from_outside_stays_on_one_line_of_bounded_length() {
    let forged = "a\nV1012 stopped\u{1b}[2J{requests}";
    let event =
        Event::Draining { cause: forged.into(), requests: 7, limit: Duration::from_secs(25) };
    let shown = event.to_string();
    assert!(!shown.contains('\n') && !shown.contains('\u{1b}'), "{shown}");
    assert!(shown.contains("{requests}: 7 requests"), "values are not templates: {shown}");
    let event = Event::SettingsRefused { problem: "x".repeat(100_000).into() };
    assert!(event.to_string().len() < 1_100);
}

/// Symptom: the disk of a voter is full minutes after the hourly burst. Sequence: thousands of
/// requests a second are refused and each is logged. Cause: no bound on events of one number.
#[test]
fn burst_of_one_number_is_counted_and_not_written() {
    let mut throttle = Throttle::new();
    let start = Instant::now();
    let verdicts: Vec<Verdict> = (0..1_000).map(|_| throttle.admit(6001, start)).collect();
    let written = verdicts.iter().filter(|verdict| **verdict == Verdict::Write).count() as u64;
    assert_eq!(written, MOST);
    assert_eq!(throttle.admit(6002, start), Verdict::Write, "another number has its own count");
    let next = throttle.admit(6001, start + WINDOW);
    assert_eq!(next, Verdict::WriteAfter { count: 1_000 - MOST });
    assert_eq!(throttle.admit(6001, start + WINDOW), Verdict::Write);
    assert_eq!(throttle.admit(6001, start + 3 * WINDOW), Verdict::Write, "nothing was left out");
}

#[test]
fn events_that_nothing_logs_are_listed() {
    let sources = sources();
    let (_, listed) = DOCS.split_once("Not logged yet: ").expect("the page lists them");
    let listed = listed.split("\n\n").next().unwrap_or_default();
    for entry in CATALOGUE {
        let name = format!("Event::{}", entry.name);
        let logged = sources
            .split(&name)
            .skip(1)
            .any(|rest| rest.starts_with(|next: char| !next.is_alphanumeric()))
            || sources.contains(&format!("Self::{} {{", entry.name));
        let number = format!("V{}", entry.number);
        assert!(logged || listed.contains(&number), "{number} {} is not logged", entry.name);
    }
}
