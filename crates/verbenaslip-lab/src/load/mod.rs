//! The callers: many of them, who all wake on the hour, check every answer and keep account.
//!
//! [`plan`] says who calls, [`arrive`] draws the requests from a seeded generator, [`caller`] lives
//! through one request with all its resends, [`event`] reads streams. [`outcome`] is what a caller
//! knows at the end, [`report`] sums it up, [`verdict`] compares it with what the back ends did, and
//! [`plot`] draws it.

pub mod outcome;
pub mod plan;
pub mod plot;
pub mod report;
pub mod verdict;

pub(crate) mod arrive;
pub(crate) mod caller;
pub(crate) mod event;

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use tokio::runtime;
use tokio::task::JoinSet;
use tokio::time::sleep_until;

use self::arrive::Request;
use self::caller::Caller;
use self::outcome::Outcome;
use self::plan::Plan;
use self::report::Report;

/// Calls as planned, waits for every answer, and reports.
///
/// # Errors
///
/// Fails when no thread or runtime can be started.
pub fn run(plan: Plan) -> io::Result<Report> {
    let plan = Arc::new(plan);
    let requests = arrive::requests(&plan);
    let start = Instant::now();
    let threads = plan.threads.max(1) as usize;
    let mut shares: Vec<Vec<Request>> = (0..threads).map(|_| Vec::new()).collect();
    for (index, request) in requests.into_iter().enumerate() {
        shares[index % threads].push(request);
    }
    let mut handles = Vec::new();
    for share in shares {
        let plan = plan.clone();
        let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
        let call = move || runtime.block_on(call(plan, share, start));
        handles.push(thread::Builder::new().name("callers".to_owned()).spawn(call)?);
    }
    let mut outcomes = Vec::new();
    for handle in handles {
        outcomes.extend(handle.join().map_err(|_| io::Error::other("a caller panicked"))?);
    }
    outcomes.sort_by_key(|outcome| outcome.id);
    Ok(Report::new(outcomes))
}

async fn call(plan: Arc<Plan>, requests: Vec<Request>, start: Instant) -> Vec<Outcome> {
    let mut callers = JoinSet::new();
    for request in requests {
        let at = start + request.at;
        sleep_until(at.into()).await;
        callers.spawn(Caller::new(plan.clone(), request, at).run());
    }
    let mut outcomes = Vec::new();
    while let Some(outcome) = callers.join_next().await {
        outcomes.extend(outcome.ok());
    }
    outcomes
}

/// Returns a time in whole microseconds.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
