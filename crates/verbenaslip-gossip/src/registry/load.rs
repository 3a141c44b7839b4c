//! The loads of upstreams, passed on coarsely.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Load};

use super::Registry;
use crate::frame::{CompactLoad, Key};
use crate::queue::{Queue, Subject};
use crate::record::{self, LoadSource};

/// How often at most this instance passes on the load of one upstream.
const LOAD_INTERVAL: Duration = Duration::from_secs(2);

/// The unit in which the age of a load travels.
const LOAD_AGE_UNIT: Duration = Duration::from_millis(100);

/// The unit in which the memory in use travels, in thousandths.
const LOAD_MEMORY_UNIT: u16 = 4;

impl Registry {
    /// Passes on a load that differs by a step from the one known, but not too often.
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

    /// Takes the load of an upstream that another instance passes on.
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

    /// Returns the load of an upstream as it is told now.
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
