//! Claims: each non-idempotent request is granted to one run.
//!
//! A claim is committed before the request goes to its upstream, so whoever else asks, through any
//! instance, learns that it may have run. Memory is bounded: a claim is forgotten once its key is so
//! old that every resend of it is refused. The state's clock only rises, so a key that was refused
//! as expired stays so, and a key whose claim is forgotten was refused as expired before.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Team};
use verbenaslip_base::refusal::Unknown;

/// The time for which a key's claim is kept after the key was first used, in milliseconds.
pub const RETENTION_MS: u64 = 60 * 60 * 1_000;

/// The most by which clocks of callers and instances may differ, in milliseconds.
pub const SKEW_MS: u64 = 60 * 1_000;

/// Bounds the claims kept.
///
/// With the retention this allows 18 non-idempotent requests a second all the time. So many take
/// 18 MB of memory and 29 MB more for a moment while a snapshot is taken up.
pub const MAX_CLAIMS: u32 = 65_536;

/// Asks to be the one run of a request.
#[data]
pub struct Claim {
    /// The run that is to be the only one.
    pub attempt: Attempt,
    /// The team whose request it is.
    pub team: Team,
    /// The instance that will run it.
    pub instance: Instance,
    /// Drawn anew each time an instance takes the request up, also after a restart; equal only in
    /// the very same claim sent again. An instance that forgot its run draws another and is told
    /// that the claim is held, where an equal attempt number alone would grant a second run.
    pub nonce: u64,
    /// The digest of what is sent, which tells another request under the same key.
    pub body: u128,
    /// When the key was first used, in Unix milliseconds.
    pub issued: u64,
    /// When the claim was proposed, in Unix milliseconds.
    pub at: u64,
}

impl Claim {
    pub(crate) fn texts(&self) -> [(&'static str, &str); 2] {
        [("team", self.team.as_str()), ("instance", self.instance.as_str())]
    }
}

/// Tells how a claimed run ended.
#[data]
pub struct Settle {
    /// The run.
    pub attempt: Attempt,
    /// The nonce of its claim; only who knows it can say that the run was none.
    pub nonce: u64,
    /// The instance that tells.
    pub by: Instance,
    /// How it ended.
    pub ending: Ending,
    /// When it was proposed, in Unix milliseconds.
    pub at: u64,
}

/// Gives a claim back before anything was sent to an upstream.
///
/// It also bars the claim when it arrives first: whoever gave up waiting for a claim's answer has
/// told the caller that nothing was run, and the claim may still be on its way into the log.
#[data]
pub struct Release {
    /// The claim, as it was sent.
    pub claim: Claim,
    /// When it was proposed, in Unix milliseconds.
    pub at: u64,
}

/// Says how a claimed run ended.
#[data]
pub enum Ending {
    /// The answer was whole.
    Done {
        /// The digest of the answer.
        digest: u128,
        /// The status that the caller got.
        status: u16,
    },
    /// It surely did not run, so another attempt may.
    NotRun,
    /// It may have run.
    Unknown(Unknown),
}

/// Answers a claim.
#[data]
pub enum Verdict {
    /// The attempt is the one run.
    Granted,
    /// Another run holds the claim and has not ended.
    Held {
        /// The run.
        attempt: Attempt,
        /// The instance that claimed it.
        instance: Instance,
    },
    /// The one run has ended.
    Settled {
        /// The run.
        attempt: Attempt,
        /// How it ended; never [`Ending::NotRun`].
        ending: Ending,
    },
    /// The attempt, or a later one, was given up before; a higher number may be granted.
    Stale {
        /// The last attempt that was given up.
        last: Attempt,
    },
    /// The key belongs to another body.
    Conflict,
    /// The key is older than the retention, so it can't be told whether it ran.
    Expired,
    /// The key's first use lies in the future by more than clocks may differ.
    Ahead,
    /// The claims kept, or the team's share of them, are at their bound.
    Full,
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Granted => f.write_str("granted"),
            Self::Held { attempt, instance } => {
                write!(f, "held by attempt {} of {instance}", attempt.number)
            }
            Self::Settled { attempt, .. } => write!(f, "settled by attempt {}", attempt.number),
            Self::Stale { last } => write!(f, "given up before, up to attempt {}", last.number),
            Self::Conflict => f.write_str("the key belongs to another body"),
            Self::Expired => f.write_str("the key is older than the retention"),
            Self::Ahead => f.write_str("the key's first use lies in the future; check the clocks"),
            Self::Full => f.write_str("no room for another claim"),
        }
    }
}

/// Answers what a settlement or release did.
#[data]
pub enum Closing {
    /// The ending is kept; so it is for a resend.
    Kept,
    /// Another attempt may be granted; so it is for a resend.
    Freed,
    /// Another attempt or nonce holds the claim, so nothing changed.
    Other,
    /// Another ending is kept, so nothing changed.
    Final(Ending),
    /// No such claim is kept, so nothing changed.
    Missing,
}

impl fmt::Display for Closing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Kept => "kept",
            Self::Freed => "freed",
            Self::Other => "another attempt holds the claim",
            Self::Final(_) => "another ending is kept",
            Self::Missing => "no such claim",
        })
    }
}

/// Holds what bounds the claims; equal on every voter, so it travels in the snapshot.
#[data(copy)]
pub struct Limit {
    /// See [`RETENTION_MS`].
    pub retention: u64,
    /// See [`SKEW_MS`].
    pub skew: u64,
    /// See [`MAX_CLAIMS`].
    pub count: u32,
}

impl Default for Limit {
    fn default() -> Self {
        Self { retention: RETENTION_MS, skew: SKEW_MS, count: MAX_CLAIMS }
    }
}

/// Keeps the claims.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub(crate) struct Claims {
    limit: Limit,
    records: BTreeMap<Request, Record>,
    /// The same records by the time at which they may be forgotten.
    ages: BTreeSet<(u64, Request)>,
    teams: BTreeMap<Team, u32>,
    instances: BTreeMap<Instance, u32>,
}

impl Claims {
    /// Takes up records that a snapshot kept.
    pub(crate) fn restore(limit: Limit, records: Vec<Record>) -> Self {
        let mut claims = Self { limit, ..Self::default() };
        records.into_iter().for_each(|record| claims.insert(record));
        claims
    }

    pub(crate) fn limit(&self) -> Limit {
        self.limit
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Decides a claim at the state's clock.
    pub(crate) fn claim(&mut self, clock: u64, claim: &Claim) -> Verdict {
        // A key whose first use lies ahead would be kept too long, and is refused known or new.
        if claim.issued > clock.saturating_add(self.limit.skew) {
            return Verdict::Ahead;
        }
        let Some(record) = self.records.get(&claim.attempt.request) else {
            if let Some(refused) = self.admit(clock, claim) {
                return refused;
            }
            self.insert(Record::of(claim, Status::Held));
            return Verdict::Granted;
        };
        if record.body != claim.body {
            return Verdict::Conflict;
        }
        let verdict = record.answer(claim);
        // A resend may name a later first use. If the claim were forgotten by the earlier one, that
        // resend would not be expired yet and would run a second time.
        let issued = record.issued.max(claim.issued);
        let record = match verdict {
            Verdict::Granted => Record { issued, ..Record::of(claim, Status::Held) },
            _ => Record { issued, ..record.clone() },
        };
        self.remove(claim.attempt.request);
        self.insert(record);
        verdict
    }

    /// Keeps how a run ended, or frees the claim when it was none.
    pub(crate) fn settle(&mut self, settle: &Settle) -> Closing {
        let Some(record) = self.records.get_mut(&settle.attempt.request) else {
            return Closing::Missing;
        };
        if record.number != settle.attempt.number {
            return Closing::Other;
        }
        match (&record.status, &settle.ending) {
            (Status::Held, Ending::NotRun) | (Status::Freed, Ending::NotRun) => {
                // A restarted instance may reuse a number for a run that it never made; without the
                // nonce its word would free the claim of the run that was made.
                if record.nonce != settle.nonce {
                    return Closing::Other;
                }
                record.status = Status::Freed;
                Closing::Freed
            }
            (Status::Held, ending) => {
                record.status = Status::Settled(ending.clone());
                Closing::Kept
            }
            (Status::Freed, _) => Closing::Final(Ending::NotRun),
            (Status::Settled(kept), ending) if kept == ending => Closing::Kept,
            (Status::Settled(kept), _) => Closing::Final(kept.clone()),
        }
    }

    /// Frees a claim that led to no run, and bars it should it arrive later.
    pub(crate) fn release(&mut self, clock: u64, claim: &Claim) -> Closing {
        let Some(record) = self.records.get_mut(&claim.attempt.request) else {
            if self.admit(clock, claim).is_some() {
                return Closing::Missing;
            }
            self.insert(Record::of(claim, Status::Freed));
            return Closing::Freed;
        };
        match &record.status {
            Status::Settled(kept) if record.is(claim) => Closing::Final(kept.clone()),
            Status::Held | Status::Freed if record.is(claim) => {
                record.status = Status::Freed;
                Closing::Freed
            }
            Status::Freed if record.number < claim.attempt.number => {
                record.number = claim.attempt.number;
                record.nonce = claim.nonce;
                Closing::Freed
            }
            _ => Closing::Other,
        }
    }

    /// Forgets what no resend can revive, a bounded number at a time.
    pub(crate) fn sweep(&mut self, clock: u64) {
        for _ in 0..SWEEP {
            let Some((issued, request)) = self.ages.first().copied() else { return };
            let kept = self.limit.retention.saturating_add(self.limit.skew);
            if issued.saturating_add(kept) >= clock {
                return;
            }
            self.remove(request);
        }
    }

    /// Returns why a key without a record is refused, if it is.
    fn admit(&self, clock: u64, claim: &Claim) -> Option<Verdict> {
        if claim.issued.saturating_add(self.limit.retention) < clock {
            return Some(Verdict::Expired);
        }
        // Evicting instead would let the evicted key run again. No team may fill more than half,
        // so that one team's burst leaves room for the others.
        let team = self.teams.get(&claim.team).copied().unwrap_or_default();
        let full = self.records.len() >= self.limit.count as usize;
        (full || team >= self.limit.count.div_ceil(2)).then_some(Verdict::Full)
    }

    fn insert(&mut self, mut record: Record) {
        record.team = share(&mut self.teams, record.team);
        record.instance = share(&mut self.instances, record.instance);
        self.ages.insert((record.issued, record.request));
        self.records.insert(record.request, record);
    }

    fn remove(&mut self, request: Request) {
        let Some(record) = self.records.remove(&request) else { return };
        self.ages.remove(&(record.issued, request));
        unshare(&mut self.teams, &record.team);
        unshare(&mut self.instances, &record.instance);
    }
}

/// Keeps one claim.
#[data]
pub(crate) struct Record {
    request: Request,
    number: u32,
    team: Team,
    instance: Instance,
    nonce: u64,
    body: u128,
    issued: u64,
    status: Status,
}

impl Record {
    fn of(claim: &Claim, status: Status) -> Self {
        Self {
            request: claim.attempt.request,
            number: claim.attempt.number,
            team: claim.team.clone(),
            instance: claim.instance.clone(),
            nonce: claim.nonce,
            body: claim.body,
            issued: claim.issued,
            status,
        }
    }

    pub(crate) fn request(&self) -> Request {
        self.request
    }

    /// Says whether the record is of the very same claim.
    fn is(&self, claim: &Claim) -> bool {
        let nonce = self.nonce == claim.nonce && self.instance == claim.instance;
        self.number == claim.attempt.number && nonce
    }

    fn answer(&self, claim: &Claim) -> Verdict {
        let attempt = Attempt { request: self.request, number: self.number };
        match &self.status {
            Status::Held if self.is(claim) => Verdict::Granted,
            Status::Held => Verdict::Held { attempt, instance: self.instance.clone() },
            Status::Settled(ending) => Verdict::Settled { attempt, ending: ending.clone() },
            // A claim that was delayed in the network until after its release must not hold the
            // key: nobody waits for it, and the key would be stuck until it is forgotten.
            Status::Freed if claim.attempt.number <= self.number => {
                Verdict::Stale { last: attempt }
            }
            Status::Freed => Verdict::Granted,
        }
    }
}

#[data]
enum Status {
    Held,
    Freed,
    Settled(Ending),
}

/// Bounds the claims forgotten at one command.
const SWEEP: usize = 256;

/// Counts a use of a name and returns the copy that all uses share.
fn share<N: Ord + Clone>(names: &mut BTreeMap<N, u32>, name: N) -> N {
    if let Some((kept, _)) = names.get_key_value(&name) {
        let kept = kept.clone();
        *names.entry(kept.clone()).or_default() += 1;
        return kept;
    }
    names.insert(name.clone(), 1);
    name
}

fn unshare<N: Ord + Clone>(names: &mut BTreeMap<N, u32>, name: &N) {
    let Some(uses) = names.get_mut(name) else { return };
    *uses = uses.saturating_sub(1);
    if *uses == 0 {
        names.remove(name);
    }
}
