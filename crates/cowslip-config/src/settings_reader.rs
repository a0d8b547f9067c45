//! Reads a settings file (INI) and collects every fault with its line.
//!
//! A process reads every key that it supports with [`SettingsReader::required`], [`SettingsReader::optional`]
//! or [`SettingsReader::optional_text`], and then calls [`SettingsReader::finish`], which reports unknown
//! keys, invalid values and missing keys all at once.

use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::str::FromStr;

use ini::Ini;
use thiserror::Error;

/// A fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{file}:{line}: {message}")]
pub struct SettingsFault {
    /// Path of the file, as given on the command line.
    pub file: String,
    /// Line, counted from 1; 0 if the fault belongs to no line.
    pub line: usize,
    /// Description of the fault.
    pub message: String,
}

/// Reads values from a settings file and tracks which keys were requested.
#[derive(Debug)]
pub struct SettingsReader {
    path: PathBuf,
    lines: Vec<(String, String, usize)>,
    ini: Ini,
    requested: Vec<(String, String)>,
    faults: Vec<SettingsFault>,
}

impl SettingsReader {
    /// Reads the file at `path`.
    pub fn open(path: &Path) -> Result<Self, Vec<SettingsFault>> {
        match std::fs::read_to_string(path) {
            Ok(text) => Self::from_text(path, &text),
            Err(error) => {
                let message = format!("cannot read the file: {error}");
                Err(vec![SettingsFault { file: path.display().to_string(), line: 0, message }])
            }
        }
    }

    /// Parses `text` as the content of the file at `path`.
    pub fn from_text(path: &Path, text: &str) -> Result<Self, Vec<SettingsFault>> {
        let ini = Ini::load_from_str(text).map_err(|error| {
            vec![SettingsFault {
                file: path.display().to_string(),
                line: error.line + 1,
                message: error.msg.to_string(),
            }]
        })?;
        let lines = key_lines(text);
        let mut reader =
            Self { path: path.to_owned(), lines, ini, requested: Vec::new(), faults: Vec::new() };
        reader.check_repeated();
        Ok(reader)
    }

    /// The value of `key`; if it is missing or invalid, records a fault and returns `None`.
    pub fn required<T>(&mut self, section: &str, key: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.text(section, key) {
            Some(text) => self.parse(section, key, &text),
            None => {
                self.fault(0, format!("[{section}] has no key \"{key}\""));
                None
            }
        }
    }

    /// The value of `key`, or `default` if it is absent; records a fault if it is invalid.
    pub fn optional<T>(&mut self, section: &str, key: &str, default: T) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        match self.text(section, key) {
            Some(text) => self.parse(section, key, &text).unwrap_or(default),
            None => default,
        }
    }

    /// The text of `key`, if it is present.
    pub fn optional_text(&mut self, section: &str, key: &str) -> Option<String> {
        self.text(section, key)
    }

    /// Records a fault that the caller found, at the line of `key`.
    pub fn reject(&mut self, section: &str, key: &str, message: &str) {
        let line = self.line_of(section, key);
        self.fault(line, format!("[{section}] {key}: {message}"));
    }

    /// Ends the reading of the file.
    ///
    /// # Errors
    /// All faults: invalid and missing values, and keys that were never requested.
    pub fn finish(mut self) -> Result<(), Vec<SettingsFault>> {
        let unknown: Vec<(String, String, usize)> =
            self.lines.iter().filter(|(section, key, _)| !self.is_requested(section, key)).cloned().collect();
        for (section, key, line) in unknown {
            self.fault(line, format!("unknown key \"{key}\" in [{section}]"));
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(self.faults)
    }

    fn text(&mut self, section: &str, key: &str) -> Option<String> {
        self.requested.push((section.to_owned(), key.to_owned()));
        self.ini.get_from(Some(section), key).map(str::to_owned)
    }

    fn parse<T>(&mut self, section: &str, key: &str, text: &str) -> Option<T>
    where
        T: FromStr,
        T::Err: Display,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let line = self.line_of(section, key);
                self.fault(line, format!("[{section}] {key} = {text:?}: {error}"));
                None
            }
        }
    }

    fn is_requested(&self, section: &str, key: &str) -> bool {
        self.requested
            .iter()
            .any(|(requested_section, requested_key)| requested_section == section && requested_key == key)
    }

    fn line_of(&self, section: &str, key: &str) -> usize {
        let found = self.lines.iter().find(|entry| entry.0 == section && entry.1 == key);
        found.map_or(0, |(_, _, line)| *line)
    }

    fn fault(&mut self, line: usize, message: String) {
        let file = self.path.display().to_string();
        self.faults.push(SettingsFault { file, line, message });
    }

    fn check_repeated(&mut self) {
        let mut repeated = Vec::new();
        for (at, (section, key, line)) in self.lines.iter().enumerate() {
            let earlier = self.lines.iter().take(at).find(|entry| &entry.0 == section && &entry.1 == key);
            if let Some((_, _, first)) = earlier {
                repeated.push((*line, format!("[{section}] {key} is already set on line {first}")));
            }
        }
        for (line, message) in repeated {
            self.fault(line, message);
        }
    }
}

/// Section, key and line of each entry, because the INI parser does not keep line numbers.
fn key_lines(text: &str) -> Vec<(String, String, usize)> {
    let mut section = String::new();
    let mut entries = Vec::new();
    for (at, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
            section = name.trim().to_owned();
            continue;
        }
        if line.is_empty() || line.starts_with(['#', ';']) {
            continue;
        }
        if let Some((key, _)) = line.split_once(['=', ':']) {
            entries.push((section.clone(), key.trim().to_owned(), at + 1));
        }
    }
    entries
}
