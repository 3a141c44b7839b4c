//! State machine of an entry: an instance that forwards requests and stores nothing durably.

use std::net::SocketAddr;
use std::time::Duration;

use verbenaslip_base::hash;

use crate::crash_report::{CrashReporter, ObservedAnswer, ObservedCrash};
use crate::frame::{Frame, Peer, Trailing};
use crate::gateway::{Membership, Registration};
use crate::link::{Link, Report, Targets};
use crate::origin::{self, Origin, Stream};
use crate::quota::LoanRequest;
use crate::transition::Transitions;
use crate::view::View;

/// Time between two acknowledgements of origins: shorter than the time after which a connection
/// without answers is replaced.
const ORIGIN_ACKNOWLEDGEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Maintains an entry's view of the fleet.
#[derive(Debug)]
pub struct Entry {
    link: Link,
    crash_reporter: CrashReporter,
    /// Membership among the gateways, if this entry is one.
    membership: Option<Membership>,
    /// When the next acknowledgement of origins is wanted.
    next_origin_acknowledgement: Duration,
}

/// Holds a frame to be sent.
#[derive(Debug)]
pub struct Envelope {
    /// Receivers of the frame.
    pub to: Targets,
    /// The frame.
    pub frame: Frame,
}

impl Entry {
    /// Creates an entry without a view; `unix_ms` is the machine's clock in Unix milliseconds.
    pub fn new(local_peer: Peer, seeds: Vec<SocketAddr>, now: Duration, unix_ms: u64) -> Self {
        let number_base = hash::number_base(local_peer.incarnation);
        Self {
            membership: None,
            next_origin_acknowledgement: Duration::ZERO,
            link: Link::new(local_peer, seeds, now, unix_ms),
            crash_reporter: CrashReporter::starting_after(number_base),
        }
    }

    /// Makes this entry a gateway that accepts connections of other entries at `address`.
    #[must_use]
    pub fn with_gateway(mut self, address: SocketAddr) -> Self {
        let Peer { address: from, zone, .. } = self.link.local_peer().clone();
        self.membership =
            Some(Membership::new(Registration { from, zone, gateway: Some(address) }));
        self
    }

    /// Returns the current view of the fleet.
    pub fn view(&self) -> &View {
        self.link.view()
    }

    /// Takes the status changes of upstreams since the last call, for the event log.
    pub fn take_transitions(&mut self) -> Transitions {
        self.link.take_transitions()
    }

    /// Returns when [`next_heartbeat`](Self::next_heartbeat),
    /// [`next_crash_report`](Self::next_crash_report) or
    /// [`next_registration`](Self::next_registration) is due.
    pub fn next_wakeup(&self) -> Duration {
        let crash_report = self.crash_reporter.next_due().unwrap_or(Duration::MAX);
        let registration = self.membership.as_ref().filter(|_| !self.view().cores.is_empty());
        let registration = registration.map_or(Duration::MAX, Membership::next_due);
        self.link.next_wakeup().min(crash_report).min(registration)
    }

    /// Returns when [`next_heartbeat`](Self::next_heartbeat) is due.
    pub fn next_heartbeat_at(&self) -> Duration {
        self.link.next_wakeup()
    }

    /// Records the requests during which upstreams crashed, and the answers to suspected requests.
    pub fn record_outcomes(
        &mut self,
        now: Duration,
        crashes: Vec<ObservedCrash>,
        answers: Vec<ObservedAnswer>,
    ) {
        self.crash_reporter.record(now, crashes, answers);
    }

    /// Builds the next crash report for the leader, if it is due.
    pub fn next_crash_report(&mut self, now: Duration) -> Option<Envelope> {
        self.crash_reporter.next_due().filter(|due| now >= *due)?;
        let Some(leader) = self.link.leader(now) else {
            self.crash_reporter.postpone(now);
            return None;
        };
        let report = self.crash_reporter.next_report(now, self.link.local_peer().address)?;
        Some(Envelope { to: vec![leader], frame: Frame::CrashReport(Box::new(report)) })
    }

    /// Sets whether this entry can open connections for others.
    pub fn set_carries(&mut self, now: Duration, carries: bool) {
        if let Some(membership) = &mut self.membership {
            membership.set_carries(now, carries);
        }
    }

    /// Builds the registration as a gateway with all cores, if it is due.
    pub fn next_registration(&mut self, now: Duration) -> Option<Envelope> {
        let to = self.view().cores.clone();
        let membership = self.membership.as_mut().filter(|_| !to.is_empty())?;
        let frame = membership.next_registration(now)?;
        Some(Envelope { to, frame })
    }

    /// Builds a request for loans on teams' rate limits; returns `None` without requests or a
    /// reachable target.
    pub fn request_loans(&self, now: Duration, requests: Vec<LoanRequest>) -> Option<Envelope> {
        let target = self.link.reachable_target(now).filter(|_| !requests.is_empty())?;
        let from = self.link.local_peer().address;
        Some(Envelope { to: vec![target], frame: Frame::RequestLoans { from, requests } })
    }

    /// Builds the frame that tells cores at which versions streams begin; returns `None` without
    /// origins or cores.
    pub fn record_origins(&mut self, now: Duration, origins: Vec<Origin>) -> Option<Envelope> {
        let from = self.link.local_peer().address;
        let to = origin::keepers(from, &self.view().cores);
        if origins.is_empty() || to.is_empty() {
            return None;
        }
        let is_due = now >= self.next_origin_acknowledgement;
        if is_due {
            self.next_origin_acknowledgement = now + ORIGIN_ACKNOWLEDGEMENT_INTERVAL;
        }
        let acknowledge_to = is_due.then_some(from);
        Some(Envelope { to, frame: Frame::RecordOrigins { acknowledge_to, origins } })
    }

    /// Builds the question for the origins of streams, to all cores; returns `None` without
    /// streams or cores.
    pub fn find_origins(&self, streams: Vec<Stream>) -> Option<Envelope> {
        let to = self.view().cores.clone();
        let from = self.link.local_peer().address;
        let is_useful = !streams.is_empty() && !to.is_empty();
        let frame = Frame::FindOrigins { from, streams, copy: Trailing(None) };
        is_useful.then_some(Envelope { to, frame })
    }

    /// Builds the notice that this entry stops.
    pub fn stop_notice(&self, now: Duration) -> Option<Envelope> {
        let address = self.link.local_peer().address;
        Some(Envelope {
            to: vec![self.link.reachable_target(now)?],
            frame: Frame::EntryStopped { address },
        })
    }

    /// Replaces the seed addresses.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.link.set_seeds(seeds);
    }

    /// Builds the next heartbeat, if it is due; `unix_ms` is the machine's clock in Unix
    /// milliseconds.
    pub fn next_heartbeat(
        &mut self,
        now: Duration,
        unix_ms: u64,
        report: Report,
    ) -> Option<Envelope> {
        let (to, heartbeat) = self.link.next_heartbeat(now, unix_ms, report)?;
        Some(Envelope { to, frame: Frame::Heartbeat(Box::new(heartbeat)) })
    }

    /// Handles a frame; returns the frame to be sent in response, if any.
    pub fn handle_frame(&mut self, now: Duration, frame: Frame) -> Option<Envelope> {
        match frame {
            Frame::Update(update) => {
                let from = update.from;
                let acknowledgement =
                    self.link.handle_update(now, *update).then(|| self.link.acknowledgement());
                self.crash_reporter.set_term(now, self.link.view().version.term);
                Some(Envelope { to: vec![from], frame: acknowledgement? })
            }
            Frame::CrashReportReceived { term, number } => {
                self.crash_reporter.confirm(term, number);
                None
            }
            Frame::Redirect { from, leader, cores } => {
                self.link.handle_redirect(now, from, leader, &cores);
                None
            }
            Frame::ReportTo { core } => {
                self.link.handle_report_to(now, core);
                None
            }
            Frame::NewLeader { leader } => {
                self.link.handle_new_leader(now, leader);
                None
            }
            Frame::Gateways(gateways) => {
                if let Some(membership) = &mut self.membership {
                    self.link.set_gateways(membership.learn(gateways));
                }
                None
            }
            Frame::Log { .. }
            | Frame::RegisterGateway(_)
            | Frame::RecordOrigins { .. }
            | Frame::OriginsRecorded
            | Frame::FindOrigins { .. }
            | Frame::OriginsFound { .. }
            | Frame::Heartbeat(_)
            | Frame::RequestLoans { .. }
            | Frame::GrantLoans(_)
            | Frame::EntryStopped { .. }
            | Frame::Acknowledged { .. }
            | Frame::Request { .. }
            | Frame::Response { .. }
            | Frame::CrashReport(_) => None,
        }
    }
}
