//! Following the verdicts on one caller through the answers that they name.

use std::sync::Arc;

use tokio::sync::watch;
use tokio::task::AbortHandle;
use verbenaslip_request::caller::Verdict;

use crate::traffic::error::Problem;
use crate::traffic::relay;
use crate::traffic::shared::Shared;
use crate::traffic::shelf::{Rest, Shelf};
use crate::traffic::ticket::{Waiter, Word};

/// Follows the verdicts on one caller and reads the answer that they name.
pub(crate) struct Reader {
    shared: Arc<Shared>,
    waiter: Waiter,
    source: Option<Source>,
    at: u32,
}

/// Holds where a caller's answer comes from.
struct Source {
    shelf: Arc<Shelf>,
    changed: watch::Receiver<()>,
    /// Fetches the answer from another instance for as long as it is read.
    relay: Option<Stopper>,
}

/// Ends a task when dropped.
pub(crate) struct Stopper(pub AbortHandle);

impl Drop for Stopper {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Says why there is no more of an answer.
#[derive(Clone, Debug)]
pub(crate) enum Stop {
    /// The verdict says so.
    Final(Verdict),
    /// The caller's position is not between two events.
    Misaligned(u32),
    /// This instance does not own it.
    Absent,
}

impl Stop {
    /// Returns the error that the caller gets.
    pub(crate) fn problem(&self) -> Problem {
        match self {
            Self::Final(Verdict::Refused(refusal)) => Problem::refused(refusal),
            Self::Final(Verdict::Unknown(unknown)) => Problem::unknown(*unknown),
            Self::Final(Verdict::Conflict) => Problem::conflict(),
            Self::Misaligned(after) => Problem::misaligned(*after),
            Self::Final(Verdict::Serve { .. } | Verdict::Relay { .. }) | Self::Absent => {
                Problem::unknown(verbenaslip_base::refusal::Unknown::Unreachable)
            }
        }
    }
}

impl Reader {
    /// Reads for a waiting caller from after a position.
    pub(crate) fn new(shared: &Arc<Shared>, waiter: Waiter, after: u32) -> Self {
        Self { shared: shared.clone(), waiter, source: None, at: after }
    }

    /// Lets go of the caller, who is left to whoever gives it the end.
    pub(crate) fn release(self) -> Waiter {
        self.waiter
    }

    /// Waits for the next of the answer; dropping the wait loses nothing.
    pub(crate) async fn next(&mut self) -> Result<Rest, Stop> {
        loop {
            if let Some(rest) = self.held()? {
                return Ok(rest);
            }
            let word = tokio::select! {
                word = self.waiter.word() => Some(word),
                () = changed(&mut self.source) => None,
            };
            match word {
                Some(Word::Verdict(verdict)) => self.follow(verdict)?,
                Some(Word::Absent) => return Err(Stop::Absent),
                None => {}
            }
        }
    }

    /// Returns what the source holds after the caller's position.
    fn held(&mut self) -> Result<Option<Rest>, Stop> {
        let Some(source) = &self.source else {
            return Ok(None);
        };
        let Some(rest) = source.shelf.after(self.at) else {
            return Err(Stop::Misaligned(self.at));
        };
        if rest.is_empty() {
            return Ok(None);
        }
        self.at = rest.pieces.last().map_or(self.at, |piece| piece.position);
        Ok(Some(rest))
    }

    /// Turns to what a verdict names.
    fn follow(&mut self, verdict: Verdict) -> Result<(), Stop> {
        match verdict {
            Verdict::Serve { request, after } => {
                self.at = self.at.max(after);
                let shelf = self.shared.shelves.open(request);
                if !self.keeps(&shelf) {
                    self.read(shelf, None);
                }
                Ok(())
            }
            Verdict::Relay { request, after, owner } => {
                self.at = self.at.max(after);
                let shelf = Arc::new(Shelf::passing(self.at, self.shared.limits.answer));
                let ticket = self.waiter.ticket;
                let fetch = relay::Fetch { ticket, request, owner, after: self.at };
                let relay = relay::start(&self.shared, fetch, shelf.clone());
                self.read(shelf, Some(relay));
                Ok(())
            }
            last => Err(Stop::Final(last)),
        }
    }

    /// Says whether the answer that the caller has begun with is read on.
    ///
    /// The newest answer here may be a copy of another owner's, in other words.
    fn keeps(&self, newest: &Shelf) -> bool {
        let source = self.source.as_ref().filter(|source| source.relay.is_none());
        source.is_some_and(|source| source.shelf.begun()) && !newest.owned()
    }

    fn read(&mut self, shelf: Arc<Shelf>, relay: Option<Stopper>) {
        let changed = shelf.watch();
        self.source = Some(Source { shelf, changed, relay });
    }
}

/// Waits until the source has more; forever when there is none.
async fn changed(source: &mut Option<Source>) {
    if let Some(source) = source
        && source.changed.changed().await.is_ok()
    {
        return;
    }
    std::future::pending::<()>().await;
}
