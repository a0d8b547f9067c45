//! Checks the upstream stand-ins' journals: non-idempotent calls ran at most once, and no API key was
//! forwarded.

use std::collections::BTreeMap;

use serde::Deserialize;

/// One request in a journal.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
struct JournalEntry {
    #[serde(default)]
    headers: Vec<(String, String)>,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    idempotency_key: Option<String>,
}

/// The fields of an upstream's journal that are used here.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
struct Journal {
    #[serde(default)]
    requests: Vec<JournalEntry>,
    #[serde(default)]
    peak_running: u32,
    #[serde(default)]
    peak_memory_mib: u64,
}

/// A violation found in the journals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalFault {
    /// A call with this idempotency key was executed more than once.
    RanTwice {
        /// The idempotency key as received by the upstream, scoped by the fleet.
        key: String,
        /// Number of executions over all upstreams.
        runs: u32,
    },
    /// An upstream received a caller's API key or an `authorization` header.
    KeySeen {
        /// Name of the header.
        header: String,
    },
    /// A journal could not be fetched or parsed, with the reason.
    Unreadable(String),
}

/// Accumulates the journals of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct JournalCheck {
    keys: Vec<String>,
    runs: BTreeMap<String, u32>,
    faults: Vec<JournalFault>,
    requests: u64,
    peak_running: u32,
    peak_memory_mib: u64,
}

impl JournalCheck {
    /// Creates a check that searches all headers for the API keys `keys`.
    pub fn new(keys: Vec<String>) -> Self {
        Self { keys, ..Self::default() }
    }

    /// Adds the journal of one upstream, as JSON.
    pub fn add(&mut self, text: &str) {
        let journal: Journal = match serde_json::from_str(text) {
            Ok(journal) => journal,
            Err(error) => {
                self.faults.push(JournalFault::Unreadable(error.to_string()));
                return;
            }
        };
        self.peak_running = self.peak_running.max(journal.peak_running);
        self.peak_memory_mib = self.peak_memory_mib.max(journal.peak_memory_mib);
        for entry in journal.requests {
            self.add_entry(&entry);
        }
    }

    /// Records that an upstream's journal could not be fetched.
    pub fn add_unreadable(&mut self, reason: String) {
        self.faults.push(JournalFault::Unreadable(reason));
    }

    fn add_entry(&mut self, entry: &JournalEntry) {
        self.requests += 1;
        for (name, value) in &entry.headers {
            let seen = self.keys.iter().any(|key| value.contains(key.as_str()));
            if seen || name.eq_ignore_ascii_case("authorization") {
                self.faults.push(JournalFault::KeySeen { header: name.clone() });
            }
        }
        if entry.outcome == "ran"
            && let Some(key) = &entry.idempotency_key
        {
            *self.runs.entry(key.clone()).or_default() += 1;
        }
    }

    /// Number of requests in all journals.
    pub fn requests(&self) -> u64 {
        self.requests
    }

    /// Number of distinct idempotency keys that were executed.
    pub fn orders_run(&self) -> usize {
        self.runs.len()
    }

    /// All violations found.
    pub fn faults(&self) -> Vec<JournalFault> {
        let twice = self.runs.iter().filter(|(_, runs)| **runs > 1);
        let twice = twice.map(|(key, runs)| JournalFault::RanTwice { key: key.clone(), runs: *runs });
        self.faults.iter().cloned().chain(twice).collect()
    }
}
