//! The requests that wait at an entry for an upstream, and which of them goes next.
//!
//! The most urgent rank goes first. Within a rank, teams are scheduled by deficit round robin over
//! prompt tokens, so a team that sends many requests, or long ones, does not delay the others
//! beyond its own share. Within a team, the request that must start first goes first.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::Team;

/// Limit on the waiting requests of one service.
pub const MAX_SERVICE_REQUESTS: usize = 256;

/// Limit on the waiting requests of all services together.
pub const MAX_REQUESTS: usize = 1_024;

/// Limit on the bytes of all waiting bodies together.
pub const MAX_BODY_BYTES: usize = 2 << 20;

/// Prompt tokens that a team may send in each round.
pub const QUANTUM: u64 = 4_096;

/// Limit on the tokens that a request counts for. Callers state the tokens of their prompts, and a
/// wrong number must not make the search for the next request take many rounds.
const MAX_COST: u64 = 64 * QUANTUM;

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// Describes a request that is to wait.
#[derive(Clone, Debug)]
pub struct Request {
    /// Service that the request goes to.
    pub service: Arc<str>,
    /// Priority of the request; zero is the most urgent.
    pub rank: u8,
    /// Team of the caller.
    pub team: Option<Team>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Time by which the request must start to be answered in time.
    pub start_by: Duration,
    /// Bytes of the body.
    pub body_bytes: usize,
}

impl Request {
    /// Returns the tokens that the request counts for in the share of its team.
    fn cost(&self) -> u64 {
        self.prompt_tokens.clamp(1, MAX_COST)
    }
}

/// Holds the waiting requests of an entry.
#[derive(Debug, Default)]
pub struct WaitingQueue {
    requests: HashMap<Ticket, Request>,
    services: HashMap<Arc<str>, Ranks>,
    body_bytes: usize,
    last_ticket: u64,
}

/// The waiting requests of one service by rank.
type Ranks = BTreeMap<u8, Rank>;

/// Schedules the teams that wait with the same rank.
#[derive(Debug, Default)]
struct Rank {
    /// The teams in the order of their turns; the first one has its turn.
    turns: VecDeque<Option<Team>>,
    teams: HashMap<Option<Team>, TeamQueue>,
}

#[derive(Debug, Default)]
struct TeamQueue {
    /// Tokens that the team may still send in its turn.
    deficit: u64,
    /// The requests and their costs in the order in which they must start.
    requests: BTreeMap<(Duration, Ticket), u64>,
}

impl WaitingQueue {
    /// Adds a request; returns `None` if it does not fit.
    pub fn push(&mut self, request: Request) -> Option<Ticket> {
        if self.requests.len() >= MAX_REQUESTS
            || self.len(&request.service) >= MAX_SERVICE_REQUESTS
            || self.body_bytes + request.body_bytes > MAX_BODY_BYTES
        {
            return None;
        }
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.body_bytes += request.body_bytes;
        let ranks = self.services.entry(request.service.clone()).or_default();
        ranks.entry(request.rank).or_default().push(ticket, &request);
        self.requests.insert(ticket, request);
        Some(ticket)
    }

    /// Returns the request of a service that goes next, without removing it.
    pub fn next(&mut self, service: &str) -> Option<Ticket> {
        self.services.get_mut(service)?.first_entry()?.get_mut().next()
    }

    /// Removes a request that is sent, and charges it to the share of its team.
    pub fn remove_sent(&mut self, ticket: Ticket) {
        self.take(ticket, true);
    }

    /// Removes a request that no longer waits and is not sent.
    pub fn remove(&mut self, ticket: Ticket) {
        self.take(ticket, false);
    }

    /// Returns the number of waiting requests of a service.
    pub fn len(&self, service: &str) -> usize {
        self.ahead(service, u8::MAX)
    }

    /// Returns whether no request of a service waits.
    pub fn is_empty(&self, service: &str) -> bool {
        !self.services.contains_key(service)
    }

    /// Returns the number of waiting requests of a service that are at least as urgent as a rank.
    pub fn ahead(&self, service: &str, rank: u8) -> usize {
        let ranks = self.services.get(service).into_iter().flat_map(|it| it.range(..=rank));
        ranks.flat_map(|(_, rank)| rank.teams.values()).map(|team| team.requests.len()).sum()
    }

    fn take(&mut self, ticket: Ticket, is_sent: bool) {
        let Some(request) = self.requests.remove(&ticket) else { return };
        self.body_bytes -= request.body_bytes;
        let Some(ranks) = self.services.get_mut(&request.service) else { return };
        let Some(rank) = ranks.get_mut(&request.rank) else { return };
        rank.remove(ticket, &request, is_sent);
        if rank.turns.is_empty() {
            ranks.remove(&request.rank);
        }
        if ranks.is_empty() {
            self.services.remove(&request.service);
        }
    }
}

impl Rank {
    fn push(&mut self, ticket: Ticket, request: &Request) {
        let team = self.teams.entry(request.team.clone()).or_insert_with(|| {
            self.turns.push_back(request.team.clone());
            // The first team gets no turn from a predecessor.
            let deficit = if self.turns.len() == 1 { QUANTUM } else { 0 };
            TeamQueue { deficit, ..TeamQueue::default() }
        });
        team.requests.insert((request.start_by, ticket), request.cost());
    }

    /// Returns the request that goes next, after as many turns as it takes until a team may send
    /// its first one.
    fn next(&mut self) -> Option<Ticket> {
        loop {
            let team = self.teams.get(self.turns.front()?)?;
            let ((_, ticket), cost) = team.requests.first_key_value()?;
            if *cost <= team.deficit {
                return Some(*ticket);
            }
            self.turns.rotate_left(1);
            self.start_turn();
        }
    }

    /// Gives the first team what it may send in its turn.
    fn start_turn(&mut self) {
        let first = self.turns.front().and_then(|team| self.teams.get_mut(team));
        if let Some(team) = first {
            team.deficit += QUANTUM;
        }
    }

    fn remove(&mut self, ticket: Ticket, request: &Request, is_sent: bool) {
        let Some(team) = self.teams.get_mut(&request.team) else { return };
        team.requests.remove(&(request.start_by, ticket));
        if is_sent {
            team.deficit = team.deficit.saturating_sub(request.cost());
        }
        if !team.requests.is_empty() {
            return;
        }
        // What a team has not used ends with its last request; otherwise it could save it up.
        self.teams.remove(&request.team);
        let had_turn = self.turns.front() == Some(&request.team);
        self.turns.retain(|it| *it != request.team);
        if had_turn {
            self.start_turn();
        }
    }
}
