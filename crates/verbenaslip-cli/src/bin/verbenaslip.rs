//! Starts later.

fn main() {}
