//! State machine for all requests of one instance.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use verbenaslip_base::attempt::Request;
use verbenaslip_base::hash;
use verbenaslip_base::name::{Instance, Upstream};

use crate::arrival::RelayedCaller;
use crate::caller::{Body, Ticket, Verdict};
use crate::copies::{HeldCopy, Reservation};
use crate::finish::Retention;
use crate::input::{Input, Member};
use crate::membership::{MemberState, Membership};
use crate::message::Message;
use crate::output::Output;
use crate::owned::OwnedRequest;
use crate::run::Event;
use crate::setup::Setup;
use crate::timer::{Timer, Timers};

/// All requests that one instance holds, as owner or as second holder.
#[derive(Clone, Debug)]
pub struct Requests {
    /// Settings.
    pub(crate) setup: Setup,
    /// Known instances and their liveness.
    pub(crate) membership: Membership,
    /// Owned requests, finished ones included.
    pub(crate) entries: BTreeMap<Request, OwnedRequest>,
    /// Copies stored for other owners.
    pub(crate) copies: BTreeMap<Request, HeldCopy>,
    /// Keys reserved for other instances or this one.
    pub(crate) reservations: BTreeMap<Request, Reservation>,
    /// Request of each caller, subscriber or waiting caller.
    pub(crate) tickets: BTreeMap<Ticket, Request>,
    /// Callers whose answers other instances assemble.
    pub(crate) relayed_callers: BTreeMap<Ticket, RelayedCaller>,
    /// Upstreams that leave, with the end of their notice if one was given.
    pub(crate) leaving_upstreams: BTreeMap<Upstream, Option<Duration>>,
    /// Timers of all items.
    pub(crate) timers: Timers,
    /// Finished answers by expiry.
    pub(crate) retention: Retention,
    /// Bytes of all stored request bodies.
    pub(crate) body_bytes: usize,
    /// Number of salts issued since the start.
    pub(crate) salts_issued: u64,
    /// When this instance must have stopped, once it shuts down.
    pub(crate) stop_deadline: Option<Duration>,
    /// Whether the end of the shutdown was reported.
    pub(crate) drained: bool,
    /// When this process last resumed after a pause.
    pub(crate) resumed_at: Duration,
}

/// Context of one step.
pub(crate) struct StepContext<'a> {
    /// Monotonic time of the step.
    pub(crate) now: Duration,
    /// Actions that the step asks for.
    pub(crate) out: &'a mut Vec<Output>,
}

impl StepContext<'_> {
    /// Sends a message to another instance.
    pub(crate) fn send(&mut self, to: &Instance, message: Message) {
        self.out.push(Output::Send { to: to.clone(), message });
    }

    /// Tells a caller what it gets.
    pub(crate) fn send_verdict(&mut self, ticket: Ticket, verdict: Verdict) {
        self.out.push(Output::Verdict { ticket, verdict });
    }
}

/// Number of items that an instance holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Unfinished owned requests.
    pub owned: usize,
    /// Unfinished copies stored for other owners.
    pub copies: usize,
    /// Finished answers kept.
    pub finished: usize,
    /// Reserved keys.
    pub reservations: usize,
    /// Callers and subscribers.
    pub callers: usize,
    /// Bytes of request bodies.
    pub bytes: usize,
}

impl Requests {
    /// Creates an instance that holds nothing and knows only itself.
    pub fn open(setup: Setup) -> Self {
        let mut membership = Membership::default();
        let own = MemberState::alive(setup.zone.clone(), setup.boot);
        membership.insert(setup.instance.clone(), own);
        Self {
            setup,
            membership,
            entries: BTreeMap::new(),
            copies: BTreeMap::new(),
            reservations: BTreeMap::new(),
            tickets: BTreeMap::new(),
            relayed_callers: BTreeMap::new(),
            leaving_upstreams: BTreeMap::new(),
            timers: Timers::default(),
            retention: Retention::default(),
            body_bytes: 0,
            salts_issued: 0,
            stop_deadline: None,
            drained: false,
            resumed_at: Duration::ZERO,
        }
    }

    /// Handles one event at a monotonic time and appends the resulting actions to `out`.
    pub fn step(&mut self, now: Duration, input: Input, out: &mut Vec<Output>) {
        let ctx = &mut StepContext { now, out };
        self.detect_pause(now);
        self.run_due_timers(ctx);
        self.handle_input(ctx, input);
        self.enforce_retention_limits(ctx);
        self.check_drained(ctx);
    }

    /// Returns when `step` must be called at the latest.
    pub fn next_wakeup(&self) -> Option<Duration> {
        self.timers.next_due()
    }

    /// Returns how many items are held.
    pub fn counts(&self) -> Counts {
        let owned = self.entries.values().filter(|entry| !entry.is_finished()).count();
        let copies = self.copies.values().filter(|copy| !copy.is_finished()).count();
        Counts {
            owned,
            copies,
            finished: self.entries.len() + self.copies.len() - owned - copies,
            reservations: self.reservations.len(),
            callers: self.tickets.len() + self.relayed_callers.len(),
            bytes: self.body_bytes,
        }
    }

    /// Returns whether this instance owns a request, finished or not.
    pub fn owns(&self, request: Request) -> bool {
        self.entries.get(&request).is_some_and(|entry| entry.epoch > 0)
    }

    /// Detects, from a timer that is long overdue, that this process was paused until now.
    fn detect_pause(&mut self, now: Duration) {
        let due = self.timers.next_due().unwrap_or(now);
        if now.saturating_sub(due) > self.setup.timing.fresh {
            self.resumed_at = now;
        }
    }

    fn handle_input(&mut self, ctx: &mut StepContext<'_>, input: Input) {
        match input {
            Input::Tick => {}
            Input::Joined(member) => self.handle_joined(ctx, member),
            Input::Suspected(instance) => self.handle_suspected(ctx, &instance),
            Input::Cleared(instance) => self.membership.set_suspected(&instance, false),
            Input::Lost(instance) => self.handle_lost(ctx, &instance),
            Input::Left(instance) => self.handle_left(ctx, &instance),
            Input::Arrived(arrival) => self.handle_arrival(ctx, arrival),
            Input::Subscribed { ticket, request, after } => {
                self.handle_subscribed(ctx, ticket, request, after);
            }
            Input::Gone(ticket) => self.handle_gone(ctx, ticket),
            Input::RelayLost { ticket, after } => self.handle_relay_lost(ctx, ticket, after),
            Input::Admitted(request) => self.handle_admitted(ctx, request),
            Input::Declined { request, refusal } => self.handle_declined(ctx, request, refusal),
            Input::Claimed { request, claimant, ruling } => {
                self.handle_claim_result(ctx, request, claimant, ruling);
            }
            Input::Placed { request, place } => self.handle_placed(ctx, request, place),
            Input::NoPlace { request, wait, refusal } => {
                self.handle_no_place(ctx, request, wait, refusal);
            }
            Input::Retry { request, granted } => self.handle_retry_decision(ctx, request, granted),
            Input::Ran { attempt, event } => match event {
                Event::Sent => self.handle_sent(ctx, attempt),
                Event::Tokens { position } => self.handle_tokens(ctx, attempt, position),
                Event::Ended { position } => self.handle_ended(ctx, attempt, position),
                Event::Failed(failure) => self.handle_failed(ctx, attempt, &failure),
            },
            Input::Mirrored { request, position } => self.handle_mirrored(ctx, request, position),
            Input::MirrorEnded(request) => self.handle_mirror_ended(ctx, request),
            Input::Leaving { upstream, notice } => self.handle_leaving(ctx, &upstream, notice),
            Input::Lapsed(upstream) => self.handle_lapsed(ctx, &upstream),
            Input::Ready(upstream) => {
                self.leaving_upstreams.remove(&upstream);
            }
            Input::Heard { from, message } => self.handle_message(ctx, &from, message),
            Input::Stop { remaining } => self.handle_stop(ctx, remaining),
        }
    }

    fn handle_message(&mut self, ctx: &mut StepContext<'_>, from: &Instance, message: Message) {
        if *from == self.setup.instance {
            return;
        }
        match message {
            Message::Reserve(reserve) => self.handle_reserve(ctx, from, &reserve),
            Message::Reserved { request, found } => self.handle_reserved(ctx, from, request, found),
            Message::Put(copy) => self.handle_put(ctx, from, *copy),
            Message::Note(note) => self.handle_progress(ctx, from, note),
            Message::Kept(kept) => self.handle_ack(ctx, from, kept),
            Message::Full { request, epoch } => self.handle_full(ctx, from, request, epoch),
            Message::Taken(taken) => self.handle_takeover(ctx, from, &taken),
            Message::Yielded { request, epoch } => self.handle_yielded(from, request, epoch),
            Message::HandOver(note) => self.handle_hand_over(ctx, from, note),
            Message::Drop { request, epoch, key } => {
                self.handle_drop(ctx, from, request, epoch, key);
            }
        }
    }

    fn handle_joined(&mut self, ctx: &mut StepContext<'_>, member: Member) {
        let Member { instance, zone, boot } = member;
        if instance == self.setup.instance {
            return;
        }
        let known = self.membership.get(&instance).map_or(0, |member| member.boot);
        if known != 0 && boot != 0 && known != boot {
            self.handle_left(ctx, &instance);
        }
        let boot = if boot == 0 { known } else { boot };
        self.membership.insert(instance.clone(), MemberState::alive(zone, boot));
        self.handle_returned(ctx, &instance);
        self.update_homes(ctx);
    }

    fn run_due_timers(&mut self, ctx: &mut StepContext<'_>) {
        for timer in self.timers.take_due(ctx.now) {
            match timer {
                Timer::Owned(request) => self.tick_entry(ctx, request),
                Timer::Copied(request) => self.tick_copy(ctx, request),
                Timer::Reserved(request) => {
                    self.reservations.remove(&request);
                }
                Timer::Parked(ticket) => self.retry_relay(ctx, ticket),
                Timer::Stop => self.tick_stop(ctx),
            }
        }
    }

    /// Removes an entry in order to work on it; [`Self::put`] stores it again.
    pub(crate) fn take(&mut self, request: Request) -> Option<OwnedRequest> {
        self.entries.remove(&request)
    }

    /// Stores an entry and sets its timer.
    pub(crate) fn put(&mut self, entry: OwnedRequest) {
        let request = entry.request();
        self.timers.set(Timer::Owned(request), entry.next_wakeup(&self.setup.timing));
        self.entries.insert(request, entry);
    }

    /// Sets the timer of a copy.
    pub(crate) fn set_copy_timer(&mut self, request: Request) {
        let at = self.copies.get(&request).and_then(|copy| copy.next_wakeup());
        self.timers.set(Timer::Copied(request), at);
    }

    /// Returns a hash that is very unlikely to occur twice, on this instance or another.
    pub(crate) fn next_salt(&mut self) -> u64 {
        self.salts_issued += 1;
        let (boot, opened) = (self.setup.boot.to_le_bytes(), self.salts_issued.to_le_bytes());
        hash::narrow(&[self.setup.instance.as_str().as_bytes(), &boot, &opened])
    }

    /// Reserves memory for a body; returns false if the limit would be exceeded.
    pub(crate) fn reserve_bytes(&mut self, body: &Body) -> bool {
        let Some(sum) = self.body_bytes.checked_add(body.bytes.len()) else {
            return false;
        };
        if sum > self.setup.limit.bytes {
            return false;
        }
        self.body_bytes = sum;
        true
    }

    /// Releases the memory of a body.
    pub(crate) fn release_body(&mut self, body: Option<Arc<Body>>) {
        let Some(body) = body else {
            return;
        };
        self.body_bytes = self.body_bytes.saturating_sub(body.bytes.len());
    }
}
