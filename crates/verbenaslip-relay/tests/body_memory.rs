//! Decisions about the memory for bodies.

use std::sync::Arc;

use verbenaslip_relay::policy::body_memory::{BodyMemory, Caller, Reservation, SMALL_BODY_BYTES};

const MACHINE_BYTES: usize = 256 << 20;
const LARGE_BYTES: usize = 4 << 20;

fn key(number: usize) -> Caller {
    Caller::Key(Arc::from(format!("k{number}")))
}

fn reserve(memory: &mut BodyMemory, caller: &Caller, bytes: usize) -> Option<Reservation> {
    let mut reservation = Reservation::default();
    memory.extend(&mut reservation, bytes, || caller.clone()).ok()?;
    Some(reservation)
}

/// Reserves large bodies for a caller until one does not fit.
fn fill(memory: &mut BodyMemory, caller: &Caller) -> Vec<Reservation> {
    std::iter::from_fn(|| reserve(memory, caller, LARGE_BYTES)).collect()
}

// Guards against one caller whose large bodies, or slow ones, keep out those of others.
#[test]
fn a_caller_takes_no_more_than_what_it_leaves() {
    let mut memory = BodyMemory::new(MACHINE_BYTES);
    let room = memory.max_body_bytes() / LARGE_BYTES;
    let first = fill(&mut memory, &key(0)).len();
    assert_eq!(first, room / 2);
    for number in 1..4 {
        assert!(!fill(&mut memory, &key(number)).is_empty(), "caller {number}");
    }
    assert!(memory.held() <= memory.max_body_bytes());
}

// Guards against ordinary requests that are refused because of large ones.
#[test]
fn small_bodies_have_memory_that_large_ones_cannot_take() {
    let mut memory = BodyMemory::new(MACHINE_BYTES);
    let large: Vec<_> = (0..64).flat_map(|number| fill(&mut memory, &key(number))).collect();
    assert!(reserve(&mut memory, &key(99), LARGE_BYTES).is_none());
    let left = memory.capacity() - large.len() * LARGE_BYTES;
    assert!(left >= memory.capacity() / 4);
    let small = || reserve(&mut memory, &key(0), SMALL_BODY_BYTES);
    assert_eq!(std::iter::from_fn(small).count(), left / SMALL_BODY_BYTES);
    assert!(memory.held() <= memory.capacity());
}

// Guards against bytes that stay reserved, or are given back twice, when a body grows.
#[test]
fn all_that_was_reserved_is_given_back() {
    let mut memory = BodyMemory::new(MACHINE_BYTES);
    for caller in [key(0), Caller::Address([127, 0, 0, 1].into())] {
        let mut reservation = Reservation::default();
        for bytes in [0, 10, SMALL_BODY_BYTES, SMALL_BODY_BYTES + 1, 3 << 20, 1 << 20, LARGE_BYTES]
        {
            memory.extend(&mut reservation, bytes, || caller.clone()).expect("it fits");
            assert!(reservation.bytes() >= bytes);
            assert_eq!(memory.held(), reservation.bytes());
        }
        let too_much = memory.capacity() + 1;
        assert!(memory.extend(&mut reservation, too_much, || caller.clone()).is_err());
        assert_eq!(memory.held(), LARGE_BYTES);
        memory.release(&reservation);
        assert_eq!(memory.held(), 0);
    }
    assert_eq!(fill(&mut memory, &key(0)).len(), memory.max_body_bytes() / LARGE_BYTES / 2);
}

// Guards against a body that is refused while it arrives, since others have taken their part meanwhile.
#[test]
fn what_is_reserved_stays_reserved() {
    let mut memory = BodyMemory::new(MACHINE_BYTES);
    let mut first = fill(&mut memory, &key(0));
    assert!(!fill(&mut memory, &key(1)).is_empty());
    for reservation in &mut first {
        for bytes in [1, SMALL_BODY_BYTES + 1, LARGE_BYTES] {
            assert!(memory.extend(reservation, bytes, || key(0)).is_ok());
        }
    }
}
