//! The thread that writes the replicated log to its data directory and syncs it.
//!
//! A sync can take long, and a disk can hang for seconds; neither may block the control thread.
//! All writes that arrive during one sync share the next sync.

use std::io;
use std::thread;

use crossbeam::channel::{self, Receiver, Sender};
use tokio::sync::mpsc::UnboundedSender;
use verbenaslip_replica::storage::{Error, Storage, Write};

/// Outcome of writes.
#[derive(Debug)]
pub enum Outcome {
    /// All writes up to this sequence number are durable.
    Stored(u64),
    /// A write or a sync failed; it is unknown how much of it is on the disk.
    Failed(Error),
}

/// Handle of the disk thread; dropping it ends the thread after all queued writes.
pub struct Disk {
    writes: Sender<(u64, Write)>,
}

impl Disk {
    /// Starts the disk thread, which sends the outcomes of writes to `outcomes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread can't be started.
    pub fn spawn(
        mut storage: impl Storage + 'static,
        outcomes: UnboundedSender<Outcome>,
    ) -> io::Result<Self> {
        let (writes, queue) = channel::unbounded();
        thread::Builder::new().name("disk".into()).spawn(move || {
            if let Err(error) = run(&mut storage, &queue, &outcomes) {
                // The receiver is closed only when the process ends.
                let _ = outcomes.send(Outcome::Failed(error));
            }
        })?;
        Ok(Self { writes })
    }

    /// Queues a write; its sequence number is reported once it is durable.
    pub fn write(&self, sequence: u64, write: Write) {
        // The thread ends early only after a failure, which it has reported.
        let _ = self.writes.send((sequence, write));
    }
}

fn run(
    storage: &mut impl Storage,
    queue: &Receiver<(u64, Write)>,
    outcomes: &UnboundedSender<Outcome>,
) -> Result<(), Error> {
    while let Ok((mut sequence, write)) = queue.recv() {
        let mut writes = vec![write];
        while let Ok((next, write)) = queue.try_recv() {
            sequence = next;
            writes.push(write);
        }
        storage.write(&writes)?;
        storage.sync()?;
        if outcomes.send(Outcome::Stored(sequence)).is_err() {
            return Ok(());
        }
    }
    Ok(())
}
