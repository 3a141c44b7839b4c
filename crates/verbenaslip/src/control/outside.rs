//! The thread that speaks with engines beside their streams: orders, their state, cache events.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crossbeam::channel::Sender;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::Upstream;
use verbenaslip_node::Input;
use verbenaslip_policy::route::{CacheBatch, CacheEvent};
use verbenaslip_request::run::Cause;
use verbenaslip_state::order::dispatcher::{Answer, UpstreamState};
use verbenaslip_state::order::{Role, Task};

use crate::control::Order;
use crate::traffic::engine::{self, Engine, Http, Op, Ordered};

/// How long an engine may take to answer.
const LIMIT: Duration = Duration::from_secs(2);

/// The most engines whose place in their cache events is remembered.
const PLACES: usize = 4_096;

/// Asks for one call to an engine.
pub(crate) enum Ask {
    /// Gives an order, which is void after the time given.
    Order { address: SocketAddr, upstream: Upstream, fence: Fence, expires: Duration, task: Task },
    /// Reads the engine's state.
    Read { address: SocketAddr, upstream: Upstream, question: u64 },
    /// Reads what became of its cache since the last time.
    Cache { address: SocketAddr, upstream: Upstream },
}

/// Speaks with engines until it is dropped.
pub(crate) struct Outside {
    asks: Option<UnboundedSender<Ask>>,
    thread: Option<JoinHandle<()>>,
}

impl Outside {
    /// Starts the thread; answers come as inputs of the decisions.
    pub(crate) fn spawn(orders: Sender<Order>) -> io::Result<Self> {
        let (asks, asked) = mpsc::unbounded_channel();
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let thread = thread::Builder::new().name("outside".into()).spawn(move || {
            runtime.block_on(serve(asked, orders));
        })?;
        Ok(Self { asks: Some(asks), thread: Some(thread) })
    }

    /// Asks for a call, without ever waiting.
    pub(crate) fn ask(&self, ask: Ask) {
        if let Some(asks) = &self.asks {
            let _ = asks.send(ask);
        }
    }
}

impl Drop for Outside {
    fn drop(&mut self) {
        self.asks.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Holds how far each engine's cache events have been read.
type Places = Arc<Mutex<BTreeMap<Upstream, u64>>>;

async fn serve(mut asked: UnboundedReceiver<Ask>, orders: Sender<Order>) {
    let places = Places::default();
    while let Some(ask) = asked.recv().await {
        let (orders, places) = (orders.clone(), places.clone());
        tokio::spawn(async move {
            if let Some(input) = call(ask, &places).await {
                let _ = orders.send(Order::Tell(Box::new(input)));
            }
        });
    }
}

async fn call(ask: Ask, places: &Places) -> Option<Input> {
    match ask {
        Ask::Order { address, upstream, fence, expires, task } => {
            let engine = Http::new(address, LIMIT.min(expires));
            let answer = engine.order(fence, expires, order(task)).await;
            Some(Input::OrderAnswered { upstream, fence, answer: ordered(answer) })
        }
        Ask::Read { address, upstream, question } => {
            let held = Http::new(address, LIMIT).orders().await.ok()?;
            let fence = (held.held != Fence::default()).then_some(held.held);
            let holding = UpstreamState { fence, models: held.models, role: role(held.role) };
            Some(Input::StateRead { upstream, question, state: holding })
        }
        Ask::Cache { address, upstream } => cache(address, upstream, places).await,
    }
}

async fn cache(address: SocketAddr, upstream: Upstream, places: &Places) -> Option<Input> {
    let since = lock(places).get(&upstream).copied().unwrap_or(0);
    let cache = Http::new(address, LIMIT).cache(since).await.ok()?;
    let mut places = lock(places);
    if places.len() >= PLACES {
        places.clear();
    }
    places.insert(upstream.clone(), cache.next);
    if cache.events.is_empty() && !cache.gap {
        return None;
    }
    let change = |event: &engine::Change| match event.op {
        Op::Stored => CacheEvent::Stored(event.block),
        Op::Evicted => CacheEvent::Evicted(event.block),
    };
    let changes = cache.events.iter().map(change).collect();
    let batch = CacheBatch { next_sequence: cache.next, gap: cache.gap, events: changes };
    Some(Input::CacheEvents { upstream, batch })
}

fn lock(places: &Places) -> std::sync::MutexGuard<'_, BTreeMap<Upstream, u64>> {
    places.lock().unwrap_or_else(PoisonError::into_inner)
}

fn order(task: Task) -> engine::Order {
    match task {
        Task::Load(model) => engine::Order::Load(model),
        Task::Unload(model) => engine::Order::Unload(model),
        Task::Role(Role::Prefill) => engine::Order::Role(engine::Role::Prefill),
        Task::Role(Role::Decode) => engine::Order::Role(engine::Role::Decode),
        Task::Role(Role::Both) => engine::Order::Role(engine::Role::Both),
    }
}

fn role(role: engine::Role) -> Role {
    match role {
        engine::Role::Prefill => Role::Prefill,
        engine::Role::Decode => Role::Decode,
        engine::Role::Both => Role::Both,
    }
}

fn ordered(answer: Result<Ordered, Cause>) -> Answer {
    match answer {
        Ok(Ordered::Applied) => Answer::Applied,
        Ok(Ordered::Fenced(fence)) => Answer::Held(fence),
        Ok(Ordered::Expired) => Answer::Expired,
        Err(Cause::Refused) => Answer::Refused,
        Err(_) => Answer::Unknown,
    }
}
