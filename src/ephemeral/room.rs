//! Capacity accounting for one worker. The worker enforces no limit, so its gate
//! reserves room before each start and releases it when the run has ended.

use std::collections::HashMap;

use crate::ephemeral::job::{Resources, RunId};

/// Capacity of a worker and the reservations on it.
#[derive(Debug, Default)]
pub struct Room {
    capacity: Resources,
    used: Resources,
    reservations: HashMap<RunId, Resources>,
}

impl Room {
    /// Sets the capacity.
    pub fn resize(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// Total capacity.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Capacity that is not reserved.
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.used)
    }

    /// Reserves room for `run`; returns `false` without reserving anything if there is too
    /// little.
    pub fn try_reserve(&mut self, run: RunId, needs: Resources) -> bool {
        if !needs.fits_in(&self.free()) {
            return false;
        }
        self.reserve(run, needs);
        true
    }

    /// Reserves room for a run that is already on the worker, even if it does not fit.
    pub fn reserve(&mut self, run: RunId, needs: Resources) {
        if let Some(before) = self.reservations.insert(run, needs) {
            self.used = self.used.minus(&before);
        }
        self.used = self.used.plus(&needs);
    }

    /// Releases the reservation of `run`.
    pub fn release(&mut self, run: RunId) {
        if let Some(needs) = self.reservations.remove(&run) {
            self.used = self.used.minus(&needs);
        }
    }
}
