//! Enforces the limits of all rows at one instance.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;
use verbenaslip_table::Key;

use crate::limit::bucket::Bucket;
use crate::limit::peers::Peers;
use crate::limit::report::{FULL_SHARE, MAX_ENTRIES, Report, ReportEntry};
use crate::limit::share::{ANNOUNCE_DELAY, BASE_FRACTION, Share, ShareGoal};
use crate::row::{self, RowParams};

/// Time constant with which the measured demand decays.
const DEMAND_DECAY_SECONDS: f64 = 2.0;
/// The demand below which a row counts as idle.
const IDLE_DEMAND: f64 = 0.05;
/// The highest concurrency limit that is split into whole slots; its square must be below
/// [`FULL_SHARE`].
const MAX_WHOLE_SLOTS: u32 = 120;
/// The longest time without activity that does not count as a pause of the process.
const MAX_ACTIVE_GAP: Duration = ANNOUNCE_DELAY;

/// Tells which limit of its row prevents a request from running now.
#[data(copy)]
pub struct Exceeded {
    /// The limit that is used up.
    pub limit: Limit,
    /// The estimated time until the limit allows the request.
    pub retry_after: Duration,
}

/// Names a limit of a row.
#[data(copy, ord, hash)]
pub enum Limit {
    /// Requests per second.
    Rate,
    /// Requests that run at once.
    Concurrency,
    /// Tokens per second.
    Tokens,
}

/// Holds this instance's shares of the limits of all rows.
#[derive(Debug)]
pub struct Limiter {
    own_name: Instance,
    incarnation: u64,
    sequence: u32,
    peers: Peers,
    rows: BTreeMap<Key, RowState>,
    warm_up_start: Duration,
    last_activity: Duration,
}

/// Holds the state of one row's limits.
#[derive(Debug)]
struct RowState {
    row_hash: u32,
    params: RowParams,
    share: Share,
    request_bucket: Bucket,
    token_bucket: Bucket,
    running: u32,
    demand: f64,
    demand_updated: Duration,
}

impl Limiter {
    /// Creates a limiter without any share. Shares grow after the other instances have been heard
    /// for [`ANNOUNCE_DELAY`].
    pub fn new(now: Duration, own_name: Instance, incarnation: u64) -> Self {
        Self {
            own_name,
            incarnation,
            sequence: 0,
            peers: Peers::default(),
            rows: BTreeMap::new(),
            warm_up_start: now,
            last_activity: now,
        }
    }

    /// Sets the instances that membership counts as alive. The list may contain this instance.
    pub fn set_members(&mut self, now: Duration, members: &[Instance]) {
        self.peers.set_members(now, &self.own_name, members);
    }

    /// Falls back to the base share, for example when this instance learns that others counted it
    /// as dead.
    ///
    /// With a network partition in one direction, this instance receives reports from all others
    /// while they may have redistributed its shares. Only membership can detect this.
    pub fn reset_shares(&mut self, now: Duration) {
        self.restart_warm_up(now);
    }

    /// Sets the rows of the current route table. Rows that are no longer listed lose their state.
    ///
    /// Shares are relative to the limits, so a changed limit applies at once everywhere.
    pub fn set_rows<'a>(
        &mut self,
        now: Duration,
        rows: impl Iterator<Item = (&'a Key, &'a RowParams)>,
    ) {
        let mut previous = std::mem::take(&mut self.rows);
        for (key, params) in rows {
            let row = previous.remove(key).unwrap_or_else(|| RowState::new(now, key, *params));
            self.rows.insert(key.clone(), RowState { params: *params, ..row });
        }
    }

    /// Handles the report of another instance.
    pub fn handle_report(&mut self, now: Duration, from: &Instance, report: &Report) {
        self.restart_after_pause(now);
        self.peers.handle_report(now, from, report);
    }

    /// Updates the shares and returns the report for the other instances; called about once per
    /// second.
    pub fn tick(&mut self, now: Duration) -> Report {
        self.restart_after_pause(now);
        self.peers.remove_departed(now);
        self.update_shares(now);
        self.make_report()
    }

    /// Checks whether a request may run now, without using up any limit.
    ///
    /// # Errors
    ///
    /// Returns the exceeded limit if the request may not run now.
    pub fn check(&mut self, now: Duration, key: &Key, tokens: u32) -> Result<(), Exceeded> {
        self.restart_after_pause(now);
        let base = self.base_share(now);
        let Some(row) = self.rows.get_mut(key) else { return Ok(()) };
        row.check(now, base, tokens)
    }

    /// Counts one request with its estimated tokens against the limits of its row.
    ///
    /// # Errors
    ///
    /// Returns the exceeded limit if the request may not run now; nothing is counted then.
    pub fn acquire(&mut self, now: Duration, key: &Key, tokens: u32) -> Result<(), Exceeded> {
        self.check(now, key, tokens)?;
        let Some(row) = self.rows.get_mut(key) else { return Ok(()) };
        row.running += 1;
        row.request_bucket.take(1.0);
        row.token_bucket.take(f64::from(tokens));
        Ok(())
    }

    /// Records an offered request as demand.
    pub fn record_demand(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.record_demand(now);
        }
    }

    /// Releases the concurrency of an ended run and refunds `unused` tokens, the amount by which
    /// the estimate was too high.
    pub fn release(&mut self, key: &Key, unused: i64) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.running = row.running.saturating_sub(1);
        row.token_bucket.take(-(unused as f64));
    }

    /// Predicts the time until a request is within the limits when `ahead` requests of its row wait
    /// before it.
    pub fn predict_wait(
        &mut self,
        now: Duration,
        key: &Key,
        ahead: usize,
        tokens: u32,
    ) -> Duration {
        self.restart_after_pause(now);
        let base = self.base_share(now);
        let Some(row) = self.rows.get_mut(key) else { return Duration::ZERO };
        row.predict_wait(now, base, ahead, tokens)
    }

    /// Returns how many requests of a row may run at once at this instance, or `None` if the row
    /// does not exist.
    pub fn concurrency(&self, now: Duration, key: &Key) -> Option<u32> {
        let base = self.base_share(now);
        Some(self.rows.get(key)?.concurrency(base))
    }

    /// Returns how many requests per second a row may start at this instance, or `None` if the rate
    /// is not limited or the row does not exist.
    pub fn rate(&self, now: Duration, key: &Key) -> Option<f64> {
        let base = self.base_share(now);
        let row = self.rows.get(key)?;
        Some(f64::from(row.params.rate?) * row.rate_share(base))
    }

    /// Returns whether this instance may use its base share, because the others must know about it
    /// by now.
    pub fn has_base_share(&self, now: Duration) -> bool {
        now.saturating_sub(self.warm_up_start) >= ANNOUNCE_DELAY
    }

    /// Returns the number of requests of a row that run at this instance.
    pub fn running(&self, key: &Key) -> u32 {
        self.rows.get(key).map_or(0, |row| row.running)
    }

    /// Returns the base share, which this instance may use without an announcement.
    fn base_share(&self, now: Duration) -> BaseShare {
        // Instances that do not know this one yet do not count it when they compute their base
        // shares.
        BaseShare {
            fraction: if self.has_base_share(now) {
                BASE_FRACTION / self.peers.count() as f64
            } else {
                0.0
            },
        }
    }

    /// Falls back to the base share after a pause of the process.
    ///
    /// A paused instance resumes with its old shares, while the others may have removed it and
    /// redistributed them; together these would exceed the limit. The pause is detected by the time
    /// since the last activity. Reports that were waiting in the socket look recent, so this
    /// instance waits as long as a new one.
    fn restart_after_pause(&mut self, now: Duration) {
        if now.saturating_sub(self.last_activity) > MAX_ACTIVE_GAP {
            self.restart_warm_up(now);
        }
        self.last_activity = self.last_activity.max(now);
    }

    fn restart_warm_up(&mut self, now: Duration) {
        self.warm_up_start = now;
        self.last_activity = now;
        for row in self.rows.values_mut() {
            row.share.reduce_to(0.0);
        }
    }

    fn update_shares(&mut self, now: Duration) {
        let warmed_up = self.has_base_share(now);
        let minority = !self.peers.hears_majority(now);
        let hears_all = self.peers.hears_all_members(now);
        for row in self.rows.values_mut() {
            row.decay_demand(now);
            if minority {
                row.share.reduce_to(0.0);
                continue;
            }
            let mut goal = share_goal(&self.own_name, row, &self.peers);
            // A share may grow only when all instances were heard. Giving up a share is always
            // safe.
            if !(warmed_up && hears_all) {
                goal.target = goal.target.min(row.share.in_use);
            }
            row.share.update(now, &goal);
        }
        self.drop_unreported_shares();
    }

    /// Gives up the shares of the rows with the lowest demand that do not fit into a report.
    ///
    /// A share that is not reported would be given to another instance as well.
    fn drop_unreported_shares(&mut self) {
        let order = |row: &RowState| {
            (ReportEntry::encode_demand(row.demand), to_report_units(row.share.announced))
        };
        let mut rows: Vec<&mut RowState> = self.rows.values_mut().collect();
        rows.sort_by_key(|row| std::cmp::Reverse(order(row)));
        for row in rows.into_iter().skip(MAX_ENTRIES) {
            row.share.reduce_to(0.0);
        }
    }

    fn make_report(&mut self) -> Report {
        self.sequence = self.sequence.saturating_add(1);
        let listed = |row: &&RowState| row.share.announced > 0.0 || row.demand > IDLE_DEMAND;
        let mut rows: Vec<&RowState> = self.rows.values().filter(listed).collect();
        rows.sort_by_key(|row| {
            std::cmp::Reverse((
                to_report_units(row.share.announced),
                ReportEntry::encode_demand(row.demand),
            ))
        });
        let entries = rows.into_iter().take(MAX_ENTRIES).map(RowState::report_entry).collect();
        Report { incarnation: self.incarnation, sequence: self.sequence, entries }
    }
}

/// Holds the base share of a limit.
#[derive(Clone, Copy)]
struct BaseShare {
    fraction: f64,
}

impl RowState {
    fn new(now: Duration, key: &Key, params: RowParams) -> Self {
        Self {
            row_hash: row::row_hash(key),
            params,
            share: Share::default(),
            request_bucket: Bucket::new(now),
            token_bucket: Bucket::new(now),
            running: 0,
            demand: 0.0,
            demand_updated: now,
        }
    }

    /// Returns this instance's share of a limit that can be divided arbitrarily, such as a rate.
    fn rate_share(&self, base: BaseShare) -> f64 {
        base.fraction + (1.0 - BASE_FRACTION) * self.share.in_use / (1.0 + self.rounding_slack())
    }

    /// Returns by how much the sum of shares may exceed 1, so that a small number of slots can be
    /// split into whole slots.
    ///
    /// A third of a limit of three must count as one slot in spite of rounding in the report. For a
    /// limit of `l`, the slots add up to at most `l + l * l / FULL_SHARE` before rounding down,
    /// which is less than `l + 1`.
    fn rounding_slack(&self) -> f64 {
        let whole_slots =
            (self.params.concurrency <= MAX_WHOLE_SLOTS).then_some(self.params.concurrency);
        f64::from(whole_slots.unwrap_or(0)) / f64::from(FULL_SHARE)
    }

    /// Returns how many requests may run at once.
    fn concurrency(&self, base: BaseShare) -> u32 {
        const ROUNDING: f64 = 1e-6;
        let limit = f64::from(self.params.concurrency);
        // A base share of less than one slot would be rounded to zero at every instance, so all
        // slots are distributed by demand.
        let share = if self.base_below_one(base) {
            self.share.in_use
        } else {
            // The result is rounded down, which removes the slack, so it is not divided out here.
            // Otherwise a single instance would never reach a small limit.
            base.fraction + (1.0 - BASE_FRACTION) * self.share.in_use
        };
        (limit * share + ROUNDING) as u32
    }

    /// Returns whether the base share of the concurrency is less than one slot.
    fn base_below_one(&self, base: BaseShare) -> bool {
        f64::from(self.params.concurrency) * base.fraction < 1.0
    }

    /// Returns the share that running requests use, which cannot be given up.
    fn running_share(&self) -> f64 {
        f64::from(self.running) / f64::from(self.params.concurrency.max(1))
    }

    fn refill(&mut self, now: Duration, base: BaseShare) {
        let share = self.rate_share(base);
        if let Some(rate) = self.params.rate {
            let burst = (f64::from(self.params.burst) * share).max(1.0);
            self.request_bucket.refill(now, f64::from(rate) * share, burst);
        }
        if let Some(tokens) = self.params.tokens_per_second {
            let rate = f64::from(tokens) * share;
            self.token_bucket.refill(now, rate, rate);
        }
    }

    fn check(&mut self, now: Duration, base: BaseShare, tokens: u32) -> Result<(), Exceeded> {
        self.refill(now, base);
        let share = self.rate_share(base);
        if self.running >= self.concurrency(base) {
            return Err(Exceeded { limit: Limit::Concurrency, retry_after: ANNOUNCE_DELAY });
        }
        if let Some(rate) = self.params.rate {
            require_no_wait(
                Limit::Rate,
                self.request_bucket.seconds_until(1.0, f64::from(rate) * share),
            )?;
        }
        if let Some(limit) = self.params.tokens_per_second {
            let rate = f64::from(limit) * share;
            // A request larger than the bucket runs when the bucket is full, and the level becomes
            // negative.
            require_no_wait(
                Limit::Tokens,
                self.token_bucket.seconds_until(f64::from(tokens).min(rate), rate),
            )?;
        }
        Ok(())
    }

    fn predict_wait(
        &mut self,
        now: Duration,
        base: BaseShare,
        ahead: usize,
        tokens: u32,
    ) -> Duration {
        self.refill(now, base);
        let share = self.rate_share(base);
        let count = ahead as f64 + 1.0;
        let mut wait: f64 = 0.0;
        if let Some(rate) = self.params.rate {
            wait = wait.max(self.request_bucket.seconds_until(count, f64::from(rate) * share));
        }
        if let Some(limit) = self.params.tokens_per_second {
            let rate = f64::from(limit) * share;
            wait = wait
                .max(self.token_bucket.seconds_until(count * f64::from(tokens).min(rate), rate));
        }
        to_duration(wait)
    }

    fn record_demand(&mut self, now: Duration) {
        self.decay_demand(now);
        self.demand += 1.0 / DEMAND_DECAY_SECONDS;
    }

    fn decay_demand(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.demand_updated).as_secs_f64();
        self.demand_updated = self.demand_updated.max(now);
        self.demand *= (-elapsed / DEMAND_DECAY_SECONDS).exp();
    }

    fn report_entry(&self) -> ReportEntry {
        let demand = self.demand + f64::from(self.running);
        ReportEntry {
            row: self.row_hash,
            demand: ReportEntry::encode_demand(demand),
            share: to_report_units(self.share.announced),
        }
    }
}

/// Returns the share that a row should have according to demand, and the bounds for reaching it.
fn share_goal(own_name: &Instance, row: &RowState, peers: &Peers) -> ShareGoal {
    let mut claims: Vec<Claim> = peers.entries(row.row_hash).map(Claim::from_entry).collect();
    let own_index = claims.len();
    claims.push(Claim::from_entry((own_name, &row.report_entry())));
    let total: f64 = claims.iter().map(|claim| claim.demand).sum();
    let held_by_others = peers.total_share(row.row_hash);
    let max_total = 1.0 + row.rounding_slack();
    let unchanged = ShareGoal {
        target: row.share.in_use,
        total: max_total,
        held_by_others,
        others_shortfall: 0.0,
        minimum: row.running_share(),
    };
    // Without demand all instances keep their shares, so that the next hour starts with the same
    // distribution. Each instance holds at least an even share, because otherwise most of the limit
    // would be unassigned when a burst follows a start.
    if total <= IDLE_DEMAND {
        let even_share = 1.0 / peers.count() as f64;
        return ShareGoal { target: row.share.in_use.max(even_share), ..unchanged };
    }
    let contenders = claims.iter().filter(|claim| claim.demand > IDLE_DEMAND).count();
    let slots = row.params.concurrency;
    if (slots as usize) < contenders * 4 {
        assign_whole_slots(&mut claims, slots);
    } else {
        // A share below the resolution of a report is rounded to zero. Otherwise many idle
        // instances would hold a considerable share together.
        let reportable =
            |share: f64| (share * f64::from(FULL_SHARE)).floor() / f64::from(FULL_SHARE);
        claims.iter_mut().for_each(|claim| claim.target = reportable(claim.demand / total));
    }
    let target = claims[own_index].target;
    let others_shortfall =
        claims[..own_index].iter().map(|claim| (claim.target - claim.share).max(0.0)).sum();
    ShareGoal { target, others_shortfall, ..unchanged }
}

/// Holds the demand of one instance for a row, its current share and its target share.
struct Claim<'a> {
    name: &'a Instance,
    demand: f64,
    share: f64,
    target: f64,
}

impl<'a> Claim<'a> {
    fn from_entry((name, entry): (&'a Instance, &ReportEntry)) -> Self {
        let share = f64::from(entry.share) / f64::from(FULL_SHARE);
        Self { name, demand: entry.decode_demand(), share, target: 0.0 }
    }

    /// Returns the weight by which a small number of slots is split.
    ///
    /// The current holder of a share has a higher weight. Otherwise a slot would move with each
    /// small change of demand and would be unusable during most of the moves.
    fn weight(&self) -> f64 {
        const HOLDER_WEIGHT: f64 = 8.0;
        if self.share > 0.0 { self.demand * HOLDER_WEIGHT } else { self.demand }
    }
}

/// Splits a small number of slots into whole slots by demand, with the largest remainders first and
/// ties broken by name.
fn assign_whole_slots(claims: &mut [Claim], slots: u32) {
    let total: f64 = claims.iter().map(Claim::weight).sum();
    let slots = f64::from(slots.max(1));
    let quota = |claim: &Claim| slots * claim.weight() / total;
    let unassigned = slots - claims.iter().map(|claim| quota(claim).floor()).sum::<f64>();
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&claims[*a], &claims[*b]);
        quota(b).fract().total_cmp(&quota(a).fract()).then(a.name.cmp(b.name))
    });
    for (rank, index) in order.into_iter().enumerate() {
        let claim = &mut claims[index];
        let assigned = quota(claim).floor() + f64::from(u8::from((rank as f64) < unassigned));
        claim.target = (assigned * f64::from(FULL_SHARE) / slots).ceil() / f64::from(FULL_SHARE);
    }
}

/// Converts a share to report units, rounded up so that a report never understates the share.
fn to_report_units(share: f64) -> u16 {
    (share.clamp(0.0, 1.0) * f64::from(FULL_SHARE)).ceil() as u16
}

/// Returns an error if the wait is longer than zero.
fn require_no_wait(limit: Limit, wait: f64) -> Result<(), Exceeded> {
    if wait <= 0.0 { Ok(()) } else { Err(Exceeded { limit, retry_after: to_duration(wait) }) }
}

/// Converts seconds to a duration; an infinite wait means that this instance has no share yet.
fn to_duration(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(ANNOUNCE_DELAY * 2)
}
