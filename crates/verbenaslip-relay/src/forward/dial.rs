//! Opens connections to upstreams, directly or through another entry.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;
use verbenaslip_fleet::registry::{Record, Run, Status};

use crate::forward::context::Context;
use crate::http::Connection;
use crate::policy::gateways::Refusal;
use crate::policy::path::{Fault, Group, Probe};
use crate::{monotonic, socket, tunnel};

/// Maximum time to open a direct connection; many times the longest round trip.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which another gateway is tried beside one that has not answered.
const NEXT_GATEWAY_DELAY: Duration = Duration::from_millis(60);

/// Limit on the gateways that are tried for one connection.
const MAX_GATEWAYS: usize = 3;

/// Number of gateways that must fail to reach an upstream for it to count as down.
const MAX_UNREACHABLE: usize = 2;

/// Connects to a run of an upstream.
///
/// # Errors
///
/// Fails if neither this entry nor a gateway reaches the upstream within `limit` each.
pub(crate) async fn connect(
    context: &Context,
    run: &Run,
    address: SocketAddr,
    limit: Duration,
) -> io::Result<Connection> {
    let limit = CONNECT_TIMEOUT.min(limit);
    let Some(group) = context.path_group(run).filter(|_| context.has_gateways()) else {
        return socket::connect(address, limit).await.map(Connection::new);
    };
    let target = Target { run, address, group: &group };
    if context.prefers_direct(&group, run) {
        return connect_directly_first(context, target, limit).await;
    }
    match connect_through_gateway(context, run).await {
        Some(connection) => Ok(connection),
        None if context.paths.borrow().may_reach(&group, run) => {
            connect_directly(context, target, limit).await
        }
        None => Err(io::ErrorKind::NotConnected.into()),
    }
}

/// Describes what a connection is for.
#[derive(Clone, Copy)]
struct Target<'a> {
    run: &'a Run,
    address: SocketAddr,
    group: &'a Group,
}

async fn connect_directly(
    context: &Context,
    target: Target<'_>,
    limit: Duration,
) -> io::Result<Connection> {
    let started_at = Instant::now();
    let stream = socket::connect(target.address, limit).await?;
    context.record_direct(target.group, target.run, started_at.elapsed());
    Ok(Connection::new(stream))
}

/// Connects directly, and through a gateway once that fails or takes too long.
async fn connect_directly_first(
    context: &Context,
    target: Target<'_>,
    limit: Duration,
) -> io::Result<Connection> {
    let Target { run, group, .. } = target;
    let hedge_delay = context.paths.borrow().hedge_delay(group);
    let direct = connect_directly(context, target, limit);
    tokio::pin!(direct);
    let failure = tokio::select! {
        connected = &mut direct => match connected {
            Ok(connection) => return Ok(connection),
            Err(error) => Some(error),
        },
        () = tokio::time::sleep(hedge_delay) => None,
    };
    let fault = failure.as_ref().map_or(Fault::Hung, fault_of);
    let detour = connect_through_gateway(context, run);
    tokio::pin!(detour);
    let mut is_pending = failure.is_none();
    let detoured = loop {
        tokio::select! {
            connected = &mut direct, if is_pending => match connected {
                Ok(connection) => return Ok(connection),
                Err(_) => is_pending = false,
            },
            detoured = &mut detour => break detoured,
        }
    };
    let Some(connection) = detoured else {
        return if is_pending { direct.await } else { Err(io::ErrorKind::NotConnected.into()) };
    };
    context.record_bypassed(group, run, fault);
    Ok(connection)
}

fn fault_of(error: &io::Error) -> Fault {
    if error.kind() == io::ErrorKind::TimedOut { Fault::Hung } else { Fault::Refused }
}

/// Connects through one of a few gateways; returns `None` if none of them opens a connection.
async fn connect_through_gateway(context: &Context, run: &Run) -> Option<Connection> {
    let started_at = Instant::now();
    let mut attempts = JoinSet::new();
    let (mut tried, mut unreachable_count) = (Vec::new(), 0);
    loop {
        let next = (tried.len() < MAX_GATEWAYS).then(|| context.choose_gateway(&tried)).flatten();
        if let Some(gateway) = next {
            tried.push(gateway);
            let run = run.clone();
            attempts.spawn_local(async move {
                (gateway, tunnel::connect(gateway, &run, CONNECT_TIMEOUT).await)
            });
        }
        if attempts.is_empty() {
            return None;
        }
        let may_try_more = tried.len() < MAX_GATEWAYS && next.is_some();
        tokio::select! {
            joined = attempts.join_next() => {
                // An attempt neither panics nor is cancelled while it is in the set.
                let Some(Ok((gateway, opened))) = joined else { return None };
                let mut gateways = context.gateways.borrow_mut();
                match opened {
                    Ok((connection, load)) => {
                        gateways.record_opened(gateway, load);
                        metrics::histogram!("verbenaslip_gateway_connect_seconds")
                            .record(started_at.elapsed().as_secs_f64());
                        return Some(connection);
                    }
                    Err(refusal) => {
                        gateways.record_refusal(monotonic::now(), gateway, refusal);
                        unreachable_count += usize::from(refusal == Refusal::UpstreamUnreachable);
                    }
                }
                if unreachable_count >= MAX_UNREACHABLE {
                    return None;
                }
            }
            () = tokio::time::sleep(NEXT_GATEWAY_DELAY), if may_try_more => {}
        }
    }
}

/// Returns whether an upstream can be reached, from this entry or from a gateway.
pub(crate) async fn is_reachable(context: &Context, run: &Run, address: SocketAddr) -> bool {
    connect(context, run, address, CONNECT_TIMEOUT).await.is_ok()
}

/// Probes paths that are not whole, or may not be, for as long as the instance runs.
pub(crate) async fn probe_paths(context: Rc<Context>) {
    loop {
        context.paths_suspected.notified().await;
        loop {
            let next = context.paths.borrow().next_probe_at();
            let Some(next) = next else { break };
            tokio::time::sleep(next.saturating_sub(monotonic::now())).await;
            let due = context.paths.borrow_mut().take_due_probes(monotonic::now());
            for due in due {
                let context = context.clone();
                tokio::task::spawn_local(async move { probe(&context, &due).await });
            }
        }
    }
}

/// Connects to an upstream directly, and through a gateway if that fails. The connection is kept for
/// a request.
async fn probe(context: &Context, due: &Probe) {
    let group = &due.group;
    let record = match &due.run {
        Some(run) => context.shared.view().record(run).cloned(),
        None => random_record(context, group),
    };
    let Some(Record { announcement, .. }) = record else { return };
    let run = &announcement.run;
    let target = Target { run, address: announcement.address, group };
    let connection = match connect_directly(context, target, CONNECT_TIMEOUT).await {
        Ok(connection) => connection,
        Err(_) if due.run.is_some() || context.paths.borrow().is_cut(group) => return,
        Err(error) => {
            let detoured = connect_through_gateway(context, run).await;
            let Some(connection) = detoured else { return };
            context.record_bypassed(group, run, fault_of(&error));
            connection
        }
    };
    context.pool.borrow_mut().put_first(monotonic::now(), run, connection);
}

fn random_record(context: &Context, group: &Group) -> Option<Record> {
    let view = context.shared.view();
    let records = || {
        let ready = view.upstreams.values().filter(|it| it.status == Status::Ready);
        ready.filter(|it| Context::group_of(it) == *group)
    };
    let count = u64::try_from(records().count()).ok().filter(|it| *it > 0)?;
    records().nth(usize::try_from(context.next_random() % count).ok()?).cloned()
}
