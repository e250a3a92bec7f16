//! Kinds of jobs that ask for more than they usually do.
//!
//! Each route has a token bucket that fills at the rate of work that its callers ask for
//! while there is room. Where room is short, a job without tokens is surplus, and only
//! gets room that is left by others. An entry that does not know the usual demand yet
//! treats all jobs alike. Jobs of the most urgent priority are never surplus: they go
//! before the others however many there are.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::Dispatcher;
use super::job::Job;
use crate::ephemeral::job::Priority;
use crate::time::{Moment, micros};

/// Time over which the usual demand is averaged.
const LOOK_BACK: Duration = Duration::from_secs(10);
/// Least time without congestion after which the usual demand is known.
const LEAST_CALM: Duration = Duration::from_secs(1);
/// Congestion from which room counts as short.
const SHORT_OF_ROOM: f64 = 0.1;
/// Times its usual demand that a route may go on asking for.
const ALLOWANCE: f64 = 1.25;
/// Longest pause between two jobs that counts: callers that were cut off or gone for a
/// while come back with their usual demand.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// Demand that may come at once; callers of calm routes come in clusters too.
const DEPTH: Duration = Duration::from_secs(1);
/// The same in jobs of a route with few of them.
const DEPTH_JOBS: f64 = 2.0;

/// What callers of one route ask for, in core-microseconds.
#[derive(Debug, Default)]
struct Demand {
    /// Usual demand, a microsecond.
    usual: f64,
    /// Time without congestion that this was learned in, in microseconds.
    calm_us: f64,
    /// Demand since then.
    asked: f64,
    tokens: f64,
    at_us: u64,
}

impl Demand {
    /// Takes in a job of this much work; whether there are tokens for it.
    fn take(&mut self, now: Moment, work: f64, congested: bool) -> bool {
        let since_us = match self.at_us {
            0 => now.mono_us,
            at_us => at_us,
        };
        let elapsed_us = (now.mono_us - since_us).min(micros(LONGEST_PAUSE)) as f64;
        self.at_us = now.mono_us;
        if !congested {
            self.learn(elapsed_us, work);
        }
        let depth = (self.usual * micros(DEPTH) as f64).max(work * DEPTH_JOBS);
        self.tokens = (self.tokens + self.usual * ALLOWANCE * elapsed_us).min(depth);
        let within = self.tokens >= work;
        if within {
            self.tokens -= work;
        }
        within || self.calm_us < micros(LEAST_CALM) as f64
    }

    fn learn(&mut self, elapsed_us: f64, work: f64) {
        let most_us = micros(LOOK_BACK) as f64;
        self.calm_us = (self.calm_us + elapsed_us).min(most_us);
        let weight = (elapsed_us / self.calm_us.max(1.0)).min(1.0);
        self.asked += work;
        if elapsed_us > 0.0 {
            self.usual += weight * (self.asked / elapsed_us - self.usual);
            self.asked = 0.0;
        }
    }
}

/// Usual demand by route.
#[derive(Debug, Default)]
pub(super) struct FairShares {
    routes: HashMap<Arc<str>, Demand>,
}

impl Dispatcher {
    /// Counts a job; whether it is surplus where room is short.
    pub(super) fn is_surplus(&mut self, now: Moment, job: &Job) -> bool {
        let exempt = job.route.priority(&self.scheduling) == Priority::URGENT;
        if !self.scheduling.fair_shares || exempt {
            return false;
        }
        let typical_us = self.typical_run.us();
        let level = self
            .congestion
            .level_before(now, Priority::BEST_EFFORT, typical_us);
        let congested = level > SHORT_OF_ROOM;
        let name = job.route.name.clone();
        let demand = self.fair_shares.routes.entry(name).or_default();
        let within = demand.take(now, job.work_us(), congested);
        congested && !within
    }
}
