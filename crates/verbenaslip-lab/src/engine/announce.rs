//! A back end's announcements of itself.

use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use serde_json::{Value, json};
use tokio::sync::Notify;
use tokio::time::timeout;
use verbenaslip_base::announce::{Load, Market};
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};

use super::core::{Core, unix};
use super::setup::Announce;
use super::state::millis;
use crate::http::client::{self, Call};

/// How long one announcement may take.
const PATIENCE: Duration = Duration::from_millis(500);

/// How many addresses are tried for one announcement.
const TRIES: u32 = 3;

/// Holds what one announcement says.
pub(crate) struct Profile {
    pub(crate) upstream: Upstream,
    pub(crate) address: SocketAddr,
    pub(crate) zone: AvailabilityZone,
    pub(crate) kind: &'static str,
    pub(crate) phase: Phase,
    pub(crate) now: Duration,
    pub(crate) models: Vec<Model>,
    pub(crate) market: Market,
    pub(crate) price: u64,
    pub(crate) fenced: bool,
    pub(crate) slots: u32,
    pub(crate) load: Load,
}

/// Says whether a back end takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It can't serve yet.
    Warming,
    /// It serves.
    Ready,
    /// It leaves: at a time, or once its runs have ended.
    Leaving(Option<Duration>),
}

/// Announces a back end for good, whenever it has something to say.
pub(crate) async fn run(announce: &Announce, tell: &Notify, profile: impl Fn() -> Option<Profile>) {
    if announce.admins.is_empty() {
        return;
    }
    let incarnation = unix();
    let mut random = Pcg64::seed_from_u64(announce.seed ^ incarnation);
    let mut sequence = 0;
    loop {
        sequence += 1;
        if let Some(profile) = profile() {
            let body = message(&profile, incarnation, sequence);
            for _ in 0..TRIES {
                let admin = announce.admins[random.random_range(0..announce.admins.len())];
                if send(admin, &announce.key, &body).await {
                    break;
                }
            }
        }
        timeout(announce.every, tell.notified()).await.ok();
    }
}

async fn send(admin: SocketAddr, key: &str, body: &Value) -> bool {
    let call = Call::post("/v1/upstreams", body).with("authorization", format!("Bearer {key}"));
    let answer = timeout(PATIENCE, client::ask(admin, &call, PATIENCE)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}

/// Writes an announcement as the interface has it.
pub(crate) fn message(profile: &Profile, incarnation: u64, sequence: u64) -> Value {
    json!({
        "upstream": profile.upstream,
        "address": profile.address,
        "zone": profile.zone,
        "kind": profile.kind,
        "incarnation": incarnation,
        "sequence": sequence,
        "phase": name(profile.phase),
        "notice": notice(profile.phase, profile.now),
        "models": profile.models,
        "market": market(profile.market),
        "price": profile.price,
        "fenced": profile.fenced,
        "slots": profile.slots,
        "load": load(profile.load),
    })
}

/// Writes a load report.
pub(crate) fn load(load: Load) -> Value {
    json!({
        "running": load.running,
        "waiting": load.waiting,
        "memory": load.memory,
        "age": load.age,
    })
}

/// Writes a market.
pub(crate) fn market(market: Market) -> &'static str {
    match market {
        Market::Reclaimable => "reclaimable",
        Market::OnDemand => "on_demand",
    }
}

fn name(phase: Phase) -> &'static str {
    match phase {
        Phase::Warming => "warming",
        Phase::Ready => "ready",
        Phase::Leaving(_) => "leaving",
    }
}

fn notice(phase: Phase, now: Duration) -> Option<u64> {
    match phase {
        Phase::Leaving(Some(until)) => Some(millis(until.saturating_sub(now))),
        Phase::Leaving(None) | Phase::Warming | Phase::Ready => None,
    }
}

impl Core {
    /// Returns what to announce now; nothing while the engine is frozen.
    pub(crate) fn profile(&self, address: SocketAddr) -> Option<Profile> {
        let now = self.now();
        let state = self.state();
        if now < state.faults.frozen {
            return None;
        }
        Some(Profile {
            upstream: state.setup.upstream.clone(),
            address,
            zone: state.setup.zone.clone(),
            kind: "engine",
            phase: state.phase(now),
            now,
            models: state.orders.models(millis(now)),
            market: state.setup.market,
            price: state.setup.price,
            fenced: state.setup.fenced,
            slots: state.setup.slots,
            load: state.load(now),
        })
    }
}
