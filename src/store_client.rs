//! The store over gRPC.

use std::net::SocketAddr;
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};

use crate::error::{Error, Result};
use crate::rpc::key_value::key_value_client::KeyValueClient;
use crate::store::{Store, StoreError, StoreFuture, StoreReply, StoreRequest};
use crate::time::Timer;

/// Longest wait for an answer, beyond what a watch waits by itself.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);
/// Largest reply; a watch may bring many values.
const REPLY_BYTES: usize = 64 << 20;

/// A client of the store.
#[derive(Clone)]
pub struct StoreClient {
    client: KeyValueClient<Channel>,
    timer: Timer,
}

impl StoreClient {
    /// A client of the store at `addr`; it connects when it is used.
    pub fn new(addr: SocketAddr, timer: Timer) -> Result<StoreClient> {
        let endpoint = Endpoint::from_shared(format!("http://{addr}"));
        let endpoint = endpoint.map_err(|err| Error::Other(err.to_string()))?;
        let channel = endpoint.connect_timeout(CALL_LIMIT).connect_lazy();
        let client = KeyValueClient::new(channel).max_decoding_message_size(REPLY_BYTES);
        Ok(StoreClient { client, timer })
    }

    async fn ask(&self, req: StoreRequest) -> std::result::Result<StoreReply, StoreError> {
        let own_wait = match &req {
            StoreRequest::Watch { wait_ms, .. } => Duration::from_millis(*wait_ms),
            _ => Duration::ZERO,
        };
        let mut client = self.client.clone();
        let call = client.call(req);
        match self.timer.within(own_wait + CALL_LIMIT, call).await {
            Some(Ok(reply)) => Ok(reply.into_inner()),
            Some(Err(_)) | None => Err(StoreError::Unanswered),
        }
    }
}

impl Store for StoreClient {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        Box::pin(self.ask(req))
    }
}
