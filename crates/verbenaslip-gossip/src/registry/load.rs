//! The loads of upstreams, passed on coarsely.

use std::time::Duration;

use verbenaslip_base::announce::{Announcement, Load};

use super::Registry;
use crate::frame::{CompactLoad, Key};
use crate::queue::{Queue, Subject};
use crate::record::{self, Gauged};

/// How often at most this instance passes on the load of one upstream.
const GAUGE_PERIOD: Duration = Duration::from_secs(2);

/// The unit in which the age of a load travels.
const GAUGE_AGE: Duration = Duration::from_millis(100);

/// The unit in which the memory in use travels, in thousandths.
const GAUGE_MEMORY: u16 = 4;

impl Registry {
    /// Passes on a load that differs by a step from the one known, but not too often.
    pub(super) fn gauge(&mut self, now: Duration, key: Key, new: &Announcement, queue: &mut Queue) {
        let Some(record) = self.records.get_mut(&key) else { return };
        if new.incarnation != record.announcement.incarnation {
            return;
        }
        let differs = record::differs(new.slots, &record.announcement.load, &new.load);
        if differs && now.saturating_sub(record.gauge.told) >= GAUGE_PERIOD {
            record.gauge.told = now;
            queue.push(Subject::Gauge(key));
        }
    }

    /// Takes the load of an upstream that another instance passes on.
    pub(crate) fn measure(
        &mut self,
        now: Duration,
        lag: Duration,
        news: &CompactLoad,
        queue: &mut Queue,
    ) {
        let Some((key, record)) = self.records.range_mut(Key::begin(news.key)).next() else {
            return;
        };
        let held = record.gauge.sequence;
        let ahead = u16::from_le_bytes(news.sequence).wrapping_sub(held as u16) as i16;
        let same = record.announcement.incarnation as u8 == news.incarnation;
        if !same || ahead <= 0 {
            return;
        }
        let age = GAUGE_AGE * u32::from(news.age_tenths) + lag;
        let sequence = held.saturating_add(ahead.unsigned_abs().into());
        record.gauge = Gauged { sequence, at: now.saturating_sub(age), told: record.gauge.told };
        let memory = u16::from(news.memory) * GAUGE_MEMORY;
        let CompactLoad { running, waiting, .. } = *news;
        record.announcement.load = Load { running, waiting, memory, age: 0 };
        queue.push(Subject::Gauge(*key));
    }

    /// Returns the load of an upstream as it is told now.
    pub(crate) fn gauged(&self, key: Key, now: Duration) -> Option<CompactLoad> {
        let record = self.records.get(&key)?;
        let Load { running, waiting, memory, .. } = record.announcement.load;
        let age = now.saturating_sub(record.gauge.at).as_millis() / GAUGE_AGE.as_millis() + 1;
        Some(CompactLoad {
            key: key.short(),
            incarnation: record.announcement.incarnation as u8,
            sequence: (record.gauge.sequence as u16).to_le_bytes(),
            running,
            waiting,
            memory: u8::try_from(memory / GAUGE_MEMORY).unwrap_or(u8::MAX),
            age_tenths: u8::try_from(age).unwrap_or(u8::MAX),
        })
    }
}
