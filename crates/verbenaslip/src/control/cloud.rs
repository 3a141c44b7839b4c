//! The thread that speaks with the cloud: reclaim notices, prices, machines.

use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam::channel::{self, Receiver, RecvTimeoutError, Sender};
use verbenaslip_base::name::Upstream;
use verbenaslip_node::Input;
use verbenaslip_node::capacity::{ListedMachine, Survey};
use verbenaslip_policy::plan::{self, Offer};

use crate::cloud::{self, Cloud, Http, Started};
use crate::control::Order;
use crate::event::Event;
use crate::settings::section;

/// How long the cloud may take for an answer.
const LIMIT: Duration = Duration::from_secs(2);

/// Asks for one call to the cloud.
pub(crate) enum Ask {
    /// Reads prices and machines.
    Survey,
    /// Starts or stops a machine.
    Order(plan::Order),
}

/// Speaks with the cloud until it is dropped.
pub(crate) struct Worker {
    asks: Option<Sender<Ask>>,
    thread: Option<JoinHandle<()>>,
}

impl Worker {
    /// Starts the thread; notices come as orders, answers as inputs of the decisions.
    pub(crate) fn spawn(settings: &section::Cloud, orders: Sender<Order>) -> Self {
        let (asks, asked) = channel::unbounded();
        let settings = settings.clone();
        let thread = thread::spawn(move || {
            let cloud = Http::new(settings.address, LIMIT);
            Speaker { cloud, settings, orders, since: 0, reached: true }.run(&asked);
        });
        Self { asks: Some(asks), thread: Some(thread) }
    }

    /// Asks for a call, without ever waiting.
    pub(crate) fn ask(&self, ask: Ask) {
        if let Some(asks) = &self.asks {
            let _ = asks.send(ask);
        }
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.asks.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

struct Speaker {
    cloud: Http,
    settings: section::Cloud,
    orders: Sender<Order>,
    since: u64,
    reached: bool,
}

impl Speaker {
    fn run(&mut self, asked: &Receiver<Ask>) {
        let mut due = Instant::now();
        loop {
            match asked.recv_deadline(due) {
                Ok(Ask::Survey) => self.survey(),
                Ok(Ask::Order(order)) => self.order(order),
                Err(RecvTimeoutError::Timeout) => {
                    self.notices();
                    due = Instant::now() + self.settings.poll;
                }
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn notices(&mut self) {
        let notices = self.cloud.notices(self.since);
        self.note_reach(notices.as_ref().err());
        let Ok(notices) = notices else { return };
        self.since = notices.next;
        for notice in notices.notices {
            let order = Order::Reclaim { name: notice.name, notice: notice.deadline };
            let _ = self.orders.send(order);
        }
    }

    fn survey(&self) {
        let (Ok(prices), Ok(machines)) = (self.cloud.prices(), self.cloud.list()) else { return };
        let offer = |price: cloud::Price| Offer {
            zone: price.zone,
            class: price.machine,
            market: price.market,
            price: price.price,
        };
        let listed = |machine: cloud::Machine| ListedMachine {
            name: Upstream::new(machine.name),
            zone: machine.zone,
            class: machine.machine,
            market: machine.market,
        };
        let offers = prices.into_iter().map(offer).collect();
        let machines = machines.into_iter().map(listed).collect();
        self.tell(Input::Surveyed(Survey { offers, machines }));
    }

    fn order(&self, order: plan::Order) {
        match order {
            plan::Order::Start { id, zone, class, market, model } => {
                let identity: Arc<str> = format!("{id:032x}").into();
                let order = cloud::Order { request: identity, zone, machine: class, market, model };
                // Without an answer nobody knows whether it starts; the plan sends it again.
                let Ok(started) = self.cloud.start(&order) else { return };
                let name = match started {
                    Started::Named(name) => Some(Upstream::new(name)),
                    Started::Refused(next) => {
                        log_refusal(order, next);
                        None
                    }
                };
                self.tell(Input::Started { request: id, name });
            }
            plan::Order::Stop { name } => {
                if let Err(error) = self.cloud.stop(name.as_str()) {
                    log::debug!("stopping {name} failed, the plan tries again: {error}");
                }
            }
            plan::Order::Drain { .. } | plan::Order::Load { .. } => {}
        }
    }

    fn tell(&self, input: Input) {
        let _ = self.orders.send(Order::Tell(Box::new(input)));
    }

    /// Logs when the cloud can't be asked, and when it answers again, once each.
    fn note_reach(&mut self, error: Option<&cloud::Error>) {
        let address = self.settings.address;
        match error {
            Some(error) if self.reached => {
                Event::CloudUnreachable { address, cause: error.to_string().into() }.log();
            }
            None if !self.reached => Event::CloudBack { address }.log(),
            _ => {}
        }
        self.reached = error.is_none();
    }
}

fn log_refusal(order: cloud::Order, next: Arc<str>) {
    let market = format!("{:?}", order.market).into();
    let (machine, zone) = (order.machine, order.zone);
    Event::StartRefused { market, machine, zone, next }.log();
}
