//! The catalogue of metrics: docs and code agree, and what is recorded shows at `/metrics`.

mod source;

use std::time::Duration;

use verbenaslip::metric::{CATALOGUE, Kind, Metric};
use verbenaslip_base::announce::Phase;
use verbenaslip_base::name::{AvailabilityZone, Class, Team};
use verbenaslip_base::refusal::Reason;

use source::sources;

const DOCS: &str = include_str!("../../../docs/OPERATIONS.md");

fn open() -> Metric {
    Metric::open(&"entry-1".into(), &"arendal".into())
}

#[test]
fn docs_list_each_metric() {
    let rows: Vec<&str> = DOCS.lines().filter(|line| line.starts_with("| `verbenaslip_")).collect();
    let expected: Vec<String> = CATALOGUE
        .iter()
        .map(|entry| {
            let kind = format!("{:?}", entry.kind).to_lowercase();
            let labels = entry.labels.join(", ");
            format!("| `{}` | {kind} | {labels} | {} |", entry.name, entry.text)
        })
        .collect();
    assert_eq!(rows, expected);
}

#[test]
fn names_follow_the_rules_of_prometheus() {
    for entry in CATALOGUE {
        assert_eq!(entry.name.ends_with("_total"), entry.kind == Kind::Counter, "{}", entry.name);
        assert!(entry.kind != Kind::Histogram || entry.name.ends_with("_seconds"));
        assert!(!entry.labels.contains(&"instance"), "{}", entry.name);
    }
}

#[test]
fn recorded_values_are_rendered_with_their_labels() {
    let metric = open();
    let (team, class): (Team, Class) = ("owners".into(), "draft".into());
    metric.refused(&team, &class, Reason::NoUpstream, 3);
    metric.refused(None::<&Team>, None::<&Class>, Reason::NoRow, 1);
    metric.upstreams(&AvailabilityZone::from("skarvik"), Phase::Ready, 4.0);
    metric.first_token(&team, &class, Duration::from_millis(1_390));
    metric.inter_tokens(&team, &class, Duration::from_millis(20), 7);
    let text = metric.render();
    let expected = [
        r#"verbenaslip_refused_total{instance="entry-1",instance_zone="arendal",team="owners",class="draft",reason="no-upstream"} 3"#,
        r#"verbenaslip_refused_total{instance="entry-1",instance_zone="arendal",team="none",class="none",reason="no-row"} 1"#,
        r#"verbenaslip_upstreams{instance="entry-1",instance_zone="arendal",zone="skarvik",phase="ready"} 4"#,
        r#"verbenaslip_first_token_seconds_bucket{instance="entry-1",instance_zone="arendal",team="owners",class="draft",le="1.4"} 1"#,
        r#"verbenaslip_inter_token_seconds_bucket{instance="entry-1",instance_zone="arendal",team="owners",class="draft",le="0.024"} 7"#,
        "# HELP verbenaslip_refused_total Requests refused as not run, by reason.",
    ];
    for line in expected {
        assert!(text.lines().any(|found| found == line), "{line}\nis not in\n{text}");
    }
}

/// Symptom: two instances in one process show each other's requests. Sequence: the demo runs three
/// instances. Cause: one recorder for the whole process.
#[test]
fn instances_of_one_process_do_not_add_up() {
    let (first, second) = (open(), open());
    first.takeovers(5);
    assert!(first.render().contains("verbenaslip_takeovers_total{"));
    assert!(!second.render().contains("verbenaslip_takeovers_total{"));
}

#[test]
fn upkeep_loses_no_recorded_time() {
    let metric = open();
    for _ in 0..100_000 {
        metric.step(Duration::from_micros(20));
    }
    metric.upkeep();
    let line =
        "verbenaslip_step_seconds_count{instance=\"entry-1\",instance_zone=\"arendal\"} 100000";
    assert!(metric.render().contains(line));
}

/// Symptom: an instance grows slowly until it is killed. Sequence: a caller sends a new request class
/// with each request. Cause: each class makes metrics of its own, which stay.
#[test]
fn classes_that_callers_make_up_do_not_fill_the_memory() {
    let metric = open();
    let team = Team::from("owners");
    for number in 0..10_000 {
        metric.requests(&team, &Class::from(format!("class-{number}").as_str()), 1);
    }
    let text = metric.render();
    let lines = text.lines().filter(|line| line.starts_with("verbenaslip_requests_total{"));
    assert_eq!(lines.count(), 257);
    assert!(text.contains("class=\"other\"} 9744"), "the rest is counted together");
}

#[test]
fn metrics_that_nothing_records_are_listed() {
    let sources = sources();
    let (_, listed) = DOCS.split_once("Not recorded yet: ").expect("the page lists them");
    let listed = listed.split("\n\n").next().unwrap_or_default();
    let methods = include_str!("../src/metric/list.rs").lines().map(str::trim);
    for line in methods {
        let mut words = line.split_whitespace();
        let (Some("Counter" | "Gauge" | "Histogram"), Some(method)) = (words.next(), words.next())
        else {
            continue;
        };
        let Some(name) = words.next().filter(|name| name.starts_with('"')) else { continue };
        let name = name.split('"').nth(1).unwrap_or_default();
        // A few are recorded by their names, in several at once or as totals.
        let recorded = sources.contains(&format!("metric.{method}("))
            || sources.contains(&format!("\"{name}\""));
        assert!(recorded || listed.contains(&format!("`{name}`")), "{name} is not recorded");
    }
}
