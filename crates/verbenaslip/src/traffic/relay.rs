//! Fetching an answer from the instance that assembles it.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::name::Instance;
use verbenaslip_request::caller::Ticket;

use crate::peers::wire::Frame;
use crate::traffic::Report;
use crate::traffic::plane;
use crate::traffic::shared::{Shared, lock};
use crate::traffic::shelf::Shelf;
use crate::traffic::stream::Stopper;

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
        let address = lock(&shared.addresses).get(&fetch.owner).copied();
        let fetched = run(&shared, &fetch, address, &shelf).await;
        if fetched.is_err() {
            let after = shelf.position().max(fetch.after);
            let Fetch { ticket, request, .. } = fetch;
            shared.tell(Report::RelayLost { ticket, request, after });
        }
    });
    Stopper(task.abort_handle())
}

async fn run(
    shared: &Shared,
    fetch: &Fetch,
    address: Option<SocketAddr>,
    shelf: &Shelf,
) -> io::Result<()> {
    let address = address.ok_or(io::ErrorKind::NotFound)?;
    let mut stream = plane::open(shared, address).await?;
    let Fetch { request, after, .. } = *fetch;
    plane::send(&mut stream, &Frame::Fetch { request, after }).await?;
    while !shelf.whole() {
        // The owner sends a heartbeat when it has no token, so that silence means that it is lost.
        let frame = plane::receive(&mut stream).await?;
        plane::take(shelf, frame)?;
    }
    Ok(())
}
