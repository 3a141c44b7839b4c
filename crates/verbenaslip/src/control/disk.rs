//! The thread that writes and syncs the data folder.
//!
//! A sync takes longer than a step of the decisions, so it must not hold the control thread up. All
//! writes that have gathered during one sync share the next.

use std::thread::{self, JoinHandle};
use std::time::Instant;

use crossbeam::channel::{self, Receiver, Sender};
use verbenaslip_replica::storage::{Error, Storage, Write};

use crate::control::Order;
use crate::event::Event;

/// Writes to the data folder; dropping it waits until all that was given is durable.
pub(crate) struct Disk {
    writes: Option<Sender<Marked>>,
    thread: Option<JoinHandle<()>>,
}

struct Marked {
    mark: u64,
    write: Write,
}

impl Disk {
    /// Starts the thread.
    pub(crate) fn spawn(mut storage: Box<dyn Storage>, orders: Sender<Order>) -> Self {
        let (writes, given) = channel::unbounded();
        let thread = thread::spawn(move || {
            if let Err(error) = run(storage.as_mut(), &given, &orders) {
                let _ = orders.send(Order::DiskFailed(error));
            }
        });
        Self { writes: Some(writes), thread: Some(thread) }
    }

    /// Gives a write; its mark comes back as an order once it is durable.
    pub(crate) fn write(&self, mark: u64, write: Write) {
        if let Some(writes) = &self.writes {
            let _ = writes.send(Marked { mark, write });
        }
    }
}

impl Drop for Disk {
    fn drop(&mut self) {
        self.writes.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn run(
    storage: &mut dyn Storage,
    given: &Receiver<Marked>,
    orders: &Sender<Order>,
) -> Result<(), Error> {
    while let Ok(first) = given.recv() {
        let mut mark = first.mark;
        let mut writes = vec![first.write];
        while let Ok(next) = given.try_recv() {
            mark = next.mark;
            writes.push(next.write);
        }
        let started = Instant::now();
        storage.write(&writes)?;
        storage.sync()?;
        let _ = orders.send(Order::Stored(mark, started.elapsed()));
    }
    Ok(())
}

/// Says which event tells of a failed write.
pub(crate) fn failed(error: Error) -> Event {
    match error {
        Error::Full { file, .. } => Event::DiskFull { file },
        Error::Io { step, file, reason } => {
            Event::DiskFailed { step: step.to_string().into(), file, cause: reason }
        }
        other => Event::DiskFailed {
            step: "write".into(),
            file: "data folder".into(),
            cause: other.to_string().into(),
        },
    }
}
