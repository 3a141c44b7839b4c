//! Values of labels.

use std::sync::Arc;

use metrics::SharedString;

use verbenaslip_base::announce::{Market, Phase};
use verbenaslip_base::name::{AvailabilityZone, Class, Instance, Model, Team, Upstream};
use verbenaslip_base::refusal::{Reason, Unknown};
use verbenaslip_request::run::Step;

use crate::event::kebab;

/// Stands for a class or team of a request that found no row.
pub const NONE: &str = "none";

/// Stands for all classes beyond those that metrics tell apart.
pub const OTHER: &str = "other";

/// Gives the value of a label.
pub trait Label {
    /// Returns the value.
    fn text(self) -> SharedString;
}

impl Label for &'static str {
    fn text(self) -> SharedString {
        SharedString::const_str(self)
    }
}

impl Label for &Arc<str> {
    fn text(self) -> SharedString {
        SharedString::from_shared(self.clone())
    }
}

impl<T> Label for Option<T>
where
    T: Label,
{
    fn text(self) -> SharedString {
        self.map_or(SharedString::const_str(NONE), Label::text)
    }
}

macro_rules! names {
    ($($name:ident),*) => {$(
        impl Label for &$name {
            fn text(self) -> SharedString {
                SharedString::from_owned(self.as_str().to_owned())
            }
        }
    )*};
}

names!(AvailabilityZone, Class, Instance, Model, Team, Upstream);

macro_rules! words {
    ($($kind:ident),*) => {$(
        impl Label for $kind {
            fn text(self) -> SharedString {
                SharedString::from_owned(kebab(&self))
            }
        }
    )*};
}

words!(Market, Reason, Step, Unknown);

impl Label for Phase {
    fn text(self) -> SharedString {
        SharedString::const_str(match self {
            Self::Warming => "warming",
            Self::Ready => "ready",
            Self::Leaving { .. } => "leaving",
        })
    }
}
