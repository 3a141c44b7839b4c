//! The back ends of a demo: four model engines, a plain service and a cloud.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use super::layout::UPSTREAM_KEY;
use crate::cloud::{self, Cloud};
use crate::engine::Engine;
use crate::engine::setup::{self, Announce, Pace};
use crate::engine::truth::Truth;
use crate::service::{self, Service};

/// The availability zones.
pub const ZONES: [&str; 3] = ["arendal", "skarvik", "torshamn"];

/// The model that the engines have loaded.
pub const MODEL: &str = "assistant";

/// The plain service.
pub const SERVICE: &str = "claims-record";

/// The back end that offers the plain service.
const RECORDS: &str = "records-1";

/// How fast a demo's engine is, so that a streamed answer can be read along.
const PACE: Duration = Duration::from_millis(20);

/// Holds the back ends.
pub struct BackEnds {
    /// The model engines, in the order of their prices.
    pub engines: Vec<Engine>,
    /// The plain service.
    pub service: Service,
    /// The cloud, which knows the engines.
    pub cloud: Cloud,
}

impl BackEnds {
    /// Starts the back ends, which announce themselves at the admin addresses.
    pub(crate) fn open(admins: &[SocketAddr]) -> io::Result<Self> {
        let announce = |seed| Announce {
            admins: admins.to_vec(),
            key: UPSTREAM_KEY.to_owned(),
            seed,
            ..Announce::default()
        };
        let mut engines = Vec::new();
        for number in 1..=4usize {
            let setup = engine(number, announce(number as u64));
            engines.push(Engine::spawn(setup)?);
        }
        let service = Service::spawn(service::Setup {
            services: vec![SERVICE.into()],
            announce: announce(5),
            ..service::Setup::new(RECORDS, ZONES[0])
        })?;
        let cloud = Cloud::spawn(cloud::Setup {
            engine: engine(9, announce(9)),
            ..cloud::Setup::new(&ZONES)
        })?;
        let back_ends = Self { engines, service, cloud };
        for (number, engine) in (1..).zip(&back_ends.engines) {
            back_ends.cloud.adopt(&name(number), zone(number), Some(engine.address()));
        }
        Ok(back_ends)
    }

    /// Returns the names of the back ends.
    pub(crate) fn names(&self) -> Vec<String> {
        let engines = (1..=self.engines.len()).map(name);
        engines.chain([RECORDS.to_owned()]).collect()
    }

    /// Tells what all back ends did, also those that are gone.
    pub fn truths(&self) -> Vec<Truth> {
        let mut truths: Vec<Truth> = self.engines.iter().map(Engine::truth).collect();
        truths.push(self.service.truth());
        truths.extend(self.cloud.truths());
        truths
    }
}

fn engine(number: usize, announce: Announce) -> setup::Setup {
    setup::Setup {
        models: vec![MODEL.into()],
        pace: Pace { token: PACE, ..Pace::default() },
        price: 1_000_000 + 100_000 * number as u64,
        announce,
        ..setup::Setup::new(name(number).as_str(), zone(number))
    }
}

fn name(number: usize) -> String {
    format!("engine-{number}")
}

fn zone(number: usize) -> &'static str {
    ZONES[(number - 1) % ZONES.len()]
}
