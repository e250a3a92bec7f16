//! Detects resent jobs by how long their callers are going to wait.
//!
//! A caller that submits a job again waits for less time than is usual for its route. The
//! objective of such a job has passed, so other jobs go first when room is short.

use std::collections::HashMap;
use std::sync::Arc;

/// Share of the usual wait below which a job counts as resent. Waits of one route vary by a
/// tenth, those of the longest tasks by a third.
const RESEND_THRESHOLD: f64 = 0.7;
/// Weight of a new wait in the average.
const WEIGHT: f64 = 0.1;
/// The same for a job that counts as resent; above zero so that the average follows a
/// lasting change.
const RESEND_WEIGHT: f64 = 0.02;

/// Usual waits of callers, by route.
#[derive(Debug, Default)]
pub(super) struct CallerWaits {
    usual_us: HashMap<Arc<str>, f64>,
}

impl CallerWaits {
    /// Records that a caller of `route` waits for `wait_us`; returns whether the job is
    /// resent.
    pub fn is_resend(&mut self, route: &Arc<str>, wait_us: u64) -> bool {
        let wait_us = wait_us as f64;
        let usual_us = self.usual_us.entry(route.clone()).or_insert(wait_us);
        let is_resend = wait_us < *usual_us * RESEND_THRESHOLD;
        let weight = match is_resend {
            true => RESEND_WEIGHT,
            false => WEIGHT,
        };
        *usual_us += weight * (wait_us - *usual_us);
        is_resend
    }
}
