//! One replica with its clock, folder and state machine.

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

/// Bytes that the state is padded to, so that a snapshot needs several chunks.
const STATE: usize = 2000;

/// Runs at a rate of its own.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    pub offset: Duration,
    /// Thousandths of the true rate.
    pub rate: u32,
}

impl Clock {
    /// Returns the local time at a true time.
    pub fn local(&self, now: Duration) -> Duration {
        self.offset + now * self.rate / 1000
    }

    /// Returns the true time at which the clock shows a local time, rounded up.
    pub fn due(&self, local: Duration) -> Duration {
        local.saturating_sub(self.offset) * 1000 / self.rate + Duration::from_nanos(2)
    }
}

/// Holds one node.
pub struct Node {
    pub replica: Option<Replica>,
    pub disk: Disk,
    /// Writes that are not durable yet.
    pub pending: Vec<(u64, Write)>,
    pub clock: Clock,
    pub frozen: bool,
    /// What came while it was frozen.
    pub inbox: Vec<Input>,
    /// Counts starts.
    pub life: u32,
    pub timer: Option<Duration>,
    /// A running hash over all applied commands.
    pub chain: u64,
    pub roles: Vec<RoleUpdate>,
    pub strangers: Vec<Voter>,
    /// How many snapshots were installed.
    pub installs: u32,
}

impl Node {
    pub fn new(identity: u128, clock: Clock) -> Self {
        Self {
            replica: None,
            disk: Disk::new(identity),
            pending: Vec::new(),
            clock,
            frozen: false,
            inbox: Vec::new(),
            life: 0,
            timer: None,
            chain: 0,
            roles: Vec::new(),
            strangers: Vec::new(),
            installs: 0,
        }
    }

    pub fn start(&mut self, setup: Setup, now: Duration) {
        self.life += 1;
        self.chain = 0;
        self.timer = None;
        self.frozen = false;
        let local = self.clock.local(now);
        self.replica = Some(Replica::open(setup, self.disk.content.clone(), local));
    }

    /// Ends the process; the first of the writes on their way may have become durable.
    pub fn crash(&mut self, kept: usize) {
        self.life += 1;
        self.replica = None;
        self.inbox.clear();
        for (_, write) in self.pending.drain(..).take(kept) {
            self.disk.keep(write);
        }
    }

    /// Makes writes durable up to a mark.
    pub fn sync(&mut self, mark: u64) {
        let durable = self.pending.partition_point(|(number, _)| *number <= mark);
        for (_, write) in self.pending.drain(..durable) {
            self.disk.keep(write);
        }
    }

    pub fn apply(&mut self, position: Position, command: &[u8]) {
        let mut hasher = std::hash::DefaultHasher::new();
        hasher.write_u64(self.chain);
        hasher.write_u64(position.index);
        hasher.write_u64(position.term);
        hasher.write(command);
        self.chain = hasher.finish();
    }

    pub fn install(&mut self, snapshot: &Snapshot) {
        let chain = snapshot.state.first_chunk::<8>().expect("states begin with the chain");
        self.chain = u64::from_le_bytes(*chain);
        self.installs += 1;
    }

    pub fn snapshot(&self) -> Input {
        let index = self.replica.as_ref().map_or(0, Replica::applied);
        let mut state = self.chain.to_le_bytes().to_vec();
        state.resize(STATE, 3);
        Input::Snapshot { index, state: state.into() }
    }

    /// Returns the voter set in force in its log, also while it is down.
    pub fn config(&self) -> Config {
        if let Some(replica) = &self.replica {
            return replica.voters().clone();
        }
        let content = &self.disk.content;
        let newest = content.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Config(config) => Some(config.clone()),
            _ => None,
        });
        let kept = content.snapshot.as_ref().map(|snapshot| snapshot.config.clone());
        newest.or(kept).unwrap_or_default()
    }

    pub fn summary(&self, now: Duration) -> String {
        let Some(replica) = &self.replica else { return "down".to_owned() };
        let status = replica.status(self.clock.local(now));
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
            if self.frozen { " frozen" } else { "" },
        )
    }
}
