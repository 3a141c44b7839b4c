//! Takes keys out of an INI file and notes every problem on the way.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

use ini::{Ini, Properties};

use super::problem::Problem;
use super::value::{Time, Value};

/// Reads one file, section by section, and remembers which keys were asked for.
pub struct Reader<'a> {
    ini: &'a Ini,
    origin: &'a Path,
    known: BTreeMap<&'static str, BTreeSet<&'static str>>,
    problems: &'a mut Vec<Problem>,
}

impl<'a> Reader<'a> {
    /// Starts with nothing taken.
    pub(crate) fn new(ini: &'a Ini, origin: &'a Path, problems: &'a mut Vec<Problem>) -> Self {
        Self { ini, origin, known: BTreeMap::new(), problems }
    }

    /// Takes a section; one that is not in the file counts as empty.
    pub fn section<T>(&mut self, take: impl FnOnce(&mut Self) -> T) -> T {
        take(self)
    }

    /// Takes a section only if the file has it.
    pub fn optional<T>(
        &mut self,
        section: &'static str,
        take: impl FnOnce(&mut Self) -> T,
    ) -> Option<T> {
        self.known.entry(section).or_default();
        self.ini.section(Some(section))?;
        Some(take(self))
    }

    /// Replaces the target by the key's value if the file has one.
    pub fn take<T: Value>(&mut self, place: Place, target: &mut T) {
        let Some(text) = self.text(place) else { return };
        match T::read(&text) {
            Some(value) => *target = value,
            None => self.wrong(place, &text, format!("it must be {}", T::ALLOWED)),
        }
    }

    /// Replaces the target by the key's value, which the file must have.
    pub fn need<T: Value>(&mut self, place: Place, target: &mut T) {
        if !self.has(place) {
            let allowed = format!("it is missing; it must be {}", T::ALLOWED);
            self.note(Problem::key(self.origin, place.0, place.1, None, allowed));
            return;
        }
        self.take(place, target);
    }

    /// Takes a value and checks that it lies within bounds.
    pub fn within<T>(&mut self, place: Place, target: &mut T, bounds: RangeInclusive<T>)
    where
        T: Value + PartialOrd + Copy + Shown,
    {
        let mut value = *target;
        self.take(place, &mut value);
        if bounds.contains(&value) {
            *target = value;
            return;
        }
        let text = self.text(place).unwrap_or_default();
        let (low, high) = (bounds.start().shown(), bounds.end().shown());
        self.wrong(place, &text, format!("it must be between {low} and {high}"));
    }

    /// Takes a list of values with commas between them.
    pub fn list<T: Value>(&mut self, place: Place, target: &mut Vec<T>) {
        let Some(text) = self.text(place) else { return };
        for item in text.split(',').map(str::trim) {
            match T::read(item) {
                Some(value) => target.push(value),
                None => {
                    let allowed = format!("each item between commas must be {}", T::ALLOWED);
                    self.wrong(place, item, allowed);
                }
            }
        }
    }

    /// Takes a path, which starts at the file's folder if it is relative.
    pub fn path(&mut self, place: Place, target: &mut Option<PathBuf>) {
        let mut path = PathBuf::new();
        self.take(place, &mut path);
        if path.as_os_str().is_empty() {
            return;
        }
        let folder = self.origin.parent().unwrap_or(Path::new(""));
        *target = Some(folder.join(path));
    }

    /// Takes a path that the file must name.
    pub fn need_path(&mut self, place: Place, target: &mut Option<PathBuf>) {
        self.need(place, &mut PathBuf::new());
        if self.has(place) {
            self.path(place, target);
        }
    }

    /// Notes each section and key that nothing asked for, and each that stands twice.
    pub fn finish(&mut self) {
        let known = std::mem::take(&mut self.known);
        let mut seen = BTreeSet::new();
        for (name, pairs) in self.ini.iter() {
            let Some(name) = name else {
                self.outside(pairs);
                continue;
            };
            let Some(keys) = known.get(name) else {
                let names = list(known.keys());
                let allowed = format!("there is no such section; there are {names}");
                self.note(Problem::section(self.origin, name, allowed));
                continue;
            };
            if !seen.insert(name) {
                let allowed = "the section stands twice; put its keys in one";
                self.note(Problem::section(self.origin, name, allowed));
            }
            self.unknown(name, pairs, keys);
        }
    }

    /// Notes keys that stand before the first section.
    fn outside(&mut self, pairs: &Properties) {
        for (key, _) in pairs.iter() {
            let allowed = format!("`{key}` stands before the first section; move it into one");
            self.note(Problem::file(self.origin, allowed));
        }
    }

    /// Notes keys of one section that are unknown or stand twice.
    fn unknown(&mut self, section: &str, pairs: &Properties, known: &BTreeSet<&str>) {
        let mut seen = BTreeSet::new();
        for (key, value) in pairs.iter() {
            if !seen.insert(key) {
                let allowed = "the key stands twice; keep one";
                self.note(Problem::key(self.origin, section, key, Some(value), allowed));
            } else if !known.contains(key) {
                // The parser takes a line without `=` into the next line's key.
                let slip = if key.contains('\n') { "; a line lacks its `=`" } else { "" };
                let allowed = format!("there is no such key; there are {}{slip}", list(known));
                self.note(Problem::key(self.origin, section, key, None, allowed));
            }
        }
    }

    /// Returns the text of a key, noting it as known; an empty one is a problem.
    fn text(&mut self, place: Place) -> Option<String> {
        let Place(section, key) = place;
        self.known.entry(section).or_default().insert(key);
        let text = self.ini.section_all(Some(section)).find_map(|pairs| pairs.get(key))?.trim();
        if text.is_empty() {
            let allowed = "the value is missing; write one or remove the key";
            self.note(Problem::key(self.origin, section, key, None, allowed));
            return None;
        }
        Some(text.to_owned())
    }

    /// Tells whether the file has the key, with or without a value.
    fn has(&mut self, place: Place) -> bool {
        let Place(section, key) = place;
        self.known.entry(section).or_default().insert(key);
        self.ini.section_all(Some(section)).any(|pairs| pairs.contains_key(key))
    }

    /// Notes a value that is not allowed.
    fn wrong(&mut self, place: Place, value: &str, allowed: String) {
        self.note(Problem::key(self.origin, place.0, place.1, Some(value), allowed));
    }

    /// Notes a problem once, however often its key is read.
    fn note(&mut self, problem: Problem) {
        if !self.problems.contains(&problem) {
            self.problems.push(problem);
        }
    }
}

/// Names a section and a key in it.
#[derive(Clone, Copy)]
pub struct Place(pub &'static str, pub &'static str);

/// Shows a bound as a settings file would write it.
pub trait Shown {
    /// Returns the text.
    fn shown(&self) -> String;
}

impl Shown for Duration {
    fn shown(&self) -> String {
        Time(*self).to_string()
    }
}

impl Shown for u32 {
    fn shown(&self) -> String {
        self.to_string()
    }
}

impl Shown for super::value::Size {
    fn shown(&self) -> String {
        self.to_string()
    }
}

/// Writes names with commas between them.
fn list<T: Display>(names: impl IntoIterator<Item = T>) -> String {
    let names: Vec<String> = names.into_iter().map(|name| name.to_string()).collect();
    names.join(", ")
}
