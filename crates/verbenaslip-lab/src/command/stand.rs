//! Commands that run one stand-in as a process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use serde_json::json;
use verbenaslip_base::name::Model;

use super::process::Process;
use super::values::{Error, Read, Values};
use crate::engine::setup::Announce;
use crate::{cloud, engine, service, weights};

/// Run a model engine stand-in.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
pub(crate) struct Engine {
    /// INI file; the section [engine] is read
    #[argh(option)]
    settings: Option<String>,
    /// key=value above the file: name, zone, market, price, listen, models, fenced, slots, warm,
    /// grace, keep, output, token, batch, prefill, transfer, load, lag, blocks, cache_delay,
    /// cache_gap, admins, key, announce, seed, weights, truth
    #[argh(option)]
    set: Vec<String>,
}

/// Run a plain service stand-in.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
pub(crate) struct Service {
    /// INI file; the section [service] is read
    #[argh(option)]
    settings: Option<String>,
    /// key=value above the file: name, zone, market, price, listen, services, slots, time, admins,
    /// key, announce, seed, truth
    #[argh(option)]
    set: Vec<String>,
}

/// Run a cloud stand-in; a machine that it starts is an engine in its own process.
#[derive(FromArgs)]
#[argh(subcommand, name = "cloud")]
pub(crate) struct Cloud {
    /// INI file; the sections [cloud] and [engine] are read
    #[argh(option)]
    settings: Option<String>,
    /// key=value above the file: listen, zones, start, capacity, truth, and adopt: what runs already
    /// and may be taken, as name@zone@address with commas between
    #[argh(option)]
    set: Vec<String>,
}

/// Run a weight store stand-in.
#[derive(FromArgs)]
#[argh(subcommand, name = "weights")]
pub(crate) struct Weights {
    /// INI file; the section [weights] is read
    #[argh(option)]
    settings: Option<String>,
    /// key=value above the file: listen, bytes_per_s, backlog, size
    #[argh(option)]
    set: Vec<String>,
}

impl Engine {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let mut values = Values::read("engine", self.settings.as_deref(), &self.set)?;
        let mut truth: Option<PathBuf> = None;
        values.take("truth", &mut truth)?;
        let setup = engine_setup(values)?;
        let process = open()?;
        let engine =
            engine::Engine::spawn(setup).map_err(|error| Error::failed("listen", error))?;
        let ready = json!({"address": engine.address()});
        let served = process.serve(&ready, truth.as_deref(), || engine.truth(), || engine.ended());
        served.map_err(|error| Error::failed("serve", error)).map(|()| true)
    }
}

impl Service {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let mut values = Values::read("service", self.settings.as_deref(), &self.set)?;
        let mut truth: Option<PathBuf> = None;
        values.take("truth", &mut truth)?;
        let setup = service_setup(values)?;
        let process = open()?;
        let service =
            service::Service::spawn(setup).map_err(|error| Error::failed("listen", error))?;
        let ready = json!({"address": service.address()});
        let served =
            process.serve(&ready, truth.as_deref(), || service.truth(), || service.ended());
        served.map_err(|error| Error::failed("serve", error)).map(|()| true)
    }
}

impl Cloud {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let file = self.settings.as_deref();
        let mut values = Values::read("cloud", file, &self.set)?;
        let mut truth: Option<PathBuf> = None;
        let mut zones: Vec<String> = vec!["zone".to_owned()];
        let mut capacity = 4u32;
        values.take("truth", &mut truth)?;
        values.take("zones", &mut zones)?;
        values.take("capacity", &mut capacity)?;
        let mut adopted: Vec<Adopted> = Vec::new();
        values.take("adopt", &mut adopted)?;
        let zones: Vec<&str> = zones.iter().map(String::as_str).collect();
        let mut setup = cloud::Setup::new(&zones);
        setup.offers.iter_mut().for_each(|offer| offer.capacity = capacity);
        values.take("listen", &mut setup.listen)?;
        values.take("start", &mut setup.start)?;
        values.finish()?;
        setup.engine = engine_setup(Values::read("engine", file, &[])?)?;
        let process = open()?;
        let cloud = cloud::Cloud::spawn(setup).map_err(|error| Error::failed("listen", error))?;
        for one in &adopted {
            cloud.adopt(&one.name, &one.zone, one.address);
        }
        let ready = json!({"address": cloud.address()});
        let served = process.serve(&ready, truth.as_deref(), || cloud.truths(), || false);
        served.map_err(|error| Error::failed("serve", error)).map(|()| true)
    }
}

impl Weights {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let mut values = Values::read("weights", self.settings.as_deref(), &self.set)?;
        let mut setup = weights::Setup::default();
        values.take("listen", &mut setup.listen)?;
        values.take("bytes_per_s", &mut setup.bytes_per_s)?;
        values.take("backlog", &mut setup.backlog)?;
        values.take("size", &mut setup.size)?;
        values.finish()?;
        let process = open()?;
        let store = weights::Store::spawn(setup).map_err(|error| Error::failed("listen", error))?;
        let ready = json!({"address": store.address()});
        let served = process.serve(&ready, None, || (), || false);
        served.map_err(|error| Error::failed("serve", error)).map(|()| true)
    }
}

/// Names something that runs already and may be taken.
struct Adopted {
    name: String,
    zone: String,
    address: Option<SocketAddr>,
}

impl Read for Adopted {
    const ALLOWED: &'static str = "such as engine-1@north@127.0.0.1:8080 or entry-1@north";

    fn read(text: &str) -> Option<Self> {
        let mut parts = text.split('@');
        let (name, zone) = (parts.next()?.to_owned(), parts.next()?.to_owned());
        let address = match parts.next() {
            Some(address) => Some(address.parse().ok()?),
            None => None,
        };
        Some(Self { name, zone, address })
    }
}

fn open() -> Result<Process, Error> {
    Process::open().map_err(|error| Error::failed("signals", error))
}

fn engine_setup(mut values: Values) -> Result<engine::setup::Setup, Error> {
    let (name, zone) = names(&mut values, "engine")?;
    let mut setup = engine::setup::Setup::new(name.as_str(), zone.as_str());
    values.take("market", &mut setup.market)?;
    values.take("price", &mut setup.price)?;
    values.take("listen", &mut setup.listen)?;
    values.take("fenced", &mut setup.fenced)?;
    values.take("slots", &mut setup.slots)?;
    values.take("warm", &mut setup.warm)?;
    values.take("grace", &mut setup.grace)?;
    values.take("keep", &mut setup.keep)?;
    values.take("output", &mut setup.output)?;
    values.take("weights", &mut setup.weights)?;
    models(&mut values, "models", &mut setup.models)?;
    pace(&mut values, &mut setup.pace)?;
    values.take("blocks", &mut setup.cache.blocks)?;
    values.take("cache_delay", &mut setup.cache.delay)?;
    values.take("cache_gap", &mut setup.cache.gap)?;
    announce(&mut values, &mut setup.announce)?;
    values.finish()?;
    Ok(setup)
}

fn service_setup(mut values: Values) -> Result<service::Setup, Error> {
    let (name, zone) = names(&mut values, "service")?;
    let mut setup = service::Setup::new(name.as_str(), zone.as_str());
    values.take("market", &mut setup.market)?;
    values.take("price", &mut setup.price)?;
    values.take("listen", &mut setup.listen)?;
    values.take("slots", &mut setup.slots)?;
    values.take("time", &mut setup.time)?;
    models(&mut values, "services", &mut setup.services)?;
    announce(&mut values, &mut setup.announce)?;
    values.finish()?;
    Ok(setup)
}

fn names(values: &mut Values, kind: &str) -> Result<(String, String), Error> {
    let mut name = kind.to_owned();
    let mut zone = "zone".to_owned();
    values.take("name", &mut name)?;
    values.take("zone", &mut zone)?;
    Ok((name, zone))
}

fn models(values: &mut Values, key: &str, target: &mut Vec<Model>) -> Result<(), Error> {
    let mut names: Vec<String> = target.iter().map(ToString::to_string).collect();
    values.take(key, &mut names)?;
    *target = names.into_iter().map(Model::new).collect();
    Ok(())
}

fn pace(values: &mut Values, pace: &mut engine::setup::Pace) -> Result<(), Error> {
    let keys: [(&str, &mut Duration); 6] = [
        ("token", &mut pace.token),
        ("batch", &mut pace.batch),
        ("prefill", &mut pace.prefill),
        ("transfer", &mut pace.transfer),
        ("load", &mut pace.load),
        ("lag", &mut pace.lag),
    ];
    keys.into_iter().try_for_each(|(key, target)| values.take(key, target))
}

fn announce(values: &mut Values, announce: &mut Announce) -> Result<(), Error> {
    values.take("admins", &mut announce.admins)?;
    values.take("key", &mut announce.key)?;
    values.take("announce", &mut announce.every)?;
    values.take("seed", &mut announce.seed)
}
