//! An entry: an instance that forwards requests and holds no state of its own.

use std::net::SocketAddr;
use std::time::Duration;

use crate::account::{Accounts, Answered, Met};
use crate::belief::Beliefs;
use crate::frame::{Frame, Peer};
use crate::link::{Link, Report, Targets};
use crate::view::View;

/// Keeps an entry's view of the fleet.
#[derive(Debug)]
pub struct Entry {
    link: Link,
    accounts: Accounts,
}

/// Wants a frame sent.
#[derive(Debug)]
pub struct Letter {
    /// To whom.
    pub to: Targets,
    /// What it says.
    pub frame: Frame,
}

impl Entry {
    /// Starts without a view.
    pub fn open(own: Peer, seeds: Vec<SocketAddr>, now: Duration, unix: u64) -> Self {
        Self { link: Link::open(own, seeds, now, unix), accounts: Accounts::default() }
    }

    /// Returns what is known of the fleet.
    pub fn view(&self) -> &View {
        self.link.view()
    }

    /// Takes what has changed of the upstreams since it was last asked for, for the log.
    pub fn take_beliefs(&mut self) -> Beliefs {
        self.link.take_beliefs()
    }

    /// Returns when [`beat`](Self::beat) or [`account`](Self::account) is due.
    pub fn wake(&self) -> Duration {
        let account = self.accounts.wake().unwrap_or(Duration::MAX);
        self.link.wake().min(account)
    }

    /// Returns when [`beat`](Self::beat) is due.
    pub fn beat_at(&self) -> Duration {
        self.link.wake()
    }

    /// Takes under which requests upstreams ended, and answers to requests that are suspected.
    pub fn met(&mut self, now: Duration, crashes: Vec<Met>, answers: Vec<Answered>) {
        self.accounts.take(now, crashes, answers);
    }

    /// Tells the leader of that if it is due.
    pub fn account(&mut self, now: Duration) -> Option<Letter> {
        self.accounts.wake().filter(|due| now >= *due)?;
        let Some(leader) = self.link.leader(now) else {
            self.accounts.wait(now);
            return None;
        };
        let account = self.accounts.account(now, self.link.own().address)?;
        Some(Letter { to: vec![leader], frame: Frame::Account(Box::new(account)) })
    }

    /// Takes other addresses to join through.
    pub fn reseed(&mut self, seeds: Vec<SocketAddr>) {
        self.link.reseed(seeds);
    }

    /// Reports if that is due; `unix` is what this machine's clock shows.
    pub fn beat(&mut self, now: Duration, unix: u64, report: Report) -> Option<Letter> {
        let (to, beat) = self.link.beat(now, unix, report)?;
        Some(Letter { to, frame: Frame::Beat(Box::new(beat)) })
    }

    /// Takes a frame; returns what is to be sent at once.
    pub fn take(&mut self, now: Duration, frame: Frame) -> Option<Letter> {
        match frame {
            Frame::News(news) => {
                let from = news.via.unwrap_or(news.from);
                let seen = self.link.news(now, *news).then(|| self.link.seen());
                self.accounts.follow(now, self.link.view().stamp.term);
                Some(Letter { to: vec![from], frame: seen? })
            }
            Frame::Heard { term, number } => {
                self.accounts.confirm(term, number);
                None
            }
            Frame::Elsewhere { leader, cores } => {
                self.link.elsewhere(now, leader, &cores);
                None
            }
            Frame::Log { .. }
            | Frame::Beat(_)
            | Frame::Seen { .. }
            | Frame::Ask { .. }
            | Frame::Told { .. }
            | Frame::Relay { .. }
            | Frame::SeenBy(_)
            | Frame::Account(_) => None,
        }
    }
}
