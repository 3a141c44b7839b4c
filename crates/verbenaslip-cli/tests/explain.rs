//! `verbenaslip explain` on log files.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;
use verbenaslip_cli::args::Operator;
use verbenaslip_cli::run;
use verbenaslip_cli::terminal::Terminal;

const FIRST: &str = r#"{"at":1783618628157,"event":901,"what":"request_ended","id":"a1","route":"reports","team":"red","outcome":"answered","status":200,"first_ms":69,"objective_ms":1000,"causes":[],"waited":false}
{"at":1783618628457,"event":901,"what":"request_ended","id":"a2","route":"reports","team":"red","outcome":"answered","status":200,"first_ms":1301,"objective_ms":1000,"causes":[],"waited":false}
{"at":1783618629001,"event":901,"what":"request_ended","id":"a3","route":"reports","team":"blue","outcome":"busy","status":503,"objective_ms":1000,"causes":[],"waited":false,"expected_ms":1400}
{"at":1783618628229,"event":913,"what":"upstream_withdrawn","upstream":"i-1"}
"#;

const SECOND: &str = r#"a line of another program
2.94 entry-2 {"at":1783618629745,"event":901,"what":"request_ended","id":"a4","route":"lookups","team":null,"outcome":"failed","status":502,"objective_ms":150,"causes":["broken"],"waited":false}
{"at":1783618629900,"event":901,"what":"request_ended","id":"a3","route":"reports","team":"blue","outcome":"answered","status":200,"first_ms":80,"objective_ms":1000,"causes":[],"waited":true}
{"at":1783618629,"event":901,"what":"requ"#;

fn run_explain(name: &str, words: &[&str]) -> (u8, String, String) {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("explain").join(name);
    fs::create_dir_all(&folder).expect("the folder can be made");
    let files = [("one.log", FIRST), ("two.log", SECOND)].map(|(name, text)| {
        fs::write(folder.join(name), text).expect("the log file can be written");
        folder.join(name).display().to_string()
    });
    let words: Vec<&str> = words
        .iter()
        .map(|word| match *word {
            "ONE" => &*files[0],
            "TWO" => &*files[1],
            word => word,
        })
        .collect();
    let args = Operator::from_args(&["verbenaslip"], &words).expect("the command line is valid");
    let (mut out, mut remarks) = (Vec::new(), Vec::new());
    let exit = run(&args, &mut Terminal::new(&mut out, &mut remarks, args.json));
    let text = |bytes| String::from_utf8(bytes).expect("text");
    let folder_prefix = format!("{}/", folder.display());
    (exit as u8, text(out).replace(&folder_prefix, ""), text(remarks).replace(&folder_prefix, ""))
}

#[test]
fn requests_that_were_not_answered_on_time_are_counted_by_cause_and_second() {
    let (exit, out, remarks) = run_explain("summary", &["explain", "ONE", "TWO"]);
    assert_eq!(exit, 0);
    assert_eq!(remarks, "2 lines are no log lines and were passed over\n");
    insta::assert_snapshot!(out);
}

#[test]
fn one_requests_life_is_told_in_order_across_instances() {
    let (exit, out, _) = run_explain("life", &["explain", "--id", "a3", "TWO", "ONE"]);
    assert_eq!(exit, 0);
    insta::assert_snapshot!(out);
}

#[test]
fn json_output_contains_all_counts() {
    let (_, out, _) = run_explain("json", &["--json", "explain", "ONE", "TWO"]);
    let object: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    let causes = object["causes"].as_array().expect("a list");
    let count = |fate: &str| {
        let own = causes.iter().filter(|cause| cause["fate"] == fate);
        own.filter_map(|cause| cause["count"].as_u64()).sum::<u64>()
    };
    assert_eq!((count("late"), count("refused"), count("lost")), (2, 1, 1));
    assert_eq!(object["seconds"][0]["requests"]["on time"], 1);
}

#[test]
fn missing_requests_and_files_are_reported() {
    let (exit, _, remarks) = run_explain("unknown", &["explain", "--id", "zz", "ONE"]);
    assert_eq!(exit, 2);
    assert_eq!(remarks, "verbenaslip: no line of these files mentions the request zz\n");
    let (exit, _, remarks) = run_explain("nothing", &["explain"]);
    assert_eq!(exit, 2);
    assert!(remarks.contains("name at least one file"), "{remarks}");
    let (exit, _, remarks) = run_explain("missing", &["explain", "/none/at/all.log"]);
    assert_eq!(exit, 3);
    assert!(remarks.contains("/none/at/all.log"), "{remarks}");
}

#[test]
fn quarantined_request_is_traced_to_crashed_upstreams() {
    let logs = r#"{"at":1783618628100,"event":936,"what":"upstream_broke_off","upstream":"i-1","ended":true,"count":2,"ids":["b1","g7"],"contents":["0c","0d"]}
{"at":1783618628200,"event":936,"what":"upstream_broke_off","upstream":"i-2","ended":true,"count":1,"ids":["g8"],"contents":["0d"]}
{"at":1783618628500,"event":936,"what":"upstream_broke_off","upstream":"i-3","ended":true,"count":1,"ids":["b2"],"contents":["0c"]}
{"at":1783618628900,"event":938,"what":"request_held_back","content":"0c","upstreams":["i-1","i-3","i-4"],"tries":0,"until":1783619228900}
{"at":1783618629100,"event":901,"what":"request_ended","id":"b5","content":"0c","route":"reports","team":"red","outcome":"held_back","status":503,"back_ms":599800}
{"at":1783618629200,"event":901,"what":"request_ended","id":"g9","content":"0d","route":"reports","team":"red","outcome":"answered","status":200}"#;
    let out = explain_request("held", "b5", &[("all.log", logs)]);
    let upstreams = ["i-1", "i-3"].map(|name| out.contains(&format!("upstream=\"{name}\"")));
    assert_eq!(upstreams, [true, true], "{out}");
    assert!(out.contains("request_held_back") && !out.contains("i-2"), "{out}");
    assert_eq!(out.lines().count(), 4, "{out}");
}

#[test]
fn request_with_a_quarantined_part_is_traced_to_crashed_upstreams() {
    let logs = r#"{"at":1783618628100,"event":936,"what":"upstream_broke_off","upstream":"i-1","ended":true,"count":2,"ids":["b1","g7"],"contents":["0c","0d"],"parts":["7a","7b"]}
{"at":1783618628200,"event":936,"what":"upstream_broke_off","upstream":"i-2","ended":true,"count":1,"ids":["g8"],"contents":["0e"],"parts":["7a"]}
{"at":1783618628900,"event":938,"what":"request_held_back","content":"7b","kind":"part","upstreams":["i-1","i-3"],"tries":0,"until":1783619228900}
{"at":1783618629100,"event":901,"what":"request_ended","id":"b5","content":"0f","parts":["7a","7b"],"held_by":"7b","route":"reports","outcome":"held_back","status":503,"back_ms":59800}"#;
    let out = explain_request("held-part", "b5", &[("all.log", logs)]);
    assert!(out.contains("request_held_back") && out.contains("upstream=\"i-1\""), "{out}");
    assert!(!out.contains("i-2"), "a part that other requests share leads nowhere: {out}");
    assert_eq!(out.lines().count(), 3, "{out}");
}

#[test]
fn limited_request_is_traced_to_upstreams_that_set_limits() {
    let entry = r#"{"at":1783618528100,"event":943,"what":"upstream_limit","upstream":"i-0","per_second":9.0,"source":"leader"}
{"at":1783618628100,"event":943,"what":"upstream_limit","upstream":"i-1","per_second":1.0,"source":"answer","id":"c1"}
{"at":1783618628300,"event":945,"what":"upstream_rest","upstream":"i-2","rest_ms":3000,"id":"c2"}
{"at":1783618629100,"event":901,"what":"request_ended","id":"c5","route":"reports","outcome":"limited","status":503,"back_ms":300}
{"at":1783618629200,"event":901,"what":"request_ended","id":"c6","route":"reports","outcome":"answered","status":200}
{"at":1783618629300,"event":943,"what":"upstream_limit","upstream":"i-3","per_second":2.0,"source":"leader"}"#;
    let other = r#"{"at":1783618628200,"event":945,"what":"upstream_rest","upstream":"i-4","rest_ms":3000,"id":"d1"}"#;
    let out = explain_request("limited", "c5", &[("one.log", entry), ("two.log", other)]);
    let named = ["i-1", "i-2"].map(|name| out.contains(&format!("upstream=\"{name}\"")));
    assert_eq!(named, [true, true], "{out}");
    assert_eq!(out.lines().count(), 3, "{out}");
}

#[test]
fn requests_that_take_up_a_stream_lead_to_each_other() {
    let first = r#"{"at":1783618628100,"event":901,"what":"request_ended","id":"a1","outcome":"caller_gone","status":200,"upstreams":["i-1"]}"#;
    let other = r#"{"at":1783618628900,"event":901,"what":"request_ended","id":"b1","resumes":"a1","origin":"core","origin_age_ms":700,"version":"v1","outcome":"cut","status":200}
{"at":1783618629300,"event":901,"what":"request_ended","id":"c1","resumes":"a1","origin":"core","version":"v1","outcome":"answered","status":200}
{"at":1783618629400,"event":901,"what":"request_ended","id":"d1","outcome":"answered","status":200}"#;
    let logs = [("one.log", first), ("two.log", other)];
    for id in ["a1", "b1", "c1"] {
        let out = explain_request("resumes", id, &logs);
        assert_eq!(out.lines().count(), 3, "{id}: {out}");
    }
}

/// Returns the output of `explain --id` for one request on the given log files.
fn explain_request(name: &str, id: &str, logs: &[(&str, &str)]) -> String {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("explain").join(name);
    fs::create_dir_all(&folder).expect("the folder can be made");
    let files = logs.iter().map(|(name, text)| {
        fs::write(folder.join(name), text).expect("the log file can be written");
        folder.join(name).display().to_string()
    });
    let files: Vec<String> = files.collect();
    let words = ["explain", "--id", id].into_iter().chain(files.iter().map(|name| &**name));
    let words: Vec<&str> = words.collect();
    let args = Operator::from_args(&["verbenaslip"], &words).expect("the command line is valid");
    let (mut out, mut remarks) = (Vec::new(), Vec::new());
    run(&args, &mut Terminal::new(&mut out, &mut remarks, args.json));
    String::from_utf8(out).expect("text")
}
