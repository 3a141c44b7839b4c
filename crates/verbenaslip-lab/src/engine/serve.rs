//! The engine's HTTP paths.

use std::sync::Arc;
use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::announce;
use super::core::{Core, unix};
use super::fault::Fault;
use super::kv::Block;
use super::order::{Envelope, Outcome};
use super::run::Key;
use super::state::{Job, Refused, Resume};
use super::stream::Reader;
use super::truth::End;
use super::weights;
use crate::http::client::{self, Call};
use crate::http::server::{Reply, Request, Service};
use crate::text;

/// How long a source of a KV cache may be silent.
const PATIENCE: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
struct Export {
    request: String,
    attempt: u32,
}

#[derive(Deserialize)]
struct Import {
    handle: String,
    source: std::net::SocketAddr,
}

#[derive(Deserialize)]
struct Reclaim {
    notice_ms: Option<u64>,
}

impl Service for Core {
    async fn answer(self: Arc<Self>, request: Request) -> Reply {
        self.thaw().await;
        let parts = request.parts();
        let reply = match (&request.method, parts.as_slice()) {
            (&Method::POST, ["v1", "chat", "completions"]) => self.chat(&request),
            (&Method::GET, ["v1", "streams", id, attempt]) => rejoin(&self, &request, id, attempt),
            (&Method::POST, ["v1", "streams", id, attempt, "cancel"]) => self.cancel(id, attempt),
            (&Method::POST, ["v1", "kv", "export"]) => self.export(&request).await,
            (&Method::POST, ["v1", "kv", "import"]) => self.import(&request).await,
            (&Method::GET, ["v1", "cache", "events"]) => self.events(&request),
            (&Method::GET, ["v1", "load"]) => self.load(),
            (&Method::POST, ["v1", "orders"]) => self.order(&request),
            (&Method::GET, ["v1", "orders"]) => self.orders(),
            (_, ["lab", ..]) => self.lab(&request, &parts),
            _ => Err(Reply::missing()),
        };
        reply.unwrap_or_else(|refusal| refusal)
    }
}

impl Core {
    fn chat(self: &Arc<Self>, request: &Request) -> Result<Reply, Reply> {
        let key = key_of_headers(request)?;
        let body: Value = request.json()?;
        let errs = {
            let mut state = self.state();
            if state.faults.refuses() {
                state.refused += 1;
                return Err(Reply::not_run("refused"));
            }
            state.faults.errs()
        };
        if errs == Some(false) {
            return Err(broken());
        }
        let job = job_of(key, request, &body, self.state().setup.output);
        let accepted = self.state().accept(self.now(), unix(), job);
        self.wake.notify_one();
        accepted.map_err(|refused| self.refuse(refused))?;
        if errs.is_some() {
            return Err(broken());
        }
        let reader = Reader::open(self, key, None).ok_or_else(Reply::missing)?;
        Ok(Reply::flow(reader.flow()))
    }

    fn refuse(&self, refused: Refused) -> Reply {
        if refused == Refused::Known {
            return Reply::error(StatusCode::CONFLICT, "attempt_known", "the attempt is known");
        }
        self.state().refused += 1;
        match refused {
            Refused::Model => Reply::not_run("model_not_loaded"),
            Refused::Handle => Reply::not_run("kv_unknown"),
            Refused::Leaving | Refused::Known => Reply::not_run("leaving"),
        }
    }

    fn cancel(&self, id: &str, attempt: &str) -> Result<Reply, Reply> {
        let key = key_of(id, attempt)?;
        let now = self.now();
        let mut state = self.state();
        let cancelled = match state.cancellable(key) {
            // A deaf run says that it is cancelled, and goes on.
            Some(false) => true,
            Some(true) => state.end(now, unix(), key, End::Cancelled),
            None => false,
        };
        drop(state);
        self.wake.notify_one();
        Ok(Reply::json(StatusCode::OK, &json!({"cancelled": cancelled})))
    }

    async fn export(&self, request: &Request) -> Result<Reply, Reply> {
        let export: Export = request.json()?;
        let key = key_of(&export.request, &export.attempt.to_string())?;
        let block = self.state().export(self.now(), unix(), key).ok_or_else(Reply::missing)?;
        let time = self.state().setup.pace.transfer * block.tokens();
        self.wake.notify_one();
        sleep(time).await;
        Ok(Reply::json(
            StatusCode::OK,
            &json!({"handle": block.handle, "tokens": block.position, "bytes": block.bytes()}),
        ))
    }

    async fn import(&self, request: &Request) -> Result<Reply, Reply> {
        let import: Import = request.json()?;
        let call = Call::get(format!("/lab/kv/{}", import.handle));
        let unreachable =
            || Reply::error(StatusCode::BAD_GATEWAY, "source_lost", "the source does not answer");
        let answer =
            client::ask(import.source, &call, PATIENCE).await.map_err(|_| unreachable())?;
        if answer.status != StatusCode::OK {
            return Err(Reply::missing());
        }
        let block: Block = serde_json::from_slice(&answer.body).map_err(|_| unreachable())?;
        let time = self.state().setup.pace.transfer * block.tokens();
        sleep(time).await;
        let tokens = block.position;
        self.state().kv.put(block);
        Ok(Reply::json(StatusCode::OK, &json!({"tokens": tokens})))
    }

    fn events(&self, request: &Request) -> Result<Reply, Reply> {
        let since = request.number("since").unwrap_or(0);
        let page = self.state().cache.page(self.now(), since);
        Ok(Reply::json(StatusCode::OK, &page))
    }

    fn load(&self) -> Result<Reply, Reply> {
        let load = self.state().load(self.now());
        Ok(Reply::json(StatusCode::OK, &announce::load(load)))
    }

    fn order(self: &Arc<Self>, request: &Request) -> Result<Reply, Reply> {
        let envelope: Envelope = request.json()?;
        let ready = self.millis() + super::state::millis(self.state().setup.pace.load);
        let waited = super::state::millis(request.arrival.elapsed());
        let outcome = self.state().orders.apply(waited, ready, &envelope);
        match outcome {
            Outcome::Applied => {
                weights::fetch(self, &envelope.order);
                self.tell.notify_one();
                Ok(Reply::json(StatusCode::OK, &json!({"applied": true})))
            }
            Outcome::Held(held) => Err(Reply::json(StatusCode::CONFLICT, &json!({"held": held}))),
            Outcome::Expired => {
                Err(Reply::error(StatusCode::GONE, "expired", "the order has expired"))
            }
        }
    }

    fn orders(&self) -> Result<Reply, Reply> {
        let state = self.state().orders.state(self.millis());
        Ok(Reply::json(StatusCode::OK, &state))
    }

    fn lab(&self, request: &Request, parts: &[&str]) -> Result<Reply, Reply> {
        match (&request.method, parts) {
            (&Method::GET, ["lab", "truth"]) => {
                Ok(Reply::json(StatusCode::OK, &self.state().truth()))
            }
            (&Method::GET, ["lab", "orders"]) => {
                Ok(Reply::json(StatusCode::OK, &self.state().orders.log()))
            }
            (&Method::GET, ["lab", "kv", handle]) => {
                let block = self.state().kv.get(handle).cloned();
                Ok(Reply::json(StatusCode::OK, &block.ok_or_else(Reply::missing)?))
            }
            (&Method::POST, ["lab", "fault"]) => {
                match request.json()? {
                    Fault::Silence => self.silencer.silence_soon(),
                    fault => self.fault(fault),
                }
                Ok(Reply::empty(StatusCode::NO_CONTENT))
            }
            (&Method::POST, ["lab", "reclaim"]) => {
                let reclaim: Reclaim = request.json()?;
                self.leave(reclaim.notice_ms.map(Duration::from_millis));
                Ok(Reply::empty(StatusCode::NO_CONTENT))
            }
            _ => Err(Reply::missing()),
        }
    }
}

fn rejoin(core: &Arc<Core>, request: &Request, id: &str, attempt: &str) -> Result<Reply, Reply> {
    let key = key_of(id, attempt)?;
    let from = u32::try_from(request.number("from").unwrap_or(0)).unwrap_or(u32::MAX);
    let reader = Reader::open(core, key, Some(from)).ok_or_else(Reply::missing)?;
    Ok(Reply::flow(reader.flow()))
}

fn job_of(key: Key, request: &Request, body: &Value, output: u32) -> Job {
    let asked = body["max_tokens"].as_u64().or(body["max_completion_tokens"].as_u64());
    let priority = request.header("verbenaslip-priority").and_then(|text| text.parse().ok());
    let resume = body.get("resume").map(|resume| Resume {
        text: resume["text"].as_str().unwrap_or_default().to_owned(),
        tokens: number(&resume["tokens"]).unwrap_or(0),
    });
    Job {
        key,
        model: body["model"].as_str().unwrap_or_default().to_owned(),
        prompt: text::prompt(body),
        limit: asked.and_then(|asked| u32::try_from(asked).ok()).unwrap_or(output),
        priority: priority.unwrap_or(0),
        resume,
        handle: body["kv"]["handle"].as_str().map(str::to_owned),
    }
}

fn number(value: &Value) -> Option<u32> {
    u32::try_from(value.as_u64()?).ok()
}

fn key_of_headers(request: &Request) -> Result<Key, Reply> {
    let id = request.header("verbenaslip-request").unwrap_or_default();
    let attempt = request.header("verbenaslip-attempt").unwrap_or_default();
    key_of(id, attempt).map_err(|_| {
        Reply::error(StatusCode::BAD_REQUEST, "invalid_request_error", "no request or attempt")
    })
}

fn key_of(id: &str, attempt: &str) -> Result<Key, Reply> {
    let request = u128::from_str_radix(id, 16).map_err(|_| Reply::missing())?;
    let attempt = attempt.parse().map_err(|_| Reply::missing())?;
    Ok((request, attempt))
}

fn broken() -> Reply {
    Reply::error(StatusCode::INTERNAL_SERVER_ERROR, "internal", "the engine failed")
}
