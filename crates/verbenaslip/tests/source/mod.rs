//! The source files of the crates, to see what of a catalogue is used.

use std::fs;
use std::path::Path;

/// Returns the text of all source files but the catalogues themselves.
pub fn sources() -> String {
    let mut text = String::new();
    let crates = Path::new(env!("CARGO_MANIFEST_DIR")).join("..");
    for entry in fs::read_dir(crates).expect("the crates can be listed").flatten() {
        gather(&entry.path().join("src"), &mut text);
    }
    text
}

fn gather(folder: &Path, text: &mut String) {
    let Ok(entries) = fs::read_dir(folder) else { return };
    for path in entries.flatten().map(|entry| entry.path()) {
        if path.is_dir() {
            gather(&path, text);
        } else if path.file_name().is_none_or(|name| name != "list.rs") {
            *text += &fs::read_to_string(&path).unwrap_or_default();
        }
    }
}
