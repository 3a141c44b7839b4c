//! The engine's calls beside streams: KV cache, cancel, load, orders and cache events.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use hyper::StatusCode;
use hyper::http::request::Builder;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use verbenaslip_base::announce::Load;
use verbenaslip_base::attempt::Attempt;
use verbenaslip_base::data;
use verbenaslip_base::fence::Fence;
use verbenaslip_base::name::Model;
use verbenaslip_request::run::Cause;

use crate::traffic::dial;

/// The most bytes of one answer.
const ANSWER_MAX: usize = 1 << 20;

/// An engine call that goes on.
pub type Call<'a, T> = Pin<Box<dyn Future<Output = Result<T, Cause>> + Send + 'a>>;

/// Speaks with one model engine beside its streams.
pub trait Engine: Send + Sync {
    /// Exports the KV cache of a run, whose stream stops there.
    fn export(&self, attempt: Attempt) -> Call<'_, Export>;
    /// Imports a KV cache from where it was exported, and returns its tokens.
    fn import(&self, handle: String, source: SocketAddr) -> Call<'_, u32>;
    /// Cancels a run; it says whether there was one.
    fn cancel(&self, attempt: Attempt) -> Call<'_, bool>;
    /// Reads the load report.
    fn load(&self) -> Call<'_, Load>;
    /// Reads what became of the cache since a sequence number.
    fn cache(&self, since: u64) -> Call<'_, Cache>;
    /// Gives an order, which must not be obeyed later than `expires` after its sending.
    fn order(&self, fence: Fence, expires: Duration, order: Order) -> Call<'_, Ordered>;
    /// Reads which order the engine holds.
    fn orders(&self) -> Call<'_, Held>;
}

/// Tells of an exported KV cache.
#[data]
pub struct Export {
    /// The name to import it by.
    pub handle: String,
    /// The tokens at which the stream stopped.
    pub tokens: u32,
    /// Its size.
    pub bytes: u64,
}

/// Holds what became of an engine's cache.
#[data]
pub struct Cache {
    /// The sequence number to ask from next.
    pub next: u64,
    /// Whether events before these were lost.
    pub gap: bool,
    /// The events.
    pub events: Vec<Change>,
}

/// Tells of one block in an engine's cache.
#[data(copy)]
pub struct Change {
    /// The sequence number.
    pub sequence: u64,
    /// What happened.
    pub op: Op,
    /// The block's hash.
    pub block: u64,
}

/// Says what happened to a block.
#[data(copy)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// It is in the cache.
    Stored,
    /// It is no more in the cache.
    Evicted,
}

/// Says what an engine is to do.
#[data]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load a model, adapter or version.
    Load(Model),
    /// Unload it.
    Unload(Model),
    /// Change what it serves.
    Role(Role),
}

/// Says which part of a request an engine computes.
#[data(copy, ord)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prompts only.
    Prefill,
    /// Answers only.
    Decode,
    /// Both.
    Both,
}

/// Says what became of an order.
#[data(copy)]
pub enum Ordered {
    /// It was done.
    Applied,
    /// The engine holds a later one.
    Fenced(Fence),
    /// It came after its expiry.
    Expired,
}

/// Tells what an engine holds.
#[data]
pub struct Held {
    /// The latest order that it took.
    pub held: Fence,
    /// The models it has loaded.
    pub models: Vec<Model>,
    /// What it serves.
    pub role: Role,
}

/// Speaks with an engine over HTTP, each call on a connection of its own.
pub struct Http {
    address: SocketAddr,
    limit: Duration,
}

impl Http {
    /// Speaks with the engine at an address, each call within a time.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self { address, limit }
    }

    async fn call(&self, request: Builder, body: Vec<u8>) -> Result<dial::Reply, Cause> {
        dial::call(self.address, request, body, self.limit, ANSWER_MAX).await
    }

    async fn read<T: DeserializeOwned>(&self, request: Builder, body: Vec<u8>) -> Result<T, Cause> {
        let reply = self.call(request, body).await?;
        match reply.status {
            StatusCode::OK => decode(&reply),
            StatusCode::NOT_FOUND => Err(Cause::Forgotten),
            _ => Err(Cause::Error),
        }
    }
}

fn decode<T: DeserializeOwned>(reply: &dial::Reply) -> Result<T, Cause> {
    serde_json::from_slice(&reply.bytes).map_err(|_| Cause::Error)
}

#[derive(Deserialize)]
struct Imported {
    tokens: u32,
}

#[derive(Deserialize)]
struct Cancelled {
    cancelled: bool,
}

#[derive(Deserialize)]
struct Newer {
    held: Fence,
}

impl Engine for Http {
    fn export(&self, attempt: Attempt) -> Call<'_, Export> {
        let request = attempt.request.to_string();
        let body = json!({ "request": request, "attempt": attempt.number }).to_string();
        Box::pin(self.read(dial::post("/v1/kv/export"), body.into()))
    }

    fn import(&self, handle: String, source: SocketAddr) -> Call<'_, u32> {
        let body = json!({ "handle": handle, "source": source }).to_string();
        Box::pin(async move {
            let imported: Imported = self.read(dial::post("/v1/kv/import"), body.into()).await?;
            Ok(imported.tokens)
        })
    }

    fn cancel(&self, attempt: Attempt) -> Call<'_, bool> {
        let path = format!("/v1/streams/{}/{}/cancel", attempt.request, attempt.number);
        Box::pin(async move {
            let answer: Cancelled = self.read(dial::post(path), Vec::new()).await?;
            Ok(answer.cancelled)
        })
    }

    fn load(&self) -> Call<'_, Load> {
        Box::pin(self.read(dial::get("/v1/load"), Vec::new()))
    }

    fn cache(&self, since: u64) -> Call<'_, Cache> {
        let path = format!("/v1/cache/events?since={since}");
        Box::pin(async move { self.read(dial::get(path), Vec::new()).await })
    }

    fn order(&self, fence: Fence, expires: Duration, order: Order) -> Call<'_, Ordered> {
        let millis = u64::try_from(expires.as_millis()).unwrap_or(u64::MAX);
        let body = json!({
            "term": fence.term, "index": fence.index, "expires_ms": millis, "order": order,
        });
        Box::pin(async move {
            let reply = self.call(dial::post("/v1/orders"), body.to_string().into()).await?;
            match reply.status {
                StatusCode::OK => Ok(Ordered::Applied),
                StatusCode::CONFLICT => decode::<Newer>(&reply).map(|n| Ordered::Fenced(n.held)),
                StatusCode::GONE => Ok(Ordered::Expired),
                _ => Err(Cause::Error),
            }
        })
    }

    fn orders(&self) -> Call<'_, Held> {
        Box::pin(self.read(dial::get("/v1/orders"), Vec::new()))
    }
}
