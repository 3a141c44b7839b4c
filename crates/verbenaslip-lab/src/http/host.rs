//! The thread on which a stand-in runs.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::runtime;
use tokio::sync::Notify;

/// Runs one stand-in on a thread of its own until it is ended.
pub(crate) struct Host {
    address: SocketAddr,
    end: Arc<Notify>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Host {
    /// Binds the address and runs `main` on a new thread; a port of 0 takes any free one.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound or no thread can be started.
    pub(crate) fn spawn<F: Future<Output = ()>>(
        name: &str,
        address: SocketAddr,
        main: impl FnOnce(TcpListener, Arc<Notify>) -> F + Send + 'static,
    ) -> io::Result<Self> {
        let listener = std::net::TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let end = Arc::new(Notify::new());
        let ended = end.clone();
        let thread = thread::Builder::new().name(name.to_owned()).spawn(move || {
            runtime.block_on(async {
                let Ok(listener) = TcpListener::from_std(listener) else { return };
                tokio::select! {
                    () = main(listener, ended.clone()) => (),
                    () = ended.notified() => (),
                }
            });
            // Dropping the runtime closes every connection at once, as the death of a process does.
            drop(runtime);
        })?;
        Ok(Self { address, end, thread: Mutex::new(Some(thread)) })
    }

    /// Returns the bound address.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends it hard: all connections close.
    pub(crate) fn kill(&self) {
        self.end.notify_one();
    }

    /// Says whether it has ended.
    pub(crate) fn ended(&self) -> bool {
        let thread = self.thread.lock().expect("no holder panics");
        thread.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until it has ended, for at most `limit`; says whether it did.
    pub(crate) fn wait(&self, limit: Duration) -> bool {
        const POLL: Duration = Duration::from_millis(5);
        let start = std::time::Instant::now();
        while !self.ended() {
            if start.elapsed() > limit {
                return false;
            }
            thread::sleep(POLL);
        }
        true
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
        let thread = self.thread.get_mut().map(Option::take).unwrap_or_default();
        if let Some(thread) = thread {
            thread.join().ok();
        }
    }
}
