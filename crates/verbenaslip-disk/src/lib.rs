//! Files of the replicated log: checksummed, synced and protected against torn tails.
//!
//! [`DataDirectory`] stores the state of one voter and implements
//! [`verbenaslip_replica::storage::Storage`]. The directory contains:
//!
//! | file | content | how it changes |
//! |---|---|---|
//! | `lock` | nothing; locked while the directory is open | never |
//! | `identity` | the random identity of the directory | never |
//! | `founders` | the instances that form the group, if this is one of them | never |
//! | `hard` | term, vote and group | replaced by rename |
//! | `snapshot-…` | the state up to the index in the name | replaced by rename; older ones are then removed |
//! | `log-…` | records, starting at the index in the name | appended; truncated at the end |
//!
//! [`checksummed`] defines the format of files that are replaced as a whole, and [`segment`] that
//! of log files. Each record contains the number of bytes of its file that were durable when it was
//! written. After a power loss, a fault in bytes that were not durable is a torn tail, which is
//! truncated and reported. A fault in durable bytes is damage: opening fails with an error that
//! names the file and the offset, and nothing is removed.
//!
//! An empty record, the *seal*, is written after each sync to cover the last records as well. The
//! seal itself is not synced. If the power fails before the seal is durable and the disk also
//! damages the records before it, the damage can't be distinguished from a torn tail.
//!
//! All file access goes through the [`files::Files`] trait, which [`files::SystemFiles`] implements
//! for real files.

pub mod checksummed;
pub mod files;
pub mod segment;

mod directory;
mod file_name;
mod load;

pub use directory::{DataDirectory, Options};
