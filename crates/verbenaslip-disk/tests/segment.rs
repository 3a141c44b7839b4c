//! The file formats with invalid input.

use std::sync::Arc;

use proptest::collection::vec;
use proptest::prelude::{ProptestConfig, any, prop_assert, prop_assert_eq, proptest};
use proptest::test_runner::{RngAlgorithm, RngSeed};
use verbenaslip_disk::{checksummed, segment};
use verbenaslip_replica::entry::{Entry, Payload, Position};

fn fixed_seed_config() -> ProptestConfig {
    ProptestConfig {
        cases: 500,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(42),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Returns a log file of commands, each recorded as written when all bytes before it were durable.
fn log_file(commands: &[Vec<u8>]) -> Vec<u8> {
    let mut bytes = segment::encode_header(1);
    for (index, command) in (1..).zip(commands) {
        let payload = Payload::Command(Arc::from(command.as_slice()));
        let entry = Entry { position: Position { term: 1, index }, payload };
        let durable_bytes = bytes.len() as u64;
        segment::append_record(&entry, durable_bytes, &mut bytes);
    }
    bytes
}

proptest! {
    #![proptest_config(fixed_seed_config())]

    #[test]
    fn any_bytes_are_read_without_panic(bytes in vec(any::<u8>(), 0..400)) {
        let scan = segment::scan(&bytes);
        prop_assert!(scan.valid_bytes <= bytes.len() as u64);
        let _ = checksummed::decode(&bytes);
        let mut with_header = segment::encode_header(1);
        with_header.extend(&bytes);
        let scan = segment::scan(&with_header);
        prop_assert!(scan.valid_bytes <= with_header.len() as u64);
        prop_assert!(scan.records.len() <= bytes.len() / 12);
    }

    #[test]
    fn written_records_are_read(commands in vec(vec(any::<u8>(), 0..60), 0..12)) {
        let scan = segment::scan(&log_file(&commands));
        prop_assert_eq!(scan.fault, None);
        prop_assert_eq!(scan.records.len(), commands.len());
    }

    #[test]
    fn a_truncated_file_gives_a_prefix(commands in vec(vec(any::<u8>(), 0..60), 1..12), length in 0..900_usize) {
        let file = log_file(&commands);
        let length = length.min(file.len());
        let scan = segment::scan(&file[..length]);
        let full_scan = segment::scan(&file);
        prop_assert!(full_scan.records.starts_with(&scan.records));
        let is_complete = length >= segment::HEADER_BYTES && scan.valid_bytes == length as u64;
        prop_assert_eq!(scan.fault.is_none(), is_complete);
        prop_assert!(scan.fault.is_none_or(|fault| !fault.was_durable));
    }

    #[test]
    fn a_changed_byte_before_the_last_record_is_damage(
        commands in vec(vec(any::<u8>(), 0..60), 2..12),
        offset in any::<usize>(),
        bit_mask in 1..=255_u8,
    ) {
        let mut bytes = log_file(&commands);
        let full_scan = segment::scan(&bytes);
        let last_offset = full_scan.records.last().map_or(0, |record| record.offset as usize);
        bytes[offset % last_offset] ^= bit_mask;
        let fault = segment::scan(&bytes).fault;
        prop_assert!(fault.is_some_and(|fault| fault.was_durable));
    }

    #[test]
    fn a_changed_checksummed_file_is_rejected(
        content in vec(any::<u8>(), 0..200),
        offset in any::<usize>(),
        bit_mask in 1..=255_u8,
    ) {
        let mut bytes = checksummed::encode(&content);
        prop_assert_eq!(checksummed::decode(&bytes), Ok(content.as_slice()));
        let offset = offset % bytes.len();
        bytes[offset] ^= bit_mask;
        prop_assert!(checksummed::decode(&bytes).is_err());
    }
}
