//! Detects upstreams that crash while they run requests.
//!
//! A broken connection may mean that one answer was lost, or that the upstream crashed. Connecting
//! to the upstream again is the only quick way to tell; missing announcements would show a crash
//! seconds later. A request whose caller has left may have caused the crash as well.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;
use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::crash_report::ObservedCrash;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::registry::{Run, Status};

use crate::event_log::{self, Kind};
use crate::forward::context::Context;
use crate::forward::dial;
use crate::monotonic;

/// An upstream broke off the requests that it ran.
const BROKE_OFF: Kind = Kind { number: 936, name: "upstream_broke_off" };

/// Time for which broken requests are collected, since a crash breaks off all requests of an
/// upstream at once.
const BATCH_DELAY: Duration = Duration::from_millis(3);

/// Limit on the requests listed in one log line.
const MAX_LISTED: usize = 64;

/// How long before a crash a request that caused it may have ended. Callers leave after half of an
/// objective at the earliest; an upstream that runs on for longer has most likely dropped the
/// request.
const UNCONFIRMED_MEMORY: Duration = Duration::from_secs(1);

/// How long an upstream survives the beginning of an answer to a prompt with a part that crashes it,
/// at most.
const SURVIVAL_TIME: Duration = Duration::from_secs(1);

/// Time after the end of an answer after which an upstream that has crashed accepts no connections.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(50);

/// Describes a possible sign of a crash.
#[derive(Debug)]
pub(crate) enum Signal {
    /// An upstream broke off a request.
    Interrupted(InterruptedRequest),
    /// A request ended, and whether the upstream survives it is not known, since its caller left.
    Unconfirmed(InterruptedRequest),
    /// A whole answer with this status ended with its connection; it may be what is left after the
    /// upstream crashed.
    Ended(InterruptedRequest, u16),
    /// An upstream could not be reached.
    Unreachable(Run),
}

/// Holds a request that an upstream broke off, or that ended without proof that it survives.
#[derive(Clone, Debug)]
pub(crate) struct InterruptedRequest {
    /// Identity of the request.
    pub(crate) id: Arc<str>,
    /// Fingerprint of the content, if this entry has a key to compute one.
    pub(crate) fingerprint: Option<Fingerprint>,
    /// Fingerprints of the prompt parts that other requests may share.
    pub(crate) part_fingerprints: Vec<Fingerprint>,
    /// Run of the upstream.
    pub(crate) run: Run,
    /// Address of the upstream.
    pub(crate) address: SocketAddr,
    /// When the request was sent to the upstream.
    pub(crate) sent_at: Duration,
    /// When the request ended.
    pub(crate) ended_at: Duration,
    /// How long the upstream had been answering, if it had begun.
    pub(crate) answered_for: Option<Duration>,
}

impl InterruptedRequest {
    fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.fingerprint.into_iter().chain(self.part_fingerprints.iter().copied())
    }
}

/// Checks upstreams that may have crashed, for as long as the instance runs.
pub(crate) async fn watch_for_crashes(
    mut signals: UnboundedReceiver<Signal>,
    context: Rc<Context>,
) {
    let mut unconfirmed = VecDeque::new();
    while let Some(first) = signals.recv().await {
        tokio::time::sleep(BATCH_DELAY).await;
        let others = std::iter::from_fn(|| signals.try_recv().ok());
        let signals: Vec<Signal> = std::iter::once(first).chain(others).collect();
        for signal in &signals {
            let Signal::Ended(ended, status) = signal else { continue };
            if context.wants_answer(ended.fingerprints()) {
                let (ended, context) = (ended.clone(), context.clone());
                tokio::task::spawn_local(confirm_answer(ended, *status, context));
            }
        }
        for (run, requests) in group_by_run(signals, &mut unconfirmed) {
            tokio::task::spawn_local(check_run(run, requests, context.clone()));
        }
    }
}

/// Groups the requests that may have crashed an upstream by its run.
///
/// An unconfirmed request is remembered for a while: the upstream may still crash because of it, or
/// has already, and no connection is left that would break off.
fn group_by_run(
    signals: Vec<Signal>,
    unconfirmed: &mut VecDeque<InterruptedRequest>,
) -> BTreeMap<Run, Vec<InterruptedRequest>> {
    let mut runs: BTreeMap<Run, Vec<InterruptedRequest>> = BTreeMap::new();
    let mut suspects = BTreeSet::new();
    for signal in signals {
        match signal {
            Signal::Interrupted(it) => {
                suspects.insert(it.run.clone());
                runs.entry(it.run.clone()).or_default().push(it);
            }
            Signal::Unconfirmed(it) | Signal::Ended(it, _) => unconfirmed.push_back(it),
            Signal::Unreachable(run) => {
                suspects.insert(run);
            }
        }
    }
    let now = monotonic::now();
    unconfirmed.retain(|it| now.saturating_sub(it.ended_at) <= UNCONFIRMED_MEMORY);
    let (matching, unmatched) = unconfirmed.drain(..).partition(|it| suspects.contains(&it.run));
    *unconfirmed = unmatched;
    for it in Vec::from(matching) {
        runs.entry(it.run.clone()).or_default().push(it);
    }
    runs
}

/// Records an answer that ended with its connection, if its upstream lives on.
async fn confirm_answer(ended: InterruptedRequest, status: u16, context: Rc<Context>) {
    tokio::time::sleep(CONFIRMATION_DELAY).await;
    let is_listed = || {
        let view = context.shared.view();
        let record = view.record(&ended.run);
        record.is_some_and(|it| !matches!(it.status, Status::Gone | Status::Lost))
    };
    // Another run may have the address once this one has left the list.
    if dial::is_reachable(&context, &ended.run, ended.address).await && is_listed() {
        context.record_answer(ended.ended_at, ended.fingerprints(), status);
    }
}

/// Checks whether an upstream still accepts connections, and reports a crash if it does not.
async fn check_run(run: Run, requests: Vec<InterruptedRequest>, context: Rc<Context>) {
    let Some(address) = requests.first().map(|it| it.address) else { return };
    let ended = !dial::is_reachable(&context, &run, address).await;
    if ended {
        metrics::counter!("verbenaslip_upstreams_ended_total").increment(1);
    }
    log_interruption(&run.upstream, run.incarnation, ended, &requests);
    if ended {
        context.shared.add_crashes(observed_crashes(&run, &requests, &context));
    }
}

/// Returns the requests and prompt parts that may have crashed an upstream; a part that several
/// requests share only once.
fn observed_crashes(
    run: &Run,
    requests: &[InterruptedRequest],
    context: &Context,
) -> Vec<ObservedCrash> {
    let mut crashes: Vec<ObservedCrash> = Vec::new();
    for request in requests {
        let InterruptedRequest { fingerprint, sent_at: sent, ended_at: ended, .. } = *request;
        let is_past = request.answered_for.is_some_and(|it| it >= SURVIVAL_TIME);
        let parts = request.part_fingerprints.iter().copied();
        let parts = parts.filter(|part| !is_past && context.is_suspect(*part, ended));
        for fingerprint in fingerprint.into_iter().chain(parts) {
            match crashes.iter_mut().find(|it| it.fingerprint == fingerprint) {
                Some(crash) => crash.sent = crash.sent.max(sent),
                None => crashes.push(ObservedCrash { fingerprint, run: run.clone(), sent, ended }),
            }
        }
    }
    crashes
}

fn log_interruption(
    upstream: &Upstream,
    incarnation: u64,
    ended: bool,
    requests: &[InterruptedRequest],
) {
    let listed = &requests[..requests.len().min(MAX_LISTED)];
    let ids: Vec<&str> = listed.iter().map(|it| &*it.id).collect();
    let fingerprints: Vec<String> =
        listed.iter().filter_map(|it| it.fingerprint).map(|it| it.to_string()).collect();
    let parts: BTreeSet<Fingerprint> =
        listed.iter().flat_map(|it| &it.part_fingerprints).copied().collect();
    let parts: Vec<String> = parts.iter().take(MAX_LISTED).map(ToString::to_string).collect();
    event_log::emit(
        BROKE_OFF,
        [
            ("upstream", json!(upstream.as_str())),
            ("incarnation", json!(incarnation)),
            ("ended", json!(ended)),
            ("count", json!(requests.len())),
            ("ids", json!(ids)),
            ("contents", json!(fingerprints)),
            ("parts", json!(parts)),
        ],
    );
}
