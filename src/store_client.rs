//! gRPC client of the store.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};

use crate::error::{Error, Result};
use crate::rpc::key_value::key_value_client::KeyValueClient;
use crate::store::{Store, StoreError, StoreFuture, StoreReply, StoreRequest};
use crate::time::Timer;

/// Timeout of a call, in addition to the wait of a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum size of a reply; a watch may return many values.
const MAX_REPLY_BYTES: usize = 64 << 20;

/// Client of the store over gRPC.
#[derive(Clone)]
pub struct StoreClient {
    client: KeyValueClient<Channel>,
    timer: Timer,
}

impl StoreClient {
    /// Creates a client of the store at `addr`, which connects on the first call.
    pub fn new(addr: SocketAddr, timer: Timer) -> Result<StoreClient> {
        let endpoint = Endpoint::from_shared(format!("http://{addr}"));
        let endpoint = endpoint.map_err(|err| Error::Other(err.to_string()))?;
        let channel = endpoint.connect_timeout(CALL_TIMEOUT).connect_lazy();
        let client = KeyValueClient::new(channel).max_decoding_message_size(MAX_REPLY_BYTES);
        Ok(StoreClient { client, timer })
    }

    async fn send(&self, req: StoreRequest) -> std::result::Result<StoreReply, StoreError> {
        let watch_wait = match &req {
            StoreRequest::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        let mut client = self.client.clone();
        let call = client.call(req);
        match self.timer.timeout(watch_wait + CALL_TIMEOUT, call).await {
            Some(Ok(reply)) => Ok(reply.into_inner()),
            Some(Err(_)) | None => Err(StoreError::Unanswered),
        }
    }
}

impl Store for StoreClient {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        Box::pin(self.send(req))
    }
}
