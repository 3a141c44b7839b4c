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
const EARLY: Duration = Duration::from_millis(30);

/// When a caller that was refused for want of a route table may come back. An entry has none only
/// when it has just started, and after a power loss of all it has one when the cores have elected a
/// leader, which takes a second; whoever came back sooner would be refused again.
const BACK_AFTER_START: Duration = Duration::from_millis(1_200);

/// When a caller may come back, to another instance, that was refused because this one stops.
const BACK_NOW: Duration = Duration::from_millis(50);

/// How long a request waits for the leader to lend units of its team's limit: many times the way there and back, and
/// short beside the time in which a leader that is lost is noticed.
const LOAN: Duration = Duration::from_millis(250);

/// Says why a request is refused, and when its caller may come back.
pub type Refused = (Refusal, Option<Duration>);

/// Holds what is decided of a request once.
pub struct Job<'a> {
    /// Its head.
    pub head: &'a RequestHead,
    /// Its body.
    pub body: &'a Bytes,
    /// What it says beyond HTTP.
    pub call: &'a RequestInfo,
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
    pub connections: u32,
    /// How many entries there are.
    pub entries: u32,
    /// When it was whole.
    pub arrived: Instant,
    /// Until when its caller waits.
    pub limit: Instant,
    /// Whether its caller has come back, and any answer comes late.
    pub waited: bool,
    /// Whether the caller's connection ends with the answer.
    pub closes: bool,
}

impl Job<'_> {
    /// Tells whether another upstream may go on with the answer.
    pub fn resumable(&self) -> bool {
        self.route.kind == RequestKind::Stream { resumable: true }
    }
}

/// Finds route and team of a request.
pub fn admit<'a>(
    context: &Context,
    view: &'a View,
    whole: &'a Message,
    call: Option<&'a RequestInfo>,
    closes: bool,
) -> Result<Job<'a>, Refused> {
    if context.board.has_stopped_admitting() {
        return Err((Refusal::Stopping, Some(BACK_NOW)));
    }
    let Some(routes) = &view.routes else { return Err((Refusal::NoTable, Some(BACK_AFTER_START))) };
    let call = call.ok_or((Refusal::Malformed, None))?;
    let host = whole.head.text("host").unwrap_or_default();
    let route = routes.route(host, &whole.head.target).ok_or((Refusal::NoRoute, None))?;
    let team = team(routes, route, call)?;
    let patience =
        call.caller_timeout.map_or(route.timeout, |patience| patience.min(route.timeout));
    let waited = call.caller_timeout.is_some_and(|patience| {
        let mut waited = context.waited.borrow_mut();
        waited.take(monotonic::now(), &route.name, patience, route.objective)
    });
    let service = service(context, route);
    context.budget.borrow_mut().earn(&service, view.entry_count);
    Ok(Job {
        head: &whole.head,
        body: &whole.body,
        call,
        fingerprint: fingerprint(view, whole, team, host),
        route,
        rank: routes.rank(route, team),
        team,
        connections: routes
            .route_table()
            .service(&service)
            .map_or(u32::MAX, |it| it.max_connections),
        entries: view.entry_count,
        service,
        arrived: whole.arrived,
        limit: whole.arrived + patience.saturating_sub(EARLY),
        waited,
        closes,
    })
}

fn fingerprint(
    view: &View,
    whole: &Message,
    team: Option<&TeamConfig>,
    host: &str,
) -> Option<Fingerprint> {
    let team = team.map_or("", |team| team.name.as_str());
    Some(Fingerprint::of(view.blocklist.key?, team, host, &whole.head.target, &whole.body))
}

fn team<'a>(
    routes: &'a Index,
    route: &Route,
    call: &RequestInfo,
) -> Result<Option<&'a TeamConfig>, Refused> {
    if route.public || routes.route_table().teams.is_empty() {
        return Ok(None);
    }
    let found = call.api_key.as_ref().and_then(|key| routes.team(key));
    found.map(Some).ok_or((Refusal::UnknownKey, None))
}

/// Takes a request out of its team's limit, if that has so much left.
pub async fn charge(context: &Context, view: &View, job: &Job<'_>) -> Result<(), Refused> {
    let Some(team) = job.team else { return Ok(()) };
    let Some(quota) = &team.quota else { return Ok(()) };
    let units = allowance::units(quota, size(job.call));
    let verdict = context.allowance.borrow_mut().take(monotonic::now(), team, units, view);
    let within = match verdict {
        Allowed::Within => Ok(()),
        Allowed::Beyond(back) => Err(back),
        Allowed::Borrow { need, ahead } => {
            let answer = context.board.borrow(&team.name, need, ahead);
            let lent = tokio::time::timeout(LOAN, answer).await.ok().and_then(Result::ok);
            let mut allowance = context.allowance.borrow_mut();
            allowance.lent(monotonic::now(), team, units, lent.as_ref())
        }
    };
    within.map_err(|back| (Refusal::BeyondLimit, Some(back)))
}

/// Chooses the service by the weights of the route.
fn service(context: &Context, route: &Route) -> Arc<str> {
    let sum: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    let mut draw = context.random().checked_rem(sum).unwrap_or(0);
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
pub fn give_back(context: &Context, job: &Job<'_>) {
    let Some(team) = job.team else { return };
    let Some(quota) = &team.quota else { return };
    let units = allowance::units(quota, size(job.call));
    let refund = context.allowance.borrow_mut().give_back(&team.name, units);
    if let Some(refund) = refund {
        context.board.refund(refund);
    }
}

/// Returns the tokens that a request asks for in all, when it says so.
fn size(call: &RequestInfo) -> Option<u64> {
    call.token_counts.map(|tokens| tokens.prompt + tokens.max_output)
}
