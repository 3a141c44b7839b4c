//! What one instance's requests want done.

use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_base::refusal::{Refusal, Unknown};

use crate::caller::{Ticket, Verdict};
use crate::claim::Claim;
use crate::message::{ActiveRun, Message};
use crate::run::Run;

/// Wants one thing done.
#[data]
pub enum Output {
    /// Tells a caller or subscriber what it gets; a later one for the same ticket replaces an
    /// earlier, and goes on from what the caller has been given by then.
    Verdict {
        /// The caller.
        ticket: Ticket,
        /// What it gets.
        verdict: Verdict,
    },
    /// Tells a subscriber that this instance does not own the request.
    Absent(Ticket),
    /// Asks the policy to let a request in; answered by `Admitted` or `Declined`.
    Admit(Head),
    /// Asks the quorum for a claim; answered by `Claimed`.
    Claim(Claim),
    /// Tells the quorum how a claimed request ended.
    Settle {
        /// The request.
        request: Request,
        /// The claimant that was granted.
        claimant: u128,
        /// How it ended.
        outcome: Outcome,
    },
    /// Asks the router for an upstream; answered by `Placed` or `NoPlace`.
    Place(PlacementRequest),
    /// Asks the retry budget; answered by `Retry`.
    Retry {
        /// The request.
        head: Head,
        /// The upstream that failed it.
        upstream: Upstream,
    },
    /// Runs a request at an upstream.
    Run(Run),
    /// Stops a run at its upstream and drops its late tokens.
    Cancel(ActiveRun),
    /// Copies the answer, and all that is added to it, to the second holder; none stops it.
    /// While there is one, callers get only what it has.
    Mirror {
        /// The request.
        request: Request,
        /// The epoch under which it is copied.
        epoch: u16,
        /// The second holder.
        to: Option<Instance>,
    },
    /// Makes the answer held here this instance's own, in an epoch; opens it if there is none.
    Own {
        /// The request.
        request: Request,
        /// The epoch; copies of earlier ones are late from now on.
        epoch: u16,
    },
    /// Frees the answer held here, unless it is of a later epoch by now.
    Forget {
        /// The request.
        request: Request,
        /// The epoch.
        epoch: u16,
    },
    /// Says something to another instance.
    Send {
        /// The instance.
        to: Instance,
        /// What is said.
        message: Message,
    },
    /// Tells the policy that this instance is done with a request, however it ended.
    Done {
        /// The request.
        request: Request,
        /// How it ended.
        outcome: Outcome,
    },
    /// Tells that nothing is left here after `Stop`.
    Drained,
}

/// Says what an upstream is wanted for.
#[data]
pub struct PlacementRequest {
    /// The request.
    pub head: Head,
    /// Tokens of the answer that are there already.
    pub position: u32,
    /// Upstreams that must not be chosen.
    pub without: Vec<Upstream>,
    /// The upstream it moves away from while it still runs there.
    pub from: Option<Upstream>,
}

/// Says how a request ended.
#[data]
pub enum Outcome {
    /// The answer is whole.
    Whole {
        /// Its tokens; zero for a plain service.
        position: u32,
    },
    /// It was surely not run.
    Refused(Refusal),
    /// It may have run.
    Unknown(Unknown),
    /// Its caller left and did not come back.
    Abandoned,
    /// Another instance owns it now.
    Moved {
        /// The new owner.
        owner: Instance,
    },
}
