//! Decisions made once per request: its team, its route, and its team's quota.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::index::Index;
use verbenaslip_fleet::registry::Run;
use verbenaslip_fleet::route_table::{RequestKind, Route, TeamConfig};
use verbenaslip_fleet::view::View;

use crate::dialect::RequestInfo;
use crate::forward::answer::Refusal;
use crate::forward::context::Context;
use crate::http::{Message, RequestHead};
use crate::monotonic;
use crate::policy::allowance::{self, Verdict as Allowed};
use crate::policy::placement::Query;
use crate::policy::versions::Tracks;

/// How long before its deadline a request is answered, so that the answer arrives while the caller
/// still waits.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// Retry time for a caller that was refused because this entry has no route table. An entry has
/// none only just after its start. After a power loss of the whole fleet the cores first elect a
/// leader, which takes a second; a caller that retried sooner would be refused again.
const RETRY_AFTER_START: Duration = Duration::from_millis(1_200);

/// Retry time, at another instance, for a caller that was refused because this instance stops.
pub(super) const RETRY_AFTER_STOP: Duration = Duration::from_millis(50);

/// Limit on the prompt parts by which a request is recognized.
const MAX_PARTS: usize = 64;

/// Time limit for the leader's grant: many times the round trip, and short compared with the time
/// in which the loss of a leader is noticed.
const LOAN_TIMEOUT: Duration = Duration::from_millis(250);

/// Holds why a request is refused and when its caller may retry.
pub type Rejection = (Refusal, Option<Duration>);

/// Holds what is decided once per request.
pub struct AdmittedRequest<'a> {
    /// Head of the request.
    pub head: &'a RequestHead,
    /// Body of the request.
    pub body: &'a Bytes,
    /// What the header fields say beyond HTTP.
    pub info: &'a RequestInfo,
    /// Fingerprint of the content; `None` while this entry has no key to compute it.
    pub fingerprint: Option<Fingerprint>,
    /// Fingerprints of the prompt parts that other requests may share.
    pub part_fingerprints: Vec<Fingerprint>,
    /// Route of the request.
    pub route: &'a Route,
    /// Priority of the request; zero is the most urgent.
    pub rank: u8,
    /// Team of the caller.
    pub team: Option<&'a TeamConfig>,
    /// Service that the request goes to.
    pub service: Arc<str>,
    /// Connections that one upstream of the service accepts from all entries together.
    pub upstream_connections: u32,
    /// Number of entries.
    pub entries: u32,
    /// When the request was complete.
    pub received_at: Instant,
    /// Deadline of the answer.
    pub deadline: Instant,
    /// Whether the caller has retried, so that any answer comes after its objective.
    pub returning: bool,
    /// Whether the caller's connection ends with the answer.
    pub closes_connection: bool,
}

impl AdmittedRequest<'_> {
    /// Returns whether another upstream may continue the answer.
    pub fn is_resumable(&self) -> bool {
        self.route.kind == RequestKind::Stream { resumable: true }
    }

    /// Returns the fingerprints by which the request may be quarantined.
    pub(super) fn fingerprints(&self) -> impl Iterator<Item = Fingerprint> {
        self.fingerprint.into_iter().chain(self.part_fingerprints.iter().copied())
    }

    /// Describes the request for its placement, as one that has not run and has no attempt to
    /// spare; `tried_runs` are excluded, and `remaining` is the time that its caller still waits.
    pub(super) fn query<'b>(&'b self, tried_runs: &'b [Run], remaining: Duration) -> Query<'b> {
        Query {
            service: &self.service,
            rank: self.rank,
            parts: &self.info.prompt_parts,
            prompt_tokens: self.info.token_counts.map_or(0, |tokens| tokens.prompt),
            tried_runs,
            objective: self.route.objective,
            remaining,
            has_spare_attempt: false,
            returning: self.returning,
            may_have_run: false,
            tracks: Tracks::default(),
            version: None,
        }
    }

    /// Sends the request to another service of its route.
    pub(super) fn set_service(&mut self, service: Arc<str>, view: &View) {
        let table = view.routes.as_ref().map(|routes| routes.route_table());
        self.upstream_connections = table
            .and_then(|table| table.service(&service))
            .map_or(u32::MAX, |it| it.max_connections);
        self.part_fingerprints = part_fingerprints(view, self.info, &service);
        self.service = service;
    }
}

/// Determines the route and the team of a request.
pub fn admit<'a>(
    context: &Context,
    view: &'a View,
    message: &'a Message,
    info: Option<&'a RequestInfo>,
    closes_connection: bool,
) -> Result<AdmittedRequest<'a>, Rejection> {
    if context.shared.has_stopped_admitting() {
        return Err((Refusal::Stopping, Some(RETRY_AFTER_STOP)));
    }
    let Some(routes) = &view.routes else {
        return Err((Refusal::NoRouteTable, Some(RETRY_AFTER_START)));
    };
    let info = info.ok_or((Refusal::Malformed, None))?;
    let host = message.head.text("host").unwrap_or_default();
    let route = routes.route(host, &message.head.target).ok_or((Refusal::NoRoute, None))?;
    let team = find_team(routes, route, info)?;
    let caller_timeout = info
        .caller_timeout
        .map_or(route.timeout, |caller_timeout| caller_timeout.min(route.timeout));
    let returning = info.caller_timeout.is_some_and(|caller_timeout| {
        let mut returning = context.returning_callers.borrow_mut();
        returning.is_returning(monotonic::now(), &route.name, caller_timeout, route.objective)
    });
    let service = choose_service(context, route);
    context.retry_budget.borrow_mut().record_request(&service, view.entry_count);
    Ok(AdmittedRequest {
        head: &message.head,
        body: &message.body,
        info,
        fingerprint: fingerprint(view, message, team, host),
        part_fingerprints: part_fingerprints(view, info, &service),
        route,
        rank: routes.rank(route, team),
        team,
        upstream_connections: routes
            .route_table()
            .service(&service)
            .map_or(u32::MAX, |it| it.max_connections),
        entries: view.entry_count,
        service,
        received_at: message.received_at,
        deadline: message.received_at + caller_timeout.saturating_sub(ANSWER_MARGIN),
        returning,
        closes_connection,
    })
}

fn fingerprint(
    view: &View,
    message: &Message,
    team: Option<&TeamConfig>,
    host: &str,
) -> Option<Fingerprint> {
    let team = team.map_or("", |team| team.name.as_str());
    Some(Fingerprint::of(view.blocklist.key?, team, host, &message.head.target, &message.body))
}

/// Returns the fingerprints of all prompt parts but the last one, which belongs to the request or
/// its session.
fn part_fingerprints(view: &View, info: &RequestInfo, service: &str) -> Vec<Fingerprint> {
    let (Some(key), [shared @ .., _]) = (view.blocklist.key, &*info.prompt_parts) else {
        return Vec::new();
    };
    let shared = shared.iter().take(MAX_PARTS);
    shared.map(|part| Fingerprint::of_part(key, service, part.id)).collect()
}

fn find_team<'a>(
    routes: &'a Index,
    route: &Route,
    info: &RequestInfo,
) -> Result<Option<&'a TeamConfig>, Rejection> {
    if route.public || routes.route_table().teams.is_empty() {
        return Ok(None);
    }
    let team_row = info.api_key.as_ref().and_then(|key| routes.team(key));
    team_row.map(Some).ok_or((Refusal::UnknownKey, None))
}

/// Charges a request to its team's limit, with a loan from the leader if necessary.
pub async fn charge_quota(
    context: &Context,
    view: &View,
    request: &AdmittedRequest<'_>,
) -> Result<(), Rejection> {
    let Some(team) = request.team else { return Ok(()) };
    let Some(quota) = &team.quota else { return Ok(()) };
    let units = allowance::units(quota, total_tokens(request.info));
    let verdict = context.allowances.borrow_mut().charge(monotonic::now(), team, units, view);
    let result = match verdict {
        Allowed::Admitted => Ok(()),
        Allowed::Exceeded(retry_after) => Err(retry_after),
        Allowed::Borrow { required, debt, prefetch } => {
            let grant = context.shared.request_loan(&team.name, required + debt, prefetch);
            let grant = tokio::time::timeout(LOAN_TIMEOUT, grant).await.ok().and_then(Result::ok);
            let mut allowance = context.allowances.borrow_mut();
            allowance.handle_grant(monotonic::now(), team, (units, debt), grant.as_ref())
        }
    };
    result.map_err(|retry_after| (Refusal::QuotaExceeded, Some(retry_after)))
}

/// Chooses a service by the weights of the route's targets.
fn choose_service(context: &Context, route: &Route) -> Arc<str> {
    let total_weight: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut draw = context.next_random().checked_rem(total_weight).unwrap_or(0);
    for target in &route.targets {
        let weight = u64::from(target.weight);
        if draw < weight {
            return target.service.clone();
        }
        draw -= weight;
    }
    route.targets.last().map_or_else(|| "".into(), |target| target.service.clone())
}

/// Refunds what a request was charged, if no upstream received it.
pub fn refund_quota(context: &Context, request: &AdmittedRequest<'_>) {
    let Some(team) = request.team else { return };
    let Some(quota) = &team.quota else { return };
    let units = allowance::units(quota, total_tokens(request.info));
    let refund = context.allowances.borrow_mut().refund(&team.name, units);
    if let Some(refund) = refund {
        context.shared.refund(refund);
    }
}

/// Returns the total number of tokens that a request asks for, if it states them.
fn total_tokens(info: &RequestInfo) -> Option<u64> {
    info.token_counts.map(|tokens| tokens.prompt + tokens.max_output)
}
