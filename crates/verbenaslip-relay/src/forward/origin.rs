//! Finds the software version at which a stream began, and records those that begin here.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use verbenaslip_fleet::origin::{Build, KEEPER_COUNT, MAX_LIFETIME, Origin, Stream};

use crate::forward::admission::{AdmittedRequest, Rejection};
use crate::forward::answer::Refusal;
use crate::forward::context::Context;
use crate::forward::lifecycle::Attempts;
use crate::forward::request_log::{OriginUse, Trace};
use crate::monotonic;
use crate::policy::placement::Choice;
use crate::shared::CoreFinding;

/// Longest time that cores get to answer: several round trips to a core.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(150);

/// Longest time for which an event is held back until its stream is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(10);

/// Time after which a core that is reached at all knows an origin that was sent to it, even if the
/// connection had to be opened first.
const RECORD_DELAY: Duration = Duration::from_millis(60);

/// Time for which another entry may not have heard of a version: the longest silence of the leader
/// that it tolerates, and the time until the next update.
const MAX_NEWS_DELAY: Duration = Duration::from_secs(2);

/// Time by which an origin outlasts the patience of its caller, who may take the stream up just
/// before that ends.
const LIFETIME_MARGIN: Duration = Duration::from_secs(1);

/// Retry time for a caller whose stream began at an unknown version; the entry that began it may
/// be about to tell a core.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_millis(300);

/// Restricts a request that takes up a stream to the service and version at which it began.
///
/// A stream that begins while no core can be told of it is restricted to the version at which other
/// entries look for such a stream.
///
/// # Errors
///
/// Returns the refusal if the version is not known: any other would be as likely to be wrong.
pub(super) async fn restrict(
    context: &Context,
    request: &mut AdmittedRequest<'_>,
    attempts: &mut Attempts,
    trace: &mut Trace,
) -> Result<(), Rejection> {
    if !request.is_resumable() {
        return Ok(());
    }
    let has_events = request.info.last_event_id.is_some_and(|id| id > 0);
    if !has_events && request.info.resumes.is_none() {
        attempts.version = context.unrecorded_version(&request.service, max_age(request));
        return Ok(());
    }
    let found = match find(context, request).await {
        Ok(found) => found,
        Err(unknown) => {
            trace.origin = Some(OriginUse { source: unknown.name(), age: None });
            return Err((Refusal::UnknownVersion, Some(RETRY_AFTER_UNKNOWN)));
        }
    };
    if found.service != request.service {
        request.set_service(found.service, &context.shared.view());
    }
    trace.version = Some(found.version.clone());
    trace.origin = Some(found.origin);
    attempts.version = Some(found.version);
    Ok(())
}

/// Records the version to which a request is sent whose answer may be taken up, unless a caller
/// that does so finds it without a record.
pub(super) fn record(
    context: &Context,
    request: &AdmittedRequest<'_>,
    attempts: &mut Attempts,
    choice: &Choice,
) {
    let is_recorded = attempts.version.is_some() && attempts.sends > 0;
    let now = monotonic::now();
    if !request.is_resumable() || is_recorded || settled(context, request).is_some() {
        return;
    }
    let lifetime = max_age(request).saturating_sub(request.received_at.elapsed());
    let origin = Origin {
        stream: Stream::of(&request.info.id),
        build: Build::of(&request.service, &choice.version),
        lifetime_ms: u32::try_from(lifetime.as_millis()).unwrap_or(u32::MAX),
    };
    context.origins.borrow_mut().record(now, &origin);
    if context.shared.view().cores.is_empty() {
        return;
    }
    attempts.origin_number = Some(context.shared.add_origin(origin));
}

/// Waits until cores have been told where the stream begins, before its caller gets an event: the
/// caller may take it up as soon as it has one.
pub(super) async fn wait_until_recorded(context: &Context, attempts: &mut Attempts) {
    if let Some(number) = attempts.origin_number.take() {
        let sent = context.shared.wait_until_origin_sent(number);
        // The caller does not wait for a control thread that is late.
        let _ = tokio::time::timeout(RECORD_TIMEOUT, sent).await;
    }
}

/// Returns the time after which a caller no longer takes up a stream that it began now.
fn max_age(request: &AdmittedRequest<'_>) -> Duration {
    let caller_timeout = request.info.caller_timeout.unwrap_or_default();
    caller_timeout.max(request.route.timeout).min(MAX_LIFETIME) + LIFETIME_MARGIN
}

/// Describes the version at which a stream began.
struct Found {
    service: Arc<str>,
    version: Arc<str>,
    origin: OriginUse,
}

/// Says why the version at which a stream began is not known.
#[derive(Clone, Copy, Debug)]
enum UnknownReason {
    /// The stream was recorded at a version that has left, or at a service that its route lacks.
    Left,
    /// Several versions have served, and no record tells which one began the stream.
    NotRecorded,
    /// Several versions have served, and a core that may have been told of the stream is silent or
    /// has started meanwhile.
    Uncertain,
}

impl UnknownReason {
    /// Returns the name of the reason, for logs.
    fn name(self) -> &'static str {
        match self {
            Self::Left => "left",
            Self::NotRecorded => "unknown",
            Self::Uncertain => "uncertain",
        }
    }
}

async fn find(context: &Context, request: &AdmittedRequest<'_>) -> Result<Found, UnknownReason> {
    let now = monotonic::now();
    let resumes = request.info.resumes.as_deref();
    let own = resumes.map(|id| context.origins.borrow().find(now, Stream::of(id)));
    if let Some(origin) = own.and_then(|own| own.origin) {
        return named(context, request, "entry", origin).ok_or(UnknownReason::Left);
    }
    let max_age = max_age(request);
    // Without a first request, no core can find the origin, but each answer states how far back the
    // core's records are complete.
    let stream = Stream::of(resumes.unwrap_or(&request.info.id));
    // A settled service has no records, unless another entry has heard of a version first.
    let is_settled = settled(context, request).is_some();
    let asked_at = Instant::now();
    let mut answer = ask_cores(context, stream, max_age, is_settled).await;
    if answer == Answer::NotTold && resumes.is_some() && !is_settled {
        tokio::time::sleep_until(asked_at + RECORD_DELAY).await;
        answer = ask_cores(context, stream, max_age, false).await;
    }
    if let Answer::Told(build, age_ms) = answer {
        return named(context, request, "core", (build, age_ms)).ok_or(UnknownReason::Left);
    }
    let unknown = match answer {
        Answer::NotTold => UnknownReason::NotRecorded,
        _ => UnknownReason::Uncertain,
    };
    if request.route.targets.len() != 1 {
        return Err(unknown);
    }
    let (service, now, builds) =
        (request.service.clone(), monotonic::now(), context.builds.borrow());
    let max_age = max_age + MAX_NEWS_DELAY;
    let is_known = answer == Answer::NotTold || builds.is_current(now);
    // Where no other version has served, it does not matter what cores have forgotten.
    // A caller who has waited long says only what is left of its patience, not the age of its stream.
    let longest = MAX_LIFETIME + LIFETIME_MARGIN + MAX_NEWS_DELAY;
    if let Some(version) = builds.only_version(now, &service, longest).filter(|_| is_known) {
        let origin = OriginUse { source: "only", age: None };
        return Ok(Found { service, version, origin });
    }
    let is_unrecorded = answer == Answer::NotTold && resumes.is_some();
    let settled = builds.unrecorded(now, &service, max_age).filter(|_| is_unrecorded);
    let settled = settled.ok_or(unknown)?;
    let origin = OriginUse { source: "history", age: Some(settled.age) };
    Ok(Found { service, version: settled.version, origin })
}

/// Says what cores know of the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    /// A core was told of the origin, and how many milliseconds ago.
    Told(Build, u32),
    /// No core was told of the stream.
    NotTold,
    /// A core may have been told of the stream that is silent, or has forgotten it.
    Uncertain,
}

/// Asks all cores for the origin of a stream that is at most `max_age` old; `takes_few` says whether
/// to wait only for so many that one of those is among them that would have been told.
///
/// Each origin was told to several cores, so one fewer may be silent, or have started meanwhile. A
/// core that was told of the origin decides at once; a copy of it counts only if no core can have
/// been told of a later one.
async fn ask_cores(
    context: &Context,
    stream: Stream,
    max_age: Duration,
    takes_few: bool,
) -> Answer {
    let core_count = context.shared.view().cores.len();
    let wanted_count =
        if takes_few { (core_count + 1).saturating_sub(KEEPER_COUNT) } else { core_count };
    let mut findings = context.shared.find_origin(stream);
    let deadline = Instant::now() + LOOKUP_TIMEOUT;
    let (mut answered, mut complete_times) = (BTreeSet::new(), Vec::new());
    let mut copied: Option<(Build, u32)> = None;
    let is_certain = |complete_times: &[u32], age: Duration| {
        let is_complete = |it: &&u32| Duration::from_millis((**it).into()) >= age;
        let complete_count = complete_times.iter().filter(is_complete).count();
        complete_count > 0 && complete_count + KEEPER_COUNT > core_count
    };
    // Another core may have been told of a later version than the one that was copied.
    let is_newest = |complete_times: &[u32], (_, age_ms): &(Build, u32)| {
        is_certain(complete_times, Duration::from_millis((*age_ms).into()))
    };
    while answered.len() < wanted_count {
        let finding = tokio::time::timeout_at(deadline, findings.recv()).await;
        let Ok(Some(CoreFinding { core, finding, is_copy })) = finding else { break };
        match finding.origin {
            Some((build, age_ms)) if !is_copy => return Answer::Told(build, age_ms),
            Some(origin) if copied.is_none_or(|it| origin.1 < it.1) => copied = Some(origin),
            _ => {}
        }
        if answered.insert(core) {
            complete_times.push(finding.complete_ms);
        }
        if copied.is_some_and(|it| is_newest(&complete_times, &it)) {
            break;
        }
    }
    match copied {
        Some((build, age_ms)) if is_newest(&complete_times, &(build, age_ms)) => {
            Answer::Told(build, age_ms)
        }
        None if is_certain(&complete_times, max_age) => Answer::NotTold,
        _ => Answer::Uncertain,
    }
}

/// Returns the service and version that a recorded origin names, among those of the route.
fn named(
    context: &Context,
    request: &AdmittedRequest<'_>,
    source: &'static str,
    (build, age_ms): (Build, u32),
) -> Option<Found> {
    let builds = context.builds.borrow();
    let origin = OriginUse { source, age: Some(Duration::from_millis(age_ms.into())) };
    request.route.targets.iter().find_map(|target| {
        let version = builds.version(&target.service, build)?;
        Some(Found { service: target.service.clone(), version, origin })
    })
}

/// Returns the version at which all streams of the route are, if there is only one.
fn settled(context: &Context, request: &AdmittedRequest<'_>) -> Option<Arc<str>> {
    let is_only_service = request.route.targets.len() == 1;
    is_only_service.then(|| context.settled_version(&request.service)).flatten()
}
