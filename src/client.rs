//! HTTP client of an entry, for the command line and the bench.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::error::{Error, Result};

/// Reply of an entry.
#[derive(Clone, Debug)]
pub struct EntryReply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl EntryReply {
    /// The body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Client of one entry.
#[derive(Clone)]
pub struct EntryClient {
    addr: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl EntryClient {
    /// Creates a client of the entry at `addr`.
    pub fn new(addr: SocketAddr) -> EntryClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        EntryClient { addr, client }
    }

    /// Sends a request; `headers` are pairs of name and value.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<EntryReply> {
        let builder = Request::builder().method(method);
        let builder = builder.uri(format!("http://{}{path}", self.addr));
        let builder = headers
            .iter()
            .fold(builder, |b, (name, value)| b.header(*name, *value));
        let req = builder.body(Full::new(body.into()));
        let req = req.map_err(|err| Error::Other(err.to_string()))?;
        let unreachable = |err: String| Error::Unreachable(format!("entry {}: {err}", self.addr));
        let reply = self
            .client
            .request(req)
            .await
            .map_err(|err| unreachable(err.to_string()))?;
        let (head, body) = reply.into_parts();
        let body = body
            .collect()
            .await
            .map_err(|err| unreachable(err.to_string()))?;
        Ok(EntryReply {
            status: head.status.as_u16(),
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}
