//! Change log of a keyed collection.
//!
//! The leader answers hundreds of readers a second. Each reader sends its cursor and gets only what changed
//! since, so that answers do not grow with the collection.

/// A collection whose entries carry the cursor of their last change.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeLog<K, V> {
    /// Sorted by key; `None` for a removed entry.
    entries: Vec<(K, u64, Option<V>)>,
    cursor: u64,
}

impl<K: Clone + Ord, V: Clone + PartialEq> ChangeLog<K, V> {
    /// An empty collection.
    pub fn new() -> Self {
        Self { entries: Vec::new(), cursor: 0 }
    }

    /// Cursor of the newest change.
    pub fn cursor(&self) -> u64 {
        self.cursor
    }

    /// Makes the collection equal to `present`, with a new cursor for each difference.
    pub fn sync(&mut self, present: impl Iterator<Item = (K, V)>) {
        let mut present: Vec<(K, V)> = present.collect();
        present.sort_by(|left, right| left.0.cmp(&right.0));
        for (key, cursor, value) in &mut self.entries {
            let removed = present.binary_search_by(|(known, _)| known.cmp(key)).is_err();
            if removed && value.is_some() {
                self.cursor += 1;
                *cursor = self.cursor;
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
                    self.cursor += 1;
                    *entry = (key, self.cursor, Some(value));
                }
            }
            Err(at) => {
                self.cursor += 1;
                self.entries.insert(at, (key, self.cursor, Some(value)));
            }
        }
    }

    /// Changes since `cursor`. At cursor 0, which means a full snapshot, removed entries are left out.
    pub fn since(&self, cursor: u64) -> Vec<(K, Option<V>)> {
        let changes = self.newer(cursor).filter(|(_, value)| cursor > 0 || value.is_some());
        changes.map(|(key, value)| (key.clone(), value.clone())).collect()
    }

    /// Entries that changed since `cursor`, including removed ones.
    pub fn newer(&self, cursor: u64) -> impl Iterator<Item = (&K, &Option<V>)> {
        self.entries.iter().filter(move |(_, at, _)| *at > cursor).map(|(key, _, value)| (key, value))
    }
}

impl<K: Clone + Ord, V: Clone + PartialEq> Default for ChangeLog<K, V> {
    fn default() -> Self {
        Self::new()
    }
}
