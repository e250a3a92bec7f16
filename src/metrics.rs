//! Sends metrics over UDP or keeps them in memory; docs/METRICS.md lists their names.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, PoisonError};

use cadence::prelude::*;
use cadence::{MetricSink, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use hdrhistogram::Histogram;

use crate::error::{Error, Result};

/// Prefix of metric names.
const PREFIX: &str = "winghold";

/// Records counters, gauges and durations.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Discards all metrics.
    pub fn none() -> Metrics {
        let client = StatsdClient::from_sink(PREFIX, NopMetricSink);
        Metrics {
            client: Arc::new(client),
        }
    }

    /// Sends metrics to `addr`; discards them if there is none.
    pub fn to(addr: Option<SocketAddr>) -> Result<Metrics> {
        let Some(addr) = addr else {
            return Ok(Metrics::none());
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink =
            UdpMetricSink::from(addr, socket).map_err(|err| Error::Other(err.to_string()))?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Metrics {
            client: Arc::new(client),
        })
    }

    /// Keeps metrics in `registry`.
    pub fn in_memory(registry: Registry) -> Metrics {
        Metrics {
            client: Arc::new(StatsdClient::from_sink(PREFIX, registry)),
        }
    }

    /// Adds to a counter.
    pub fn count(&self, name: &str, increment: u64) {
        let _ = self.client.count(name, increment as i64);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Records a duration.
    pub fn time(&self, name: &str, ms: u64) {
        let _ = self.client.time(name, ms);
    }
}

/// Quantiles of durations that are reported.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];
/// Precision of histograms.
const SIGNIFICANT_DIGITS: u8 = 2;

#[derive(Default)]
struct Values {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, u64>,
    durations: BTreeMap<String, Histogram<u64>>,
}

impl Values {
    /// Applies a StatsD line: `name:value|type`.
    fn ingest(&mut self, line: &str) -> Option<()> {
        let (name, fields_text) = line.split_once(':')?;
        let mut fields = fields_text.split('|');
        let value: u64 = fields.next()?.parse().ok()?;
        match fields.next()? {
            "c" => *self.counters.entry(name.to_string()).or_default() += value,
            "g" => {
                self.gauges.insert(name.to_string(), value);
            }
            _ => self.record(name, value)?,
        }
        Some(())
    }

    fn record(&mut self, name: &str, value: u64) -> Option<()> {
        if !self.durations.contains_key(name) {
            let empty = Histogram::new(SIGNIFICANT_DIGITS).ok()?;
            self.durations.insert(name.to_string(), empty);
        }
        self.durations.get_mut(name)?.record(value).ok()
    }
}

/// In-memory metrics of this process.
#[derive(Clone, Default)]
pub struct Registry {
    values: Arc<Mutex<Values>>,
}

impl Registry {
    /// Formats all metrics as text, one per line.
    pub fn render(&self) -> String {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let mut page = String::new();
        for (name, value) in values.counters.iter().chain(&values.gauges) {
            // Writing to a string cannot fail.
            let _ = writeln!(page, "{name} {value}");
        }
        for (name, durations) in &values.durations {
            let _ = writeln!(page, "{name}_count {}", durations.len());
            for quantile in QUANTILES {
                let value = durations.value_at_quantile(quantile);
                let _ = writeln!(page, "{name}{{quantile=\"{quantile}\"}} {value}");
            }
        }
        page
    }
}

impl MetricSink for Registry {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        values
            .ingest(metric)
            .map(|()| metric.len())
            .ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))
    }
}
