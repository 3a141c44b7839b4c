//! Commands that call as callers do, and that judge what came of it.

use std::io;
use std::path::{Path, PathBuf};

use argh::FromArgs;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::values::{Error, Values};
use crate::engine::truth::Truth;
use crate::load::plan::{Plan, Work};
use crate::load::report::Report;
use crate::load::verdict::Verdict;
use crate::load::{self, plot};

/// Call as many callers would, check every answer, and print a summary as JSON.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct Load {
    /// INI file: the section [load], and a section [work NAME] for each kind of request with share,
    /// key, class, model, service, stream, idempotent, keyed, shared, threads, own, output, deadline,
    /// leave (tokens after which the caller leaves), rest (time that it rests after each token)
    #[argh(option)]
    settings: Option<String>,
    /// key=value above [load]: entries, seed, time, rate, hour, burst, patience, limit, tries,
    /// threads, report, plot
    #[argh(option)]
    set: Vec<String>,
}

/// Compare a report with what the back ends did; exits with 1 when something does not hold.
#[derive(FromArgs)]
#[argh(subcommand, name = "judge")]
pub(crate) struct Judge {
    /// the report of the load tool
    #[argh(option)]
    report: PathBuf,
    /// all that was lost in the run had been announced, so that no outcome may be unknown
    #[argh(switch)]
    announced: bool,
    /// a truth file of a back end or of the cloud; may be given many times
    #[argh(option)]
    truth: Vec<PathBuf>,
}

impl Load {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let file = self.settings.as_deref();
        let mut values = Values::read("load", file, &self.set)?;
        let (mut report_file, mut plot_file): (Option<PathBuf>, Option<PathBuf>) = (None, None);
        values.take("report", &mut report_file)?;
        values.take("plot", &mut plot_file)?;
        let mut works = Vec::new();
        for group in Values::groups("work", file)? {
            works.push(work(&group.name, group.values)?);
        }
        let plan = plan(values, works)?;
        let report = load::run(plan).map_err(|error| Error::failed("load", error))?;
        write(report_file.as_deref(), &serde_json::to_string(&report).unwrap_or_default())?;
        write(plot_file.as_deref(), &plot::svg(&report))?;
        println!("{}", summary(&report));
        Ok(true)
    }
}

impl Judge {
    pub(crate) fn run(&self) -> Result<bool, Error> {
        let report: Report = read(&self.report)?;
        let mut truths = Vec::new();
        for file in &self.truth {
            let value: Value = read(file)?;
            truths.extend(truths_of(value).map_err(|error| Error::failed(&name(file), error))?);
        }
        let verdict = Verdict::new(&report, &truths);
        println!("{}", serde_json::to_string(&verdict).unwrap_or_default());
        Ok(if self.announced { verdict.holds_announced() } else { verdict.holds() })
    }
}

/// Returns a report without its single outcomes.
pub(crate) fn summary(report: &Report) -> Value {
    let mut value = serde_json::to_value(report).unwrap_or_default();
    if let Some(fields) = value.as_object_mut() {
        fields.remove("outcomes");
    }
    value
}

fn truths_of(value: Value) -> io::Result<Vec<Truth>> {
    let list = if value.is_array() { value } else { Value::Array(vec![value]) };
    serde_json::from_value(list).map_err(io::Error::from)
}

fn plan(mut values: Values, works: Vec<Work>) -> Result<Plan, Error> {
    let mut plan = Plan::new(Vec::new(), works);
    values.take("entries", &mut plan.entries)?;
    values.take("seed", &mut plan.seed)?;
    values.take("time", &mut plan.time)?;
    values.take("rate", &mut plan.rate)?;
    values.take("hour", &mut plan.hour)?;
    values.take("burst", &mut plan.burst)?;
    values.take("patience", &mut plan.patience)?;
    values.take("limit", &mut plan.limit)?;
    values.take("tries", &mut plan.tries)?;
    values.take("threads", &mut plan.threads)?;
    values.finish()?;
    Ok(plan)
}

fn work(name: &str, mut values: Values) -> Result<Work, Error> {
    let mut work = Work::new(name, "", "assistant");
    values.take("share", &mut work.share)?;
    values.take("key", &mut work.key)?;
    values.take("class", &mut work.class)?;
    values.take("model", &mut work.model)?;
    values.take("service", &mut work.service)?;
    values.take("stream", &mut work.stream)?;
    values.take("idempotent", &mut work.idempotent)?;
    values.take("keyed", &mut work.keyed)?;
    values.take("shared", &mut work.shared)?;
    values.take("threads", &mut work.threads)?;
    values.take("own", &mut work.own)?;
    values.take("output", &mut work.output)?;
    values.take("deadline", &mut work.deadline)?;
    values.take("leave", &mut work.leave)?;
    values.take("rest", &mut work.rest)?;
    values.finish()?;
    Ok(work)
}

fn read<T: DeserializeOwned>(file: &Path) -> Result<T, Error> {
    let failed = |error| Error::failed(&name(file), error);
    let bytes = std::fs::read(file).map_err(failed)?;
    serde_json::from_slice(&bytes).map_err(|error| failed(error.into()))
}

fn write(file: Option<&Path>, text: &str) -> Result<(), Error> {
    let Some(file) = file else { return Ok(()) };
    std::fs::write(file, text).map_err(|error| Error::failed(&name(file), error))
}

fn name(file: &Path) -> String {
    file.display().to_string()
}
