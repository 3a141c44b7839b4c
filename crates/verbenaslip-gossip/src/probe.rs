//! Probing of one neighbour per interval, directly and then through other instances.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use rand::RngExt;
use rand::seq::SliceRandom;
use rand_pcg::Pcg64;
use verbenaslip_base::name::Instance;

use crate::frame::Body;
use crate::member::{Handle, State};
use crate::roster::{Member, Roster};

/// Time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Time to wait for a direct answer before other instances are asked to probe.
const ACK_TIMEOUT: Duration = Duration::from_millis(300);

/// Number of other instances that are asked to probe on behalf of this one.
const INDIRECT_PROBES: usize = 3;

/// Maximum number of concurrent probes on behalf of others; limits floods of requests.
const MAX_RELAYED: usize = 64;

/// Number of recent probes that decide whether this instance's own links have failed.
const OUTCOME_WINDOW: usize = 5;

/// Number of failed probes among them from which the own links count as failed.
const FAILED_OUTCOMES: usize = 4;

/// A datagram to send to a member.
pub(crate) struct Outgoing {
    /// Handle of the receiver.
    pub(crate) to: Handle,
    /// Content of the datagram.
    pub(crate) body: Body,
}

/// Probes the neighbours in turn.
pub(crate) struct Prober {
    /// Neighbours to probe in the current cycle.
    remaining: Vec<Instance>,
    last_number: u32,
    current: Option<Probe>,
    /// Probes on behalf of others, by their numbers here.
    relayed: BTreeMap<u32, RelayedProbe>,
    /// Whether each of the recent probes was answered.
    outcomes: VecDeque<bool>,
    next_probe: Duration,
}

struct Probe {
    instance: Instance,
    handle: Handle,
    number: u32,
    sent_at: Duration,
    /// Whether other instances have been asked to probe.
    indirect_sent: bool,
    /// Whether the outcome counts for the state of the own links.
    counted: bool,
}

struct RelayedProbe {
    requester: Handle,
    /// Number of the requester's probe.
    number: u32,
    expires_at: Duration,
}

impl Prober {
    /// Creates a prober whose first probe is due at the given time.
    pub(crate) fn new(first: Duration) -> Self {
        Self {
            remaining: Vec::new(),
            last_number: 0,
            current: None,
            relayed: BTreeMap::new(),
            outcomes: VecDeque::new(),
            next_probe: first,
        }
    }

    /// Returns the time at which the next tick is due.
    pub(crate) fn next_wakeup(&self) -> Duration {
        let awaiting = self.current.as_ref().filter(|probe| !probe.indirect_sent);
        awaiting.map_or(self.next_probe, |probe| self.next_probe.min(probe.sent_at + ACK_TIMEOUT))
    }

    /// Returns whether most of the recent probes failed, counting only targets that were alive.
    pub(crate) fn most_failed(&self) -> bool {
        self.outcomes.iter().filter(|answered| !**answered).count() >= FAILED_OUTCOMES
    }

    /// Discards all probes that were running during a pause of the process.
    pub(crate) fn resume_after_pause(&mut self, now: Duration) {
        self.current = None;
        self.relayed.clear();
        self.outcomes.clear();
        self.next_probe = now + PROBE_INTERVAL;
    }

    /// Sends the probes that are due, and returns the neighbour that has not answered, if any.
    pub(crate) fn tick(
        &mut self,
        now: Duration,
        roster: &Roster,
        rng: &mut Pcg64,
        outbox: &mut Vec<Outgoing>,
    ) -> Option<Instance> {
        self.relayed.retain(|_, relayed| relayed.expires_at > now);
        self.send_indirect_pings(now, roster, rng, outbox);
        if now < self.next_probe {
            return None;
        }
        let failed = self.current.take().map(|probe| {
            self.record_outcome(probe.counted, false);
            probe.instance
        });
        self.next_probe = now + PROBE_INTERVAL;
        self.probe_next(now, roster, rng, outbox);
        failed
    }

    fn record_outcome(&mut self, counted: bool, answered: bool) {
        if !counted {
            return;
        }
        self.outcomes.push_back(answered);
        if self.outcomes.len() > OUTCOME_WINDOW {
            self.outcomes.pop_front();
        }
    }

    fn probe_next(
        &mut self,
        now: Duration,
        roster: &Roster,
        rng: &mut Pcg64,
        outbox: &mut Vec<Outgoing>,
    ) {
        let Some(member) = self.next_target(roster, rng) else { return };
        self.last_number = self.last_number.wrapping_add(1);
        let handle = member.handle();
        outbox.push(Outgoing {
            to: handle,
            body: Body::Ping { target: handle, probe: self.last_number },
        });
        self.current = Some(Probe {
            instance: member.peer().instance.clone(),
            handle,
            number: self.last_number,
            sent_at: now,
            indirect_sent: false,
            counted: member.state() == State::Alive,
        });
    }

    /// Returns the next neighbour in a random order, which is shuffled again after each cycle.
    fn next_target<'a>(&mut self, roster: &'a Roster, rng: &mut Pcg64) -> Option<&'a Member> {
        for _ in 0..2 {
            while let Some(instance) = self.remaining.pop() {
                if let Some(member) = roster.get(&instance).filter(|it| it.state().is_present()) {
                    return Some(member);
                }
            }
            let present = roster.neighbours().filter(|member| member.state().is_present());
            self.remaining = present.map(|member| member.peer().instance.clone()).collect();
            self.remaining.shuffle(rng);
        }
        None
    }

    /// Asks other instances to probe, at least one of them in a third availability zone if
    /// possible.
    ///
    /// If the link between two availability zones fails, each would declare the other dead. A
    /// helper in a third zone reaches the target over another path.
    fn send_indirect_pings(
        &mut self,
        now: Duration,
        roster: &Roster,
        rng: &mut Pcg64,
        outbox: &mut Vec<Outgoing>,
    ) {
        let Some(probe) = &mut self.current else { return };
        if probe.indirect_sent || now < probe.sent_at + ACK_TIMEOUT {
            return;
        }
        probe.indirect_sent = true;
        let own = &roster.own().peer.zone;
        let target = roster.get(&probe.instance).map(|member| member.peer().zone.clone());
        let eligible =
            |member: &&Member| member.state() == State::Alive && member.handle() != probe.handle;
        let mut helpers: Vec<&Member> = roster.neighbours().filter(eligible).collect();
        helpers.shuffle(rng);
        let third = |member: &Member| {
            member.peer().zone != *own && Some(&member.peer().zone) != target.as_ref()
        };
        if let Some(index) = helpers.iter().position(|member| third(member)) {
            helpers.swap(0, index);
        }
        for helper in helpers.iter().take(INDIRECT_PROBES) {
            let body = Body::IndirectPing { target: probe.handle, probe: probe.number };
            outbox.push(Outgoing { to: helper.handle(), body });
        }
    }

    /// Probes a target on behalf of another member.
    pub(crate) fn handle_indirect_ping(
        &mut self,
        now: Duration,
        requester: Handle,
        target: Handle,
        probe: u32,
        outbox: &mut Vec<Outgoing>,
    ) {
        if self.relayed.len() >= MAX_RELAYED {
            return;
        }
        self.last_number = self.last_number.wrapping_add(1);
        let relayed = RelayedProbe { requester, number: probe, expires_at: now + PROBE_INTERVAL };
        self.relayed.insert(self.last_number, relayed);
        outbox.push(Outgoing { to: target, body: Body::Ping { target, probe: self.last_number } });
    }

    /// Handles an ack for this instance, or forwards it to the member that requested the probe.
    pub(crate) fn handle_ack(&mut self, probe: u32, outbox: &mut Vec<Outgoing>) {
        if let Some(current) = self.current.take_if(|current| current.number == probe) {
            self.record_outcome(current.counted, true);
        } else if let Some(relayed) = self.relayed.remove(&probe) {
            let body = Body::Ack { probe: relayed.number };
            outbox.push(Outgoing { to: relayed.requester, body });
        }
    }
}

/// Returns up to `count` different items, chosen at random.
pub(crate) fn sample<T>(mut items: Vec<T>, count: usize, rng: &mut Pcg64) -> Vec<T> {
    let count = count.min(items.len());
    for index in 0..count {
        let other = rng.random_range(index..items.len());
        items.swap(index, other);
    }
    items.truncate(count);
    items
}
