//! Tests of the settings of an instance: valid values, and errors for invalid ones.

use std::path::Path;
use std::time::Duration;

use verbenaslip_instance::Settings;

const ENTRY: &str = "[instance]\nname = e-1\nzone = north\npeers = 10.0.0.7:7600\n\
seeds = 10.0.0.1:8229,10.0.0.2:8229\n[entry]\ncallers = 10.0.0.7:8221\nready = 10.0.0.7:8224\n\
[upstreams]\nannounce = 1200ms\nretry_ratio = 0.2\nretry_allowance = 52\nusage_window = 2.5s\n\
[stop]\ngrace = 8s\n[cloud]\naddress = 10.9.0.1:80\nwait = 3000ms\n";

fn parse(text: &str) -> Result<Settings, String> {
    Settings::parse(text, Path::new("e.ini")).map_err(|invalid| invalid.to_string())
}

#[test]
fn the_settings_of_an_entry_are_read() {
    let settings = parse(ENTRY).expect("the settings are valid");
    assert_eq!(
        settings.seeds[1],
        ([10, 0, 0, 2], 7_600).into(),
        "the port of a seed is that of peers"
    );
    assert_eq!(settings.upstreams.usage_window, Duration::from_millis(2_500));
    assert_eq!(settings.upstreams.usage_late, Duration::from_secs(10), "the default applies");
    assert_eq!(settings.cloud.map(|cloud| cloud.wait), Some(Duration::from_secs(3)));
    assert!(settings.entry.is_some() && settings.core.is_none());
}

#[test]
fn an_invalid_value_is_reported_with_the_allowed_values() {
    for (from, to, reason) in [
        ("zone = north\n", "", "[instance] zone - it is missing"),
        ("10.0.0.7:8221", "somewhere", "[entry] callers = `somewhere` - it must be an IP number"),
        (
            "ready = 10.0.0.7:8224",
            "ready = 10.0.0.7:8224\nmemory = 1MB",
            "[entry] memory = `1MB` - it must be",
        ),
        ("grace = 8s", "grace = 8", "[stop] grace = `8` - it must be a number with a unit"),
        ("retry_ratio = 0.2", "retry_ratio = -1", "[upstreams] retry_ratio = `-1`"),
        (
            "[stop]",
            "[requests]\ncrashes = 1\n[stop]",
            "[requests] crashes = `1` - it must be a whole",
        ),
        (
            "[stop]",
            "[requests]\nlifted = 0c,1\n[stop]",
            "`0c` - each item between commas must be 32",
        ),
        (
            "[stop]",
            "[placement]\nshared_slots = many\n[stop]",
            "[placement] shared_slots = `many` - it must be",
        ),
        ("[stop]", "[stop]\nunknown = 1", "[stop] unknown - there is no such key"),
    ] {
        let problem = parse(&ENTRY.replace(from, to)).expect_err(reason);
        assert!(problem.contains(reason), "{problem} for {reason}");
    }
}

#[test]
fn measurements_are_shared_only_where_the_settings_ask_for_it() {
    // Guards against an upgrade that changes how a deployment without the section is served.
    let placement = |text: &str| parse(text).expect("the settings are valid").placement;
    assert_eq!((placement(ENTRY).shared_slots, placement(ENTRY).shared_entries), (0, 16));
    let section = "[placement]\nshared_slots = 32\nshared_entries = 9\n[stop]";
    let shared = placement(&ENTRY.replace("[stop]", section));
    assert_eq!((shared.shared_slots, shared.shared_entries), (32, 9));
}

#[test]
fn lifted_requests_are_given_by_fingerprint() {
    let content = "05edc73fd10efbe175ce22ccbf8833e7";
    let section = format!("[requests]\ncrashes = 4\nhold = 90s\nlifted = {content}\n[stop]");
    let settings = parse(&ENTRY.replace("[stop]", &section)).expect("the settings are valid");
    assert_eq!((settings.requests.crashes, settings.requests.hold), (4, Duration::from_secs(90)));
    let lifted: Vec<String> = settings.requests.lifted.iter().map(ToString::to_string).collect();
    assert_eq!(lifted, [content]);
    assert!(settings.requests.forbidden.is_empty());
}
