//! Sends the leader's orders to upstreams, guarded by fencing tokens.

use verbenaslip_base::announce::Kind;
use verbenaslip_base::name::{Model, Operator, Upstream};
use verbenaslip_state::order::{self, Order, OrderEnd, Pending, Task, Verdict};
use verbenaslip_state::{Command, Outcome};

use crate::lead::committed_outcome;
use crate::message::ProposalAnswer;
use crate::node::Node;
use crate::notice::Notice;
use crate::output::Output;
use crate::proposal::Purpose;

/// Time within which an upstream may carry out an order.
const ORDER_LIFETIME_MS: u64 = 5_000;

/// Name of the operator that the audit trail shows for orders of the capacity plan.
const PLAN_OPERATOR: &str = "plan";

impl Node {
    /// Tells the order dispatcher whether this instance leads, and until when its lease lasts.
    pub(crate) fn update_order_leadership(&mut self) {
        let Some(voter) = &self.voter else { return };
        let until = voter.replica().lease_until(self.now).filter(|until| *until > self.now);
        let input = match until {
            Some(until) => {
                let pending = voter.state().orders().cloned().collect();
                order::Input::Lead(order::dispatcher::Leadership {
                    term: voter.replica().term(),
                    until,
                    pending,
                })
            }
            None => order::Input::Resign,
        };
        self.step_orders(input);
        self.step_orders(order::Input::Tick);
    }

    /// Orders an upstream to load a model.
    pub(crate) fn order_model_load(&mut self, upstream: Upstream, model: Model) {
        let order = Order {
            by: Operator::from(PLAN_OPERATOR),
            upstream,
            task: Task::Load(model),
            lifetime: ORDER_LIFETIME_MS,
            at: self.unix_ms(),
        };
        self.step_orders(order::Input::Want(order));
    }

    /// Tells the order dispatcher about an upstream that has announced itself.
    pub(crate) fn update_orderable_upstream(&mut self, upstream: &Upstream) {
        let Some(record) = self.gossip.record(upstream) else { return };
        let announcement = record.announcement();
        if announcement.kind == Kind::Engine {
            let (upstream, fenced) = (upstream.clone(), announcement.fenced);
            self.step_orders(order::Input::Upstream { upstream, fenced });
        }
    }

    pub(crate) fn step_orders(&mut self, input: order::Input) {
        let mut outputs = Vec::new();
        self.orders.step(self.now, input, &mut outputs);
        for output in outputs {
            self.handle_order_output(output);
        }
    }

    /// Handles the result of the proposal that assigns an order its fence number.
    pub(crate) fn handle_order_number(&mut self, order: Order, answer: &ProposalAnswer) {
        let input = match committed_outcome(answer) {
            Some(Outcome::Order(Verdict::Numbered(fence))) => {
                order::Input::Committed(Pending { fence: *fence, order })
            }
            _ => order::Input::Denied(order.upstream),
        };
        self.step_orders(input);
    }

    fn handle_order_output(&mut self, output: order::Output) {
        match output {
            order::Output::Propose(order) => {
                let purpose = Purpose::OrderNumber { order: Box::new(order.clone()) };
                self.propose(Command::Order(order), purpose, crate::calls::CHANGE_TIMEOUT);
            }
            order::Output::Give(delivery) => {
                if let Some(record) = self.gossip.record(&delivery.upstream) {
                    let address = record.announcement().address;
                    self.out.push(Output::Order { address, delivery });
                }
            }
            order::Output::ReadBack { upstream, question } => {
                if let Some(record) = self.gossip.record(&upstream) {
                    let address = record.announcement().address;
                    self.out.push(Output::ReadState { address, upstream, question });
                }
            }
            order::Output::End(end) => {
                let ordered = OrderEnd {
                    by: self.setup.instance.clone(),
                    upstream: end.upstream.clone(),
                    fence: end.ending.fence,
                    result: end.ending.result,
                    at: self.unix_ms(),
                };
                let purpose = Purpose::OrderEnd { upstream: end.upstream, fence: end.ending.fence };
                self.propose(Command::Ordered(ordered), purpose, crate::calls::CHANGE_TIMEOUT);
            }
            order::Output::Report(report) => self.notify(Notice::OrderReport(report)),
        }
    }
}
