//! One replica with its clock, data directory and state machine.

use std::hash::Hasher;
use std::time::Duration;

use verbenaslip_replica::Replica;
use verbenaslip_replica::config::Config;
use verbenaslip_replica::entry::{Payload, Position};
use verbenaslip_replica::input::Input;
use verbenaslip_replica::output::RoleUpdate;
use verbenaslip_replica::setup::Setup;
use verbenaslip_replica::storage::{Snapshot, Write};
use verbenaslip_replica::voter::Voter;

use super::Disk;

/// The size of the encoded state, which makes a snapshot need several chunks.
const STATE_BYTES: usize = 2000;

/// A clock with its own offset and rate.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub offset: Duration,
    /// The rate in thousandths of the true rate.
    pub rate_per_mille: u32,
}

impl Clock {
    /// Returns the local time at a true time.
    pub fn local_time(&self, now: Duration) -> Duration {
        self.offset + now * self.rate_per_mille / 1000
    }

    /// Returns the true time at which the clock shows a local time, rounded up.
    pub fn true_time(&self, local_time: Duration) -> Duration {
        local_time.saturating_sub(self.offset) * 1000 / self.rate_per_mille
            + Duration::from_nanos(2)
    }
}

/// Holds the state of one node.
pub struct Node {
    pub replica: Option<Replica>,
    pub disk: Disk,
    /// The writes that are not durable yet, with their sequence numbers.
    pub pending: Vec<(u64, Write)>,
    pub clock: Clock,
    pub paused: bool,
    /// The inputs received while the node was paused.
    pub inbox: Vec<Input>,
    /// The number of starts and crashes.
    pub incarnation: u32,
    pub timer: Option<Duration>,
    /// A running hash of all applied commands.
    pub state_hash: u64,
    pub roles: Vec<RoleUpdate>,
    pub changed_identities: Vec<Voter>,
    /// The number of installed snapshots.
    pub installs: u32,
}

impl Node {
    pub fn new(identity: u128, clock: Clock) -> Self {
        Self {
            replica: None,
            disk: Disk::new(identity),
            pending: Vec::new(),
            clock,
            paused: false,
            inbox: Vec::new(),
            incarnation: 0,
            timer: None,
            state_hash: 0,
            roles: Vec::new(),
            changed_identities: Vec::new(),
            installs: 0,
        }
    }

    pub fn start(&mut self, setup: Setup, now: Duration) {
        self.incarnation += 1;
        self.state_hash = 0;
        self.timer = None;
        self.paused = false;
        let local_time = self.clock.local_time(now);
        self.replica = Some(Replica::open(setup, self.disk.content.clone(), local_time));
    }

    /// Stops the process after the given number of pending writes became durable.
    pub fn crash(&mut self, durable_writes: usize) {
        self.incarnation += 1;
        self.replica = None;
        self.inbox.clear();
        for (_, write) in self.pending.drain(..).take(durable_writes) {
            self.disk.apply(write);
        }
    }

    /// Makes the writes up to a sequence number durable.
    pub fn sync(&mut self, sequence: u64) {
        let durable = self.pending.partition_point(|(number, _)| *number <= sequence);
        for (_, write) in self.pending.drain(..durable) {
            self.disk.apply(write);
        }
    }

    pub fn apply(&mut self, position: Position, command: &[u8]) {
        let mut hasher = std::hash::DefaultHasher::new();
        hasher.write_u64(self.state_hash);
        hasher.write_u64(position.index);
        hasher.write_u64(position.term);
        hasher.write(command);
        self.state_hash = hasher.finish();
    }

    pub fn install(&mut self, snapshot: &Snapshot) {
        let state_hash = snapshot.state.first_chunk::<8>().expect("the state begins with the hash");
        self.state_hash = u64::from_le_bytes(*state_hash);
        self.installs += 1;
    }

    pub fn snapshot(&self) -> Input {
        let index = self.replica.as_ref().map_or(0, Replica::applied_index);
        let mut state = self.state_hash.to_le_bytes().to_vec();
        state.resize(STATE_BYTES, 3);
        Input::Snapshot { index, state: state.into() }
    }

    /// Returns the voter set in force in the node's log, even if the node is down.
    pub fn config(&self) -> Config {
        if let Some(replica) = &self.replica {
            return replica.voters().clone();
        }
        let content = &self.disk.content;
        let newest_config = content.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Config(config) => Some(config.clone()),
            _ => None,
        });
        let snapshot_config = content.snapshot.as_ref().map(|snapshot| snapshot.config.clone());
        newest_config.or(snapshot_config).unwrap_or_default()
    }

    pub fn summary(&self, now: Duration) -> String {
        let Some(replica) = &self.replica else { return "down".to_owned() };
        let status = replica.status(self.clock.local_time(now));
        format!(
            "{} {:?} term {} leader {:?} last {} commit {} snapshot {} lease {:?} joint {}{}",
            status.instance,
            status.role,
            status.term,
            status.leader.map(|leader| leader.to_string()),
            status.last_index,
            status.commit_index,
            status.snapshot_index,
            status.lease_remaining,
            status.is_joint,
            if self.paused { " paused" } else { "" },
        )
    }
}
