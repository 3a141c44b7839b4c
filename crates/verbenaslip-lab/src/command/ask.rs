//! Commands that ask something of a running stand-in.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use serde_json::{Value, json};
use tokio::runtime;

use super::values::Error;
use crate::http::client::{self, Call};

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(50);

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

/// Wait until instances are ready; exits with 1 when they are not.
#[derive(FromArgs)]
#[argh(subcommand, name = "ready")]
pub(crate) struct Ready {
    /// admin address of an instance; may be given many times
    #[argh(option)]
    admin: Vec<SocketAddr>,
    /// seconds to wait at most
    #[argh(option, default = "20")]
    seconds: u64,
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

impl Ready {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let runtime = runtime()?;
        let start = Instant::now();
        for admin in &self.admin {
            while !runtime.block_on(is_ready(*admin)) {
                if start.elapsed() > Duration::from_secs(self.seconds) {
                    eprintln!("verbenaslip-lab: {admin} is not ready");
                    return Ok(false);
                }
                std::thread::sleep(LOOK);
            }
        }
        Ok(true)
    }
}

async fn is_ready(admin: SocketAddr) -> bool {
    let answer = client::ask(admin, &Call::get("/readyz"), PATIENCE).await;
    answer.is_ok_and(|answer| answer.status.is_success())
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
    let answer = runtime()?.block_on(client::ask(address, &Call::post(path, body), PATIENCE));
    let answer = answer.map_err(|failure| {
        Error::failed(&address.to_string(), io::Error::other(format!("{failure:?}")))
    })?;
    println!("{}", String::from_utf8_lossy(&answer.body));
    Ok(answer.status.is_success())
}

fn runtime() -> Result<runtime::Runtime, Error> {
    let runtime = runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|error| Error::failed("start", error))
}
