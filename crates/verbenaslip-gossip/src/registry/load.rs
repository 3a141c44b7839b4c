//! Loads of upstreams, sent in a compact form.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Load};

use super::Registry;
use crate::frame::{CompactLoad, Key};
use crate::queue::{Queue, Subject};
use crate::record::{self, LoadSource};

/// Minimum time between two loads of one upstream that this instance sends.
const LOAD_INTERVAL: Duration = Duration::from_secs(2);

/// Unit of the age of a load in a datagram.
const LOAD_AGE_UNIT: Duration = Duration::from_millis(100);

/// Unit of the memory in use in a datagram, in thousandths.
const LOAD_MEMORY_UNIT: u16 = 4;

impl Registry {
    /// Queues a load that differs noticeably from the known one, at most once per
    /// [`LOAD_INTERVAL`].
    pub(super) fn queue_load(
        &mut self,
        now: Duration,
        key: Key,
        new: &Announcement,
        queue: &mut Queue,
    ) {
        let Some(record) = self.records.get_mut(&key) else { return };
        if new.incarnation != record.announcement.incarnation {
            return;
        }
        let differs = record::load_differs(new.slots, &record.announcement.load, &new.load);
        if differs && now.saturating_sub(record.load_source.published_at) >= LOAD_INTERVAL {
            record.load_source.published_at = now;
            queue.push(Subject::Load(key));
        }
    }

    /// Handles the load of an upstream that another instance sends.
    pub(crate) fn handle_load(
        &mut self,
        now: Duration,
        lag: Duration,
        load: &CompactLoad,
        queue: &mut Queue,
    ) {
        let Some((key, record)) = self.records.range_mut(Key::with_prefix(load.key)).next() else {
            return;
        };
        let known_sequence = record.load_source.sequence;
        let ahead = u16::from_le_bytes(load.sequence).wrapping_sub(known_sequence as u16) as i16;
        let same = record.announcement.incarnation as u8 == load.incarnation;
        if !same || ahead <= 0 {
            return;
        }
        let age = LOAD_AGE_UNIT * u32::from(load.age_tenths) + lag;
        let sequence = known_sequence.saturating_add(ahead.unsigned_abs().into());
        record.load_source = LoadSource {
            sequence,
            measured_at: now.saturating_sub(age),
            published_at: record.load_source.published_at,
        };
        let memory = u16::from(load.memory) * LOAD_MEMORY_UNIT;
        let CompactLoad { running, waiting, .. } = *load;
        record.announcement.load = Load { running, waiting, memory, age: 0 };
        queue.push(Subject::Load(*key));
    }

    /// Returns the load of an upstream with its current age, to be sent.
    pub(crate) fn compact_load(&self, key: Key, now: Duration) -> Option<CompactLoad> {
        let record = self.records.get(&key)?;
        let Load { running, waiting, memory, .. } = record.announcement.load;
        let age = now.saturating_sub(record.load_source.measured_at).as_millis()
            / LOAD_AGE_UNIT.as_millis()
            + 1;
        Some(CompactLoad {
            key: key.prefix(),
            incarnation: record.announcement.incarnation as u8,
            sequence: (record.load_source.sequence as u16).to_le_bytes(),
            running,
            waiting,
            memory: u8::try_from(memory / LOAD_MEMORY_UNIT).unwrap_or(u8::MAX),
            age_tenths: u8::try_from(age).unwrap_or(u8::MAX),
        })
    }
}
