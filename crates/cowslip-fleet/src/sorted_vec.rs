//! Lookup and insertion in vectors sorted by key.

/// The entry with `key` in a vector sorted by `key_of`.
pub(crate) fn find<'a, T, K: Ord>(entries: &'a [T], key: &K, key_of: impl Fn(&T) -> &K) -> Option<&'a T> {
    let at = entries.binary_search_by(|entry| key_of(entry).cmp(key)).ok()?;
    entries.get(at)
}

/// Mutable variant of [`find`].
pub(crate) fn find_mut<'a, T, K: Ord>(
    entries: &'a mut [T],
    key: &K,
    key_of: impl Fn(&T) -> &K,
) -> Option<&'a mut T> {
    let at = entries.binary_search_by(|entry| key_of(entry).cmp(key)).ok()?;
    entries.get_mut(at)
}

/// Inserts `entry` in key order, replacing an entry with the same key.
pub(crate) fn put<T, K: Ord>(entries: &mut Vec<T>, entry: T, key_of: impl Fn(&T) -> &K) {
    match entries.binary_search_by(|other| key_of(other).cmp(key_of(&entry))) {
        Ok(at) => entries[at] = entry,
        Err(at) => entries.insert(at, entry),
    }
}
