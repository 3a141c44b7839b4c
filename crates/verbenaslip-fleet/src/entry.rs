//! An entry: an instance that forwards requests and holds no state of its own.

use std::net::SocketAddr;
use std::time::Duration;

use crate::crash_report::{CrashReporter, ObservedAnswer, ObservedCrash};
use crate::frame::{Frame, Peer};
use crate::link::{Link, Report, Targets};
use crate::quota::LoanRequest;
use crate::transition::Transitions;
use crate::view::View;

/// Keeps an entry's view of the fleet.
#[derive(Debug)]
pub struct Entry {
    link: Link,
    crash_reporter: CrashReporter,
}

/// Wants a frame sent.
#[derive(Debug)]
pub struct Envelope {
    /// To whom.
    pub to: Targets,
    /// What it says.
    pub frame: Frame,
}

impl Entry {
    /// Starts without a view.
    pub fn new(local_peer: Peer, seeds: Vec<SocketAddr>, now: Duration, unix_ms: u64) -> Self {
        Self {
            link: Link::new(local_peer, seeds, now, unix_ms),
            crash_reporter: CrashReporter::default(),
        }
    }

    /// Returns what is known of the fleet.
    pub fn view(&self) -> &View {
        self.link.view()
    }

    /// Takes what has changed of the upstreams since it was last asked for, for the log.
    pub fn take_transitions(&mut self) -> Transitions {
        self.link.take_transitions()
    }

    /// Returns when [`heartbeat`](Self::heartbeat) or [`account`](Self::account) is due.
    pub fn next_wakeup(&self) -> Duration {
        let crash_report = self.crash_reporter.next_due().unwrap_or(Duration::MAX);
        self.link.next_wakeup().min(crash_report)
    }

    /// Returns when [`heartbeat`](Self::heartbeat) is due.
    pub fn next_heartbeat_at(&self) -> Duration {
        self.link.next_wakeup()
    }

    /// Takes under which requests upstreams ended, and answers to requests that are suspected.
    pub fn record_outcomes(
        &mut self,
        now: Duration,
        crashes: Vec<ObservedCrash>,
        answers: Vec<ObservedAnswer>,
    ) {
        self.crash_reporter.record(now, crashes, answers);
    }

    /// Tells the leader of that if it is due.
    pub fn next_crash_report(&mut self, now: Duration) -> Option<Envelope> {
        self.crash_reporter.next_due().filter(|due| now >= *due)?;
        let Some(leader) = self.link.leader(now) else {
            self.crash_reporter.postpone(now);
            return None;
        };
        let report = self.crash_reporter.next_report(now, self.link.local_peer().address)?;
        Some(Envelope { to: vec![leader], frame: Frame::CrashReport(Box::new(report)) })
    }

    /// Asks for units of teams' limits.
    pub fn request_loans(&self, now: Duration, requests: Vec<LoanRequest>) -> Option<Envelope> {
        let target = self.link.reachable_target(now).filter(|_| !requests.is_empty())?;
        let from = self.link.local_peer().address;
        Some(Envelope { to: vec![target], frame: Frame::RequestLoans { from, requests } })
    }

    /// Says that this entry ends.
    pub fn stop_notice(&self, now: Duration) -> Option<Envelope> {
        let address = self.link.local_peer().address;
        Some(Envelope {
            to: vec![self.link.reachable_target(now)?],
            frame: Frame::EntryStopped { address },
        })
    }

    /// Takes other addresses to join through.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.link.set_seeds(seeds);
    }

    /// Reports if that is due; `unix` is what this machine's clock shows.
    pub fn next_heartbeat(
        &mut self,
        now: Duration,
        unix_ms: u64,
        report: Report,
    ) -> Option<Envelope> {
        let (to, heartbeat) = self.link.next_heartbeat(now, unix_ms, report)?;
        Some(Envelope { to, frame: Frame::Heartbeat(Box::new(heartbeat)) })
    }

    /// Takes a frame; returns what is to be sent at once.
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
            Frame::Log { .. }
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
