//! A model engine that generates a text known in advance, and knows what it did.
//!
//! [`setup`] says what it is. [`state`] holds the queue, the batch and the runs, [`cache`] the
//! prefix cache, [`kv`] the KV caches handed on, [`order`] what orders made of it. [`serve`] answers
//! the paths, [`stream`] sends one run's events on one connection, [`announce`] tells verbenaslip
//! of it. [`fault`] makes it fail, and [`truth`] tells what it really did.

pub mod cache;
pub mod fault;
pub mod order;
pub mod setup;
pub mod truth;

pub(crate) mod announce;
pub(crate) mod core;
pub(crate) mod kv;
pub(crate) mod run;
pub(crate) mod serve;
pub(crate) mod state;
pub(crate) mod stream;
pub(crate) mod weights;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, mpsc};
use std::time::Duration;

use self::core::Core;
use self::fault::Fault;
use self::setup::Setup;
use self::truth::Truth;
use crate::http::host::Host;
use crate::http::server;

/// Runs one model engine stand-in; it dies hard when dropped.
pub struct Engine {
    host: Host,
    core: Arc<Core>,
}

impl Engine {
    /// Starts an engine.
    ///
    /// # Errors
    ///
    /// Fails when its address can't be bound or no thread can be started.
    pub fn spawn(setup: Setup) -> io::Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let name = setup.upstream.to_string();
        let host = Host::spawn(&name, setup.listen, move |listener, end| async move {
            let announce = setup.announce.clone();
            let core = Arc::new(Core::new(setup, end));
            let Ok(address) = listener.local_addr() else { return };
            if sender.send(core.clone()).is_err() {
                return;
            }
            tokio::join!(
                server::serve(listener, core.silencer.clone(), core.clone()),
                core.run(),
                core.measure(),
                announce::run(&announce, &core.tell, || core.profile(address)),
            );
        })?;
        let core = receiver.recv().map_err(io::Error::other)?;
        Ok(Self { host, core })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }

    /// Sets a fault.
    pub fn fault(&self, fault: Fault) {
        self.core.fault(fault);
    }

    /// Announces that it will be taken after the notice, and dies hard then.
    pub fn reclaim(&self, notice: Duration) {
        self.core.leave(Some(notice));
    }

    /// Leaves gracefully: announces it, refuses new work, and ends once its runs have ended.
    pub fn leave(&self) {
        self.core.leave(None);
    }

    /// Dies at once, without a word.
    pub fn kill(&self) {
        self.core.kill();
    }

    /// Tells what it did, also after its death.
    pub fn truth(&self) -> Truth {
        self.core.state().truth()
    }

    /// Says whether it has ended.
    pub fn ended(&self) -> bool {
        self.host.ended()
    }

    /// Waits until it has ended, for at most `limit`; says whether it did.
    pub fn wait(&self, limit: Duration) -> bool {
        self.host.wait(limit)
    }
}
