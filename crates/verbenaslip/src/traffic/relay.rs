//! Fetching an answer from the instance that assembles it.

use std::io;
use std::sync::Arc;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Instance;
use verbenaslip_request::caller::{Ticket, Verdict};

use crate::peers::wire::Frame;
use crate::traffic::Report;
use crate::traffic::plane;
use crate::traffic::reader::Stopper;
use crate::traffic::shared::Shared;
use crate::traffic::shelf::Shelf;
use crate::traffic::ticket::Word;

/// Says what is fetched and for whom.
pub(crate) struct Fetch {
    /// The caller.
    pub ticket: Ticket,
    /// The request.
    pub request: Request,
    /// The instance that assembles the answer.
    pub owner: Instance,
    /// The last position that the caller has.
    pub after: u32,
}

/// Starts to fetch onto a shelf that begins after the caller's position.
pub(crate) fn start(shared: &Arc<Shared>, fetch: Fetch, shelf: Arc<Shelf>) -> Stopper {
    let shared = shared.clone();
    let task = tokio::spawn(async move {
        if let Err(error) = run(&shared, &fetch, &shelf).await {
            let Fetch { ticket, request, owner, .. } = fetch;
            log::debug!("reading {request} from {owner} ended: {error}");
            let after = shelf.position();
            shared.tell(Report::RelayLost { ticket, request, after });
        }
    });
    Stopper(task.abort_handle())
}

async fn run(shared: &Shared, fetch: &Fetch, shelf: &Shelf) -> io::Result<()> {
    let mut stream = plane::open(shared, shared.address(&fetch.owner)?).await?;
    let Fetch { request, after, .. } = *fetch;
    plane::send(&mut stream, &Frame::Fetch { request, after }).await?;
    while !shelf.ended() {
        // The owner sends a heartbeat when it has no token, so that silence means that it is lost.
        let added = match plane::receive(&mut stream).await? {
            Frame::Heartbeat => continue,
            Frame::Piece(piece) => shelf.pass(&piece),
            Frame::End(end) => shelf.pass_end(&end),
            Frame::Whole(whole) => shelf.pass_whole(whole),
            Frame::Verdict(verdict) => return last(shared, fetch.ticket, verdict),
            _ => return Err(plane::declined()),
        };
        plane::taken(added)?;
    }
    Ok(())
}

/// Passes a final verdict of the owner on to the caller.
fn last(shared: &Shared, ticket: Ticket, verdict: Verdict) -> io::Result<()> {
    // An owner that names another place does not know this instance's place in it, and two that
    // name each other would send the caller round for ever: the control thread looks it up anew.
    if matches!(verdict, Verdict::Serve { .. } | Verdict::Relay { .. }) {
        return Err(plane::declined());
    }
    shared.tickets.give(ticket, Word::Verdict(verdict));
    Ok(())
}
