//! The forms of the files, fed with what is no such file.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::{RngAlgorithm, RngSeed};
use verbenaslip_disk::{checksummed, segment};
use verbenaslip_replica::entry::{Entry, Payload, Position};

fn fixed() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Makes a log file of commands, each with a floor at its own place.
fn file(commands: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = segment::header(1);
    for (index, command) in (1..).zip(commands) {
        let payload = Payload::Command(Arc::from(command.as_slice()));
        let entry = Entry { position: Position { term: 1, index }, payload };
        let floor = bytes.len() as u64;
        segment::put(&entry, floor, &mut bytes);
    }
    bytes
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn any_bytes_are_read_without_panic(bytes in vec(any::<u8>(), 0..400)) {
        let scan = segment::scan(&bytes);
        prop_assert!(scan.end <= bytes.len() as u64);
        let _ = checksummed::decode(&bytes);
        let mut behind = segment::header(1);
        behind.extend(&bytes);
        let scan = segment::scan(&behind);
        prop_assert!(scan.end <= behind.len() as u64);
        prop_assert!(scan.records.len() <= bytes.len() / 12);
    }

    #[test]
    fn what_is_written_is_read(commands in vec(vec(any::<u8>(), 0..60), 0..12)) {
        let scan = segment::scan(&file(&commands));
        prop_assert_eq!(scan.fault, None);
        prop_assert_eq!(scan.records.len(), commands.len());
    }

    #[test]
    fn a_cut_file_gives_a_prefix(commands in vec(vec(any::<u8>(), 0..60), 1..12), cut in 0..900_usize) {
        let whole = file(&commands);
        let cut = cut.min(whole.len());
        let scan = segment::scan(&whole[..cut]);
        let complete = segment::scan(&whole);
        prop_assert!(complete.records.starts_with(&scan.records));
        let whole = cut >= segment::HEADER && scan.end == cut as u64;
        prop_assert_eq!(scan.fault.is_none(), whole);
        prop_assert!(scan.fault.is_none_or(|fault| !fault.durable));
    }

    #[test]
    fn a_changed_byte_before_the_last_record_is_damage(
        commands in vec(vec(any::<u8>(), 0..60), 2..12),
        place in any::<usize>(),
        change in 1..=255_u8,
    ) {
        let mut bytes = file(&commands);
        let complete = segment::scan(&bytes);
        let last = complete.records.last().map_or(0, |record| record.offset as usize);
        bytes[place % last] ^= change;
        let fault = segment::scan(&bytes).fault;
        prop_assert!(fault.is_some_and(|fault| fault.durable));
    }

    #[test]
    fn a_changed_checked_file_is_refused(
        content in vec(any::<u8>(), 0..200),
        place in any::<usize>(),
        change in 1..=255_u8,
    ) {
        let mut bytes = checksummed::encode(&content);
        prop_assert_eq!(checksummed::decode(&bytes), Ok(content.as_slice()));
        let place = place % bytes.len();
        bytes[place] ^= change;
        prop_assert!(checksummed::decode(&bytes).is_err());
    }
}
