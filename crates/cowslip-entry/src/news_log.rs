//! What changed in a keyed collection since a reader last asked.
//!
//! The leader answers hundreds of readers a second. Each tells the mark up to which it knows, and gets only what is
//! newer, so that an answer does not grow with the collection.

/// A collection with a mark on each entry.
#[derive(Clone, Debug, PartialEq)]
pub struct NewsLog<K, V> {
    /// Sorted by key; `None` for a removed entry.
    entries: Vec<(K, u64, Option<V>)>,
    mark: u64,
}

impl<K: Clone + Ord, V: Clone + PartialEq> NewsLog<K, V> {
    /// An empty collection.
    pub fn new() -> Self {
        Self { entries: Vec::new(), mark: 0 }
    }

    /// The newest mark.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Makes the collection equal to `present`.
    pub fn sync(&mut self, present: impl Iterator<Item = (K, V)>) {
        let mut present: Vec<(K, V)> = present.collect();
        present.sort_by(|left, right| left.0.cmp(&right.0));
        for (key, mark, value) in &mut self.entries {
            let gone = present.binary_search_by(|(known, _)| known.cmp(key)).is_err();
            if gone && value.is_some() {
                self.mark += 1;
                *mark = self.mark;
                *value = None;
            }
        }
        for (key, value) in present {
            self.put(key, value);
        }
    }

    fn put(&mut self, key: K, value: V) {
        match self.entries.binary_search_by(|(known, ..)| known.cmp(&key)) {
            Ok(at) => {
                if let Some(entry) = self.entries.get_mut(at)
                    && entry.2.as_ref() != Some(&value)
                {
                    self.mark += 1;
                    *entry = (key, self.mark, Some(value));
                }
            }
            Err(at) => {
                self.mark += 1;
                self.entries.insert(at, (key, self.mark, Some(value)));
            }
        }
    }

    /// What is newer than `mark`. A reader that knows nothing is not told of removed entries.
    pub fn since(&self, mark: u64) -> Vec<(K, Option<V>)> {
        let told = self.newer(mark).filter(|(_, value)| mark > 0 || value.is_some());
        told.map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    /// Entries that are newer than `mark`, removed ones included.
    pub fn newer(&self, mark: u64) -> impl Iterator<Item = (&K, &Option<V>)> {
        self.entries.iter().filter(move |(_, at, _)| *at > mark).map(|(key, _, value)| (key, value))
    }
}

impl<K: Clone + Ord, V: Clone + PartialEq> Default for NewsLog<K, V> {
    fn default() -> Self {
        Self::new()
    }
}
