//! The limits of all rows at one instance.

use std::collections::BTreeMap;
use std::time::Duration;

use verbenaslip_base::data;
use verbenaslip_base::name::Instance;
use verbenaslip_table::Key;

use crate::limit::bucket::Bucket;
use crate::limit::part::{Aim, FLOOR, HOLD, Part};
use crate::limit::peers::Peers;
use crate::limit::report::{Entry, MOST_ENTRIES, Report, WHOLE};
use crate::row::{self, Terms};

/// Seconds over which demand is remembered.
const DEMAND: f64 = 2.0;
/// The demand below which a row counts as idle.
const IDLE: f64 = 0.05;
/// The most slots that are split into whole ones; its square must be below [`WHOLE`].
const FEW: u32 = 120;
/// The longest time between two steps that is no freeze.
const FREEZE: Duration = HOLD;

/// Tells why a request may not run now under its row's limits.
#[data(copy)]
pub struct Refused {
    /// The limit that is used up.
    pub what: What,
    /// How long until there is room, as far as is known.
    pub after: Duration,
}

/// Names a limit of a row.
#[data(copy, ord, hash)]
pub enum What {
    /// Requests a second.
    Rate,
    /// Requests at once.
    Concurrency,
    /// Tokens a second.
    Tokens,
}

/// Keeps this instance's part of every row's limits.
#[derive(Debug)]
pub struct Limiter {
    me: Instance,
    incarnation: u64,
    sequence: u32,
    peers: Peers,
    rows: BTreeMap<Key, Row>,
    started: Duration,
    stepped: Duration,
}

/// Holds one row's state.
#[derive(Debug)]
struct Row {
    digest: u32,
    terms: Terms,
    part: Part,
    rate: Bucket,
    tokens: Bucket,
    running: u32,
    demand: f64,
    asked: Duration,
}

impl Limiter {
    /// Starts without any part; it grows once the others have been heard for [`HOLD`].
    pub fn new(now: Duration, me: Instance, incarnation: u64) -> Self {
        Self {
            me,
            incarnation,
            sequence: 0,
            peers: Peers::default(),
            rows: BTreeMap::new(),
            started: now,
            stepped: now,
        }
    }

    /// Takes over the instances that membership counts as alive, this one among them or not.
    pub fn members(&mut self, now: Duration, members: &[Instance]) {
        self.peers.members(now, &self.me, members);
    }

    /// Falls back to the even part, as when this instance learns that others counted it as dead.
    ///
    /// With a cut in one direction this instance hears all others while they may have handed out
    /// its part; only membership can tell.
    pub fn doubt(&mut self, now: Duration) {
        self.restart(now);
    }

    /// Takes the rows of the table in force; rows that are gone lose their state.
    ///
    /// Parts are relative to the limits, so an edit of a limit is in force at once everywhere.
    pub fn table<'a>(&mut self, now: Duration, rows: impl Iterator<Item = (&'a Key, &'a Terms)>) {
        let mut old = std::mem::take(&mut self.rows);
        for (key, terms) in rows {
            let row = old.remove(key).unwrap_or_else(|| Row::new(now, key, *terms));
            self.rows.insert(key.clone(), Row { terms: *terms, ..row });
        }
    }

    /// Takes another instance's report.
    pub fn heard(&mut self, now: Duration, from: &Instance, report: &Report) {
        self.notice_freeze(now);
        self.peers.heard(now, from, report);
    }

    /// Moves the parts and returns the report to spread; called about once a second.
    pub fn step(&mut self, now: Duration) -> Report {
        self.notice_freeze(now);
        self.peers.forget(now);
        self.move_parts(now);
        self.report()
    }

    /// Returns whether a request may run now; takes nothing.
    pub fn check(&mut self, now: Duration, key: &Key, tokens: u32) -> Result<(), Refused> {
        self.notice_freeze(now);
        let floor = self.floor(now);
        let Some(row) = self.rows.get_mut(key) else { return Ok(()) };
        row.check(now, floor, tokens)
    }

    /// Takes room for one request, whose tokens are as estimated, or refuses.
    pub fn take(&mut self, now: Duration, key: &Key, tokens: u32) -> Result<(), Refused> {
        self.check(now, key, tokens)?;
        let Some(row) = self.rows.get_mut(key) else { return Ok(()) };
        row.running += 1;
        row.rate.take(1.0);
        row.tokens.take(f64::from(tokens));
        Ok(())
    }

    /// Notes that a request was offered, which counts as demand.
    pub fn asked(&mut self, now: Duration, key: &Key) {
        if let Some(row) = self.rows.get_mut(key) {
            row.ask(now);
        }
    }

    /// Gives room back when a run ends; `unused` is what the estimate of its tokens was too high.
    pub fn ended(&mut self, key: &Key, unused: i64) {
        let Some(row) = self.rows.get_mut(key) else { return };
        row.running = row.running.saturating_sub(1);
        row.tokens.take(-(unused as f64));
    }

    /// Predicts how long until a request has room, when so many of its row wait before it.
    pub fn wait(&mut self, now: Duration, key: &Key, ahead: usize, tokens: u32) -> Duration {
        self.notice_freeze(now);
        let floor = self.floor(now);
        let Some(row) = self.rows.get_mut(key) else { return Duration::ZERO };
        row.wait(now, floor, ahead, tokens)
    }

    /// Returns how many of a row may run at once here; none for a row that the table lacks.
    pub fn concurrency(&self, now: Duration, key: &Key) -> Option<u32> {
        let floor = self.floor(now);
        Some(self.rows.get(key)?.concurrency(floor))
    }

    /// Returns the requests a second that a row may start here, if that is limited.
    pub fn rate(&self, now: Duration, key: &Key) -> Option<f64> {
        let floor = self.floor(now);
        let row = self.rows.get(key)?;
        Some(f64::from(row.terms.rate?) * row.share(floor))
    }

    /// Says whether this instance has its even part: the others have heard of it by now.
    pub fn has_base_share(&self, now: Duration) -> bool {
        now.saturating_sub(self.started) >= HOLD
    }

    /// Returns how many of a row run here.
    pub fn running(&self, key: &Key) -> u32 {
        self.rows.get(key).map_or(0, |row| row.running)
    }

    /// Returns the even part of a limit that is this instance's own without asking anyone.
    fn floor(&self, now: Duration) -> Floor {
        // An instance that others have not yet heard of is not yet counted in their even parts.
        Floor {
            part: if self.has_base_share(now) { FLOOR / self.peers.count() as f64 } else { 0.0 },
        }
    }

    /// Falls back to the even part after a freeze.
    ///
    /// A frozen instance wakes with its old parts, while the others may have forgotten it and
    /// handed them out; the sum of both would be a burst. It shows as a long time between steps,
    /// and reports that waited in the socket look fresh, so it waits as long as a newcomer.
    fn notice_freeze(&mut self, now: Duration) {
        if now.saturating_sub(self.stepped) > FREEZE {
            self.restart(now);
        }
        self.stepped = self.stepped.max(now);
    }

    fn restart(&mut self, now: Duration) {
        self.started = now;
        self.stepped = now;
        for row in self.rows.values_mut() {
            row.part.drop_to(0.0);
        }
    }

    fn move_parts(&mut self, now: Duration) {
        let settled = self.has_base_share(now);
        let isolated = !self.peers.majority(now);
        let complete = self.peers.complete(now);
        for row in self.rows.values_mut() {
            row.fade(now);
            if isolated {
                row.part.drop_to(0.0);
                continue;
            }
            let mut aim = aim(&self.me, row, &self.peers);
            // A raise is only safe when all were heard; giving up is safe at any time.
            if !(settled && complete) {
                aim.target = aim.target.min(row.part.used);
            }
            row.part.step(now, &aim);
        }
        self.bound_rows();
    }

    /// Gives up the smallest parts of more rows than a report holds.
    ///
    /// A part that is not reported would be handed out a second time.
    fn bound_rows(&mut self) {
        let order = |row: &Row| (Entry::scaled(row.demand), part(row.part.announced));
        let mut rows: Vec<&mut Row> = self.rows.values_mut().collect();
        rows.sort_by_key(|row| std::cmp::Reverse(order(row)));
        for row in rows.into_iter().skip(MOST_ENTRIES) {
            row.part.drop_to(0.0);
        }
    }

    fn report(&mut self) -> Report {
        self.sequence = self.sequence.saturating_add(1);
        let listed = |row: &&Row| row.part.announced > 0.0 || row.demand > IDLE;
        let mut rows: Vec<&Row> = self.rows.values().filter(listed).collect();
        rows.sort_by_key(|row| {
            std::cmp::Reverse((part(row.part.announced), Entry::scaled(row.demand)))
        });
        let entries = rows.into_iter().take(MOST_ENTRIES).map(Row::entry).collect();
        Report { incarnation: self.incarnation, sequence: self.sequence, entries }
    }
}

/// Holds the even part of a limit.
#[derive(Clone, Copy)]
struct Floor {
    part: f64,
}

impl Row {
    fn new(now: Duration, key: &Key, terms: Terms) -> Self {
        Self {
            digest: row::digest(key),
            terms,
            part: Part::default(),
            rate: Bucket::new(now),
            tokens: Bucket::new(now),
            running: 0,
            demand: 0.0,
            asked: now,
        }
    }

    /// Returns this instance's part of a limit that can be cut as finely as one likes.
    fn share(&self, floor: Floor) -> f64 {
        floor.part + (1.0 - FLOOR) * self.part.used / (1.0 + self.slack())
    }

    /// Returns what parts may add up to above 1, so that few slots can be split into whole ones.
    ///
    /// A third of a limit of three must count as one in spite of the report's rounding. With a
    /// limit of `l` the slots are rounded down to at most `l + l * l / WHOLE`, so below `l + 1`.
    fn slack(&self) -> f64 {
        let few = (self.terms.concurrency <= FEW).then_some(self.terms.concurrency);
        f64::from(few.unwrap_or(0)) / f64::from(WHOLE)
    }

    /// Returns how many may run at once.
    fn concurrency(&self, floor: Floor) -> u32 {
        const ROUNDING: f64 = 1e-6;
        let limit = f64::from(self.terms.concurrency);
        // An even part below one would be lost to rounding at every instance, so all is by demand.
        let share = if self.indivisible(floor) {
            self.part.used
        } else {
            // Rounding down takes care of the slack, which so may stay; without it a lone instance
            // would never reach a small limit.
            floor.part + (1.0 - FLOOR) * self.part.used
        };
        (limit * share + ROUNDING) as u32
    }

    /// Returns whether an even part of the concurrency would be less than one.
    fn indivisible(&self, floor: Floor) -> bool {
        f64::from(self.terms.concurrency) * floor.part < 1.0
    }

    /// Returns the part that running requests keep from being given up.
    fn least(&self) -> f64 {
        f64::from(self.running) / f64::from(self.terms.concurrency.max(1))
    }

    fn fill(&mut self, now: Duration, floor: Floor) {
        let share = self.share(floor);
        if let Some(rate) = self.terms.rate {
            let depth = (f64::from(self.terms.burst) * share).max(1.0);
            self.rate.fill(now, f64::from(rate) * share, depth);
        }
        if let Some(tokens) = self.terms.tokens {
            let rate = f64::from(tokens) * share;
            self.tokens.fill(now, rate, rate);
        }
    }

    fn check(&mut self, now: Duration, floor: Floor, tokens: u32) -> Result<(), Refused> {
        self.fill(now, floor);
        let share = self.share(floor);
        if self.running >= self.concurrency(floor) {
            return Err(Refused { what: What::Concurrency, after: HOLD });
        }
        if let Some(rate) = self.terms.rate {
            refuse(What::Rate, self.rate.until(1.0, f64::from(rate) * share))?;
        }
        if let Some(limit) = self.terms.tokens {
            let rate = f64::from(limit) * share;
            // A request larger than the bucket goes when it is full, and the rest is owed.
            refuse(What::Tokens, self.tokens.until(f64::from(tokens).min(rate), rate))?;
        }
        Ok(())
    }

    fn wait(&mut self, now: Duration, floor: Floor, ahead: usize, tokens: u32) -> Duration {
        self.fill(now, floor);
        let share = self.share(floor);
        let each = ahead as f64 + 1.0;
        let mut wait: f64 = 0.0;
        if let Some(rate) = self.terms.rate {
            wait = wait.max(self.rate.until(each, f64::from(rate) * share));
        }
        if let Some(limit) = self.terms.tokens {
            let rate = f64::from(limit) * share;
            wait = wait.max(self.tokens.until(each * f64::from(tokens).min(rate), rate));
        }
        seconds(wait)
    }

    fn ask(&mut self, now: Duration) {
        self.fade(now);
        self.demand += 1.0 / DEMAND;
    }

    fn fade(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.asked).as_secs_f64();
        self.asked = self.asked.max(now);
        self.demand *= (-passed / DEMAND).exp();
    }

    fn entry(&self) -> Entry {
        let demand = self.demand + f64::from(self.running);
        Entry { row: self.digest, demand: Entry::scaled(demand), part: part(self.part.announced) }
    }
}

/// Returns where demand moves a row's part.
fn aim(me: &Instance, row: &Row, peers: &Peers) -> Aim {
    let mut claims: Vec<Claim> = peers.entries(row.digest).map(Claim::of).collect();
    let own = claims.len();
    claims.push(Claim::of((me, &row.entry())));
    let total: f64 = claims.iter().map(|claim| claim.demand).sum();
    let others = peers.held(row.digest);
    let whole = 1.0 + row.slack();
    let idle = Aim { target: row.part.used, whole, others, lacking: 0.0, least: row.least() };
    // While nobody asks, all keep what they had, so that the next hour starts like the last one; and
    // nobody is left without, or a burst after a start would find most of the limit in no one's hands.
    if total <= IDLE {
        let even = 1.0 / peers.count() as f64;
        return Aim { target: row.part.used.max(even), ..idle };
    }
    let contenders = claims.iter().filter(|claim| claim.demand > IDLE).count();
    let units = row.terms.concurrency;
    if (units as usize) < contenders * 4 {
        whole_units(&mut claims, units);
    } else {
        // Less than a report can tell is nothing, or many idle instances would hold a lot together.
        let told = |part: f64| (part * f64::from(WHOLE)).floor() / f64::from(WHOLE);
        claims.iter_mut().for_each(|claim| claim.target = told(claim.demand / total));
    }
    let target = claims[own].target;
    let lacking = claims[..own].iter().map(|claim| (claim.target - claim.part).max(0.0)).sum();
    Aim { target, lacking, ..idle }
}

/// Holds one instance's demand for a row, and what it is given.
struct Claim<'a> {
    name: &'a Instance,
    demand: f64,
    part: f64,
    target: f64,
}

impl<'a> Claim<'a> {
    fn of((name, entry): (&'a Instance, &Entry)) -> Self {
        let part = f64::from(entry.part) / f64::from(WHOLE);
        Self { name, demand: entry.demand(), part, target: 0.0 }
    }

    /// Returns the demand by which few slots are split.
    ///
    /// Who holds one counts more: a slot that changed hands with each small change of demand would
    /// be on its way most of the time.
    fn weight(&self) -> f64 {
        const HOLDER: f64 = 8.0;
        if self.part > 0.0 { self.demand * HOLDER } else { self.demand }
    }
}

/// Splits few slots into whole ones by demand, the largest remainders first, then by name.
fn whole_units(claims: &mut [Claim], units: u32) {
    let total: f64 = claims.iter().map(Claim::weight).sum();
    let units = f64::from(units.max(1));
    let quota = |claim: &Claim| units * claim.weight() / total;
    let left = units - claims.iter().map(|claim| quota(claim).floor()).sum::<f64>();
    let mut order: Vec<usize> = (0..claims.len()).collect();
    order.sort_by(|a, b| {
        let (a, b) = (&claims[*a], &claims[*b]);
        quota(b).fract().total_cmp(&quota(a).fract()).then(a.name.cmp(b.name))
    });
    for (rank, index) in order.into_iter().enumerate() {
        let claim = &mut claims[index];
        let given = quota(claim).floor() + f64::from(u8::from((rank as f64) < left));
        claim.target = (given * f64::from(WHOLE) / units).ceil() / f64::from(WHOLE);
    }
}

/// Puts a part on the scale of a report, rounded up so that it never hides what is held.
fn part(part: f64) -> u16 {
    (part.clamp(0.0, 1.0) * f64::from(WHOLE)).ceil() as u16
}

/// Refuses when there is a time to wait.
fn refuse(what: What, wait: f64) -> Result<(), Refused> {
    if wait <= 0.0 { Ok(()) } else { Err(Refused { what, after: seconds(wait) }) }
}

/// Turns any number of seconds into a duration; endless means that a part has yet to come.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(HOLD * 2)
}
