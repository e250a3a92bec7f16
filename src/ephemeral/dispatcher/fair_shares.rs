//! Fair shares: detects routes whose demand exceeds its usual rate.
//!
//! Each route has a token bucket that fills at its average demand outside congestion.
//! During congestion a job is surplus if the bucket holds too few tokens for it; it then
//! only gets spare room. While the usual demand is unknown, no job is surplus. Jobs of the
//! most urgent priority never are.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::job::Job;
use crate::ephemeral::job::Priority;
use crate::time::{Moment, micros};

/// Averaging period of the usual demand.
const DEMAND_WINDOW: Duration = Duration::from_secs(10);
/// Time without congestion after which the usual demand counts as known.
const MIN_CALM: Duration = Duration::from_secs(1);
/// Congestion level above which room counts as short.
const CONGESTED_LEVEL: f64 = 0.1;
/// Rate at which the bucket fills, as a multiple of the usual demand.
const RATE_ALLOWANCE: f64 = 1.25;
/// Longest interval between two jobs that counts, so that callers returning after an outage
/// do not lower the usual demand.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Bucket size, as time at the usual demand.
const BUCKET_DEPTH: Duration = Duration::from_secs(1);
/// Minimum bucket size in jobs, for routes with few jobs.
const MIN_BUCKET_JOBS: f64 = 2.0;

/// Demand of one route, in core-microseconds.
#[derive(Debug, Default)]
struct Demand {
    /// Usual demand per microsecond.
    usual_per_us: f64,
    /// Time without congestion over which it was averaged, in microseconds.
    calm_us: f64,
    /// Demand not yet averaged in.
    pending_work: f64,
    tokens: f64,
    at_us: u64,
}

impl Demand {
    /// Takes tokens for a job of this much work; returns whether there were enough.
    fn try_take(&mut self, now: Moment, work: f64, congested: bool) -> bool {
        let since_us = match self.at_us {
            0 => now.mono_us,
            at_us => at_us,
        };
        let elapsed_us = (now.mono_us - since_us).min(micros(MAX_PAUSE)) as f64;
        self.at_us = now.mono_us;
        if !congested {
            self.update_usual(elapsed_us, work);
        }
        let depth = (self.usual_per_us * micros(BUCKET_DEPTH) as f64).max(work * MIN_BUCKET_JOBS);
        self.tokens = (self.tokens + self.usual_per_us * RATE_ALLOWANCE * elapsed_us).min(depth);
        let within = self.tokens >= work;
        if within {
            self.tokens -= work;
        }
        within || self.calm_us < micros(MIN_CALM) as f64
    }

    fn update_usual(&mut self, elapsed_us: f64, work: f64) {
        let window_us = micros(DEMAND_WINDOW) as f64;
        self.calm_us = (self.calm_us + elapsed_us).min(window_us);
        let weight = (elapsed_us / self.calm_us.max(1.0)).min(1.0);
        self.pending_work += work;
        if elapsed_us > 0.0 {
            self.usual_per_us += weight * (self.pending_work / elapsed_us - self.usual_per_us);
            self.pending_work = 0.0;
        }
    }
}

/// Usual demand by route.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    routes: HashMap<Arc<str>, Demand>,
}

impl Dispatcher {
    /// Counts a job and returns whether it is surplus.
    pub(super) fn is_surplus(&mut self, now: Moment, job: &Job) -> bool {
        let is_exempt = job.route.priority(&self.scheduling) == Priority::URGENT;
        if !self.scheduling.fair_shares || is_exempt {
            return false;
        }
        let typical_us = self.typical_run.us();
        let level = self
            .congestion
            .level_above(now, Priority::BEST_EFFORT, typical_us);
        let congested = level > CONGESTED_LEVEL;
        let name = job.route.name.clone();
        let demand = self.fair_shares.routes.entry(name).or_default();
        let within = demand.try_take(now, job.work_us(), congested);
        congested && !within
    }
}
