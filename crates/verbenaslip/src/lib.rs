//! Adapters, settings, log events and threads around the decisions.
