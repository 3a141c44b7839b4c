//! Stand-ins for engines, services, cloud and weight store, and the callers' load tool.
