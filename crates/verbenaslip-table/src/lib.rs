//! The operators' table: rows, edits, checks, differences, CSV.
