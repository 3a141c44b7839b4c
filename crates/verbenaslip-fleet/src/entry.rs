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
    accounts: CrashReporter,
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
    pub fn new(own: Peer, seeds: Vec<SocketAddr>, now: Duration, unix: u64) -> Self {
        Self { link: Link::new(own, seeds, now, unix), accounts: CrashReporter::default() }
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
        let account = self.accounts.next_due().unwrap_or(Duration::MAX);
        self.link.next_wakeup().min(account)
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
        self.accounts.record(now, crashes, answers);
    }

    /// Tells the leader of that if it is due.
    pub fn next_crash_report(&mut self, now: Duration) -> Option<Envelope> {
        self.accounts.next_due().filter(|due| now >= *due)?;
        let Some(leader) = self.link.leader(now) else {
            self.accounts.postpone(now);
            return None;
        };
        let account = self.accounts.next_report(now, self.link.own().address)?;
        Some(Envelope { to: vec![leader], frame: Frame::CrashReport(Box::new(account)) })
    }

    /// Asks for units of teams' limits.
    pub fn request_loans(&self, now: Duration, loans: Vec<LoanRequest>) -> Option<Envelope> {
        let target = self.link.target(now).filter(|_| !loans.is_empty())?;
        let from = self.link.own().address;
        Some(Envelope { to: vec![target], frame: Frame::RequestLoans { from, requests: loans } })
    }

    /// Says that this entry ends.
    pub fn stop_notice(&self, now: Duration) -> Option<Envelope> {
        let address = self.link.own().address;
        Some(Envelope { to: vec![self.link.target(now)?], frame: Frame::EntryStopped { address } })
    }

    /// Takes other addresses to join through.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.link.set_seeds(seeds);
    }

    /// Reports if that is due; `unix` is what this machine's clock shows.
    pub fn next_heartbeat(&mut self, now: Duration, unix: u64, report: Report) -> Option<Envelope> {
        let (to, heartbeat) = self.link.heartbeat(now, unix, report)?;
        Some(Envelope { to, frame: Frame::Heartbeat(Box::new(heartbeat)) })
    }

    /// Takes a frame; returns what is to be sent at once.
    pub fn handle_frame(&mut self, now: Duration, frame: Frame) -> Option<Envelope> {
        match frame {
            Frame::Update(update) => {
                let from = update.from;
                let seen =
                    self.link.handle_update(now, *update).then(|| self.link.acknowledgement());
                self.accounts.set_term(now, self.link.view().version.term);
                Some(Envelope { to: vec![from], frame: seen? })
            }
            Frame::CrashReportReceived { term, number } => {
                self.accounts.confirm(term, number);
                None
            }
            Frame::Redirect { from, leader, cores } => {
                self.link.handle_redirect(now, from, leader, &cores);
                None
            }
            Frame::ReportTo { core } => {
                self.link.report_to(now, core);
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
