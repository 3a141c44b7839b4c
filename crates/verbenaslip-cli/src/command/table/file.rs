//! Table files and the `.base` files with the revisions that they are based on.

use std::fs;
use std::path::{Path, PathBuf};

use verbenaslip_table::Table;

use crate::error::Error;

/// Reads and validates a table file.
pub(super) fn read(path: &Path) -> Result<Table, Error> {
    let bytes =
        fs::read(path).map_err(|error| file_error(path, format!("can't be read: {error}")))?;
    Table::parse(&bytes)
        .map_err(|problems| Error::Table { file: path.display().to_string(), problems })
}

/// Writes a table file and its `.base` file with the revision.
pub(super) fn write(path: &Path, text: &str, revision: u64) -> Result<(), Error> {
    let failed = |path: &Path| {
        let path = path.to_path_buf();
        move |error: std::io::Error| file_error(&path, format!("can't be written: {error}"))
    };
    fs::write(path, text).map_err(failed(path))?;
    let base = base_path(path);
    fs::write(&base, format!("{revision}\n")).map_err(failed(&base))
}

/// Returns the revision that a file is based on, or `None` if its `.base` file cannot be read.
pub(super) fn base(path: &Path) -> Result<Option<u64>, Error> {
    let base = base_path(path);
    let Ok(text) = fs::read_to_string(&base) else { return Ok(None) };
    match text.trim().parse() {
        Ok(revision) => Ok(Some(revision)),
        Err(_) => Err(file_error(&base, "must hold one revision number; or give --base".into())),
    }
}

/// Updates the `.base` file to a new revision if it exists.
pub(super) fn advance(path: &Path, revision: u64) -> Result<(), Error> {
    let base = base_path(path);
    if !base.exists() {
        return Ok(());
    }
    fs::write(&base, format!("{revision}\n"))
        .map_err(|error| file_error(&base, format!("can't be written: {error}")))
}

/// Returns the path `FILE.base` for `FILE`.
fn base_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".base");
    name.into()
}

fn file_error(path: &Path, cause: String) -> Error {
    Error::File { file: path.display().to_string(), cause }
}
