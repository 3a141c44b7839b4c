//! Orders to upstreams, some of which check fence numbers.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Log, NOW};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64;
use verbenaslip_base::fence::Fence;
use verbenaslip_state::order::dispatcher::{
    Answer, Event, Leadership, OrderDelivery, UpstreamState,
};
use verbenaslip_state::order::{Dispatcher, Input, Order, OrderEnd, Output, Pending, Role, Task};
use verbenaslip_state::{Command, Outcome};

/// The maximum duration of a leader's lease.
const LEASE: Duration = Duration::from_secs(2);

/// The time of the input in milliseconds, the input, and the expected outputs.
type Step = (u64, Input, &'static str);

/// The case's name and steps.
type Case = (&'static str, Vec<Step>);

fn run(cases: &[Case]) {
    for (case, steps) in cases {
        let mut dispatcher = Dispatcher::new(LEASE);
        for (at, input, expected) in steps {
            let mut out = Vec::new();
            dispatcher.step(Duration::from_millis(*at), input.clone(), &mut out);
            let out: Vec<String> = out.iter().map(output_text).collect();
            assert_eq!(out.join("; "), *expected, "{case}, at {at} ms: {input:?}");
        }
    }
}

fn output_text(output: &Output) -> String {
    match output {
        Output::Propose(order) => format!("propose {}", order.task),
        Output::Give(delivery) => {
            let (fence, until) = (delivery.fence, delivery.expiry.as_millis());
            format!("give {}.{} until {until}", fence.term, fence.index)
        }
        Output::ReadBack { question, .. } => format!("read {question}"),
        Output::End(end) => format!("end {}", end.ending.result),
        Output::Report(report) => match report.event {
            Event::Ended(ending) => format!("report {}", ending.result),
            event => format!("report {event:?}"),
        },
    }
}

fn order() -> Order {
    Order {
        by: "plan".into(),
        upstream: "gpu".into(),
        task: Task::Load("m".into()),
        lifetime: 5_000,
        at: NOW,
    }
}

fn pending(term: u64, index: u64) -> Pending {
    Pending { fence: Fence { term, index }, order: order() }
}

fn lead(term: u64, until: u64) -> Input {
    Input::Lead(Leadership { term, until: Duration::from_millis(until), pending: Vec::new() })
}

fn lead_with_pending(term: u64, inherited: Pending) -> Input {
    let until = Duration::from_millis(60_000);
    Input::Lead(Leadership { term, until, pending: vec![inherited] })
}

fn upstream(fenced: bool) -> Input {
    Input::Upstream { upstream: "gpu".into(), fenced }
}

fn answer(term: u64, index: u64, answer: Answer) -> Input {
    Input::Answer { upstream: "gpu".into(), fence: Fence { term, index }, answer }
}

fn read(question: u64, models: &[&str], fence: Option<Fence>) -> Input {
    let models = models.iter().map(|model| (*model).into()).collect();
    let holding = UpstreamState { fence, models, role: Role::Both };
    Input::Read { upstream: "gpu".into(), question, holding }
}

fn ended(term: u64, index: u64) -> Input {
    Input::Ended { upstream: "gpu".into(), fence: Fence { term, index } }
}

/// Returns the steps after which a leader, leading from time 0, can propose the first order.
///
/// For an upstream that does not check fence numbers, this includes reading its state back.
fn ready_to_propose(fenced: bool) -> Vec<Step> {
    if fenced {
        return vec![(0, lead(5, 60_000), ""), (0, upstream(true), "")];
    }
    vec![
        (0, lead(5, 60_000), ""),
        (0, upstream(false), ""),
        (13_000, Input::Tick, ""),
        (13_300, Input::Tick, "read 1"),
        (13_300, read(1, &[], None), ""),
    ]
}

/// Returns the steps that send an order to a fenced upstream, followed by the given ones.
fn after_sending(rest: Vec<Step>) -> Vec<Step> {
    let mut steps = ready_to_propose(true);
    steps.push((100, Input::Want(order()), "propose load m"));
    steps.push((200, Input::Committed(pending(5, 9)), "give 5.9 until 5200"));
    steps.extend(rest);
    steps
}

#[test]
fn fenced_upstreams_receive_orders_at_once() {
    let superseded = Fence { term: 6, index: 1 };
    let held = |fence| answer(5, 9, Answer::Held(fence));
    let own_fence = Fence { term: 5, index: 9 };
    run(&[
        (
            "answered",
            after_sending(vec![
                (300, answer(5, 9, Answer::Applied), "end applied"),
                (400, ended(5, 9), "report applied"),
            ]),
        ),
        // Guards against recording an order as refused although it was carried out: the answer is
        // lost, and the upstream answers the resend with status 409 and the order's own number.
        (
            "answer lost",
            after_sending(vec![
                (1_100, Input::Tick, ""),
                (1_200, Input::Tick, "give 5.9 until 5200"),
                (1_300, held(own_fence), "end applied"),
            ]),
        ),
        (
            "a later leader was faster",
            after_sending(vec![(300, held(superseded), "end superseded by 6.1")]),
        ),
        ("came too late", after_sending(vec![(300, answer(5, 9, Answer::Expired), "end expired")])),
        // Guards against applying a delayed answer of an earlier order to the current one.
        ("answer to another order", after_sending(vec![(300, answer(5, 8, Answer::Applied), "")])),
        // Guards against giving up an order that was carried out because no answer arrived.
        (
            "never answered",
            after_sending(vec![
                (1_200, answer(5, 9, Answer::Unknown), "give 5.9 until 5200"),
                (5_100, Input::Tick, "give 5.9 until 5200"),
                (5_200, Input::Tick, ""),
                (6_200, Input::Tick, "read 1"),
                (6_300, read(1, &["m"], Some(own_fence)), "end applied"),
            ]),
        ),
        // Guards against an upstream blocked for further orders: the proposal that ends the order
        // is lost and must be repeated.
        (
            "end lost",
            after_sending(vec![
                (300, answer(5, 9, Answer::Refused), "end refused"),
                (1_000, Input::Tick, ""),
                (2_300, Input::Tick, "end refused"),
            ]),
        ),
    ]);
}

#[test]
fn proposals_may_fail() {
    run(&[
        // Guards against an upstream blocked until the next leader: the log numbers an order, but
        // the answer to the proposal is lost or late. The leader must also send or end the orders
        // that it finds in the log.
        (
            "number lost",
            vec![
                (0, lead(5, 60_000), ""),
                (0, upstream(true), ""),
                (100, Input::Want(order()), "propose load m"),
                (2_100, Input::Tick, "report Unanswered"),
                (2_200, lead_with_pending(5, pending(5, 9)), "give 5.9 until 7200"),
                (2_300, Input::Committed(pending(5, 9)), ""),
                (2_400, lead_with_pending(5, pending(5, 9)), ""),
                (2_500, answer(5, 9, Answer::Applied), "end applied"),
                (2_600, lead_with_pending(5, pending(5, 9)), ""),
            ],
        ),
        // Guards against sending an order after leadership ended: the lease expires between
        // proposal and commit.
        (
            "lease lost before the commit",
            vec![
                (0, lead(5, 1_000), ""),
                (0, upstream(true), ""),
                (100, Input::Want(order()), "propose load m"),
                (1_000, Input::Committed(pending(5, 9)), ""),
                (2_000, Input::Want(order()), "report NotLeading"),
            ],
        ),
        (
            "proposal refused or lost",
            vec![
                (0, lead(5, 60_000), ""),
                (0, Input::Want(order()), "report NotKnown"),
                (0, upstream(true), ""),
                (0, Input::Want(order()), "propose load m"),
                (10, Input::Want(order()), ""),
                (20, Input::Want(order()), "report Replaced"),
                (100, Input::Denied("gpu".into()), "report Denied; propose load m"),
                (2_100, Input::Tick, "report Unanswered"),
            ],
        ),
    ]);
}

#[test]
fn unfenced_upstreams_receive_orders_after_a_wait() {
    run(&[
        // Guards against an upstream that unloads what the new leader had it load: an old leader's
        // order arrives after the new leader's, so the new leader has to wait first.
        (
            "new leader",
            vec![
                (0, lead(5, 60_000), ""),
                (0, upstream(false), ""),
                (100, Input::Want(order()), "report Waiting { wait: 13.2s }"),
                (13_299, Input::Tick, ""),
                (13_300, Input::Tick, "read 1"),
                (13_400, read(1, &[], None), "propose load m"),
            ],
        ),
        // Guards against the same failure if an upstream that checked fence numbers restarts as one
        // that does not, and announces that.
        (
            "no longer checking",
            vec![
                (0, lead(5, 60_000), ""),
                (0, upstream(true), ""),
                (100, upstream(false), ""),
                (200, Input::Want(order()), "report Waiting { wait: 13.1s }"),
                (13_300, Input::Tick, "read 1"),
            ],
        ),
        // Guards against the same failure within one term: copies of an order are in transit when
        // the upstream restarts as one that does not check fence numbers.
        (
            "no longer checking in mid-term",
            vec![
                (0, lead(5, 60_000), ""),
                (0, upstream(true), ""),
                (20_000, upstream(false), ""),
                (20_100, Input::Want(order()), "report Waiting { wait: 10.9s }"),
                (30_999, Input::Tick, ""),
                (31_000, Input::Tick, "read 1"),
                (31_100, read(1, &[], None), "propose load m"),
            ],
        ),
        // Guards against the same failure if the upstream is gone in between: it must be
        // remembered.
        (
            "gone and back without checking",
            vec![
                (0, lead(5, 60_000), ""),
                (0, upstream(true), ""),
                (20_000, Input::Gone("gpu".into()), ""),
                (21_000, upstream(false), ""),
                (30_999, Input::Tick, ""),
                (31_000, Input::Tick, "read 1"),
            ],
        ),
    ]);
}

#[test]
fn state_reports_may_be_outdated() {
    run(&[
        // Guards against taking the state before an order for the state after it: the question is
        // resent, the first answer arrives, and the second answer arrives after an order.
        (
            "late answer to an old question",
            vec![
                (0, lead(5, 60_000), ""),
                (0, upstream(false), ""),
                (13_300, Input::Tick, "read 1"),
                (14_300, Input::Tick, "read 2"),
                (14_400, read(1, &[], None), ""),
                (14_500, read(2, &[], None), ""),
                (14_600, Input::Want(order()), "propose load m"),
                (14_700, Input::Committed(pending(5, 9)), "give 5.9 until 19700"),
                (20_700, Input::Tick, "read 3"),
                (20_800, read(2, &[], None), ""),
                (20_900, read(3, &["m"], None), "end applied"),
            ],
        ),
        // Guards against losing or repeating an order whose leader failed between sending the order
        // and receiving the answer: the next leader has to take it over.
        (
            "order left by an older leader",
            vec![
                (0, lead_with_pending(6, pending(5, 9)), ""),
                (0, upstream(false), ""),
                (13_300, Input::Tick, "read 1"),
                (13_400, read(1, &["m"], None), "end applied"),
                (13_500, ended(5, 9), "report applied"),
            ],
        ),
        (
            "order left undone by an older leader",
            vec![
                (0, lead_with_pending(6, pending(5, 9)), ""),
                (0, upstream(true), "read 1"),
                (100, read(1, &[], None), "end lost"),
            ],
        ),
        ("gone", {
            let mut steps = ready_to_propose(false);
            steps.push((14_000, Input::Want(order()), "propose load m"));
            steps.push((14_100, Input::Committed(pending(5, 9)), "give 5.9 until 19100"));
            steps.push((14_200, Input::Gone("gpu".into()), "end lost"));
            steps
        }),
    ]);
}

/// Guards against sending an order twice or blocking its upstream: a proposal is resent after its
/// answer was lost, and both copies are committed, the second before or after the first has ended.
#[test]
fn a_resent_proposal_is_the_same_order() {
    let mut log = Log { term: 5, ..Log::default() };
    let proposed = Command::Order(order());
    let fence = Fence { term: 5, index: 1 };
    let ended = OrderEnd {
        by: "a".into(),
        fence,
        upstream: "gpu".into(),
        result: verbenaslip_state::order::Result::Applied,
        at: NOW,
    };
    let expected = [
        (proposed.clone(), "numbered 5.1"),
        (proposed.clone(), "numbered 5.1"),
        (Command::Order(Order { at: NOW + 1, ..order() }), "order 5.1 has not ended"),
        (Command::Ordered(ended), "noted"),
        (proposed, "order 5.1 was the same and has ended"),
        (Command::Order(Order { at: NOW + 1, ..order() }), "numbered 5.6"),
    ];
    for (command, expected) in expected {
        assert_eq!(log.apply_to_text(&command), expected);
        let restored = verbenaslip_state::State::restore(&log.state.snapshot());
        assert_eq!(restored.as_ref(), Ok(&log.state));
    }
}

/// An upstream that carries out every order it accepts and may check fence numbers.
#[derive(Default)]
struct Engine {
    fenced: bool,
    held: Fence,
    /// The fence numbers of the orders carried out, in order of execution.
    carried_out: Vec<Fence>,
}

impl Engine {
    fn handle(&mut self, delivery: &OrderDelivery) -> Answer {
        if self.fenced && delivery.fence < self.held {
            return Answer::Held(self.held);
        }
        if self.carried_out.last() != Some(&delivery.fence) {
            self.carried_out.push(delivery.fence);
        }
        self.held = self.held.max(delivery.fence);
        Answer::Applied
    }
}

/// A simulation of several successive leaders; an old one may not know that it was replaced.
struct Simulation {
    now: Duration,
    rng: Pcg64,
    log: Log,
    leaders: Vec<Dispatcher>,
    engines: BTreeMap<&'static str, Engine>,
    /// Orders in transit: the arrival time, the sending leader and the order.
    in_transit: Vec<(Duration, usize, OrderDelivery)>,
    current: usize,
    until: Duration,
    isolated: bool,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut engines = BTreeMap::new();
        engines.insert("checks", Engine { fenced: true, ..Engine::default() });
        engines.insert("plain", Engine::default());
        Self {
            now: Duration::from_secs(100),
            rng: Pcg64::seed_from_u64(seed),
            log: Log { term: 1, ..Log::default() },
            leaders: vec![Dispatcher::new(LEASE); 3],
            engines,
            in_transit: Vec::new(),
            current: 0,
            until: Duration::ZERO,
            isolated: false,
        }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(100);
        // The lease is renewed on each step until the leader is cut off; then another one leads.
        if self.now >= self.until {
            self.isolated = false;
            self.log.term += 1;
            self.current = self.rng.random_range(0..3);
        }
        if self.rng.random_range(0..200) == 0 {
            self.isolated = true;
        }
        if !self.isolated {
            self.until = self.now + LEASE;
            let pending = self.log.state.orders().cloned().collect();
            let lead = Leadership { term: self.log.term, until: self.until, pending };
            self.input(self.current, Input::Lead(lead));
        }
        for leader in 0..3 {
            for (name, fenced) in [("checks", true), ("plain", false)] {
                self.input(leader, Input::Upstream { upstream: name.into(), fenced });
            }
            if self.rng.random_range(0..10) == 0 {
                let upstream = ["checks", "plain"][self.rng.random_range(0..2)].into();
                let model = format!("m{}", self.rng.random_range(0..9));
                let task = Task::Load(model.as_str().into());
                let lifetime = self.rng.random_range(1_000..10_000);
                self.input(leader, Input::Want(Order { upstream, task, lifetime, ..order() }));
            }
        }
        self.deliver();
    }

    fn input(&mut self, leader: usize, input: Input) {
        let mut out = Vec::new();
        self.leaders[leader].step(self.now, input, &mut out);
        for output in out {
            match output {
                // An order may be in transit until its expiry.
                Output::Give(delivery) => {
                    let max = delivery.expiry.saturating_sub(self.now).as_millis() as u64;
                    let delay = Duration::from_millis(self.rng.random_range(0..=max));
                    self.in_transit.push((self.now + delay, leader, delivery));
                }
                Output::ReadBack { upstream, question } => {
                    let engine = &self.engines[upstream.as_str()];
                    let fence = engine.fenced.then_some(engine.held);
                    let holding = UpstreamState { fence, ..UpstreamState::default() };
                    self.input(leader, Input::Read { upstream, question, holding });
                }
                Output::Propose(order) => self.propose(leader, Command::Order(order)),
                Output::End(end) => self.propose(
                    leader,
                    Command::Ordered(OrderEnd {
                        by: "a".into(),
                        fence: end.ending.fence,
                        upstream: end.upstream,
                        result: end.ending.result,
                        at: NOW,
                    }),
                ),
                Output::Report(_) => {}
            }
        }
    }

    /// Commits proposals of the current leader and drops those of the others.
    fn propose(&mut self, leader: usize, command: Command) {
        if leader != self.current || self.isolated {
            return;
        }
        let outcome = self.log.apply(&command);
        let fence = self.log.state.position();
        // The answer may be lost, and the proposal may then be committed a second time.
        match self.rng.random_range(0..10) {
            0 => return,
            1 => drop(self.log.apply(&command)),
            _ => {}
        }
        match (command, outcome) {
            (Command::Order(order), Outcome::Order(_)) => {
                let committed = self.log.state.orders().any(|pending| pending.fence == fence);
                let input = match committed {
                    true => Input::Committed(Pending { fence, order }),
                    false => Input::Denied(order.upstream),
                };
                self.input(leader, input);
            }
            (Command::Ordered(ordered), _) => {
                let OrderEnd { upstream, fence, .. } = ordered;
                self.input(leader, Input::Ended { upstream, fence });
            }
            _ => {}
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (arrived, in_transit) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|(at, ..)| *at <= now);
        self.in_transit = in_transit;
        for (_, leader, delivery) in arrived as Vec<(Duration, usize, OrderDelivery)> {
            let engine = self.engines.get_mut(delivery.upstream.as_str()).expect("it is known");
            let answer = engine.handle(&delivery);
            let last = engine.carried_out.iter().max().copied();
            assert_eq!(
                engine.carried_out.last().copied(),
                last,
                "{} carried out a late order",
                delivery.upstream
            );
            if self.rng.random_range(0..3) > 0 {
                let input =
                    Input::Answer { upstream: delivery.upstream, fence: delivery.fence, answer };
                self.input(leader, input);
            }
        }
    }
}

/// Guards against an upstream that carries out an old leader's order after a new leader's, under
/// random leader changes, delays of orders up to their expiry, and lost answers.
#[test]
fn no_old_order_is_carried_out_late() {
    let mut plain = 0;
    let mut checks = 0;
    for seed in 0..100 {
        let mut simulation = Simulation::new(seed);
        for _ in 0..2_000 {
            simulation.step();
        }
        plain += simulation.engines["plain"].carried_out.len();
        checks += simulation.engines["checks"].carried_out.len();
    }
    assert!(plain > 100 && checks > plain, "{plain} and {checks} orders carried out");
    println!("{plain} orders to upstreams that do not check, {checks} to such that do");
}
