//! The store's era, as observed in its answers.
//!
//! A higher era is accepted when two consecutive answers carry it, so that one garbled answer does not make
//! all later ones look outdated. Answers without an era belong to the known one; answers of an older era are
//! late and must be dropped.

use cowslip_units::StoreEra;
use thiserror::Error;

/// Reason why an answer must not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EraFault {
    /// It belongs to an era before the known one.
    #[error("store answer is of era {0}, which is over")]
    Over(StoreEra),
    /// It is the first one that carries a higher era.
    #[error("store answer is the first of era {0}; waiting for a second one")]
    NotConfirmed(StoreEra),
}

/// The known era, and a higher one that a single answer has carried.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraTracker {
    era: StoreEra,
    candidate: Option<StoreEra>,
}

impl EraTracker {
    /// The known era.
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Takes the era of an answer, if it carries one, and returns the era of its content.
    ///
    /// # Errors
    /// [`EraFault`] when the answer must not be used; the call should be repeated.
    pub fn take(&mut self, observed: Option<StoreEra>) -> Result<StoreEra, EraFault> {
        let Some(observed) = observed else { return Ok(self.era) };
        let previous = self.candidate.take();
        if observed < self.era {
            return Err(EraFault::Over(observed));
        }
        if observed > self.era && previous != Some(observed) {
            self.candidate = Some(observed);
            return Err(EraFault::NotConfirmed(observed));
        }
        self.era = observed;
        Ok(observed)
    }
}
