//! The file with the operator's key.

use std::fs::File;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

/// Permission bits of the group and of others.
const GROUP_AND_OTHERS_MODE: u32 = 0o077;

/// Reads the key from a file that only its owner may read.
///
/// The key is the last word of the first line that is neither empty nor a comment, so a line copied
/// from the operator key file of an instance is accepted, too.
///
/// # Errors
///
/// Returns the cause if the file cannot be read, is open to other users, or holds no valid key.
pub(super) fn read(path: &Path) -> Result<String, String> {
    let read_error = |error: std::io::Error| format!("the key can't be read: {error}");
    let file = File::open(path).map_err(read_error)?;
    let mode = file.metadata().map_err(read_error)?.permissions().mode() & 0o777;
    if mode & GROUP_AND_OTHERS_MODE != 0 {
        let path = path.display();
        return Err(format!(
            "is readable by group or others (mode {mode:03o}); run `chmod 600 {path}`"
        ));
    }
    let text = std::io::read_to_string(file).map_err(read_error)?;
    let mut lines = text.lines().map(str::trim);
    let line = lines.find(|line| !line.is_empty() && !line.starts_with('#'));
    let key = line.and_then(|line| line.split_ascii_whitespace().last());
    let key = key.ok_or("holds no key; write it on a line of its own")?;
    if !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err("the key must be visible ASCII characters".into());
    }
    Ok(key.to_owned())
}
