//! All requests of one instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::hash;
use verbenaslip_base::name::{Instance, Upstream};

use crate::arrival::Relay;
use crate::caller::{Body, Ticket, Verdict};
use crate::copies::{Held, Reservation};
use crate::finish::Retention;
use crate::input::{Input, Member};
use crate::membership::{Seen, View};
use crate::message::Message;
use crate::output::Output;
use crate::owned::Entry;
use crate::run::Event;
use crate::setup::Setup;
use crate::timer::{Timer, Timers};

/// Owns every request of one instance, as owner or as second holder, and decides about them.
#[derive(Clone, Debug)]
pub struct Requests {
    pub(crate) setup: Setup,
    pub(crate) view: View,
    pub(crate) entries: BTreeMap<Request, Entry>,
    pub(crate) copies: BTreeMap<Request, Held>,
    pub(crate) reservations: BTreeMap<Request, Reservation>,
    pub(crate) tickets: BTreeMap<Ticket, Request>,
    pub(crate) relays: BTreeMap<Ticket, Relay>,
    pub(crate) leaving: BTreeMap<Upstream, Option<Duration>>,
    pub(crate) timers: Timers,
    pub(crate) retention: Retention,
    pub(crate) bytes: usize,
    pub(crate) opened: u64,
    pub(crate) stopping: Option<Duration>,
    pub(crate) drained: bool,
    pub(crate) awake: Duration,
}

/// Carries what one step needs everywhere.
pub(crate) struct Turn<'a> {
    /// The time of the step.
    pub(crate) now: Duration,
    /// What the step wants done.
    pub(crate) out: &'a mut Vec<Output>,
}

impl Turn<'_> {
    /// Says something to another instance.
    pub(crate) fn send(&mut self, to: &Instance, message: Message) {
        self.out.push(Output::Send { to: to.clone(), message });
    }

    /// Tells a caller what it gets.
    pub(crate) fn tell(&mut self, ticket: Ticket, verdict: Verdict) {
        self.out.push(Output::Verdict { ticket, verdict });
    }
}

/// Counts what an instance holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests owned and not finished.
    pub owned: usize,
    /// Copies held for other owners and not finished.
    pub copies: usize,
    /// Finished answers kept.
    pub finished: usize,
    /// Reserved keys.
    pub reservations: usize,
    /// Callers and subscribers.
    pub callers: usize,
    /// Bytes of bodies.
    pub bytes: usize,
}

impl Requests {
    /// Opens an instance that holds nothing and knows only itself.
    pub fn open(setup: Setup) -> Self {
        let mut view = View::default();
        let own = Seen::alive(setup.zone.clone(), setup.boot);
        view.insert(setup.instance.clone(), own);
        Self {
            setup,
            view,
            entries: BTreeMap::new(),
            copies: BTreeMap::new(),
            reservations: BTreeMap::new(),
            tickets: BTreeMap::new(),
            relays: BTreeMap::new(),
            leaving: BTreeMap::new(),
            timers: Timers::default(),
            retention: Retention::default(),
            bytes: 0,
            opened: 0,
            stopping: None,
            drained: false,
            awake: Duration::ZERO,
        }
    }

    /// Takes one input at a monotonic time and adds what is to be done to `out`.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        let turn = &mut Turn { now, out };
        self.notice_freeze(now);
        self.expire(turn);
        self.take_input(turn, input);
        self.sweep(turn);
        self.check_drained(turn);
    }

    /// Returns when `step` must be called at the latest.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.timers.next()
    }

    /// Counts what is held.
    pub fn counts(&self) -> Counts {
        let owned = self.entries.values().filter(|entry| !entry.finished()).count();
        let copies = self.copies.values().filter(|copy| !copy.finished()).count();
        Counts {
            owned,
            copies,
            finished: self.entries.len() + self.copies.len() - owned - copies,
            reservations: self.reservations.len(),
            callers: self.tickets.len() + self.relays.len(),
            bytes: self.bytes,
        }
    }

    /// Returns whether this instance owns a request, finished or not.
    pub fn owns(&self, request: Request) -> bool {
        self.entries.get(&request).is_some_and(|entry| entry.epoch > 0)
    }

    /// Notices by a timer that is long overdue that this instance was frozen until now.
    fn notice_freeze(&mut self, now: Duration) {
        let due = self.timers.next().unwrap_or(now);
        if now.saturating_sub(due) > self.setup.timing.fresh {
            self.awake = now;
        }
    }

    fn take_input(&mut self, turn: &mut Turn<'_>, input: Input) {
        match input {
            Input::Tick => {}
            Input::Joined(member) => self.joined(turn, member),
            Input::Suspected(instance) => self.suspected(turn, &instance),
            Input::Cleared(instance) => self.view.suspect(&instance, false),
            Input::Lost(instance) => self.lost(turn, &instance),
            Input::Left(instance) => self.left(turn, &instance),
            Input::Arrived(arrival) => self.arrive(turn, arrival),
            Input::Subscribed { ticket, request, after } => {
                self.subscribe(turn, ticket, request, after);
            }
            Input::Gone(ticket) => self.gone(turn, ticket),
            Input::RelayLost { ticket, after } => self.relay_lost(turn, ticket, after),
            Input::Admitted(request) => self.admitted(turn, request),
            Input::Declined { request, refusal } => self.declined(turn, request, refusal),
            Input::Claimed { request, claimant, ruling } => {
                self.claimed(turn, request, claimant, ruling);
            }
            Input::Placed { request, place } => self.placed(turn, request, place),
            Input::NoPlace { request, wait, refusal } => {
                self.no_place(turn, request, wait, refusal);
            }
            Input::Retry { request, granted } => self.budgeted(turn, request, granted),
            Input::Ran { attempt, event } => match event {
                Event::Sent => self.sent(turn, attempt),
                Event::Tokens { position } => self.progressed(turn, attempt, position),
                Event::Ended { position } => self.ended(turn, attempt, position),
                Event::Failed(failure) => self.failed(turn, attempt, &failure),
            },
            Input::Mirrored { request, position } => self.mirrored(turn, request, position),
            Input::MirrorEnded(request) => self.mirror_ended(turn, request),
            Input::Leaving { upstream, notice } => self.leaving(turn, &upstream, notice),
            Input::Lapsed(upstream) => self.lapsed(turn, &upstream),
            Input::Ready(upstream) => {
                self.leaving.remove(&upstream);
            }
            Input::Heard { from, message } => self.heard(turn, &from, message),
            Input::Stop { remaining } => self.stop(turn, remaining),
        }
    }

    fn heard(&mut self, turn: &mut Turn<'_>, from: &Instance, message: Message) {
        if *from == self.setup.instance {
            return;
        }
        match message {
            Message::Reserve(reserve) => self.reserve(turn, from, &reserve),
            Message::Reserved { request, found } => self.reserved(turn, from, request, found),
            Message::Put(copy) => self.keep(turn, from, *copy),
            Message::Note(note) => self.noted(turn, from, note),
            Message::Kept(kept) => self.kept(turn, from, kept),
            Message::Full { request, epoch } => self.full(turn, from, request, epoch),
            Message::Taken(taken) => self.taken(turn, from, &taken),
            Message::Yielded { request, epoch } => self.yielded(from, request, epoch),
            Message::HandOver(note) => self.handed(turn, from, note),
            Message::Drop { request, epoch, key } => {
                self.dropped(turn, from, request, epoch, key);
            }
        }
    }

    fn joined(&mut self, turn: &mut Turn<'_>, member: Member) {
        let Member { instance, zone, boot } = member;
        if instance == self.setup.instance {
            return;
        }
        let known = self.view.get(&instance).map_or(0, |seen| seen.boot);
        if known != 0 && boot != 0 && known != boot {
            self.left(turn, &instance);
        }
        let boot = if boot == 0 { known } else { boot };
        self.view.insert(instance.clone(), Seen::alive(zone, boot));
        self.returned(turn, &instance);
        self.rehome(turn);
    }

    fn expire(&mut self, turn: &mut Turn<'_>) {
        for timer in self.timers.due(turn.now) {
            match timer {
                Timer::Owned(request) => self.tick_entry(turn, request),
                Timer::Copied(request) => self.tick_copy(turn, request),
                Timer::Reserved(request) => {
                    self.reservations.remove(&request);
                }
                Timer::Parked(ticket) => self.seek_owner(turn, ticket),
                Timer::Stop => self.stop_due(turn),
            }
        }
    }

    /// Takes an entry out to work on it; [`Self::put`] gives it back.
    pub(crate) fn take(&mut self, request: Request) -> Option<Entry> {
        self.entries.remove(&request)
    }

    /// Gives back an entry and sets its timer.
    pub(crate) fn put(&mut self, entry: Entry) {
        let request = entry.request();
        self.timers.set(Timer::Owned(request), entry.next(&self.setup.timing));
        self.entries.insert(request, entry);
    }

    /// Sets the timer of a copy.
    pub(crate) fn arm_copy(&mut self, request: Request) {
        let at = self.copies.get(&request).and_then(|copy| copy.next());
        self.timers.set(Timer::Copied(request), at);
    }

    /// Draws a number that hardly ever comes twice, here or elsewhere.
    pub(crate) fn salt(&mut self) -> u64 {
        self.opened += 1;
        let (boot, opened) = (self.setup.boot.to_le_bytes(), self.opened.to_le_bytes());
        hash::narrow(&[self.setup.instance.as_str().as_bytes(), &boot, &opened])
    }

    /// Counts a body's bytes; returns false when there is no room for it.
    pub(crate) fn charge(&mut self, body: &Body) -> bool {
        let Some(sum) = self.bytes.checked_add(body.bytes.len()) else {
            return false;
        };
        if sum > self.setup.limit.bytes {
            return false;
        }
        self.bytes = sum;
        true
    }

    /// Frees a body's bytes.
    pub(crate) fn release(&mut self, body: Option<Arc<Body>>) {
        let Some(body) = body else {
            return;
        };
        self.bytes = self.bytes.saturating_sub(body.bytes.len());
    }
}
