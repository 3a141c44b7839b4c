//! The thread that writes and syncs the folder of the replicated log.
//!
//! A sync can take long, and a disk can hang for seconds; neither may hold up the control thread.
//! All writes that have gathered during one sync share the next.

use std::io;
use std::thread;

use crossbeam::channel::{self, Receiver, Sender};
use tokio::sync::mpsc::UnboundedSender;
use verbenaslip_replica::storage::{Error, Storage, Write};

/// Says what became of writes.
#[derive(Debug)]
pub enum Outcome {
    /// All writes up to this mark are durable.
    Stored(u64),
    /// A write failed: nobody knows what of it is on the disk.
    Failed(Error),
}

/// Writes to a folder; dropping it ends the thread after what was given.
pub struct Disk {
    writes: Sender<(u64, Write)>,
}

impl Disk {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when no thread can be started.
    pub fn spawn(
        mut storage: impl Storage + 'static,
        outcomes: UnboundedSender<Outcome>,
    ) -> io::Result<Self> {
        let (writes, queue) = channel::unbounded();
        thread::Builder::new().name("disk".into()).spawn(move || {
            if let Err(error) = run(&mut storage, &queue, &outcomes) {
                // The control thread is gone only when the process ends.
                let _ = outcomes.send(Outcome::Failed(error));
            }
        })?;
        Ok(Self { writes })
    }

    /// Gives a write; its mark comes back once it is durable.
    pub fn write(&self, sequence: u64, write: Write) {
        // The thread has ended only after a failure, which it has told.
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
