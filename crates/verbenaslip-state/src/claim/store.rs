//! The stored claims.

use std::collections::{BTreeMap, BTreeSet};

use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::data;
use verbenaslip_base::name::{Instance, Team};

use super::{Claim, CloseResult, Ending, Limits, Settle, Verdict};

/// Stores the claims by request key.
#[derive(Clone, Debug, PartialEq, Eq, Default)]
pub(crate) struct Store {
    limit: Limits,
    records: BTreeMap<Request, Record>,
    /// The keys ordered by first use, to find the claims that may be dropped.
    by_first_use: BTreeSet<(u64, Request)>,
    teams: BTreeMap<Team, u32>,
    instances: BTreeMap<Instance, u32>,
}

impl Store {
    /// Restores the records of a snapshot.
    pub(crate) fn restore(limit: Limits, records: Vec<Record>) -> Self {
        let mut claims = Self { limit, ..Self::default() };
        records.into_iter().for_each(|record| claims.insert(record));
        claims
    }

    pub(crate) fn limit(&self) -> Limits {
        self.limit
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Decides on a claim at the state's clock, in Unix milliseconds.
    pub(crate) fn claim(&mut self, clock: u64, claim: &Claim) -> Verdict {
        // A key first used in the future would be kept too long, so it is refused even if it is
        // known.
        if claim.issued > clock.saturating_add(self.limit.skew) {
            return Verdict::Ahead;
        }
        let Some(record) = self.records.get(&claim.attempt.request) else {
            if let Some(refused) = self.refusal(clock, claim) {
                return refused;
            }
            self.insert(Record::from_claim(claim, Status::Held));
            return Verdict::Granted;
        };
        if record.body != claim.body {
            return Verdict::Conflict;
        }
        let verdict = record.verdict(claim);
        // A resend may name a later first use. If the claim were dropped by the earlier time, the
        // resend would not be expired yet and would run a second time.
        let issued = record.issued.max(claim.issued);
        let record = match verdict {
            Verdict::Granted => Record { issued, ..Record::from_claim(claim, Status::Held) },
            _ => Record { issued, ..record.clone() },
        };
        self.remove(claim.attempt.request);
        self.insert(record);
        verdict
    }

    /// Stores how a run ended, or frees the claim if it did not run.
    pub(crate) fn settle(&mut self, settle: &Settle) -> CloseResult {
        let Some(record) = self.records.get_mut(&settle.attempt.request) else {
            return CloseResult::Missing;
        };
        if record.number != settle.attempt.number {
            return CloseResult::Other;
        }
        match (&record.status, &settle.ending) {
            (Status::Held, Ending::NotRun) | (Status::Freed, Ending::NotRun) => {
                // A restarted instance may reuse an attempt number for a run that never took place.
                // Without the nonce check, its report would free the claim of the run that did take
                // place.
                if record.nonce != settle.nonce {
                    return CloseResult::Other;
                }
                record.status = Status::Freed;
                CloseResult::Freed
            }
            (Status::Held, ending) => {
                record.status = Status::Settled(ending.clone());
                CloseResult::Kept
            }
            (Status::Freed, _) => CloseResult::Final(Ending::NotRun),
            (Status::Settled(kept), ending) if kept == ending => CloseResult::Kept,
            (Status::Settled(kept), _) => CloseResult::Final(kept.clone()),
        }
    }

    /// Frees a claim that led to no run, and blocks the claim if it arrives later.
    pub(crate) fn release(&mut self, clock: u64, claim: &Claim) -> CloseResult {
        let Some(record) = self.records.get_mut(&claim.attempt.request) else {
            if self.refusal(clock, claim).is_some() {
                return CloseResult::Missing;
            }
            self.insert(Record::from_claim(claim, Status::Freed));
            return CloseResult::Freed;
        };
        match &record.status {
            Status::Settled(kept) if record.is_same_claim(claim) => {
                CloseResult::Final(kept.clone())
            }
            Status::Held | Status::Freed if record.is_same_claim(claim) => {
                record.status = Status::Freed;
                CloseResult::Freed
            }
            Status::Freed if record.number < claim.attempt.number => {
                record.number = claim.attempt.number;
                record.nonce = claim.nonce;
                CloseResult::Freed
            }
            _ => CloseResult::Other,
        }
    }

    /// Drops claims whose resends would be refused as expired, a bounded number per call.
    pub(crate) fn drop_expired(&mut self, clock: u64) {
        for _ in 0..MAX_DROPPED {
            let Some((issued, request)) = self.by_first_use.first().copied() else { return };
            let kept = self.limit.retention.saturating_add(self.limit.skew);
            if issued.saturating_add(kept) >= clock {
                return;
            }
            self.remove(request);
        }
    }

    /// Returns the reason to refuse a key without a record, if there is one.
    fn refusal(&self, clock: u64, claim: &Claim) -> Option<Verdict> {
        if claim.issued.saturating_add(self.limit.retention) < clock {
            return Some(Verdict::Expired);
        }
        // Evicting an old claim instead would let its key run again. One team may use at most half,
        // so that a burst of one team leaves room for the others.
        let team = self.teams.get(&claim.team).copied().unwrap_or_default();
        let full = self.records.len() >= self.limit.count as usize;
        (full || team >= self.limit.count.div_ceil(2)).then_some(Verdict::Full)
    }

    fn insert(&mut self, mut record: Record) {
        record.team = intern_name(&mut self.teams, record.team);
        record.instance = intern_name(&mut self.instances, record.instance);
        self.by_first_use.insert((record.issued, record.request));
        self.records.insert(record.request, record);
    }

    fn remove(&mut self, request: Request) {
        let Some(record) = self.records.remove(&request) else { return };
        self.by_first_use.remove(&(record.issued, request));
        release_name(&mut self.teams, &record.team);
        release_name(&mut self.instances, &record.instance);
    }
}

/// Stores one claim and its status.
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
    fn from_claim(claim: &Claim, status: Status) -> Self {
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

    /// Returns whether the record belongs to exactly this claim.
    fn is_same_claim(&self, claim: &Claim) -> bool {
        let nonce = self.nonce == claim.nonce && self.instance == claim.instance;
        self.number == claim.attempt.number && nonce
    }

    fn verdict(&self, claim: &Claim) -> Verdict {
        let attempt = Attempt { request: self.request, number: self.number };
        match &self.status {
            Status::Held if self.is_same_claim(claim) => Verdict::Granted,
            Status::Held => Verdict::Held { attempt, instance: self.instance.clone() },
            Status::Settled(ending) => Verdict::Settled { attempt, ending: ending.clone() },
            // A claim that arrives after its release must not hold the key: no instance waits for
            // it, and the key would be blocked until the claim is dropped.
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

/// Maximum number of claims dropped per command.
const MAX_DROPPED: usize = 256;

/// Increments a name's use count and returns the copy shared by all uses.
fn intern_name<N: Ord + Clone>(names: &mut BTreeMap<N, u32>, name: N) -> N {
    if let Some((kept, _)) = names.get_key_value(&name) {
        let kept = kept.clone();
        *names.entry(kept.clone()).or_default() += 1;
        return kept;
    }
    names.insert(name.clone(), 1);
    name
}

fn release_name<N: Ord + Clone>(names: &mut BTreeMap<N, u32>, name: &N) {
    let Some(uses) = names.get_mut(name) else { return };
    *uses = uses.saturating_sub(1);
    if *uses == 0 {
        names.remove(name);
    }
}
