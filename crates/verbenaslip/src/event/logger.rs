//! Sets up where log lines go and how they look.

use std::io;
use std::path::Path;
use std::sync::OnceLock;

use displaydoc::Display;
use log4rs::Handle;
use log4rs::append::Append;
use log4rs::append::console::{ConsoleAppender, Target};
use log4rs::append::rolling_file::RollingFileAppender;
use log4rs::append::rolling_file::policy::compound::CompoundPolicy;
use log4rs::append::rolling_file::policy::compound::roll::fixed_window::FixedWindowRoller;
use log4rs::append::rolling_file::policy::compound::trigger::size::SizeTrigger;
use log4rs::config::{Appender, Config, Root};
use log4rs::encode::Encode;
use log4rs::encode::json::JsonEncoder;
use log4rs::encode::pattern::PatternEncoder;

use verbenaslip_base::name::Instance;

use crate::settings::section::Log;
use crate::settings::value::Format;

/// The name of the log file in the folder.
const FILE: &str = "verbenaslip.log";
/// The size at which the log file is put aside, in bytes.
const FILE_MAX: u64 = 64 << 20;
/// How many files put aside are kept.
const FILES: u32 = 4;
/// A line: time, level, and after the instance's name the thread and the text.
const HEAD: &str = "{d(%Y-%m-%dT%H:%M:%S%.3f%:z)} {l:<5} ";
/// The end of a line.
const TAIL: &str = "/{T} {m}{n}";

/// The instance of this process, which each event names so that lines of several can be merged.
static INSTANCE: OnceLock<Instance> = OnceLock::new();

/// Sends all log lines of this process, which runs one instance, where the settings say; the handle
/// lets them be changed.
///
/// # Errors
///
/// Says which step failed: the folder can't be written, or the process has a logger already.
pub fn open(settings: &Log, instance: &Instance) -> Result<Handle, Error> {
    let instance = INSTANCE.get_or_init(|| instance.clone());
    let appender: Box<dyn Append> = match &settings.folder {
        None => Box::new(
            ConsoleAppender::builder()
                .target(Target::Stderr)
                .encoder(encoder(settings, instance))
                .build(),
        ),
        Some(folder) => Box::new(file(folder, encoder(settings, instance))?),
    };
    let config = Config::builder()
        .appender(Appender::builder().build("all", appender))
        .build(Root::builder().appender("all").build(settings.level))
        .map_err(|error| Error::Setup { cause: error.to_string() })?;
    log4rs::init_config(config).map_err(|error| Error::Setup { cause: error.to_string() })
}

/// Says why log lines can't be written.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// log folder {folder} can't be written: {cause}; correct [log] folder or its owner
    Folder {
        /// The folder.
        folder: String,
        /// What the system said.
        cause: String,
    },
    /// log can't be set up: {cause}
    Setup {
        /// What the library said.
        cause: String,
    },
}

impl std::error::Error for Error {}

/// Returns the instance of this process; none when it is embedded in another program.
pub(super) fn instance() -> Option<&'static Instance> {
    INSTANCE.get()
}

fn encoder(settings: &Log, instance: &Instance) -> Box<dyn Encode> {
    match settings.format {
        Format::Text => Box::new(PatternEncoder::new(&format!("{HEAD}{instance}{TAIL}"))),
        Format::Json => Box::new(JsonEncoder::new()),
    }
}

/// Opens the log file; a full one is put aside, and only some of those are kept.
fn file(folder: &Path, encoder: Box<dyn Encode>) -> Result<RollingFileAppender, Error> {
    let wrong = |cause: String| Error::Folder { folder: folder.display().to_string(), cause };
    let shown = |error: io::Error| wrong(error.to_string());
    std::fs::create_dir_all(folder).map_err(shown)?;
    let aside = folder.join(format!("{FILE}.{{}}"));
    let roller = FixedWindowRoller::builder()
        .build(&aside.to_string_lossy(), FILES)
        .map_err(|error| wrong(error.to_string()))?;
    let policy = CompoundPolicy::new(Box::new(SizeTrigger::new(FILE_MAX)), Box::new(roller));
    RollingFileAppender::builder()
        .encoder(encoder)
        .build(folder.join(FILE), Box::new(policy))
        .map_err(shown)
}
