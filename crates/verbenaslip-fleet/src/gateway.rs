//! Entries that open connections to upstreams for other entries.
//!
//! An entry whose paths to upstreams are cut still reaches the other entries. Each entry registers
//! with all cores and learns of a few others from each. Cores keep the list in memory only: a core
//! that has restarted is told again, and entries keep what they have learnt meanwhile.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_base::{data, hash};

use crate::frame::Frame;

/// Time between two registrations of an entry that reaches its upstreams.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(30);

/// Time between two registrations of an entry that has lost a path, or knows too few others.
const SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a registration that was not renewed is dropped.
const REGISTRATION_LIFETIME: Duration = Duration::from_secs(75);

/// Limit on the gateways of one availability zone in an answer: of the entry's zone, and of all
/// others together.
const MAX_ANSWERED: usize = 4;

/// Limit on the gateways that an entry remembers; a zone may be cut as a whole.
const MAX_KNOWN: usize = 32;

/// Number of known gateways below which an entry asks for more.
const MIN_KNOWN: usize = 2;

/// Describes an entry that opens connections for others.
#[data(ord)]
pub struct Gateway {
    /// Address at which it accepts such connections.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
}

/// Registers an entry with a core and asks for gateways.
#[data]
pub struct Registration {
    /// Address at which instances reach the entry.
    pub from: SocketAddr,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Address at which the entry accepts connections of others; `None` while it can carry none.
    pub gateway: Option<SocketAddr>,
}

/// Holds the registered entries at a core.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<SocketAddr, Registered>,
    answer_count: u64,
}

#[derive(Debug)]
struct Registered {
    /// The entry, unless it can carry no connections.
    gateway: Option<Gateway>,
    registered_at: Duration,
}

impl Directory {
    /// Records a registration and returns some gateways for its sender: near ones first, others
    /// with each call.
    pub fn register(&mut self, now: Duration, registration: Registration) -> Vec<Gateway> {
        let Registration { from, zone, gateway } = registration;
        let gateway = gateway.map(|address| Gateway { address, zone: zone.clone() });
        self.entries.retain(|_, it| now.saturating_sub(it.registered_at) <= REGISTRATION_LIFETIME);
        self.entries.insert(from, Registered { gateway, registered_at: now });
        self.answer_count = self.answer_count.wrapping_add(1);
        let others = self.entries.iter().filter(|(entry, _)| **entry != from);
        let mut ranked: Vec<(u64, &Gateway)> = others
            .filter_map(|(_, it)| it.gateway.as_ref())
            .zip(0_u64..)
            .map(|(gateway, index)| (hash::mix(self.answer_count ^ hash::mix(index)), gateway))
            .collect();
        ranked.sort_unstable();
        let pick = |near: bool| {
            let ranked = ranked.iter().map(|(_, gateway)| *gateway);
            let picked = ranked.filter(|it| (it.zone == zone) == near).take(MAX_ANSWERED);
            picked.cloned().collect::<Vec<Gateway>>()
        };
        [pick(true), pick(false)].concat()
    }

    /// Forgets an entry that has stopped.
    pub fn remove(&mut self, entry: SocketAddr) {
        self.entries.remove(&entry);
    }
}

/// Keeps an entry registered, and holds the gateways that it has learnt of.
#[derive(Debug)]
pub struct Membership {
    local: Registration,
    /// Whether this entry can carry connections of others.
    carries: bool,
    known: VecDeque<Gateway>,
    next_registration: Duration,
}

impl Membership {
    /// Starts without gateways; `local` is how this entry registers.
    pub fn new(local: Registration) -> Self {
        let next_registration = Duration::ZERO;
        Self { local, carries: true, known: VecDeque::new(), next_registration }
    }

    /// Sets whether this entry can carry connections of others; a change is registered at once.
    pub fn set_carries(&mut self, now: Duration, carries: bool) {
        if std::mem::replace(&mut self.carries, carries) != carries {
            self.next_registration = now;
        }
    }

    /// Returns when the next registration is due.
    pub fn next_due(&self) -> Duration {
        self.next_registration
    }

    /// Returns the registration to be sent to all cores, if it is due.
    pub fn next_registration(&mut self, now: Duration) -> Option<Frame> {
        if now < self.next_registration {
            return None;
        }
        let settled = self.carries && self.known.len() >= MIN_KNOWN;
        self.next_registration = now + if settled { RENEWAL_INTERVAL } else { SEARCH_INTERVAL };
        let gateway = self.local.gateway.filter(|_| self.carries);
        Some(Frame::RegisterGateway(Registration { gateway, ..self.local.clone() }))
    }

    /// Adds gateways that a core has named; the newest are kept.
    pub fn learn(&mut self, gateways: Vec<Gateway>) -> Arc<[Gateway]> {
        for gateway in gateways {
            self.known.retain(|it| it.address != gateway.address);
            self.known.push_front(gateway);
        }
        self.known.truncate(MAX_KNOWN);
        self.known.iter().cloned().collect()
    }
}
