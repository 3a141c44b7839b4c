//! The traffic threads between scripted callers, scripted upstreams and a scripted control thread.

mod bench;
mod caller;
mod foreign;
mod mutate;
mod plane;
mod script;
mod stream;
mod upstream;
