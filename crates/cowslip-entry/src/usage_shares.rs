//! Which part of a team's tokens each gateway has used lately.
//!
//! Callers stay with their gateway, so recent use tells what each gateway needs when it loses the leader. Equal parts
//! would be smaller than one request in a large fleet.

use cowslip_units::ClockTime;
use smol_str::SmolStr;

/// Time in ms over which use is smoothed.
const SMOOTH_MS: f64 = 5_000.0;

/// Thousandths of the whole that are dealt evenly, for gateways whose callers come anew.
const EVEN_MILLI: u64 = 200;

/// Thousandths of a whole.
const MILLI: u64 = 1_000;

/// Use of one team's tokens by gateway.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageShares {
    /// Sorted by gateway.
    used: Vec<(SmolStr, f64)>,
    decayed_at: ClockTime,
}

impl UsageShares {
    /// A gateway used `tokens`.
    pub fn add(&mut self, gateway: &SmolStr, tokens: u64, now: ClockTime) {
        let keep = (-(now.since_ms(self.decayed_at) as f64) / SMOOTH_MS).exp();
        self.decayed_at = now;
        for (_, used) in &mut self.used {
            *used *= keep;
        }
        self.used.retain(|(_, used)| *used >= 1.0);
        match self.used.binary_search_by(|(name, _)| name.cmp(gateway)) {
            Ok(at) => self.used[at].1 += tokens as f64,
            Err(at) => self.used.insert(at, (gateway.clone(), tokens as f64)),
        }
    }

    /// A gateway's part in thousandths; the parts of all `members` gateways add up to a whole at most.
    pub fn share_milli(&self, gateway: &SmolStr, members: usize) -> u64 {
        let even = EVEN_MILLI / members.max(1) as u64;
        let total: f64 = self.used.iter().map(|(_, used)| used).sum();
        if total < 1.0 {
            return MILLI / members.max(1) as u64;
        }
        let used =
            self.used.binary_search_by(|(name, _)| name.cmp(gateway)).ok().map_or(0.0, |at| self.used[at].1);
        even + ((MILLI - EVEN_MILLI) as f64 * used / total) as u64
    }
}
