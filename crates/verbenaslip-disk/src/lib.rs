//! The replicated log's files: checksummed, synced, safe against torn tails.
//!
//! [`DataDirectory`] keeps one voter's state in one data folder and implements
//! [`verbenaslip_replica::storage::Storage`]. It holds:
//!
//! | file | content | how it changes |
//! |---|---|---|
//! | `lock` | nothing; held while the folder is open | never |
//! | `identity` | the folder's identity, drawn when it is created | never |
//! | `hard` | term, vote and group | whole, by rename |
//! | `snapshot-…` | the state up to an index | whole, by rename; older ones go afterwards |
//! | `log-…` | records, from the index in the name | appended; cut at the end by truncation |
//!
//! [`checked`] is the form of a file that is replaced whole, [`segment`] that of a log file. Each
//! record carries how much of its file was durable when it was written. So after a power loss a
//! fault where nothing was durable yet is a torn tail: it is cut and reported. A fault before that
//! is damage: opening fails with file, offset and hint, and loses nothing silently. After each sync
//! an empty record (a *seal*) follows, without a sync of its own, so that the last records are soon
//! covered as well. Only when power is lost before the seal reaches the disk, and the disk also
//! damaged the records before it, can these not be told from a torn tail.
//!
//! All access goes through the [`files::Files`] port: [`files::System`] is the real one.

pub mod checksummed;
pub mod files;
pub mod segment;

mod directory;
mod file_name;
mod load;

pub use directory::{DataDirectory, Options};
