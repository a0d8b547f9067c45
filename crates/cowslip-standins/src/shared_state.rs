//! State shared by the request handlers of one server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Shared state behind a mutex. Uncontended: it is used by one thread only and never held across an await.
#[derive(Debug)]
pub(crate) struct SharedState<T> {
    state: Arc<Mutex<T>>,
}

impl<T> SharedState<T> {
    pub(crate) fn new(state: T) -> Self {
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Locks the state. Poisoning is ignored: the panic has been reported and the other handlers keep
    /// serving.
    pub(crate) fn lock(&self) -> MutexGuard<'_, T> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<T> Clone for SharedState<T> {
    fn clone(&self) -> Self {
        Self { state: Arc::clone(&self.state) }
    }
}
