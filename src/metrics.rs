//! Metrics over UDP; docs/METRICS.md lists the names.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};

use crate::error::{Error, Result};

/// Prefix of every name.
const PREFIX: &str = "winghold";

/// Sends counts, gauges and times.
#[derive(Clone)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Sends nothing.
    pub fn none() -> Metrics {
        let client = StatsdClient::from_sink(PREFIX, NopMetricSink);
        Metrics {
            client: Arc::new(client),
        }
    }

    /// Sends to `addr`, or nowhere if there is none.
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

    /// Adds to a counter.
    pub fn count(&self, name: &str, by: u64) {
        let _ = self.client.count(name, by as i64);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: u64) {
        let _ = self.client.gauge(name, value);
    }

    /// Notes how long something took.
    pub fn time(&self, name: &str, ms: u64) {
        let _ = self.client.time(name, ms);
    }
}
