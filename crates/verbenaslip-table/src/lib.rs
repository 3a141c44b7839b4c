//! The operators' table: rows, edits, checks, differences, CSV.
//!
//! A [`Table`] holds one [`Row`] for each team and request class; [`mod@column`] says what each column
//! means and which values it takes. [`csv_file`] reads a table from CSV and writes it in one canonical
//! form, so that a file under version control changes only where the table does; whatever is wrong
//! with a file comes back as [`problem::Problems`], all at once. [`change`] tells two tables apart
//! row by row and applies the result to another. [`edit`] wraps changes with who made them, from
//! which [`edit::Revision`], under which identity, which is what the replicated log takes.
//!
//! Nothing here does input or output, reads a clock or draws a random number.

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
