//! The replicated log's files: checksummed, synced, safe against torn tails.
