//! What all requests of an instance share.

use std::cell::{Cell, RefCell};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;
use verbenaslip_base::hash;
use verbenaslip_base::name::AvailabilityZone;
use verbenaslip_fleet::crash_report::ObservedAnswer;
use verbenaslip_fleet::limit::Observation;
use verbenaslip_fleet::registry::Run;
use verbenaslip_fleet::view::View;

use crate::dialect::{Dialect, ResponseInfo};
use crate::forward::admission::Job;
use crate::forward::crash::{Broken, Sign};
use crate::forward::pool::Pool;
use crate::forward::upstream_log;
use crate::monotonic;
use crate::policy::allowance::Allowance;
use crate::policy::placement::{Choice, Ending, Placement};
use crate::policy::quarantine::Record;
use crate::policy::restriction::Change;
use crate::policy::retry::{Bounds, Budget};
use crate::policy::returning::Waited;
use crate::policy::versions::Tracks;
use crate::shared::SharedState;

/// Holds what all requests share; only the traffic thread uses it.
pub struct Context {
    /// What is shared with the control thread.
    pub board: Arc<SharedState>,
    /// The deployment's header names.
    pub dialect: Arc<dyn Dialect>,
    /// The length of a window of usage.
    pub window: Duration,
    /// When this instance started.
    pub(crate) started: Instant,
    pub(crate) placement: RefCell<Placement>,
    pub(crate) allowance: RefCell<Allowance>,
    pub(crate) budget: RefCell<Budget>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) waited: RefCell<Waited>,
    pub(crate) record: RefCell<Record>,
    pub(crate) draw: Cell<u64>,
    signs: UnboundedSender<Sign>,
}

impl Context {
    /// Starts without requests.
    pub(crate) fn open(
        board: Arc<SharedState>,
        dialect: Arc<dyn Dialect>,
        zone: AvailabilityZone,
        bounds: Bounds,
        window: Duration,
        signs: UnboundedSender<Sign>,
    ) -> Self {
        Self {
            board,
            dialect,
            window,
            started: Instant::now(),
            placement: RefCell::new(Placement::open(zone)),
            allowance: RefCell::new(Allowance::open(monotonic::now())),
            budget: RefCell::new(Budget::open(bounds)),
            pool: RefCell::new(Pool::default()),
            waited: RefCell::new(Waited::default()),
            record: RefCell::new(Record::default()),
            draw: Cell::new(monotonic::unix_ms()),
            signs,
        }
    }

    /// Returns the newest view, after the parts that depend on it have taken it over.
    pub(crate) fn view(&self) -> Arc<View> {
        let view = self.board.view();
        let gone = self.placement.borrow_mut().update(&view);
        if !gone.is_empty() {
            // Another run may use the address by now; its connections are no longer of use.
            self.pool.borrow_mut().forget(&gone);
        }
        let limits = self.placement.borrow_mut().update_limits(monotonic::now(), &view);
        for Observation { run, limit } in limits {
            upstream_log::say_limit(&run, limit, None);
            self.board.limited(&run, limit);
        }
        self.board.versions().update(&view);
        let answered = self.record.borrow_mut().update(&view.blocklist);
        answered.into_iter().for_each(|it| self.board.answered(it));
        view
    }

    /// Chooses the versions that may take a request.
    pub(crate) fn tracks(&self, job: &Job<'_>, again: bool) -> Tracks {
        let step = u32::try_from(self.random() >> 32).unwrap_or(u32::MAX);
        let draw = f64::from(step) / f64::from(u32::MAX);
        let versions = self.board.versions();
        versions.tracks(monotonic::now(), &job.service, &job.route.name, again, draw)
    }

    /// Counts a request that is sent to an upstream.
    pub(crate) fn sent(&self, job: &Job<'_>, choice: &mut Choice) {
        let (now, route) = (monotonic::now(), &job.route.name);
        let mut versions = self.board.versions();
        choice.ticket = versions.sent(now, &job.service, route, choice.cohort, choice.mark);
    }

    /// Takes the time of the first event of a request.
    pub(crate) fn first(&self, choice: &Choice, took: Duration) {
        self.placement.borrow_mut().first(monotonic::now(), choice, took);
        if let Some(ticket) = choice.ticket {
            self.board.versions().first(choice.service(), ticket, took);
        }
    }

    /// Takes what an upstream asks for in the head of its answer to a request that was sent at a time.
    pub(crate) fn heard(
        &self,
        job: &Job<'_>,
        choice: &Choice,
        sent: Instant,
        reply: &ResponseInfo,
    ) {
        if reply.other_run {
            return;
        }
        let now = monotonic::now();
        let sent = now.saturating_sub(sent.elapsed());
        let changes = self.placement.borrow_mut().answered(now, choice, sent, reply);
        for change in changes {
            match change {
                Change::Limit(limit) => {
                    upstream_log::say_limit(&choice.run, limit, Some(&job.call.id));
                    self.board.limited(&choice.run, limit);
                }
                Change::Leaving => {
                    upstream_log::say_leaving(&choice.run, &job.call.id);
                    self.board.leaving(&choice.run);
                }
                Change::Rest(rest) => upstream_log::say_rest(&choice.run, rest, &job.call.id),
            }
        }
    }

    /// Counts a request's end at an upstream.
    pub(crate) fn ended(&self, choice: &Choice, ending: Ending, began: Option<Duration>) {
        let now = monotonic::now();
        self.placement.borrow_mut().end(now, choice, ending, began);
        if let Some(ticket) = choice.ticket {
            self.board.versions().end(now, choice.service(), ticket, ending);
        }
    }

    /// Has it looked at whether an upstream that broke a request off has ended.
    pub(crate) fn broke_off(&self, job: &Job<'_>, choice: &Choice, sent: Instant) {
        self.tell(Sign::BrokeOff(broken(job, choice, sent)));
    }

    /// Notes that a request's caller left while an upstream was at work on it.
    pub(crate) fn left(&self, job: &Job<'_>, choice: &Choice, sent: Instant) {
        self.tell(Sign::Left(broken(job, choice, sent)));
    }

    /// Notes that an upstream could not be reached.
    pub(crate) fn unreached(&self, choice: &Choice) {
        self.tell(Sign::Unreached(choice.run.clone()));
    }

    fn tell(&self, sign: Sign) {
        // Nobody looks any more once the instance ends.
        let _ = self.signs.send(sign);
    }

    /// Notes that a request was answered, and tells the leader if it is suspected.
    pub(crate) fn answered(&self, job: &Job<'_>) {
        let Some(fingerprint) = job.fingerprint else { return };
        let at = monotonic::now();
        if self.record.borrow_mut().answered(at, fingerprint, &self.board.view().blocklist) {
            self.board.answered(ObservedAnswer { fingerprint, at });
        }
    }

    /// Tells for how long a request is held back, if it is.
    pub(crate) fn held(&self, job: &Job<'_>) -> Option<Duration> {
        let view = self.board.view();
        self.record.borrow_mut().held(monotonic::now(), job.fingerprint?, &view)
    }

    /// Pays for one more arrival of a request at its service, if the budget allows it.
    pub(crate) fn spend(&self, job: &Job<'_>) -> bool {
        self.budget.borrow_mut().spend(&job.service, job.entries)
    }

    /// Tells whether a silent upstream may be left for another one, and pays for that.
    ///
    /// Left while nothing else can go on, its caller's answer would end in the middle though the
    /// upstream was only slow: an engine that is out of memory is silent for seconds.
    pub(crate) fn may_leave(&self, job: &Job<'_>, tried: &[Run], paid: &mut bool) -> bool {
        // The other one may have left since this request came.
        self.view();
        let other = self.placement.borrow().has_other(monotonic::now(), &job.service, tried);
        *paid = *paid || (other && self.spend(job));
        *paid && other
    }

    /// Draws a number that differs each time (the sequence of SplitMix64).
    pub(crate) fn random(&self) -> u64 {
        let next = self.draw.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.draw.set(next);
        hash::mix(next)
    }
}

/// Says which request is at its end at an upstream now.
fn broken(job: &Job<'_>, choice: &Choice, sent: Instant) -> Broken {
    let (id, fingerprint) = (job.call.id.clone(), job.fingerprint);
    let (run, address) = (choice.run.clone(), choice.address);
    let ended = monotonic::now();
    Broken { id, fingerprint, run, address, sent: ended.saturating_sub(sent.elapsed()), ended }
}
