//! What the control thread and the traffic thread share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use verbenaslip_base::name::Team;
use verbenaslip_fleet::link::Report;
use verbenaslip_fleet::usage::{self, Tally};
use verbenaslip_fleet::view::{Load, View};

/// Shares the view of the fleet one way, and counts and loads the other.
#[derive(Debug, Default)]
pub struct Board {
    view: Mutex<Arc<View>>,
    tally: Mutex<Tally>,
    demand: Mutex<BTreeMap<Team, f64>>,
    loads: Mutex<BTreeMap<u32, Load>>,
    draining: AtomicBool,
    closing: AtomicBool,
    closed: Notify,
}

impl Board {
    /// Returns the newest view.
    pub fn view(&self) -> Arc<View> {
        lock(&self.view).clone()
    }

    /// Shows a new view.
    pub fn show(&self, view: View) {
        *lock(&self.view) = Arc::new(view);
    }

    /// Counts a request that began to run at a time of day.
    pub fn began(&self, team: &Team, unix: u64, window: Duration) {
        lock(&self.tally).count(usage::window_at(unix, window), team);
    }

    /// Counts what a team asks for, in its units.
    pub fn asked(&self, team: &Team, units: f64) {
        let mut demand = lock(&self.demand);
        match demand.get_mut(team) {
            Some(sum) => *sum += units,
            None => {
                demand.insert(team.clone(), units);
            }
        }
    }

    /// Tells what is under way at an upstream.
    pub fn load(&self, load: Load) {
        let mut loads = lock(&self.loads);
        if load.requests == 0 {
            loads.remove(&load.upstream);
        } else {
            loads.insert(load.upstream, load);
        }
    }

    /// Collects the next report; `smooth` keeps what was asked for over several reports.
    pub fn report(&self, smooth: &mut Smooth) -> Report {
        let fresh = std::mem::take(&mut *lock(&self.demand));
        smooth.add(fresh);
        Report {
            counts: lock(&self.tally).counts(),
            demand: smooth.rates(),
            loads: lock(&self.loads).values().copied().collect(),
        }
    }

    /// Begins the planned stop: no new connection shall come.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Tells whether the planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Ends the time in which new requests are taken during a planned stop.
    ///
    /// A request on a kept connection would otherwise be taken until the very end, and cut off when
    /// the process ends; refused as not run it is answered by another instance.
    pub fn close(&self) {
        self.closing.store(true, Ordering::Relaxed);
        self.closed.notify_waiters();
    }

    /// Tells whether new requests are refused.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Returns once new requests are refused.
    pub async fn closed(&self) {
        let closed = self.closed.notified();
        if !self.is_closing() {
            closed.await;
        }
    }

    /// Tells whether new callers may come: a route table is known and no stop has begun.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && lock(&self.view).routes.is_some()
    }
}

/// Smooths what teams ask for over about two seconds, so that shares don't follow single requests.
#[derive(Debug, Default)]
pub struct Smooth {
    rates: BTreeMap<Team, f64>,
}

/// Reports a second.
const REPORTS: f64 = 4.0;

/// The part of the old rate that a report keeps: a time constant of about two seconds.
const KEEP: f64 = 0.88;

impl Smooth {
    fn add(&mut self, mut fresh: BTreeMap<Team, f64>) {
        for (team, rate) in &mut self.rates {
            let units = fresh.remove(team).unwrap_or(0.0);
            *rate = *rate * KEEP + units * REPORTS * (1.0 - KEEP);
        }
        let new = fresh.into_iter().map(|(team, units)| (team, units * REPORTS * (1.0 - KEEP)));
        self.rates.extend(new);
        self.rates.retain(|_, rate| *rate > 0.01);
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Rates are small and positive.
    fn rates(&self) -> Vec<(Team, u32)> {
        self.rates.iter().map(|(team, rate)| (team.clone(), rate.ceil() as u32)).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
