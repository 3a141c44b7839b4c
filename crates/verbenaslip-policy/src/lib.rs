//! Decisions under load: admission, limits, retries, routing, capacity.
