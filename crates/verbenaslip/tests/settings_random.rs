//! Random settings files: always values or problems, never a panic.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestCaseError, TestRunner};

use verbenaslip::settings::Settings;

const GOOD: &str = include_str!("../../../examples/entry-1.ini");
const CASES: u32 = 512;
const SEED: u64 = 20;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: CASES,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}

/// Reads a text and looks at what comes of it.
fn read(text: &str) -> Result<(), TestCaseError> {
    let Err(invalid) = Settings::parse(text, "a.ini") else { return Ok(()) };
    prop_assert!(!invalid.problems.is_empty());
    let shown = invalid.to_string();
    prop_assert_eq!(shown.lines().count(), invalid.problems.len(), "one line a problem");
    Ok(())
}

#[test]
fn any_text_is_read_or_refused() {
    runner().run(&any::<String>(), |text| read(&text)).expect("no text panics");
    let like = "(\\[[a-z]{0,9}\\]?\n|[a-z_]{0,9} ?[=:]? ?[0-9a-zA-Z.:,@\"'\\\\;#-]{0,12}\n){0,12}";
    let texts = proptest::string::string_regex(like).expect("the pattern is good");
    runner().run(&texts, |text| read(&text)).expect("no text panics");
}

#[test]
fn a_good_file_with_a_damaged_part_is_read_or_refused() {
    let damage = (0..GOOD.len(), 0usize..40, "\\PC{0,12}|[\0\n\r\t=\\[\\]]{0,4}");
    let read_damaged = |(at, length, text): (usize, usize, String)| {
        let end = (at + length).min(GOOD.len());
        read(&format!("{}{text}{}", &GOOD[..at], &GOOD[end..]))
    };
    runner().run(&damage, read_damaged).expect("no damage panics");
}
