//! The room on one worker, as its gate counts it.
//!
//! A worker of this kind starts whatever it is told, so the count here is the
//! only guard of its capacity. Room is taken before an order is sent and given
//! back only when the run is known to be over.

use std::collections::HashMap;

use crate::ephemeral::job::{Resources, RunId};

/// Capacity of a worker and who holds it.
#[derive(Debug, Default)]
pub struct Room {
    capacity: Resources,
    used: Resources,
    held: HashMap<RunId, Resources>,
}

impl Room {
    /// The worker has this much from now on.
    pub fn resize(&mut self, capacity: Resources) {
        self.capacity = capacity;
    }

    /// What the worker has.
    pub fn capacity(&self) -> Resources {
        self.capacity
    }

    /// Room that nobody holds.
    pub fn free(&self) -> Resources {
        self.capacity.minus(&self.used)
    }

    /// Takes room for `run`; `false`, and nothing taken, if there is too little.
    pub fn take(&mut self, run: RunId, needs: Resources) -> bool {
        if !needs.fits_in(&self.free()) {
            return false;
        }
        self.force(run, needs);
        true
    }

    /// Counts a run that is on the worker already, whether or not it fits.
    pub fn force(&mut self, run: RunId, needs: Resources) {
        if let Some(before) = self.held.insert(run, needs) {
            self.used = self.used.minus(&before);
        }
        self.used = self.used.plus(&needs);
    }

    /// Gives back what `run` holds.
    pub fn give_back(&mut self, run: RunId) {
        if let Some(needs) = self.held.remove(&run) {
            self.used = self.used.minus(&needs);
        }
    }
}
