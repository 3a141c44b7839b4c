//! Tests of reading and writing the table as CSV.

use verbenaslip_base::name::{Class, Team};
use verbenaslip_table::{Row, Table};

const HEADER: &str = "team,class,weight,priority,rate,burst,concurrency,tokens_per_s,deadline_ms,\
                      first_token_ms,max_output_tokens,max_wait_ms,retries_percent,reserve_percent,\
                      prefer,note";

const VALID_ROW: &str = "owners,draft,10,5,,100,1000,,30000,1400,4096,10000,10,0,cost,";

fn csv_file(rows: &[&str]) -> String {
    format!("{HEADER}\n{}\n", rows.join("\n"))
}

fn parse_output(file: impl AsRef<[u8]>) -> String {
    match Table::parse(file.as_ref()) {
        Ok(table) => format!("accepted:\n{}", table.to_csv()),
        Err(problems) => problems.to_string(),
    }
}

#[test]
fn writes_canonical_csv() {
    let rows = [
        "owners,draft,10,5,,100,1000,,30000,1400,4096,10000,10,0,cost,\"the \"\"time bar\"\", first\"",
        "agents, * ,007, 9 ,20,100,1000,50000,30000,1400,4096,10000,10,25,latency,",
    ];
    insta::assert_snapshot!(parse_output(csv_file(&rows)), @r#"
    accepted:
    team,class,weight,priority,rate,burst,concurrency,tokens_per_s,deadline_ms,first_token_ms,max_output_tokens,max_wait_ms,retries_percent,reserve_percent,prefer,note
    agents,*,7,9,20,100,1000,50000,30000,1400,4096,10000,10,25,latency,
    owners,draft,10,5,,100,1000,,30000,1400,4096,10000,10,0,cost,"the ""time bar"", first"
    "#);
}

#[test]
fn prefers_the_class_row_over_the_fallback() {
    let mut own = Row::new("agents", "check");
    own.weight = 7;
    let table = Table::new([Row::new("agents", "*"), own]).expect("rows are valid");
    let weight = |team: &str, class: &str| {
        table.row(&Team::from(team), &Class::from(class)).map(|row| row.weight)
    };
    assert_eq!(weight("agents", "check"), Some(7));
    assert_eq!(weight("agents", "draft"), Some(100));
    assert_eq!(weight("owners", "check"), None);
}

#[test]
fn accepts_spreadsheet_export_variants() {
    let plain = Table::parse(csv_file(&[VALID_ROW]).as_bytes()).expect("file is valid");
    let with_byte_order_mark = format!("\u{feff}{}", csv_file(&[VALID_ROW]));
    let windows_line_ends = csv_file(&[VALID_ROW]).replace('\n', "\r\n");
    let carriage_returns = csv_file(&[VALID_ROW]).replace('\n', "\r");
    let with_blank_rows = format!("{}\n,,,,,,,,,,,,,,,\n\n", csv_file(&["", VALID_ROW, " "]));
    let without_final_newline = csv_file(&[VALID_ROW]).trim_end().to_owned();
    let quoted = csv_file(&[&VALID_ROW.replace("owners", "\"owners\"")]);
    for variant in [
        with_byte_order_mark,
        windows_line_ends,
        carriage_returns,
        with_blank_rows,
        without_final_newline,
        quoted,
    ] {
        assert_eq!(Table::parse(variant.as_bytes()), Ok(plain.clone()), "{variant:?}");
    }
}

#[test]
fn reports_all_row_problems_at_once() {
    let rows = [
        "owners,draft,0,10,zero,-1,1e3,1.5,99999999999,,4096,10000,101,+5,cheap,",
        VALID_ROW,
        "",
        "own ers,,10,5,,100,1000,,30000,1400,4096,10000,10,0,cost,",
        VALID_ROW,
        "owners,late,10,5,,100,1000,,1000,1400,4096,10000,10,0,cost,",
        "owners,short,10",
    ];
    insta::assert_snapshot!(parse_output(csv_file(&rows)), @r#"
    18 problems in the table, nothing was changed
    row 2, column weight: "0" is not allowed here; allowed: a whole number from 1 to 1000
    row 2, column priority: "10" is not allowed here; allowed: a whole number from 0 to 9
    row 2, column rate: "zero" is not allowed here; allowed: a whole number from 1 to 1000000, or empty for no limit
    row 2, column burst: "-1" is not allowed here; allowed: a whole number from 1 to 1000000
    row 2, column concurrency: "1e3" is not allowed here; allowed: a whole number from 1 to 1000000
    row 2, column tokens_per_s: "1.5" is not allowed here; allowed: a whole number from 1 to 1000000000, or empty for no limit
    row 2, column deadline_ms: "99999999999" is not allowed here; allowed: a whole number from 1 to 86400000
    row 2, column first_token_ms: "" is not allowed here; allowed: a whole number from 1 to 86400000
    row 2, column retries_percent: "101" is not allowed here; allowed: a whole number from 0 to 100
    row 2, column reserve_percent: "+5" is not allowed here; allowed: a whole number from 0 to 100
    row 2, column prefer: "cheap" is not allowed here; allowed: cost or latency
    row 3: "owners/draft" is not allowed here; allowed: one row for each team and class; see row 2
    row 5, column team: "own ers" is not allowed here; allowed: 1 to 64 letters, digits, '.', '_' or '-'
    row 5, column class: "" is not allowed here; allowed: '*', or 1 to 64 letters, digits, '.', '_' or '-'
    row 6: "owners/draft" is not allowed here; allowed: one row for each team and class; see row 3
    row 7, column first_token_ms: "1400" is not allowed here; allowed: at most the row's deadline_ms, 1000
    row 7, column max_wait_ms: "10000" is not allowed here; allowed: at most the row's deadline_ms, 1000
    row 8: "3 cells" is not allowed here; allowed: 16 cells, as in the header
    "#);
}

#[test]
fn reports_header_problems() {
    let header = HEADER.replace("burst", "brust").replace(",prefer", ",team");
    insta::assert_snapshot!(parse_output(format!("{header}\n{VALID_ROW}\n")), @r#"
    4 problems in the table, nothing was changed
    row 1, column brust: "brust" is not allowed here; allowed: only these columns, between commas: team,class,weight,priority,rate,burst,concurrency,tokens_per_s,deadline_ms,first_token_ms,max_output_tokens,max_wait_ms,retries_percent,reserve_percent,prefer,note
    row 1, column team: "team" is not allowed here; allowed: each column once
    row 1, column burst: "" is not allowed here; allowed: every column; this one is missing
    row 1, column prefer: "" is not allowed here; allowed: every column; this one is missing
    "#);
    insta::assert_snapshot!(parse_output(csv_file(&[VALID_ROW]).replace(',', ";")), @r#"
    1 problem in the table, nothing was changed
    row 1: "team;class;weight;priority;rate;burst;concurrency;tokens_per…" is not allowed here; allowed: a header, with commas: team,class,weight,priority,rate,burst,concurrency,tokens_per_s,deadline_ms,first_token_ms,max_output_tokens,max_wait_ms,retries_percent,reserve_percent,prefer,note
    "#);
}

#[test]
fn rejects_invalid_files() {
    insta::assert_snapshot!(parse_output(""), @r#"
    1 problem in the table, nothing was changed
    the file: "" is not allowed here; allowed: a header, with commas: team,class,weight,priority,rate,burst,concurrency,tokens_per_s,deadline_ms,first_token_ms,max_output_tokens,max_wait_ms,retries_percent,reserve_percent,prefer,note
    "#);
    insta::assert_snapshot!(parse_output("\u{feff}\r\n\r\n"), @r#"
    1 problem in the table, nothing was changed
    the file: "" is not allowed here; allowed: a header, with commas: team,class,weight,priority,rate,burst,concurrency,tokens_per_s,deadline_ms,first_token_ms,max_output_tokens,max_wait_ms,retries_percent,reserve_percent,prefer,note
    "#);
    insta::assert_snapshot!(parse_output(vec![b'x'; (1 << 20) + 1]), @r#"
    1 problem in the table, nothing was changed
    the file: "1048577 bytes" is not allowed here; allowed: at most 1048576 bytes
    "#);
    insta::assert_snapshot!(parse_output(b"team,class\nowners,\xff\n"), @r#"
    1 problem in the table, nothing was changed
    row 2: "owners," is not allowed here; allowed: text in UTF-8
    "#);
    insta::assert_snapshot!(parse_output(csv_file(&[VALID_ROW, "\"owners,draft,1", VALID_ROW])), @r#"
    1 problem in the table, nothing was changed
    row 3: "owners,draft,1\nowners,draft,10,5,,100,1000,,30000,1400,4096,…" is not allowed here; allowed: cells of one line; a quote may have been left open
    "#);
    let many: Vec<String> =
        (0..4_097).map(|team| VALID_ROW.replace("owners", &format!("t{team}"))).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    insta::assert_snapshot!(parse_output(csv_file(&many)), @r#"
    1 problem in the table, nothing was changed
    the file: "4097 rows" is not allowed here; allowed: at most 4096 rows below the header
    "#);
}

#[test]
fn rejects_invalid_notes() {
    let long = "x".repeat(201);
    let notes = [long.as_str(), "\"two\nlines\"", "tab\there", "\"=1+2\""];
    let rows = notes.map(|note| VALID_ROW.replace("draft", &format!("c{}", note.len())) + note);
    let rows: Vec<&str> = rows.iter().map(String::as_str).collect();
    insta::assert_snapshot!(parse_output(csv_file(&rows)), @r#"
    3 problems in the table, nothing was changed
    row 2, column note: "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx…" is not allowed here; allowed: up to 200 bytes on one line, without control characters
    row 3: "two\nlines" is not allowed here; allowed: cells of one line; a quote may have been left open
    row 5, column note: "tab\there" is not allowed here; allowed: up to 200 bytes on one line, without control characters
    "#);
}
