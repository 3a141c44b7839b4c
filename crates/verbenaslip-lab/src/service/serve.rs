//! The plain service's paths and its count of runs.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use serde_json::json;
use tokio::sync::Notify;
use tokio::time::sleep;
use verbenaslip_base::announce::Load;

use super::Setup;
use crate::engine::announce::{self, Phase, Profile};
use crate::engine::core::unix;
use crate::engine::fault::{Fault, Faults};
use crate::engine::truth::{End, Run, Truth};
use crate::http::connection::Silencer;
use crate::http::server::{Reply, Request, Service};
use crate::text;

/// Shares a service's state between its tasks and its handle.
pub(crate) struct Core {
    setup: Setup,
    address: SocketAddr,
    state: Mutex<State>,
    /// Silences connections.
    pub(crate) silencer: Arc<Silencer>,
    tell: Notify,
    end: Arc<Notify>,
    start: Instant,
}

#[derive(Default)]
struct State {
    faults: Faults,
    truth: Truth,
    running: u32,
    leaving: Option<Phase>,
}

impl Service for Core {
    async fn answer(self: Arc<Self>, request: Request) -> Reply {
        self.thaw().await;
        match (&request.method, request.parts().as_slice()) {
            (&Method::GET, ["lab", "truth"]) => Reply::json(StatusCode::OK, &self.truth()),
            (&Method::POST, ["lab", "fault"]) => match request.json() {
                Ok(fault) => {
                    match fault {
                        Fault::Silence => self.silencer.silence_soon(),
                        fault => self.fault(fault),
                    }
                    Reply::empty(StatusCode::NO_CONTENT)
                }
                Err(refusal) => refusal,
            },
            (&Method::POST, ["lab", "reclaim"]) => match request.json::<serde_json::Value>() {
                Ok(body) => {
                    self.leave(body["notice_ms"].as_u64().map(Duration::from_millis));
                    Reply::empty(StatusCode::NO_CONTENT)
                }
                Err(refusal) => refusal,
            },
            (&Method::POST, _) => self.run(&request).await,
            _ => Reply::missing(),
        }
    }
}

impl Core {
    /// Returns the core of a service that starts now.
    pub(crate) fn new(setup: Setup, address: SocketAddr, end: Arc<Notify>) -> Self {
        let state = State {
            truth: Truth { name: setup.upstream.to_string(), ..Truth::default() },
            ..State::default()
        };
        Self {
            setup,
            address,
            state: Mutex::new(state),
            silencer: Arc::default(),
            tell: Notify::new(),
            end,
            start: Instant::now(),
        }
    }

    /// Sets a fault.
    pub(crate) fn fault(&self, fault: Fault) {
        match fault {
            Fault::Silence => self.silencer.silence(),
            Fault::Mute { count } => self.silencer.mute(count),
            Fault::Kill => self.end.notify_one(),
            fault => self.state().faults.set(self.start.elapsed(), fault),
        }
    }

    /// Begins to leave.
    pub(crate) fn leave(&self, notice: Option<Duration>) {
        let until = notice.map(|notice| self.start.elapsed() + notice);
        {
            let mut state = self.state();
            state.leaving = Some(Phase::Leaving(until));
            state.truth.leaving_ms.get_or_insert_with(unix);
        }
        self.tell.notify_one();
    }

    /// Tells what it did.
    pub(crate) fn truth(&self) -> Truth {
        self.state().truth.clone()
    }

    /// Announces the service until it has left.
    pub(crate) async fn announce(self: &Arc<Self>) {
        let announcer = announce::run(&self.setup.announce, &self.tell, || self.profile());
        tokio::join!(announcer, self.watch());
    }

    /// Ends the service when its notice has passed or its last run has ended.
    async fn watch(&self) {
        const LOOK: Duration = Duration::from_millis(20);
        loop {
            let gone = {
                let state = self.state();
                match state.leaving {
                    Some(Phase::Leaving(Some(until))) => until <= self.start.elapsed(),
                    Some(Phase::Leaving(None)) => state.running == 0,
                    _ => false,
                }
            };
            if gone {
                return self.end.notify_one();
            }
            sleep(LOOK).await;
        }
    }

    fn profile(&self) -> Option<Profile> {
        let now = self.start.elapsed();
        let state = self.state();
        if now < state.faults.frozen {
            return None;
        }
        Some(Profile {
            upstream: self.setup.upstream.clone(),
            address: self.address,
            zone: self.setup.zone.clone(),
            kind: "service",
            phase: state.leaving.unwrap_or(Phase::Ready),
            now,
            models: self.setup.services.clone(),
            market: self.setup.market,
            price: self.setup.price,
            fenced: false,
            slots: self.setup.slots,
            load: Load { running: state.running, ..Load::default() },
        })
    }

    async fn run(&self, request: &Request) -> Reply {
        let Some(index) = self.begin(request) else { return Reply::not_run("refused") };
        let errs = self.state().faults.errs();
        sleep(self.time()).await;
        self.thaw().await;
        self.finish(index);
        if errs.is_some() {
            return Reply::error(StatusCode::INTERNAL_SERVER_ERROR, "internal", "it failed");
        }
        let answer = json!({
            "answer": text::reply(&request.body),
            "request": request.header("verbenaslip-request"),
            "path": request.path,
        });
        Reply::json(StatusCode::OK, &answer)
    }

    fn begin(&self, request: &Request) -> Option<usize> {
        let mut state = self.state();
        if state.faults.refuses() || state.leaving == Some(Phase::Leaving(None)) {
            state.truth.refused += 1;
            return None;
        }
        let now = unix();
        let attempt = request.header("verbenaslip-attempt").and_then(|text| text.parse().ok());
        let seed = text::body_seed(&request.body);
        state.running += 1;
        let request = request.header("verbenaslip-request").unwrap_or_default();
        let run = Run::new(request, attempt.unwrap_or(0), seed, now);
        state.truth.runs.push(Run { began_ms: Some(now), ..run });
        Some(state.truth.runs.len() - 1)
    }

    fn finish(&self, index: usize) {
        let mut state = self.state();
        state.running -= 1;
        let run = &mut state.truth.runs[index];
        run.end = Some(End::Done);
        run.ended_ms = Some(unix());
    }

    fn time(&self) -> Duration {
        self.state().faults.stretch(self.start.elapsed(), self.setup.time)
    }

    async fn thaw(&self) {
        loop {
            let frozen = self.state().faults.frozen.saturating_sub(self.start.elapsed());
            if frozen.is_zero() {
                return;
            }
            sleep(frozen).await;
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }
}
