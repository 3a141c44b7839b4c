//! What is decided of a request once: who asks, which route it takes, whether its team may query.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::Instant;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::index::Index;
use verbenaslip_fleet::route_table::{RequestKind, Route, TeamConfig};
use verbenaslip_fleet::view::View;

use crate::dialect::RequestInfo;
use crate::forward::answer::Refusal;
use crate::forward::context::Context;
use crate::http::{Message, RequestHead};
use crate::monotonic;
use crate::policy::allowance::{self, Verdict as Allowed};

/// How long before the end of its time a request gets its answer, so that the answer arrives while
/// its caller still waits.
const ANSWER_MARGIN: Duration = Duration::from_millis(30);

/// When a caller that was refused for want of a route table may come back. An entry has none only
/// when it has just started, and after a power loss of all it has one when the cores have elected a
/// leader, which takes a second; whoever came back sooner would be refused again.
const RETRY_AFTER_START: Duration = Duration::from_millis(1_200);

/// When a caller may come back, to another instance, that was refused because this one stops.
const RETRY_AFTER_STOP: Duration = Duration::from_millis(50);

/// How long a request waits for the leader to lend units of its team's limit: many times the way there and back, and
/// short beside the time in which a leader that is lost is noticed.
const LOAN_TIMEOUT: Duration = Duration::from_millis(250);

/// Says why a request is refused, and when its caller may come back.
pub type Rejection = (Refusal, Option<Duration>);

/// Holds what is decided of a request once.
pub struct AdmittedRequest<'a> {
    /// Its head.
    pub head: &'a RequestHead,
    /// Its body.
    pub body: &'a Bytes,
    /// What it says beyond HTTP.
    pub info: &'a RequestInfo,
    /// Its content, to be known again; none as long as this entry has no key for that.
    pub fingerprint: Option<Fingerprint>,
    /// Its route.
    pub route: &'a Route,
    /// Its rank; zero is the most urgent.
    pub rank: u8,
    /// Its caller's team.
    pub team: Option<&'a TeamConfig>,
    /// The service.
    pub service: Arc<str>,
    /// The connections that one of its upstreams accepts from all entries.
    pub upstream_connections: u32,
    /// How many entries there are.
    pub entries: u32,
    /// When it was whole.
    pub received_at: Instant,
    /// Until when its caller waits.
    pub deadline: Instant,
    /// Whether its caller has come back, and any answer comes late.
    pub returning: bool,
    /// Whether the caller's connection ends with the answer.
    pub closes_connection: bool,
}

impl AdmittedRequest<'_> {
    /// Tells whether another upstream may go on with the answer.
    pub fn is_resumable(&self) -> bool {
        self.route.kind == RequestKind::Stream { resumable: true }
    }
}

/// Finds route and team of a request.
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

/// Takes a request out of its team's limit, if that has so much left.
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
        Allowed::Borrow { required, prefetch } => {
            let grant = context.shared.request_loan(&team.name, required, prefetch);
            let grant = tokio::time::timeout(LOAN_TIMEOUT, grant).await.ok().and_then(Result::ok);
            let mut allowance = context.allowances.borrow_mut();
            allowance.handle_grant(monotonic::now(), team, units, grant.as_ref())
        }
    };
    result.map_err(|retry_after| (Refusal::QuotaExceeded, Some(retry_after)))
}

/// Chooses the service by the weights of the route.
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

/// Gives back what a request took out of its team's limit, when no upstream got it.
pub fn refund_quota(context: &Context, request: &AdmittedRequest<'_>) {
    let Some(team) = request.team else { return };
    let Some(quota) = &team.quota else { return };
    let units = allowance::units(quota, total_tokens(request.info));
    let refund = context.allowances.borrow_mut().refund(&team.name, units);
    if let Some(refund) = refund {
        context.shared.refund(refund);
    }
}

/// Returns the tokens that a request asks for in all, when it says so.
fn total_tokens(info: &RequestInfo) -> Option<u64> {
    info.token_counts.map(|tokens| tokens.prompt + tokens.max_output)
}
