//! Rendezvous hashing of names: every gateway ranks the same candidates in the same order.

/// FNV-1a over the bytes of a text.
pub fn text_hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Weight of a candidate for a key; the candidate with the highest weight ranks first.
pub fn pair_weight(key: u64, candidate: u64) -> u64 {
    let value = key ^ candidate.rotate_left(32);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Rank of `own` among `members` for a key, from zero; the number of members when it is not among them.
pub fn hash_rank(key: u64, own: &str, members: &[smol_str::SmolStr]) -> usize {
    let weight = pair_weight(key, text_hash(own));
    if !members.iter().any(|member| member == own) {
        return members.len();
    }
    members.iter().filter(|member| pair_weight(key, text_hash(member)) > weight).count()
}
