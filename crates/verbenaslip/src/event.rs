//! Numbered log events.
//!
//! [`list`] defines every event once: number, level, text and typed fields. [`Event::log`] writes one
//! through `log`, with its fields as key-value pairs; [`throttle`] keeps a burst of one number from
//! filling the disk. [`logger`] sets up where lines go.

mod field;
pub mod list;
pub mod logger;
pub mod throttle;

use std::fmt;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use log::{Level, Record};

pub(crate) use self::field::kebab;
pub use self::list::{CATALOGUE, Entry, Event};
use self::throttle::{Throttle, Verdict};

/// The target of all events in `log`.
pub const TARGET: &str = "verbenaslip";

/// Counts the events of this process, whatever instance they come from.
static THROTTLE: Mutex<Throttle> = Mutex::new(Throttle::new());

impl Event {
    /// Writes the event to the log, unless too many of its number came within this second.
    pub fn log(&self) {
        let entry = self.entry();
        let verdict = {
            let mut throttle = THROTTLE.lock().unwrap_or_else(PoisonError::into_inner);
            throttle.admit(entry.number, Instant::now())
        };
        if !log::log_enabled!(target: TARGET, entry.level) {
            return;
        }
        match verdict {
            Verdict::Write => self.write(),
            Verdict::Drop => {}
            Verdict::WriteAfter { count } => {
                let number = u64::from(entry.number);
                Self::LeftOut { number, count, window: throttle::WINDOW }.write();
                self.write();
            }
        }
    }

    /// Hands the event to the logger.
    fn write(&self) {
        let entry = self.entry();
        let number = format!("V{}", entry.number);
        let fields = self.fields();
        let mut pairs = vec![("event", number.as_str())];
        pairs.extend(logger::instance().map(|instance| ("by", instance.as_str())));
        pairs.extend(fields.iter().map(|(name, value)| (*name, value.as_str())));
        let pairs = pairs.as_slice();
        let mut record = Record::builder();
        record.target(TARGET).level(entry.level).key_values(&pairs);
        log::logger().log(&record.args(format_args!("{number} {self}")).build());
    }

    /// Returns the event's level.
    pub fn level(&self) -> Level {
        self.entry().level
    }
}

/// Returns how many events of each number this process has had, written or left out.
pub(crate) fn totals() -> Vec<(u16, u64)> {
    THROTTLE.lock().unwrap_or_else(PoisonError::into_inner).totals()
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fields = self.fields();
        let mut rest = self.entry().text;
        while let Some((before, after)) = rest.split_once('{') {
            let (name, after) = after.split_once('}').unwrap_or((after, ""));
            let value = fields.iter().find(|(field, _)| *field == name);
            f.write_str(before)?;
            f.write_str(value.map_or("", |(_, value)| value))?;
            rest = after;
        }
        f.write_str(rest)
    }
}
