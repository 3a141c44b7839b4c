//! The cloud's paths, and the engines that it runs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::time::sleep;

use super::Setup;
use super::state::{Action, Machine, State};
use crate::engine::Engine;
use crate::engine::announce::market;
use crate::engine::setup;
use crate::engine::state::millis;
use crate::engine::truth::Truth;
use crate::http::client::{self, Call};
use crate::http::server::{Reply, Request, Service};

/// How often what is due is done.
const TICK: Duration = Duration::from_millis(20);

/// How long something adopted may take to hear of its reclaim.
const PATIENCE: Duration = Duration::from_millis(500);

/// Shares a cloud's state between its tasks and its handle.
pub(crate) struct Core {
    setup: Setup,
    start: Instant,
    state: Mutex<State>,
    engines: Mutex<BTreeMap<String, Engine>>,
    pending: Mutex<Vec<Action>>,
}

#[derive(Deserialize)]
struct Reclaim {
    name: Option<String>,
    zone: Option<String>,
    notice_ms: u64,
}

#[derive(Deserialize)]
struct Adopt {
    name: String,
    zone: String,
    address: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct Refuse {
    refuse: bool,
}

impl Service for Core {
    async fn answer(self: Arc<Self>, request: Request) -> Reply {
        let parts = request.parts();
        let reply = match (&request.method, parts.as_slice()) {
            (&Method::GET, ["v1", "prices"]) => Ok(self.prices()),
            (&Method::GET, ["v1", "notices"]) => Ok(self.notices(&request)),
            (&Method::POST, ["v1", "machines"]) => self.order(&request),
            (&Method::GET, ["v1", "machines"]) => Ok(self.machines()),
            (&Method::DELETE, ["v1", "machines", name]) => Ok(self.delete(name)),
            (&Method::POST, ["lab", "reclaim"]) => self.reclaim_asked(&request),
            (&Method::POST, ["lab", "adopt"]) => self.adopt_asked(&request),
            (&Method::POST, ["lab", "refuse"]) => self.refuse_asked(&request),
            (&Method::GET, ["lab", "truth"]) => Ok(Reply::json(StatusCode::OK, &self.truths())),
            _ => Err(Reply::missing()),
        };
        reply.unwrap_or_else(|refusal| refusal)
    }
}

impl Core {
    /// Returns the core of a cloud that starts now.
    pub(crate) fn new(setup: Setup) -> Self {
        Self {
            state: Mutex::new(State::new(&setup)),
            engines: Mutex::default(),
            pending: Mutex::default(),
            start: Instant::now(),
            setup,
        }
    }

    /// Makes known something that runs already.
    pub(crate) fn adopt(&self, name: &str, zone: &str, address: Option<SocketAddr>) {
        self.state().adopt(name, zone, address);
    }

    /// Refuses all starts, or no longer.
    pub(crate) fn refuse(&self, refuse: bool) {
        self.state().refuse(refuse);
    }

    /// Takes back whatever has the name or is in the zone; returns the names.
    pub(crate) fn reclaim(&self, target: &str, notice: Duration) -> Vec<String> {
        let mut state = self.state();
        let since = state.next();
        let actions = state.reclaim(self.start.elapsed(), target, notice);
        let names = state.notices(since).iter().map(|notice| notice.name.clone()).collect();
        drop(state);
        self.pending.lock().expect("no holder panics").extend(actions);
        names
    }

    /// Tells what the engines did that it started, also the dead ones.
    pub(crate) fn truths(&self) -> Vec<Truth> {
        self.engines().values().map(Engine::truth).collect()
    }

    /// Does what is due for good.
    pub(crate) async fn run(&self) {
        loop {
            let mut actions = std::mem::take(&mut *self.pending.lock().expect("no holder panics"));
            actions.extend(self.state().step(self.start.elapsed()));
            for action in actions {
                self.perform(action).await;
            }
            sleep(TICK).await;
        }
    }

    async fn perform(&self, action: Action) {
        match action {
            Action::Start(name) => self.spawn(&name),
            Action::End(name) => {
                if let Some(engine) = self.engines().get(&name) {
                    engine.kill();
                }
            }
            Action::Reclaim(name, notice) => {
                if let Some(engine) = self.engines().get(&name) {
                    engine.reclaim(notice);
                }
            }
            Action::Tell(address, notice) => {
                let body = json!({"notice_ms": millis(notice)});
                client::ask(address, &Call::post("/lab/reclaim", &body), PATIENCE).await.ok();
            }
        }
    }

    fn spawn(&self, name: &str) {
        let setup = {
            let state = self.state();
            let Some(machine) = state.machines.get(name) else { return };
            self.engine(name, machine, state.price(machine))
        };
        match Engine::spawn(setup) {
            Ok(engine) => {
                self.engines().insert(name.to_owned(), engine);
            }
            Err(error) => log::warn!("machine {name} did not start: {error}"),
        }
    }

    fn engine(&self, name: &str, machine: &Machine, price: u64) -> setup::Setup {
        setup::Setup {
            upstream: name.into(),
            zone: machine.zone.clone(),
            market: machine.market,
            price,
            models: vec![machine.model.as_str().into()],
            ..self.setup.engine.clone()
        }
    }

    fn prices(&self) -> Reply {
        let state = self.state();
        let prices = state.offers().iter().map(|offer| {
            json!({
                "zone": offer.zone,
                "machine": offer.machine,
                "market": market(offer.market),
                "price": offer.price,
            })
        });
        Reply::json(StatusCode::OK, &json!({"prices": prices.collect::<Vec<_>>()}))
    }

    fn notices(&self, request: &Request) -> Reply {
        let now = self.start.elapsed();
        let state = self.state();
        let notices = state.notices(request.number("since").unwrap_or(0)).iter().map(|notice| {
            json!({
                "sequence": notice.sequence,
                "name": notice.name,
                "deadline_ms": millis(notice.until.saturating_sub(now)),
            })
        });
        let notices: Vec<_> = notices.collect();
        Reply::json(StatusCode::OK, &json!({"next": state.next(), "notices": notices}))
    }

    fn order(&self, request: &Request) -> Result<Reply, Reply> {
        let order = request.json()?;
        let name = self.state().order(self.start.elapsed(), &order);
        Ok(match name {
            Some(name) => Reply::json(StatusCode::CREATED, &json!({"name": name})),
            None => Reply::json(StatusCode::CONFLICT, &json!({"refused": "capacity"})),
        })
    }

    fn machines(&self) -> Reply {
        let state = self.state();
        let machines = state.machines.iter().map(|(name, machine)| {
            json!({
                "name": name,
                "zone": machine.zone,
                "machine": machine.machine,
                "market": market(machine.market),
                "state": machine.phase,
            })
        });
        Reply::json(StatusCode::OK, &json!({"machines": machines.collect::<Vec<_>>()}))
    }

    fn delete(&self, name: &str) -> Reply {
        let actions = self.state().delete(name);
        self.pending.lock().expect("no holder panics").extend(actions);
        Reply::empty(StatusCode::NO_CONTENT)
    }

    fn reclaim_asked(&self, request: &Request) -> Result<Reply, Reply> {
        let reclaim: Reclaim = request.json()?;
        let Some(target) = reclaim.name.or(reclaim.zone) else {
            return Err(Reply::error(StatusCode::BAD_REQUEST, "target", "give a name or a zone"));
        };
        let names = self.reclaim(&target, Duration::from_millis(reclaim.notice_ms));
        Ok(Reply::json(StatusCode::OK, &json!({"reclaimed": names})))
    }

    fn adopt_asked(&self, request: &Request) -> Result<Reply, Reply> {
        let adopt: Adopt = request.json()?;
        self.adopt(&adopt.name, &adopt.zone, adopt.address);
        Ok(Reply::empty(StatusCode::NO_CONTENT))
    }

    fn refuse_asked(&self, request: &Request) -> Result<Reply, Reply> {
        let refuse: Refuse = request.json()?;
        self.refuse(refuse.refuse);
        Ok(Reply::empty(StatusCode::NO_CONTENT))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    fn engines(&self) -> MutexGuard<'_, BTreeMap<String, Engine>> {
        self.engines.lock().expect("no holder panics")
    }
}
