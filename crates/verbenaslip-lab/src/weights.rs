//! A weight store whose rate is limited.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::json;
use verbenaslip_base::data;
use verbenaslip_base::name::{Model, Upstream};

use crate::http::host::Host;
use crate::http::server::{self, Reply, Request, Service};

/// Describes a weight store.
#[data]
pub struct Setup {
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Bytes that it sends in a second, over all fetches.
    pub bytes_per_s: u64,
    /// How long a fetch may wait for those before it; beyond that it is refused.
    pub backlog: Duration,
    /// The size of each model in bytes.
    pub sizes: BTreeMap<Model, u64>,
    /// The size of a model that is not named.
    pub size: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            bytes_per_s: 2_000_000_000,
            backlog: Duration::ZERO,
            sizes: BTreeMap::new(),
            size: 1_000_000_000,
        }
    }
}

/// Runs a weight store stand-in; it dies hard when dropped.
pub struct Store {
    host: Host,
}

impl Store {
    /// Starts a weight store.
    ///
    /// # Errors
    ///
    /// Fails when its address can't be bound or no thread can be started.
    pub fn spawn(setup: Setup) -> io::Result<Self> {
        let host = Host::spawn("weights", setup.listen, move |listener, _| {
            let state = State { busy: Duration::ZERO, fetches: 0 };
            let core = Core { setup, start: Instant::now(), state: Mutex::new(state) };
            server::serve(listener, Arc::default(), Arc::new(core))
        })?;
        Ok(Self { host })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.host.address()
    }
}

struct Core {
    setup: Setup,
    start: Instant,
    state: Mutex<State>,
}

struct State {
    /// The time until which the rate is used up.
    busy: Duration,
    fetches: u64,
}

#[derive(Deserialize)]
struct Fetch {
    model: Model,
    #[serde(rename = "upstream")]
    _upstream: Upstream,
}

impl Service for Core {
    async fn answer(self: Arc<Self>, request: Request) -> Reply {
        match (&request.method, request.path.as_str()) {
            (&Method::POST, "/v1/fetches") => match request.json() {
                Ok(fetch) => self.fetch(&fetch),
                Err(refusal) => refusal,
            },
            (&Method::GET, "/v1/budget") => self.budget(),
            _ => Reply::missing(),
        }
    }
}

impl Core {
    fn fetch(&self, fetch: &Fetch) -> Reply {
        let now = self.start.elapsed();
        let mut state = self.state.lock().expect("no holder panics");
        let wait = state.busy.saturating_sub(now);
        if wait > self.setup.backlog {
            let wait = (wait - self.setup.backlog).as_millis() + 1;
            return Reply::error(StatusCode::TOO_MANY_REQUESTS, "rate", "the rate is used up")
                .with("retry-after-ms", &wait.to_string());
        }
        let bytes = self.setup.sizes.get(&fetch.model).copied().unwrap_or(self.setup.size);
        let time = Duration::from_secs_f64(bytes as f64 / self.setup.bytes_per_s.max(1) as f64);
        state.busy = now + wait + time;
        state.fetches += 1;
        let seconds = (wait + time).as_secs_f64();
        let fetch = format!("fetch-{}", state.fetches);
        Reply::json(
            StatusCode::ACCEPTED,
            &json!({"fetch": fetch, "bytes": bytes, "seconds": seconds}),
        )
    }

    fn budget(&self) -> Reply {
        let state = self.state.lock().expect("no holder panics");
        let used = if state.busy > self.start.elapsed() { self.setup.bytes_per_s } else { 0 };
        let rate = self.setup.bytes_per_s;
        Reply::json(StatusCode::OK, &json!({"bytes_per_s": rate, "used": used}))
    }
}
