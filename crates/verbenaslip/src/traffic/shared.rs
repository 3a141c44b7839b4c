//! What the traffic threads and the handle share.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crossbeam::channel::Sender;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use verbenaslip_base::attempt::{Attempt, Request};
use verbenaslip_base::hash;
use verbenaslip_base::name::Instance;

use crate::keys::Keys;
use crate::peers::Identity;
use crate::traffic::shelves::Shelves;
use crate::traffic::ticket::Tickets;
use crate::traffic::{Limits, Report, Stats};

/// Locks, also after another thread has panicked with the lock: the values stay whole by themselves.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Holds what every traffic task needs.
pub(crate) struct Shared {
    pub keys: Arc<dyn Keys>,
    pub limits: Limits,
    pub origin: Instant,
    pub seed: u64,
    pub identity: Identity,
    pub events: Sender<Report>,
    pub handles: Vec<Handle>,
    pub turn: AtomicUsize,
    pub drawn: AtomicU64,
    pub accepting: AtomicBool,
    pub closing: Notify,
    pub tickets: Tickets,
    pub shelves: Shelves,
    pub runs: Tasks<Attempt>,
    pub mirrors: Tasks<Request>,
    pub addresses: Mutex<BTreeMap<Instance, SocketAddr>>,
    pub connections: AtomicU64,
    pub adopted: AtomicU64,
    pub rejected: AtomicU64,
    pub dropped: AtomicU64,
    pub stuck: AtomicU64,
}

impl Shared {
    /// Tells the control thread; when it has gone there is nobody left to tell.
    pub(crate) fn tell(&self, report: Report) {
        let _ = self.events.send(report);
    }

    /// Returns the monotonic time.
    pub(crate) fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    /// Returns the runtime whose turn it is.
    pub(crate) fn handle(&self) -> &Handle {
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        &self.handles[turn % self.handles.len()]
    }

    /// Returns where another instance takes frames.
    pub(crate) fn address(&self, instance: &Instance) -> io::Result<SocketAddr> {
        let address = lock(&self.addresses).get(instance).copied();
        address.ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, "its address is not known"))
    }

    /// Draws an identity for a request without a key.
    pub(crate) fn draw(&self) -> Request {
        let number = self.drawn.fetch_add(1, Ordering::Relaxed);
        let name = self.identity.name.as_str().as_bytes();
        let parts: [&[u8]; 3] = [name, &self.seed.to_le_bytes(), &number.to_le_bytes()];
        Request(hash::wide(&parts))
    }

    /// Drops a request's answer with its runs and copy, unless the answer is of a later epoch.
    pub(crate) fn forget(&self, request: Request, epoch: u16) {
        if !self.shelves.remove(request, epoch) {
            return;
        }
        self.runs.retain(|attempt| attempt.request != request);
        self.mirrors.stop(&request);
    }

    /// Counts what is held.
    pub(crate) fn stats(&self) -> Stats {
        let (answers, bytes) = self.shelves.size();
        Stats {
            connections: self.connections.load(Ordering::Relaxed),
            callers: self.tickets.len(),
            runs: self.runs.len(),
            answers,
            bytes,
            rejected: self.rejected.load(Ordering::Relaxed),
            dropped: self.dropped.load(Ordering::Relaxed),
            stuck: self.stuck.load(Ordering::Relaxed),
        }
    }
}

/// Holds a task and the number that tells it from others under its key.
type Held = (u64, AbortHandle);

/// Holds tasks by key, one a key.
pub(crate) struct Tasks<K> {
    tasks: Mutex<BTreeMap<K, Held>>,
    next: AtomicU64,
}

impl<K> Default for Tasks<K> {
    fn default() -> Self {
        Self { tasks: Mutex::default(), next: AtomicU64::new(0) }
    }
}

impl<K: Ord + Clone> Tasks<K> {
    /// Starts a task in place of an earlier one under the same key.
    pub(crate) fn start(&self, handle: &Handle, key: K, task: impl FnOnce(u64) -> futures::Task) {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let mut tasks = lock(&self.tasks);
        // The earlier task must not report after the new one has begun.
        if let Some((_, old)) = tasks.remove(&key) {
            old.abort();
        }
        let running = handle.spawn(task(number));
        tasks.insert(key, (number, running.abort_handle()));
    }

    /// Takes a task that has ended out, unless another one has taken its place.
    pub(crate) fn done(&self, key: &K, number: u64) -> bool {
        let mut tasks = lock(&self.tasks);
        let held = tasks.get(key).is_some_and(|(held, _)| *held == number);
        if held {
            tasks.remove(key);
        }
        held
    }

    /// Says whether a task is still the one under its key.
    pub(crate) fn holds(&self, key: &K, number: u64) -> bool {
        lock(&self.tasks).get(key).is_some_and(|(held, _)| *held == number)
    }

    /// Says whether there is a task under a key.
    pub(crate) fn contains(&self, key: &K) -> bool {
        lock(&self.tasks).contains_key(key)
    }

    /// Ends a task.
    pub(crate) fn stop(&self, key: &K) {
        if let Some((_, task)) = lock(&self.tasks).remove(key) {
            task.abort();
        }
    }

    /// Ends the tasks whose key does not pass.
    pub(crate) fn retain(&self, pass: impl Fn(&K) -> bool) {
        lock(&self.tasks).retain(|key, (_, task)| {
            let kept = pass(key);
            if !kept {
                task.abort();
            }
            kept
        });
    }

    /// Counts the tasks.
    pub(crate) fn len(&self) -> u64 {
        lock(&self.tasks).len() as u64
    }
}

/// The shape of a task.
pub(crate) mod futures {
    use std::future::Future;
    use std::pin::Pin;

    /// A future that runs on any thread.
    pub(crate) type Task = Pin<Box<dyn Future<Output = ()> + Send>>;
}
