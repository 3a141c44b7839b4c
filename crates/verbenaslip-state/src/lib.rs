//! What the replicated log holds: table, claims, orders, audit trail, and how others follow it.
