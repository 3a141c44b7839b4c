//! Fetches a model that was ordered from the weight store.

use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use serde_json::json;
use tokio::time::sleep;
use verbenaslip_base::name::Model;

use super::core::Core;
use super::order::Order;
use crate::http::client::{self, Call};

/// How long the store may be silent.
const PATIENCE: Duration = Duration::from_secs(2);

/// How long to wait where the store does not say when to come back.
const PAUSE: Duration = Duration::from_millis(200);

/// Fetches the model of an order to load, if a weight store is set.
pub(crate) fn fetch(core: &Arc<Core>, order: &Order) {
    let Order::Load(model) = order else { return };
    let Some(store) = core.state().setup.weights else { return };
    core.state().orders.ready(model, u64::MAX);
    let (core, model) = (core.clone(), model.clone());
    tokio::spawn(async move {
        let upstream = core.state().setup.upstream.clone();
        let call = Call::post("/v1/fetches", &json!({"model": model, "upstream": upstream}));
        while let Err(wait) = granted(&client::ask(store, &call, PATIENCE).await, &core, &model) {
            sleep(wait).await;
        }
    });
}

/// Notes when the model is there, or returns when to ask again.
fn granted(
    answer: &Result<client::Answer, client::Failure>,
    core: &Core,
    model: &Model,
) -> Result<(), Duration> {
    let Ok(answer) = answer else { return Err(PAUSE) };
    if answer.status != StatusCode::ACCEPTED {
        let wait = answer.header("retry-after-ms").and_then(|text| text.parse().ok());
        return Err(wait.map_or(PAUSE, Duration::from_millis));
    }
    let seconds = answer.json()["seconds"].as_f64().unwrap_or(0.0);
    let wait = Duration::from_secs_f64(seconds.clamp(0.0, 3600.0));
    let ready = super::state::millis(core.now() + wait);
    core.state().orders.ready(model, ready);
    Ok(())
}
