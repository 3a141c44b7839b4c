//! Log lines in a file, with their fields apart. The process has one logger, so this test is alone.

use std::fs;
use std::path::PathBuf;

use log::LevelFilter;
use serde_json::Value;

use verbenaslip::event::{Event, logger};
use verbenaslip::settings::section::Log;
use verbenaslip::settings::value::Format;

#[test]
fn json_lines_carry_number_level_and_fields() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("event_file");
    let _ = fs::remove_dir_all(&folder);
    let settings =
        Log { folder: Some(folder.clone()), level: LevelFilter::Info, format: Format::Json };
    logger::open(&settings, &"entry-1".into()).expect("the folder can be written");
    Event::Ready { revision: 12 }.log();
    Event::TokenDropped {
        request: verbenaslip_base::attempt::Request(1),
        upstream: "u".into(),
        position: 3,
    }
    .log();
    Event::MemberSuspected { peer: "entry-2".into() }.log();
    let text = fs::read_to_string(folder.join("verbenaslip.log")).expect("the file was written");
    let lines: Vec<Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("a line is JSON")).collect();
    assert_eq!(lines.len(), 2, "debug events are not written at level info: {text}");
    assert_eq!(lines[0]["level"], "INFO");
    assert_eq!(lines[0]["message"], "V1003 ready with table revision 12");
    assert_eq!(lines[0]["attributes"]["event"], "V1003");
    assert_eq!(lines[0]["attributes"]["by"], "entry-1");
    assert_eq!(lines[0]["attributes"]["revision"], "12");
    assert_eq!(lines[1]["attributes"]["peer"], "entry-2");
}
