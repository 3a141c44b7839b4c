//! Tests of differences between tables and of applying changes.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use verbenaslip_table::change::{apply, diff};
use verbenaslip_table::{Change, Key, Row, Table};

#[test]
fn shows_each_changed_cell() {
    let table = Table::new([Row::new("agents", "check")]).expect("row is valid");
    let mut heavier = Row::new("agents", "check");
    heavier.weight = 200;
    heavier.rate = Some(20);
    let removed = Key { team: "agents".into(), class: "check".into() };
    let shown = [Change::Put(heavier), Change::Remove(removed)]
        .map(|change| change.difference(&table).to_string());
    insta::assert_snapshot!(shown.join("\n"), @r#"
    ~ agents/check weight:"100"→"200" rate:""→"20"
    - agents/check
    "#);
}

#[test]
fn applies_all_changes_or_none() {
    let table = Table::new([Row::new("agents", "check")]).expect("row is valid");
    let mut invalid = Row::new("owners", "draft");
    invalid.weight = 0;
    invalid.first_token_ms = 0;
    let duplicate = Row::new("agents", "draft");
    let changes = [Change::Put(invalid), Change::Put(duplicate.clone()), Change::Put(duplicate)];
    let problems = apply(&table, &changes).expect_err("changes are invalid");
    insta::assert_snapshot!(problems, @r#"
    3 problems in the table, nothing was changed
    row 1, column weight: "0" is not allowed here; allowed: a whole number from 1 to 1000
    row 1, column first_token_ms: "0" is not allowed here; allowed: a whole number from 1 to 86400000
    row 3: "agents/draft" is not allowed here; allowed: one change for each row; see change 2
    "#);
}

/// Guards against a decoded table with invalid rows, or with one key twice, so that only one of the
/// two rows is ever found. It comes about if decoding a snapshot or message skips the checks.
#[test]
fn decoding_rejects_invalid_rows() {
    let row = Row::new("agents", "check");
    let mut invalid = Row::new("agents", "draft");
    invalid.priority = 10;
    let cases = [vec![row.clone(), row.clone()], vec![invalid]];
    for rows in cases {
        let bytes = postcard::to_stdvec(&rows).expect("rows can be encoded");
        assert!(postcard::from_bytes::<Table>(&bytes).is_err(), "{rows:?}");
    }
    let table = Table::new([row]).expect("row is valid");
    let bytes = postcard::to_stdvec(&table).expect("table can be encoded");
    assert_eq!(postcard::from_bytes(&bytes), Ok(table));
}

fn runner() -> TestRunner {
    let config = Config { cases: 256, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn row() -> impl Strategy<Value = Row> {
    let names = ("[ab]", "[cd*]", "[ -~é]{0,8}");
    let numbers = (1..=1_000_u32, 0..=9_u32, proptest::option::of(1..=9_u32), any::<bool>());
    (names, numbers).prop_map(|((team, class, note), (weight, priority, rate, _))| {
        let mut row = Row::new(team.as_str(), class.as_str());
        row.weight = weight;
        row.priority = priority;
        row.rate = rate;
        row.note = note.trim().into();
        row
    })
}

fn table() -> impl Strategy<Value = Table> {
    proptest::collection::vec(row(), 0..8).prop_map(|rows| {
        let mut table = Table::default();
        for row in rows {
            table = apply(&table, &[Change::Put(row)]).expect("row is valid");
        }
        table
    })
}

#[test]
fn csv_round_trip_preserves_the_table() {
    let check = |table: Table| {
        prop_assert_eq!(Table::parse(table.to_csv().as_bytes()), Ok(table));
        Ok(())
    };
    runner().run(&table(), check).expect("every table survives the round trip");
}

#[test]
fn applying_a_diff_yields_the_new_table() {
    let check = |(old, new): (Table, Table)| {
        let changes = diff(&old, &new);
        prop_assert_eq!(changes.is_empty(), old == new);
        prop_assert_eq!(apply(&old, &changes), Ok(new));
        Ok(())
    };
    runner().run(&(table(), table()), check).expect("every difference can be applied");
}

#[test]
fn parsing_arbitrary_bytes_never_panics() {
    let random_bytes = proptest::collection::vec(any::<u8>(), 0..200);
    let corrupted =
        (table(), any::<prop::sample::Index>(), any::<u8>()).prop_map(|(table, at, byte)| {
            let mut bytes = table.to_csv().into_bytes();
            let at = at.index(bytes.len());
            bytes[at] = byte;
            bytes
        });
    let check = |bytes: Vec<u8>| {
        if let Ok(table) = Table::parse(&bytes) {
            prop_assert_eq!(Table::parse(table.to_csv().as_bytes()), Ok(table));
        }
        Ok(())
    };
    runner()
        .run(&prop_oneof![random_bytes, corrupted], check)
        .expect("any bytes are accepted or rejected");
}
