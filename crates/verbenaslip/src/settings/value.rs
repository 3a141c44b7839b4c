//! Single values of a settings file and their units.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;

use verbenaslip_base::name::{AvailabilityZone, Instance, Region};
use verbenaslip_request::setup::Journal;

/// The longest name, in bytes.
const NAME_MAX: usize = 64;
/// Units of time and their length in microseconds, longest first.
const TIME: [(&str, u64); 5] =
    [("h", 3_600_000_000), ("min", 60_000_000), ("s", 1_000_000), ("ms", 1_000), ("us", 1)];
/// Units of size and their bytes, largest first.
const SIZE: [(&str, u64); 4] = [("GB", 1 << 30), ("MB", 1 << 20), ("KB", 1 << 10), ("B", 1)];

/// Reads one kind of value from its text.
pub trait Value: Sized {
    /// Says what is allowed, after the words "it must be".
    const ALLOWED: &'static str;

    /// Returns the value, or none when the text is not one.
    fn read(text: &str) -> Option<Self>;
}

/// Counts bytes, written with a unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Size(pub u64);

impl fmt::Display for Size {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_unit(f, self.0, &SIZE)
    }
}

impl Value for Size {
    const ALLOWED: &'static str = "a whole number with a unit, such as 64MB (B, KB, MB, GB)";

    fn read(text: &str) -> Option<Self> {
        read_unit(text, &SIZE).map(Self)
    }
}

/// Shows a duration as settings write it.
pub struct Time(pub Duration);

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_unit(f, u64::try_from(self.0.as_micros()).unwrap_or(u64::MAX), &TIME)
    }
}

impl Value for Duration {
    const ALLOWED: &'static str = "a whole number with a unit, such as 250ms (us, ms, s, min, h)";

    fn read(text: &str) -> Option<Self> {
        read_unit(text, &TIME).map(Self::from_micros)
    }
}

impl Value for u32 {
    const ALLOWED: &'static str = "a whole number without a unit";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

macro_rules! names {
    ($($name:ty),*) => {$(
        impl Value for $name {
            const ALLOWED: &'static str = "a name of 1 to 64 letters, digits, `-`, `_` or `.`";

            fn read(text: &str) -> Option<Self> {
                is_name(text).then(|| text.into())
            }
        }
    )*};
}

names!(Arc<str>, AvailabilityZone, Instance, Region);

impl Value for SocketAddr {
    const ALLOWED: &'static str = "an IP number and a port, such as 10.0.0.7:7400";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

impl Value for PathBuf {
    const ALLOWED: &'static str = "a path; a relative one starts at this file's folder";

    fn read(text: &str) -> Option<Self> {
        (!text.contains('\0')).then(|| text.into())
    }
}

impl Value for LevelFilter {
    const ALLOWED: &'static str = "one of off, error, warn, info, debug, trace";

    fn read(text: &str) -> Option<Self> {
        text.parse().ok()
    }
}

/// Says how log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// One readable line an event.
    #[default]
    Text,
    /// One JSON object an event.
    Json,
}

impl Value for Format {
    const ALLOWED: &'static str = "one of text, json";

    fn read(text: &str) -> Option<Self> {
        match text {
            "text" => Some(Self::Text),
            "json" => Some(Self::Json),
            _ => None,
        }
    }
}

impl Value for Journal {
    const ALLOWED: &'static str = "one of other-zone, other-instance, alone";

    fn read(text: &str) -> Option<Self> {
        match text {
            "other-zone" => Some(Self::OtherZone),
            "other-instance" => Some(Self::OtherInstance),
            "alone" => Some(Self::Alone),
            _ => None,
        }
    }
}

/// Names an initial voter and where its peers reach it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Voter {
    /// The instance.
    pub name: Instance,
    /// Its `peers` address.
    pub address: SocketAddr,
}

impl Value for Voter {
    const ALLOWED: &'static str = "a name, `@` and an address, such as entry-1@10.0.0.7:7400";

    fn read(text: &str) -> Option<Self> {
        let (name, address) = text.split_once('@')?;
        Some(Self { name: Instance::read(name)?, address: SocketAddr::read(address)? })
    }
}

/// Tells whether a text can name an instance, zone, team or the like.
pub(crate) fn is_name(text: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    (1..=NAME_MAX).contains(&text.len()) && text.bytes().all(fits)
}

/// Reads a whole number and one of the units, with or without a space between them.
fn read_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit) = text.split_at(digits);
    let unit = unit.trim_start();
    let (_, scale) = units.iter().find(|(name, _)| *name == unit)?;
    number.parse::<u64>().ok()?.checked_mul(*scale)
}

/// Writes a number with the largest unit that leaves it whole.
fn write_unit(f: &mut fmt::Formatter<'_>, value: u64, units: &[(&str, u64)]) -> fmt::Result {
    let fits = |(_, scale): &&(&str, u64)| value != 0 && value.is_multiple_of(*scale);
    let (name, scale) = units.iter().find(fits).unwrap_or(&units[units.len() - 1]);
    write!(f, "{}{name}", value / scale)
}
