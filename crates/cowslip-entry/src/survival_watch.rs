//! Tells from the events of a stream when its upstream has survived the answer.
//!
//! An upstream that a prompt ends may write some events before it does. So the first event proves nothing: a stream
//! counts as survived once it goes on for a while after that. Until then its request is a suspect when the upstream
//! ends; from then on it is a witness that its prompt is sound.

use cowslip_units::ClockTime;

/// Time in ms after the first event of an answer from which its upstream has survived it.
pub const SURVIVAL_MS: u64 = 1_000;

/// Events of one stream from one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SurvivalWatch {
    begun_at: Option<ClockTime>,
    has_survived: bool,
}

impl SurvivalWatch {
    /// A stream without an event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an event; returns true for the one that shows that the upstream has survived the answer.
    pub fn record_event(&mut self, now: ClockTime) -> bool {
        let begun_at = *self.begun_at.get_or_insert(now);
        let shows_survival = !self.has_survived && now.since_ms(begun_at) >= SURVIVAL_MS;
        self.has_survived |= shows_survival;
        shows_survival
    }

    /// Records the proper end of the stream; returns true when only that shows that the upstream has survived.
    pub fn record_end(&mut self) -> bool {
        let shows_survival = !self.has_survived && self.begun_at.is_some();
        self.has_survived |= shows_survival;
        shows_survival
    }

    /// True once the stream has an event.
    pub const fn has_begun(&self) -> bool {
        self.begun_at.is_some()
    }

    /// True while the request is a suspect when its upstream ends.
    pub const fn is_suspect(&self) -> bool {
        !self.has_survived
    }
}
