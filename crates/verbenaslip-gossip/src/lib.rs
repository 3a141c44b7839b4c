//! Membership between instances and the registry of upstreams.
