//! Validation of the settings and of every file that they name.

use std::fmt;
use std::path::Path;

use verbenaslip::event::Event;
use verbenaslip::keys::file::{File, word};
use verbenaslip::settings::Settings;
use verbenaslip_table::Table;

/// Lists the problems found; they are printed one per line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings {
    problems: Vec<String>,
}

impl Findings {
    /// Returns an event for each problem, to be printed by a daemon that cannot start.
    pub(super) fn events(&self) -> impl Iterator<Item = Event> {
        let problems = self.problems.iter().flat_map(|problem| problem.lines());
        problems.map(|problem| Event::SettingsRefused { problem: problem.into() })
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.problems.join("\n"))
    }
}

impl std::error::Error for Findings {}

/// Reads the settings and validates each file that they name, without changing anything.
///
/// # Errors
///
/// Returns all problems of the settings or, if there are none, all problems of the files.
pub fn check(path: &Path) -> Result<Settings, Findings> {
    let settings =
        Settings::read(path).map_err(|invalid| Findings { problems: vec![invalid.to_string()] })?;
    let mut findings = Findings::default();
    findings.check_keys(&settings);
    findings.check_table(&settings);
    findings.check_data_directory(&settings);
    if findings.problems.is_empty() { Ok(settings) } else { Err(findings) }
}

impl Findings {
    fn check_keys(&mut self, settings: &Settings) {
        let files = &settings.files;
        let files = [&files.team_keys, &files.operator_keys, &files.upstream_keys];
        for path in files.into_iter().flatten() {
            self.add(File::open(path).err());
        }
        self.add(settings.cluster.secret.as_ref().and_then(|path| word(path).err()));
    }

    fn check_table(&mut self, settings: &Settings) {
        let Some(path) = &settings.files.initial_table else { return };
        let name = path.display();
        match std::fs::read(path) {
            Ok(bytes) => {
                self.add(Table::parse(&bytes).err().map(|error| format!("{name}: {error}")));
            }
            Err(error) => self.add(Some(format!("{name}: can't be read: {error}"))),
        }
    }

    /// Checks that the data directory, or its nearest existing ancestor, is a directory.
    fn check_data_directory(&mut self, settings: &Settings) {
        let Some(path) = &settings.instance.data else { return };
        // The last ancestor of a relative path is the empty path, which means the current
        // directory.
        let mut ancestors = path.ancestors().filter(|path| !path.as_os_str().is_empty());
        let existing = ancestors.find(|path| path.exists()).unwrap_or(Path::new("."));
        if !existing.is_dir() {
            self.add(Some(format!("{}: is no folder; correct [instance] data", path.display())));
        }
    }

    fn add(&mut self, problem: Option<impl fmt::Display>) {
        self.problems.extend(problem.map(|problem| problem.to_string()));
    }
}
