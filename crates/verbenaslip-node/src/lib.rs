//! All decisions of one instance composed to one state machine.
