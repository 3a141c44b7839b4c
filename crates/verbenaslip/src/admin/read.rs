//! Requests on the admin address, checked and turned into calls.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Map, Value};
use verbenaslip_base::announce::{Announcement, Kind, Load, Market, Phase};
use verbenaslip_base::name::{AvailabilityZone, Instance, Model, Operator, Upstream};

use crate::admin::call::{Call, Voters};
use crate::admin::write::Problem;
use crate::keys::ring::Ring;

/// The most characters of a name.
const NAME_MAX: usize = 200;

/// The longest that an edit may wait to be in force.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// The most models of one upstream.
const MODELS_MAX: usize = 1024;

/// Holds one request as far as it matters.
pub(crate) struct Request<'a> {
    /// The method.
    pub method: &'a str,
    /// The path.
    pub path: &'a str,
    /// The query after the question mark.
    pub query: &'a str,
    /// The bearer key; empty when there is none.
    pub bearer: &'a str,
    /// The body.
    pub body: &'a [u8],
}

/// Turns a request into a call.
pub(crate) fn call(request: &Request<'_>, keys: &Ring) -> Result<Call, Problem> {
    let method = match request.path {
        "/readyz" | "/metrics" | "/v1/history" | "/v1/audit" | "/v1/status" => "GET",
        "/v1/table" if request.method == "GET" => "GET",
        "/v1/upstreams" | "/v1/table" | "/v1/drain" | "/v1/voters" => "POST",
        _ => return Err(Problem::missing()),
    };
    if method != request.method {
        return Err(Problem::method(method));
    }
    match request.path {
        "/readyz" => return Ok(Call::Ready),
        "/metrics" => return Ok(Call::Metrics),
        "/v1/upstreams" => {
            if keys.upstreams.owner(request.bearer).is_none() {
                return Err(Problem::key("the upstreams'"));
            }
            return announcement(&Fields::read(request.body)?).map(Call::Announce);
        }
        _ => {}
    }
    let operator = keys.operators.owner(request.bearer).map(Operator::new);
    let operator = operator.ok_or_else(|| Problem::key("an operator's"))?;
    match (request.method, request.path) {
        ("GET", "/v1/table") => Ok(Call::Table { revision: number(request.query, "revision")? }),
        ("POST", "/v1/table") => apply(request, operator),
        (_, "/v1/history") => Ok(Call::History),
        (_, "/v1/audit") => Ok(Call::Audit { since: number(request.query, "since")?.unwrap_or(0) }),
        (_, "/v1/drain") => {
            let fields = Fields::read(request.body)?;
            Ok(Call::Drain { instance: Instance::new(fields.name("instance")?), operator })
        }
        (_, "/v1/voters") => {
            Ok(Call::Voters { change: voters(&Fields::read(request.body)?)?, operator })
        }
        _ => Ok(Call::Status),
    }
}

fn apply(request: &Request<'_>, operator: Operator) -> Result<Call, Problem> {
    let need = |name, allowed: &str| Problem::field(name, allowed);
    let base = number(request.query, "base")?;
    let edit = parameter(request.query, "edit")?;
    let edit = edit.filter(|edit| (1..=NAME_MAX).contains(&edit.len()));
    let wait = number(request.query, "wait_ms")?.unwrap_or(0);
    let dry = match parameter(request.query, "dry")?.as_deref() {
        None | Some("false") => false,
        Some("true") => true,
        Some(_) => return Err(need("dry", "`true` or `false`")),
    };
    let csv = std::str::from_utf8(request.body).map_err(|_| need("body", "CSV in UTF-8"))?;
    Ok(Call::Apply {
        base: base.ok_or_else(|| need("base", "the revision that the edit was made from"))?,
        edit: edit.ok_or_else(|| need("edit", "1 to 200 characters, new for each edit"))?.into(),
        csv: csv.into(),
        wait: Duration::from_millis(wait).min(WAIT_MAX),
        dry,
        operator,
    })
}

fn voters(fields: &Fields) -> Result<Voters, Problem> {
    let allowed = "one of `add`, `remove` with an instance, or `replace` with `old` and `new`";
    if fields.0.len() != 1 {
        return Err(Problem::field("add", allowed));
    }
    if fields.0.contains_key("add") {
        return Ok(Voters::Add(Instance::new(fields.name("add")?)));
    }
    if fields.0.contains_key("remove") {
        return Ok(Voters::Remove(Instance::new(fields.name("remove")?)));
    }
    let inner = fields.inner("replace")?;
    let (old, new) = (Instance::new(inner.name("old")?), Instance::new(inner.name("new")?));
    Ok(Voters::Replace { old, new })
}

fn announcement(fields: &Fields) -> Result<Announcement, Problem> {
    let load = fields.inner("load")?;
    Ok(Announcement {
        upstream: Upstream::new(fields.name("upstream")?),
        address: fields.address("address")?,
        zone: AvailabilityZone::new(fields.name("zone")?),
        kind: fields.choice("kind", &[("engine", Kind::Engine), ("service", Kind::Service)])?,
        incarnation: fields.number("incarnation")?,
        sequence: fields.number("sequence")?,
        phase: phase(fields)?,
        models: models(fields)?,
        market: fields.choice(
            "market",
            &[("reclaimable", Market::Reclaimable), ("on_demand", Market::OnDemand)],
        )?,
        price: fields.number("price")?,
        fenced: fields.flag("fenced")?,
        slots: fields.number("slots")?,
        load: Load {
            running: load.number("running")?,
            waiting: load.number("waiting")?,
            memory: load.number("memory")?,
            age: load.number("age")?,
        },
    })
}

fn phase(fields: &Fields) -> Result<Phase, Problem> {
    let notice = match fields.0.get("notice") {
        None | Some(Value::Null) => None,
        Some(_) => Some(fields.number("notice")?),
    };
    let names = [
        ("warming", Phase::Warming),
        ("ready", Phase::Ready),
        ("leaving", Phase::Leaving { notice }),
    ];
    fields.choice("phase", &names)
}

fn models(fields: &Fields) -> Result<Vec<Model>, Problem> {
    let allowed = "a list of at most 1024 texts of 1 to 200 characters";
    let fault = || Problem::field("models", allowed);
    let list = fields.0.get("models").and_then(Value::as_array).ok_or_else(fault)?;
    if list.len() > MODELS_MAX {
        return Err(fault());
    }
    let name = |value: &Value| {
        let name = value.as_str().filter(|name| (1..=NAME_MAX).contains(&name.len()));
        name.map(Model::new).ok_or_else(fault)
    };
    list.iter().map(name).collect()
}

/// Reads the fields of a JSON object, each fault naming its field.
struct Fields(Map<String, Value>);

impl Fields {
    fn read(body: &[u8]) -> Result<Self, Problem> {
        match serde_json::from_slice(body) {
            Ok(Value::Object(fields)) => Ok(Self(fields)),
            _ => Err(Problem::field("body", "one JSON object in UTF-8")),
        }
    }

    fn inner(&self, name: &'static str) -> Result<Self, Problem> {
        let inner = self.0.get(name).and_then(Value::as_object);
        inner.cloned().map(Self).ok_or_else(|| Problem::field(name, "a JSON object"))
    }

    fn name(&self, name: &'static str) -> Result<&str, Problem> {
        let text = self.0.get(name).and_then(Value::as_str);
        let fits = text.filter(|text| (1..=NAME_MAX).contains(&text.len()));
        fits.ok_or_else(|| Problem::field(name, "a text of 1 to 200 characters"))
    }

    fn address(&self, name: &'static str) -> Result<SocketAddr, Problem> {
        let address = self.name(name)?.parse();
        address.map_err(|_| Problem::field(name, "an IP number and port, as in 127.0.0.1:8000"))
    }

    fn number<T: TryFrom<u64>>(&self, name: &'static str) -> Result<T, Problem> {
        let number = self.0.get(name).and_then(Value::as_u64);
        let number = number.and_then(|number| T::try_from(number).ok());
        let bits = size_of::<T>() * 8;
        number.ok_or_else(|| Problem::field(name, format!("a whole number from 0, in {bits} bits")))
    }

    fn flag(&self, name: &'static str) -> Result<bool, Problem> {
        match self.0.get(name) {
            None | Some(Value::Null) => Ok(false),
            Some(Value::Bool(flag)) => Ok(*flag),
            Some(_) => Err(Problem::field(name, "true or false")),
        }
    }

    fn choice<T: Copy>(&self, name: &'static str, choices: &[(&str, T)]) -> Result<T, Problem> {
        let text = self.0.get(name).and_then(Value::as_str);
        let found = choices.iter().find(|(choice, _)| Some(*choice) == text);
        found.map(|(_, value)| *value).ok_or_else(|| {
            let names: Vec<_> = choices.iter().map(|(choice, _)| format!("`{choice}`")).collect();
            Problem::field(name, names.join(" or "))
        })
    }
}

fn number(query: &str, name: &'static str) -> Result<Option<u64>, Problem> {
    let Some(value) = parameter(query, name)? else {
        return Ok(None);
    };
    let number = value.parse().map_err(|_| Problem::field(name, "a whole number from 0"))?;
    Ok(Some(number))
}

/// Returns a parameter of the query, with its percent signs resolved.
fn parameter(query: &str, name: &'static str) -> Result<Option<String>, Problem> {
    let found = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = found.filter(|(key, _)| *key == name).map(|(_, value)| value);
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Problem::field(name, "given once"));
    }
    resolve(value).map(Some).ok_or_else(|| Problem::field(name, "percent-encoded UTF-8"))
}

fn resolve(value: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?
            }
            other => other,
        });
    }
    String::from_utf8(bytes).ok()
}
