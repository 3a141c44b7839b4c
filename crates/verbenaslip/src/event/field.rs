//! How the values of events are written.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::{
    AvailabilityZone, Class, Instance, Model, Operator, Region, Team, Upstream,
};
use verbenaslip_base::refusal::{Reason, Unknown};

/// The longest value written, in characters.
const VALUE_MAX: usize = 1_000;

/// Shows a value in an event.
pub(super) trait Field {
    /// Returns the value as text on one line.
    fn shown(&self) -> String;
}

impl Field for Arc<str> {
    fn shown(&self) -> String {
        line(self)
    }
}

impl Field for u64 {
    fn shown(&self) -> String {
        self.to_string()
    }
}

impl Field for Duration {
    fn shown(&self) -> String {
        match self.as_millis() {
            0..10_000 => format!("{}ms", self.as_millis()),
            _ => format!("{}s", self.as_secs()),
        }
    }
}

impl Field for SocketAddr {
    fn shown(&self) -> String {
        self.to_string()
    }
}

impl Field for Fence {
    fn shown(&self) -> String {
        format!("{}.{}", self.term, self.index)
    }
}

impl Field for Request {
    fn shown(&self) -> String {
        self.to_string()
    }
}

impl Field for Reason {
    fn shown(&self) -> String {
        kebab(self)
    }
}

impl Field for Unknown {
    fn shown(&self) -> String {
        kebab(self)
    }
}

macro_rules! names {
    ($($name:ident),*) => {$(
        impl Field for $name {
            fn shown(&self) -> String {
                line(self.as_str())
            }
        }
    )*};
}

names!(AvailabilityZone, Class, Instance, Model, Operator, Region, Team, Upstream);

/// Writes a variant's name in lower case with hyphens, as answers to callers do.
pub(crate) fn kebab(value: &impl Debug) -> String {
    let mut text = String::new();
    for c in format!("{value:?}").chars() {
        if c.is_uppercase() && !text.is_empty() {
            text.push('-');
        }
        text.extend(c.to_lowercase());
    }
    text
}

/// Keeps text from outside to one line of bounded length, so that it can't forge log lines.
fn line(text: &str) -> String {
    let shown = |c: char| if c.is_control() { c.escape_debug().to_string() } else { c.into() };
    text.chars().take(VALUE_MAX).map(shown).collect()
}
