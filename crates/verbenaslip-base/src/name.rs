//! Names of instances, regions, availability zones, teams, request classes, upstreams and models.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use crate::data;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[data(ord, hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name without checking it.
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// Names an instance of verbenaslip; the name is unique in the deployment.
    Instance;
    /// Names a group of availability zones that are near each other.
    Region;
    /// Names a part of a region that can fail as a whole.
    AvailabilityZone;
    /// Names a group of callers that share API keys and limits.
    Team;
    /// Names a request class of a team; team and class together select a row of the table.
    Class;
    /// Names a back end, which is a model engine or a plain service.
    Upstream;
    /// Names a model or plain service that upstreams offer and callers request.
    Model;
    /// Names a person or program that edits the table.
    Operator;
}
