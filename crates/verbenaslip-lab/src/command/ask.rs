//! Commands that ask something of a running stand-in.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use argh::FromArgs;
use serde_json::{Value, json};
use tokio::runtime;

use super::values::Error;
use crate::http::client::{self, Call};

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(5);

/// Ask the cloud stand-in to take back a machine, an instance or a whole availability zone.
#[derive(FromArgs)]
#[argh(subcommand, name = "reclaim")]
pub(crate) struct Reclaim {
    /// address of the cloud stand-in
    #[argh(option)]
    cloud: SocketAddr,
    /// name of what is taken
    #[argh(option)]
    name: Option<String>,
    /// availability zone of which all is taken
    #[argh(option)]
    zone: Option<String>,
    /// milliseconds until it is taken
    #[argh(option, default = "2000")]
    notice_ms: u64,
}

/// Set a fault at a model engine or plain service stand-in.
#[derive(FromArgs)]
#[argh(subcommand, name = "fault")]
pub(crate) struct Fault {
    /// address of the stand-in
    #[argh(option)]
    at: SocketAddr,
    /// the fault as JSON, such as {"fault":"freeze","ms":3000}
    #[argh(positional)]
    fault: String,
}

impl Reclaim {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let body = json!({"name": self.name, "zone": self.zone, "notice_ms": self.notice_ms});
        post(self.cloud, "/lab/reclaim", &body)
    }
}

impl Fault {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let fault: Value = serde_json::from_str(&self.fault)
            .map_err(|error| Error::failed("fault", error.into()))?;
        post(self.at, "/lab/fault", &fault)
    }
}

fn post(address: SocketAddr, path: &str, body: &Value) -> Result<bool, Error> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|error| Error::failed("start", error))?;
    let answer = runtime.block_on(client::ask(address, &Call::post(path, body), PATIENCE));
    let answer = answer.map_err(|failure| {
        Error::failed(&address.to_string(), io::Error::other(format!("{failure:?}")))
    })?;
    println!("{}", String::from_utf8_lossy(&answer.body));
    Ok(answer.status.is_success())
}
