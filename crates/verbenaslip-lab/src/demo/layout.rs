//! The folder, the keys, the table and the ports of a demo.

use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use super::back_end::ZONES;
use crate::port;

/// The key of the team that calls.
pub const TEAM_KEY: &str = "demo-key-of-the-charterers";

/// The key of another team that calls.
pub const OTHER_KEY: &str = "demo-key-of-the-port-agents";

/// The operators' key.
pub const OPERATOR_KEY: &str = "demo-key-of-the-operators";

/// The upstreams' key.
pub const UPSTREAM_KEY: &str = "demo-key-of-the-upstreams";

/// The table with which the demo begins.
const TABLE: &str = "\
team,class,weight,priority,rate,burst,concurrency,tokens_per_s,deadline_ms,first_token_ms,\
max_output_tokens,max_wait_ms,retries_percent,reserve_percent,prefer,note
charterers,*,100,5,,100,1000,,20000,1400,4096,5000,10,0,cost,large drafting jobs
charterers,check,100,7,,100,1000,,10000,1400,4096,5000,10,0,latency,small checks
port-agents,*,50,5,,100,1000,,20000,1400,4096,5000,10,0,cost,explanations and orders
";

/// Read and write for the owner alone, as key files must be.
const SECRET_MODE: u32 = 0o600;

/// Holds the folder of a demo, which is removed with it.
pub(crate) struct Layout {
    folder: PathBuf,
    /// Where each instance listens.
    pub(crate) ports: Vec<Ports>,
}

/// Holds the addresses of one instance.
#[derive(Clone, Copy)]
pub(crate) struct Ports {
    pub(crate) callers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) peers: SocketAddr,
}

impl Layout {
    /// Lays out a new folder.
    pub(crate) fn open() -> io::Result<Self> {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let count = COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("verbenaslip-demo-{}-{count}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        let layout = Self { folder, ports: ports(ZONES.len())? };
        layout.secret("teams", &format!("charterers {TEAM_KEY}\nport-agents {OTHER_KEY}\n"))?;
        layout.secret("operators", &format!("demo {OPERATOR_KEY}\n"))?;
        layout.secret("upstreams", &format!("demo {UPSTREAM_KEY}\n"))?;
        fs::write(layout.path("table.csv"), TABLE)?;
        Ok(layout)
    }

    /// Returns the path of something in the folder.
    pub(crate) fn path(&self, name: impl AsRef<Path>) -> PathBuf {
        self.folder.join(name)
    }

    fn secret(&self, name: &str, text: &str) -> io::Result<()> {
        let mut options = OpenOptions::new();
        options.write(true).create(true).truncate(true).mode(SECRET_MODE);
        options.open(self.path(name))?.write_all(text.as_bytes())
    }
}

impl Drop for Layout {
    fn drop(&mut self) {
        fs::remove_dir_all(&self.folder).ok();
    }
}

/// Finds free ports.
fn ports(instances: usize) -> io::Result<Vec<Ports>> {
    let find = |_| {
        let (callers, admin, peers) = (port::free()?, port::free()?, port::free()?);
        Ok(Ports { callers, admin, peers })
    };
    (0..instances).map(find).collect()
}
