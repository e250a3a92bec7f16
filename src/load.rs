//! Load samples of gates.
//!
//! Samples are sent in frame headers, not in messages of their own. A sample replaces
//! another of its gate only if its number is higher, so order and repetition of delivery
//! don't matter.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

use crate::id::MemberId;

/// Maximum number of samples in a frame.
pub const SAMPLES_PER_FRAME: usize = 16;

/// Load of one target, measured by its gate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadSample {
    /// The gate.
    pub gate: MemberId,
    /// Sequence number of the gate's samples.
    pub number: u64,
    /// Number of running tasks.
    pub running: u32,
    /// Number of urgent queued tasks.
    pub urgent_queued: u32,
    /// Number of queued tasks, including urgent ones.
    pub queued: u32,
    /// Mean run time of recent tasks, in microseconds.
    pub mean_run_us: u64,
    /// Mean ratio of actual to expected run time, in percent.
    pub slowness_percent: u32,
    /// Share of failed runs among recent ones, in percent.
    pub failed_percent: u32,
    /// Whether the gate refuses new tasks.
    pub leaving: bool,
}

/// Load sample with its time of arrival.
#[derive(Clone, Debug)]
pub struct KnownLoad {
    /// The sample.
    pub sample: LoadSample,
    /// Time of arrival on the monotonic clock, in microseconds.
    pub at_us: u64,
    /// Sequence number of the arrival.
    arrival: u64,
}

/// Latest load sample of every gate.
#[derive(Debug, Default)]
pub struct LoadTable {
    known: HashMap<MemberId, KnownLoad>,
    by_arrival: BTreeMap<u64, MemberId>,
    last_arrival: u64,
    /// Last arrival that was sent to each peer.
    sent: HashMap<MemberId, u64>,
}

impl LoadTable {
    /// Merges samples that arrived at `now_us`; older samples are ignored.
    pub fn merge(&mut self, samples: &[LoadSample], now_us: u64) {
        for sample in samples {
            self.merge_sample(sample, now_us);
        }
    }

    fn merge_sample(&mut self, sample: &LoadSample, now_us: u64) {
        let known = self.known.get(&sample.gate);
        if known.is_some_and(|known| known.sample.number >= sample.number) {
            return;
        }
        if let Some(known) = known {
            self.by_arrival.remove(&known.arrival);
        }
        self.last_arrival += 1;
        self.by_arrival
            .insert(self.last_arrival, sample.gate.clone());
        let known = KnownLoad {
            sample: sample.clone(),
            at_us: now_us,
            arrival: self.last_arrival,
        };
        self.known.insert(sample.gate.clone(), known);
    }

    /// Latest sample of `gate`.
    pub fn get(&self, gate: &MemberId) -> Option<&KnownLoad> {
        self.known.get(gate)
    }

    /// Removes a gate.
    pub fn remove(&mut self, gate: &MemberId) {
        if let Some(known) = self.known.remove(gate) {
            self.by_arrival.remove(&known.arrival);
        }
        self.sent.remove(gate);
    }

    /// Latest samples for the next frame to `peer`, of those that arrived since the previous
    /// frame.
    pub fn for_frame(&mut self, peer: &MemberId) -> Vec<LoadSample> {
        let sent = self
            .sent
            .insert(peer.clone(), self.last_arrival)
            .unwrap_or(0);
        let unsent = self.by_arrival.range(sent + 1..).rev();
        let of_others = unsent.filter(|(_, gate)| *gate != peer);
        let latest = of_others.take(SAMPLES_PER_FRAME);
        let samples = latest.filter_map(|(_, gate)| self.known.get(gate));
        samples.map(|known| known.sample.clone()).collect()
    }
}
