//! Provides values shared by several test files.

#![allow(dead_code)]

use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use verbenaslip_base::announce::{Announcement, Kind, Load, Market, Phase};
use verbenaslip_base::attempt::Request;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Instance, Model};
use verbenaslip_policy::admit::QueuedRequest;
use verbenaslip_policy::pool::Pool;
use verbenaslip_policy::row::RowParams;
use verbenaslip_table::{Key, Row};

/// Returns a random generator with a fixed seed.
pub fn rng(seed: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed)
}

/// Returns a duration in milliseconds.
pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Returns the key of a row.
pub fn key(team: &str, class: &str) -> Key {
    Key { team: team.into(), class: class.into() }
}

/// Returns the parameters of a default row after `change`.
pub fn params(change: impl FnOnce(&mut Row)) -> RowParams {
    let mut row = Row::new("team", "class");
    change(&mut row);
    RowParams::from(&row)
}

/// Returns the head of a small request whose deadline is 30 s after time zero.
pub fn head(id: u128, team: &str) -> Head {
    Head {
        request: Request(id),
        team: team.into(),
        class: "class".into(),
        model: Model::from("model"),
        idempotent: true,
        keyed: true,
        issued: None,
        deadline: Duration::from_secs(30),
        prompt: 400,
        output: 100,
        prefix: Vec::new(),
    }
}

/// Returns a small request for a queue.
pub fn queued(id: u128, team: &str, params: RowParams) -> QueuedRequest {
    QueuedRequest {
        head: head(id, team),
        key: key(team, "class"),
        arrived: Duration::ZERO,
        params,
        cached_tokens: 0,
        avoid: Vec::new(),
        may_have_run: false,
    }
}

/// Returns a pool with `slots` slots of which `free` are free.
pub fn pool(slots: u32, free_slots: u32) -> Pool {
    let slot_share = f64::from(slots);
    Pool { upstreams: 1, slots, free_slots, slot_share, mean_running: 4.0, ..Pool::default() }
}

/// Returns an announcement of a ready engine.
pub fn engine(name: &str, zone: &str, sequence: u64) -> Announcement {
    Announcement {
        upstream: name.into(),
        address: ([127, 0, 0, 1], 9).into(),
        zone: zone.into(),
        kind: Kind::Engine,
        incarnation: 1,
        sequence,
        phase: Phase::Ready,
        models: vec![Model::from("model")],
        market: Market::Reclaimable,
        price: 1_000_000,
        fenced: false,
        slots: 8,
        load: Load::default(),
    }
}

/// Returns `count` instance names.
pub fn instances(count: usize) -> Vec<Instance> {
    (0..count).map(|index| Instance::new(format!("instance-{index:03}"))).collect()
}
