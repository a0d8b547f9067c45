//! Which era the store is in, by what its answers tell.
//!
//! A rise counts when two answers in a row tell it, so that a single garbled one does not make all later ones look old.
//! Answers that tell no era are of the known one; answers of an older era are late and of no use.

use cowslip_units::StoreEra;
use thiserror::Error;

/// Why an answer is of no use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum EraFault {
    /// It is of an era before the known one.
    #[error("an answer of era {0}, which is over")]
    Over(StoreEra),
    /// It is the first to tell a higher era.
    #[error("era {0} is told for the first time")]
    NotConfirmed(StoreEra),
}

/// The known era, and a higher one that was told once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EraTracker {
    era: StoreEra,
    higher: Option<StoreEra>,
}

impl EraTracker {
    /// The known era.
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Takes the era that an answer told, and returns that of its content.
    ///
    /// # Errors
    /// [`EraFault`] when the answer is of no use; the call is to be repeated.
    pub fn take(&mut self, told: Option<StoreEra>) -> Result<StoreEra, EraFault> {
        let Some(told) = told else { return Ok(self.era) };
        let before = self.higher.take();
        if told < self.era {
            return Err(EraFault::Over(told));
        }
        if told > self.era && before != Some(told) {
            self.higher = Some(told);
            return Err(EraFault::NotConfirmed(told));
        }
        self.era = told;
        Ok(told)
    }
}
