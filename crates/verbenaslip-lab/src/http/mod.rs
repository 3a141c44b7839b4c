//! The little HTTP that the stand-ins and the load tool share.
//!
//! [`server`] answers on one listener, [`client`] asks, [`body`] carries an answer's bytes as they
//! come, [`connection`] is a connection that can be made to go silent, and [`host`] gives a stand-in its
//! thread.

pub(crate) mod body;
pub(crate) mod client;
pub(crate) mod connection;
pub(crate) mod host;
pub(crate) mod server;
