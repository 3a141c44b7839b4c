//! Actions that the requests of one instance ask for.

use verbenaslip_base::attempt::Request;
use verbenaslip_base::data;
use verbenaslip_base::head::Head;
use verbenaslip_base::name::{Instance, Upstream};
use verbenaslip_base::refusal::{Refusal, Unknown};

use crate::caller::{Ticket, Verdict};
use crate::claim::Claim;
use crate::message::{ActiveRun, Message};
use crate::run::Run;

/// One action for the caller of [`Requests::step`](crate::Requests::step) to perform.
#[data]
pub enum Output {
    /// Tells a caller or subscriber what it gets. A later verdict for the same ticket replaces an
    /// earlier one and continues after what the caller has received by then.
    Verdict {
        /// The caller.
        ticket: Ticket,
        /// What the caller gets.
        verdict: Verdict,
    },
    /// Tells a subscriber that this instance does not own the request.
    Absent(Ticket),
    /// Asks the policy to admit a request; answered by `Admitted` or `Declined`.
    Admit(Head),
    /// Asks the quorum for a claim; answered by `Claimed`.
    Claim(Claim),
    /// Tells the quorum how a claimed request ended.
    Settle {
        /// The request.
        request: Request,
        /// Claimant that holds the claim.
        claimant: u128,
        /// How the request ended.
        outcome: Outcome,
    },
    /// Asks the router for an upstream; answered by `Placed` or `NoPlace`.
    Place(PlacementRequest),
    /// Asks the retry budget for a retry; answered by `Retry`.
    Retry {
        /// The request.
        head: Head,
        /// Upstream at which the request failed.
        upstream: Upstream,
    },
    /// Runs a request at an upstream.
    Run(Run),
    /// Stops a run at its upstream and discards any tokens that still arrive.
    Cancel(ActiveRun),
    /// Copies the answer and all further additions to the second holder; without an instance,
    /// copying stops. While there is a second holder, callers get only what it has.
    Mirror {
        /// The request.
        request: Request,
        /// Epoch under which the answer is copied.
        epoch: u16,
        /// Second holder.
        to: Option<Instance>,
    },
    /// Makes this instance the owner of the local answer in an epoch, creating the answer if there
    /// is none.
    Own {
        /// The request.
        request: Request,
        /// Epoch; copies from earlier epochs are late from now on.
        epoch: u16,
    },
    /// Frees the local answer, unless it belongs to a later epoch by now.
    Forget {
        /// The request.
        request: Request,
        /// Epoch of the answer.
        epoch: u16,
    },
    /// Sends a message to another instance.
    Send {
        /// Receiver.
        to: Instance,
        /// Content.
        message: Message,
    },
    /// Tells the policy that this instance has finished with a request, whatever the outcome.
    Done {
        /// The request.
        request: Request,
        /// How the request ended.
        outcome: Outcome,
    },
    /// Reports that nothing is left on this instance after `Stop`.
    Drained,
}

/// Describes the request for which an upstream is needed.
#[data]
pub struct PlacementRequest {
    /// The request.
    pub head: Head,
    /// Number of answer tokens that exist already.
    pub position: u32,
    /// Upstreams that must not be chosen.
    pub without: Vec<Upstream>,
    /// Upstream from which the request moves away while it still runs there.
    pub from: Option<Upstream>,
}

/// Tells how a request ended.
#[data]
pub enum Outcome {
    /// The answer is complete.
    Whole {
        /// Number of tokens; zero for a plain service.
        position: u32,
    },
    /// The request certainly did not run.
    Refused(Refusal),
    /// The request may have run.
    Unknown(Unknown),
    /// The caller left and did not come back.
    Abandoned,
    /// Another instance owns the request now.
    Moved {
        /// New owner.
        owner: Instance,
    },
}
