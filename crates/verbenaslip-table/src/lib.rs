//! The operators' table: rows, edits, checks, differences, CSV.
//!
//! A [`Table`] holds one [`Row`] for each team and request class. [`mod@column`] defines the
//! columns and their allowed values. [`csv_file`] reads a table from CSV and writes it in one
//! canonical form, so that a file under version control changes only when the table changes; all
//! errors in a file are reported at once as [`problem::Problems`]. [`change`] computes the
//! differences between two tables and applies changes to a table. [`edit`] adds to a list of
//! changes the operator, the [`edit::Revision`] on which they are based and an identifier; the
//! replicated log stores edits.
//!
//! Nothing in this crate does input or output, reads a clock or generates random numbers.

pub mod change;
pub mod column;
pub mod csv_file;
pub mod edit;
pub mod problem;
pub mod row;
pub mod table;

pub use change::Change;
pub use column::Column;
pub use edit::{Edit, Revision};
pub use problem::{Problem, Problems};
pub use row::{Key, Preference, Row};
pub use table::Table;
