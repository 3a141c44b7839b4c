//! The commands of `verbenaslip`.

pub mod audit;
pub mod drain;
pub mod explain;
pub mod status;
pub mod table;
pub mod voters;

mod columns;
mod time;
