//! The cloud API and the weight store through the HTTP client.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oxhttp::Client;
use oxhttp::model::header::{CONTENT_TYPE, HOST};
use oxhttp::model::{Body, Method, Request, Response};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::json;
use verbenaslip_base::announce::Market;
use verbenaslip_base::name::{AvailabilityZone, Model, Upstream};

use crate::cloud::{
    Budget, Cloud, Error, Fetched, Machine, Notice, Notices, Order, Price, Started, Store,
};

/// The most bytes of one answer.
const ANSWER_MAX: u64 = 4 << 20;

/// Makes calls at one service.
struct Caller {
    client: Client,
    peer: SocketAddr,
}

/// Holds an answer.
struct Answer {
    status: u16,
    retry: Option<u64>,
    bytes: Vec<u8>,
}

impl Caller {
    fn new(peer: SocketAddr, limit: Duration) -> Self {
        Self { client: Client::new().with_global_timeout(limit), peer }
    }

    fn call(
        &self,
        step: &'static str,
        method: Method,
        path: impl AsRef<str>,
        body: String,
    ) -> Result<Answer, Error> {
        let peer = self.peer;
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{peer}{}", path.as_ref()))
            .header(HOST, peer.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Body::from(body))
            .map_err(|error| Error::Unreadable { step, peer, cause: error.to_string() })?;
        let unreachable = |cause| Error::Unreachable { step, peer, cause };
        let response = self.client.request(request).map_err(unreachable)?;
        let (status, retry) = (response.status().as_u16(), retry(&response));
        let mut bytes = Vec::new();
        response.into_body().take(ANSWER_MAX).read_to_end(&mut bytes).map_err(unreachable)?;
        Ok(Answer { status, retry, bytes })
    }

    fn read<T: DeserializeOwned>(&self, step: &'static str, answer: &Answer) -> Result<T, Error> {
        let read = serde_json::from_slice(&answer.bytes);
        let peer = self.peer;
        read.map_err(|error| Error::Unreadable { step, peer, cause: error.to_string() })
    }

    fn get<T: DeserializeOwned>(&self, step: &'static str, path: &str) -> Result<T, Error> {
        let answer = self.call(step, Method::GET, path, String::new())?;
        if answer.status != 200 {
            return Err(self.status(step, &answer));
        }
        self.read(step, &answer)
    }

    fn status(&self, step: &'static str, answer: &Answer) -> Error {
        Error::Status { step, peer: self.peer, status: answer.status }
    }
}

fn retry(response: &Response<Body>) -> Option<u64> {
    response.headers().get("retry-after-ms")?.to_str().ok()?.parse().ok()
}

/// Names how a machine is paid for, as the cloud writes it.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum MarketName {
    Reclaimable,
    OnDemand,
}

impl From<MarketName> for Market {
    fn from(name: MarketName) -> Self {
        match name {
            MarketName::Reclaimable => Self::Reclaimable,
            MarketName::OnDemand => Self::OnDemand,
        }
    }
}

fn written(market: Market) -> &'static str {
    match market {
        Market::Reclaimable => "reclaimable",
        Market::OnDemand => "on_demand",
    }
}

/// Speaks with the cloud API over HTTP.
pub struct Http {
    caller: Caller,
}

impl Http {
    /// Speaks with the cloud API at an address, each call within a time.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self { caller: Caller::new(address, limit) }
    }
}

#[derive(Deserialize)]
struct PriceList {
    prices: Vec<PriceItem>,
}

#[derive(Deserialize)]
struct PriceItem {
    zone: AvailabilityZone,
    machine: Arc<str>,
    market: MarketName,
    price: u64,
}

#[derive(Deserialize)]
struct NoticeList {
    next: u64,
    notices: Vec<NoticeItem>,
}

#[derive(Deserialize)]
struct NoticeItem {
    sequence: u64,
    name: Arc<str>,
    deadline_ms: u64,
}

#[derive(Deserialize)]
struct MachineList {
    machines: Vec<MachineItem>,
}

#[derive(Deserialize)]
struct MachineItem {
    name: Arc<str>,
    zone: AvailabilityZone,
    machine: Arc<str>,
    market: MarketName,
    state: Arc<str>,
}

#[derive(Deserialize)]
struct Named {
    name: Arc<str>,
}

#[derive(Deserialize)]
struct Refused {
    refused: Arc<str>,
}

impl Cloud for Http {
    fn prices(&self) -> Result<Vec<Price>, Error> {
        let list: PriceList = self.caller.get("read prices", "/v1/prices")?;
        let price = |PriceItem { zone, machine, market, price }| Price {
            zone,
            machine,
            market: Market::from(market),
            price,
        };
        Ok(list.prices.into_iter().map(price).collect())
    }

    fn notices(&self, since: u64) -> Result<Notices, Error> {
        let path = format!("/v1/notices?since={since}");
        let list: NoticeList = self.caller.get("read notices", &path)?;
        let notice = |NoticeItem { sequence, name, deadline_ms }| Notice {
            sequence,
            name,
            deadline: Duration::from_millis(deadline_ms),
        };
        Ok(Notices { next: list.next, notices: list.notices.into_iter().map(notice).collect() })
    }

    fn start(&self, order: &Order) -> Result<Started, Error> {
        let step = "order a machine";
        let body = json!({
            "request": order.request, "zone": order.zone, "machine": order.machine,
            "market": written(order.market), "model": order.model,
        });
        let answer = self.caller.call(step, Method::POST, "/v1/machines", body.to_string())?;
        match answer.status {
            200 | 201 => self.caller.read::<Named>(step, &answer).map(|n| Started::Named(n.name)),
            409 => {
                let refused: Refused = self.caller.read(step, &answer)?;
                Ok(Started::Refused(refused.refused))
            }
            _ => Err(self.caller.status(step, &answer)),
        }
    }

    fn stop(&self, name: &str) -> Result<(), Error> {
        let step = "give a machine back";
        let path = format!("/v1/machines/{name}");
        let answer = self.caller.call(step, Method::DELETE, path, String::new())?;
        if answer.status == 204 { Ok(()) } else { Err(self.caller.status(step, &answer)) }
    }

    fn list(&self) -> Result<Vec<Machine>, Error> {
        let list: MachineList = self.caller.get("list machines", "/v1/machines")?;
        let machine = |MachineItem { name, zone, machine, market, state }| Machine {
            name,
            zone,
            machine,
            market: Market::from(market),
            state,
        };
        Ok(list.machines.into_iter().map(machine).collect())
    }
}

/// Speaks with the weight store over HTTP.
pub struct Weights {
    caller: Caller,
}

impl Weights {
    /// Speaks with the weight store at an address, each call within a time.
    pub fn new(address: SocketAddr, limit: Duration) -> Self {
        Self { caller: Caller::new(address, limit) }
    }
}

#[derive(Deserialize)]
struct Accepted {
    fetch: Arc<str>,
    bytes: u64,
    seconds: f64,
}

impl Store for Weights {
    fn fetch(&self, model: &Model, upstream: &Upstream) -> Result<Fetched, Error> {
        let step = "fetch weights";
        let body = json!({ "model": model, "upstream": upstream }).to_string();
        let answer = self.caller.call(step, Method::POST, "/v1/fetches", body)?;
        match answer.status {
            202 => {
                let Accepted { fetch, bytes, seconds } = self.caller.read(step, &answer)?;
                let time = Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX);
                Ok(Fetched::Accepted { fetch, bytes, time })
            }
            429 => {
                // A store that does not say when is asked again soon, not at once.
                let retry = Duration::from_millis(answer.retry.unwrap_or(1000));
                Ok(Fetched::Busy { retry })
            }
            _ => Err(self.caller.status(step, &answer)),
        }
    }

    fn budget(&self) -> Result<Budget, Error> {
        self.caller.get("read the budget", "/v1/budget")
    }
}
