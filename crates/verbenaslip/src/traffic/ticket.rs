//! Callers that wait for an answer.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};

use tokio::sync::watch;
use verbenaslip_request::caller::{Ticket, Verdict};

use crate::traffic::Report;
use crate::traffic::shared::{Shared, lock};

type Sender = watch::Sender<Option<Word>>;

/// Says what a waiting caller or subscriber gets.
#[derive(Clone, Debug)]
pub(crate) enum Word {
    /// What a verdict says.
    Verdict(Verdict),
    /// Nothing: this instance does not own the request that another asked for.
    Absent,
}

/// Holds the waiting callers by ticket.
#[derive(Default)]
pub(crate) struct Tickets {
    next: AtomicU64,
    waiting: Mutex<BTreeMap<Ticket, Sender>>,
}

impl Tickets {
    /// Gives a caller its verdict; a caller that has gone is passed over.
    pub(crate) fn give(&self, ticket: Ticket, word: Word) {
        if let Some(sender) = lock(&self.waiting).get(&ticket) {
            sender.send_replace(Some(word));
        }
    }

    /// Counts the waiting callers.
    pub(crate) fn len(&self) -> u64 {
        lock(&self.waiting).len() as u64
    }
}

/// Stands for one waiting caller; dropped before the end it reports that the caller has gone.
pub(crate) struct Waiter {
    /// The ticket.
    pub ticket: Ticket,
    word: watch::Receiver<Option<Word>>,
    shared: Arc<Shared>,
    served: bool,
}

impl Waiter {
    /// Takes a ticket.
    pub(crate) fn new(shared: &Arc<Shared>) -> Self {
        let ticket = Ticket(shared.tickets.next.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, word) = watch::channel(None);
        lock(&shared.tickets.waiting).insert(ticket, sender);
        Self { ticket, word, shared: shared.clone(), served: false }
    }

    /// Waits for the next word on it.
    pub(crate) async fn word(&mut self) -> Word {
        loop {
            // The sender lives in the table until this waiter is dropped.
            if self.word.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
            if let Some(word) = self.word.borrow_and_update().clone() {
                return word;
            }
        }
    }

    /// Notes that the caller was given its end.
    pub(crate) fn served(&mut self) {
        self.served = true;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        lock(&self.shared.tickets.waiting).remove(&self.ticket);
        let ticket = self.ticket;
        let report = if self.served { Report::Served { ticket } } else { Report::Gone { ticket } };
        self.shared.tell(report);
    }
}
