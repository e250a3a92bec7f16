//! How long callers usually wait, and who has sent its job before.
//!
//! A caller that sends a job again has less time left than callers of its route
//! usually have, and the objective of its job is past. Where room is short, jobs
//! that can still meet theirs go first: after a restart up to half of all jobs come
//! for the second time.

use std::collections::HashMap;
use std::sync::Arc;

/// Part of the usual wait below which a job was sent before. Callers wait for 2 to 7 s and send again after 1.3 s; waits of one route vary by a
/// tenth, those of the longest tasks by a third.
const SENT_BEFORE_BELOW: f64 = 0.7;
/// Weight of a new wait in the usual one.
const WEIGHT: f64 = 0.1;
/// The same for a wait that tells of an earlier sending; not zero, because callers
/// may change their minds for good.
const SENT_BEFORE_WEIGHT: f64 = 0.02;

/// Usual waits by route.
#[derive(Debug, Default)]
pub(super) struct CallerWaits {
    usual_us: HashMap<Arc<str>, f64>,
}

impl CallerWaits {
    /// A caller of `route` waits for `wait_us`: whether it has sent before.
    pub fn was_sent_before(&mut self, route: &Arc<str>, wait_us: u64) -> bool {
        let wait_us = wait_us as f64;
        let usual_us = self.usual_us.entry(route.clone()).or_insert(wait_us);
        let sent_before = wait_us < *usual_us * SENT_BEFORE_BELOW;
        let weight = match sent_before {
            true => SENT_BEFORE_WEIGHT,
            false => WEIGHT,
        };
        *usual_us += weight * (wait_us - *usual_us);
        sent_before
    }
}
