//! Which upstreams have ended while they ran requests.
//!
//! A broken answer may be all that was lost, or the upstream itself. Nothing tells but whether somebody still
//! listens there; announcements would tell seconds later. A request whose caller left may have ended it as well.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio::sync::mpsc::UnboundedReceiver;
use verbenaslip_base::name::Upstream;
use verbenaslip_fleet::crash_report::ObservedCrash;
use verbenaslip_fleet::fingerprint::Fingerprint;
use verbenaslip_fleet::registry::Run;

use crate::event_log::{self, Kind};
use crate::shared::SharedState;
use crate::{monotonic, socket};

/// An upstream broke off what it ran.
const BROKE_OFF: Kind = Kind { number: 936, name: "upstream_broke_off" };

/// Requests that are looked at together, since an upstream that ends breaks off all of them at once.
const GATHER: Duration = Duration::from_millis(3);

/// How long an upstream may take to answer that it listens; many times the longest way there and back.
const DIAL: Duration = Duration::from_millis(300);

/// Requests of one upstream that are listed.
const LISTED: usize = 64;

/// How long before its end an upstream may have been left by the caller of a request that ended it. Callers leave
/// within half of an objective at the earliest; an upstream that goes on for longer has most likely dropped it.
const LEFT: Duration = Duration::from_secs(1);

/// Tells what may be a sign of an upstream's end.
#[derive(Debug)]
pub(crate) enum Sign {
    /// It broke a request off.
    BrokeOff(Broken),
    /// The caller of a request left while it was at work.
    Left(Broken),
    /// It could not be reached.
    Unreached(Run),
}

/// Holds a request that an upstream broke off, or whose caller left.
#[derive(Clone, Debug)]
pub(crate) struct Broken {
    /// The identity of the request.
    pub(crate) id: Arc<str>,
    /// Its content, where fingerprints can be made.
    pub(crate) fingerprint: Option<Fingerprint>,
    /// The run of the upstream.
    pub(crate) run: Run,
    /// Where it is reached.
    pub(crate) address: SocketAddr,
    /// When it was sent there.
    pub(crate) sent: Duration,
    /// When it broke off.
    pub(crate) ended: Duration,
}

/// Looks at upstreams that may have ended, for as long as the instance runs.
pub(crate) async fn watch(mut signs: UnboundedReceiver<Sign>, board: Arc<SharedState>) {
    let mut left = VecDeque::new();
    while let Some(first) = signs.recv().await {
        tokio::time::sleep(GATHER).await;
        let others = std::iter::from_fn(|| signs.try_recv().ok());
        for (run, requests) in by_upstream(std::iter::once(first).chain(others), &mut left) {
            tokio::task::spawn_local(look(run, requests, board.clone()));
        }
    }
}

/// Gathers by upstream what may have ended it.
///
/// What a caller has left is remembered for a while: the upstream may end of it all the same, and nobody is there
/// any more whose answer would break off.
fn by_upstream(
    signs: impl Iterator<Item = Sign>,
    left: &mut VecDeque<Broken>,
) -> BTreeMap<Run, Vec<Broken>> {
    let mut runs: BTreeMap<Run, Vec<Broken>> = BTreeMap::new();
    let mut doubted = BTreeSet::new();
    for sign in signs {
        match sign {
            Sign::BrokeOff(it) => {
                doubted.insert(it.run.clone());
                runs.entry(it.run.clone()).or_default().push(it);
            }
            Sign::Left(it) => left.push_back(it),
            Sign::Unreached(run) => {
                doubted.insert(run);
            }
        }
    }
    let now = monotonic::now();
    left.retain(|it| now.saturating_sub(it.ended) <= LEFT);
    let (with, without) = left.drain(..).partition(|it| doubted.contains(&it.run));
    *left = without;
    for it in Vec::from(with) {
        runs.entry(it.run.clone()).or_default().push(it);
    }
    runs
}

/// Looks whether an upstream is still there.
async fn look(run: Run, requests: Vec<Broken>, board: Arc<SharedState>) {
    let Some(address) = requests.first().map(|it| it.address) else { return };
    let ended = socket::connect(address, DIAL).await.is_err();
    if ended {
        metrics::counter!("verbenaslip_upstreams_ended_total").increment(1);
    }
    say(&run.upstream, run.incarnation, ended, &requests);
    if ended {
        board.crashed(requests.into_iter().filter_map(met));
    }
}

fn met(broken: Broken) -> Option<ObservedCrash> {
    let Broken { fingerprint, run, sent, ended, .. } = broken;
    Some(ObservedCrash { fingerprint: fingerprint?, run, sent, ended })
}

fn say(upstream: &Upstream, incarnation: u64, ended: bool, requests: &[Broken]) {
    let listed = &requests[..requests.len().min(LISTED)];
    let ids: Vec<&str> = listed.iter().map(|it| &*it.id).collect();
    let contents: Vec<String> =
        listed.iter().filter_map(|it| it.fingerprint).map(|it| it.to_string()).collect();
    event_log::emit(
        BROKE_OFF,
        [
            ("upstream", json!(upstream.as_str())),
            ("incarnation", json!(incarnation)),
            ("ended", json!(ended)),
            ("count", json!(requests.len())),
            ("ids", json!(ids)),
            ("contents", json!(contents)),
        ],
    );
}
