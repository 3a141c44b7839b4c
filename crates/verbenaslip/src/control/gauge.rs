//! How the instance stands, looked at once a second: gauges, and the events that only a look shows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use verbenaslip_base::announce::{Market, Phase};
use verbenaslip_base::name::{AvailabilityZone, Class, Instance, Model, Team, Upstream};
use verbenaslip_gossip::State;
use verbenaslip_node::status::{Log, Standing};
use verbenaslip_state::lease;

use crate::control::Running;
use crate::event::Event;
use crate::metric::Metric;

/// How long the voters may be without a leader before the quorum counts as lost: longer than an
/// election takes that finds one.
const LEADERLESS: Duration = Duration::from_secs(3);

/// How many entries a voter may lack before it counts as behind.
const BEHIND: u64 = 1_000;

/// Names a member's states as a label; a state that nobody is in is shown as 0.
const STATES: [(State, &str); 5] = [
    (State::Alive, "alive"),
    (State::Suspect, "suspected"),
    (State::Dead, "lost"),
    (State::Leaving, "leaving"),
    (State::Left, "left"),
];

/// Remembers what the last looks showed.
#[derive(Default)]
pub(super) struct Gauges {
    /// When the table lease was last confirmed.
    confirmed: Option<Duration>,
    lease_lost: bool,
    /// Since when no leader is known.
    leaderless: Option<Duration>,
    quorum_lost: bool,
    voters: Vec<Instance>,
    behind: BTreeSet<Instance>,
    rows: Faded<Row>,
    upstreams: Faded<Kind>,
    running: Faded<Upstream>,
    slots: Faded<Model>,
    costs: Faded<Paid>,
}

/// Names a row in metrics.
type Row = (Team, Class);

/// Names upstreams of one availability zone and phase.
type Kind = (AvailabilityZone, &'static str);

/// Names upstreams of one availability zone that are paid for alike.
type Paid = (AvailabilityZone, Market);

/// Remembers for which labels a gauge was set, so that those which are gone are shown as 0 and not
/// with their last value.
struct Faded<K> {
    last: BTreeSet<K>,
}

impl<K> Default for Faded<K> {
    fn default() -> Self {
        Self { last: BTreeSet::new() }
    }
}

impl<K> Faded<K>
where
    K: Ord + Clone,
{
    fn set<V>(&mut self, values: &BTreeMap<K, V>, set: impl Fn(&K, V))
    where
        V: Copy + Default,
    {
        for gone in self.last.iter().filter(|key| !values.contains_key(key)) {
            set(gone, V::default());
        }
        values.iter().for_each(|(key, value)| set(key, *value));
        self.last = values.keys().cloned().collect();
    }
}

impl Running {
    /// Looks at everything.
    pub(super) fn look(&mut self) {
        let (peers, traffic) = (self.control.peers.stats(), self.control.traffic.stats());
        let metric = &self.control.metric;
        self.tally.hand_over(metric, peers.refused);
        metric.connections("callers", traffic.connections as f64);
        self.look_at_lease();
        self.look_at_log();
        self.look_at_members();
        self.look_at_upstreams();
        self.look_at_rows();
    }

    fn look_at_lease(&mut self) {
        let (now, left) = (self.now(), self.node.lease_left());
        let revision = self.node.revision().0;
        if let Some(left) = left {
            self.gauges.confirmed = (now + left).checked_sub(lease::MAX_DURATION);
        }
        let Some(confirmed) = self.gauges.confirmed else { return };
        let (metric, age) = (&self.control.metric, now.saturating_sub(confirmed));
        metric.table_lease_age(age.as_secs_f64());
        let lost = left.is_none();
        if lost == std::mem::replace(&mut self.gauges.lease_lost, lost) {
            return;
        }
        if lost {
            Event::TableLeaseLost { revision, age }.log();
        } else {
            Event::TableLeaseBack { revision }.log();
        }
    }

    fn look_at_log(&mut self) {
        let Some(log) = self.node.log() else { return };
        let metric = &self.control.metric;
        metric.log_index(log.commit as f64);
        metric.log_term(log.term as f64);
        self.look_at_quorum(&log);
        let voters: Vec<Instance> =
            log.voters.iter().filter(|it| it.votes).map(|it| it.instance.clone()).collect();
        if voters != self.gauges.voters {
            let names: Vec<&str> = voters.iter().map(Instance::as_str).collect();
            Event::VotersChanged { voters: names.join(", ").into(), index: log.commit }.log();
            self.gauges.voters = voters;
        }
        for voter in log.voters.iter().filter(|voter| voter.votes) {
            let Some(matched) = voter.matched else { continue };
            let entries = log.last.saturating_sub(matched);
            let behind = &mut self.gauges.behind;
            if entries <= BEHIND {
                behind.remove(&voter.instance);
            } else if behind.insert(voter.instance.clone()) {
                Event::VoterBehind { voter: voter.instance.clone(), entries }.log();
            }
        }
    }

    fn look_at_quorum(&mut self, log: &Log) {
        let now = self.now();
        let votes = log.voters.iter().filter(|voter| voter.votes);
        let names: Vec<&Instance> = votes.map(|voter| &voter.instance).collect();
        if !names.contains(&&self.own) {
            return;
        }
        let alive = |name: &&&Instance| {
            **name == &self.own
                || self.node.peers().any(|(peer, state)| peer == **name && state == State::Alive)
        };
        let (heard, voters) = (names.iter().filter(alive).count() as u64, names.len() as u64);
        if log.leader.is_some() {
            self.gauges.leaderless = None;
            if std::mem::take(&mut self.gauges.quorum_lost) {
                Event::QuorumBack { heard, voters }.log();
            }
            return;
        }
        let since = *self.gauges.leaderless.get_or_insert(now);
        let lost = now.saturating_sub(since) >= LEADERLESS;
        if lost && !std::mem::replace(&mut self.gauges.quorum_lost, true) {
            Event::QuorumLost { heard, voters }.log();
        }
    }

    fn look_at_members(&mut self) {
        let metric = &self.control.metric;
        for (state, name) in STATES {
            // This instance itself is alive, and not among its peers.
            let own = usize::from(state == State::Alive);
            let count = self.node.peers().filter(|(_, held)| *held == state).count() + own;
            metric.members(name, count as f64);
        }
    }

    fn look_at_upstreams(&mut self) {
        let mut kinds: BTreeMap<Kind, f64> = BTreeMap::new();
        let mut running: BTreeMap<Upstream, f64> = BTreeMap::new();
        let mut slots: BTreeMap<Model, f64> = BTreeMap::new();
        let mut costs: BTreeMap<Paid, f64> = BTreeMap::new();
        for (said, standing) in self.node.upstreams() {
            let phase = phase(said.phase, standing);
            *kinds.entry((said.zone.clone(), phase)).or_default() += 1.0;
            running.insert(said.upstream.clone(), f64::from(said.load.running));
            if phase == READY {
                for model in &said.models {
                    *slots.entry(model.clone()).or_default() += f64::from(said.slots);
                }
            }
            if standing != Standing::Lapsed {
                let price = said.price as f64 / MILLIONTHS;
                *costs.entry((said.zone.clone(), said.market)).or_default() += price;
            }
        }
        let (metric, gauges) = (&self.control.metric, &mut self.gauges);
        gauges.upstreams.set(&kinds, |(zone, phase), count| metric.upstreams(zone, *phase, count));
        gauges.running.set(&running, |upstream, count| metric.upstream_running(upstream, count));
        gauges.slots.set(&slots, |model, count| metric.slots(model, count));
        gauges.costs.set(&costs, |(zone, market), price| metric.cost(zone, *market, price));
    }

    fn look_at_rows(&mut self) {
        let mut rows: BTreeMap<Row, [usize; 2]> = BTreeMap::new();
        for load in self.node.load() {
            rows.insert((load.team, load.class), [load.waiting, load.running]);
        }
        let metric: &Metric = &self.control.metric;
        self.gauges.rows.set(&rows, |(team, class), [waiting, running]| {
            metric.queue(team, class, waiting as f64);
            metric.running(team, class, running as f64);
        });
    }
}

/// The phase of an upstream that takes work.
const READY: &str = "ready";

/// Millionths in a currency unit.
const MILLIONTHS: f64 = 1e6;

fn phase(phase: Phase, standing: Standing) -> &'static str {
    match (standing, phase) {
        (Standing::Lapsed, _) => "lapsed",
        (Standing::Doubtful, _) => "in-doubt",
        (Standing::Confirmed, Phase::Warming) => "warming",
        (Standing::Confirmed, Phase::Ready) => READY,
        (Standing::Confirmed, Phase::Leaving { .. }) => "leaving",
    }
}
