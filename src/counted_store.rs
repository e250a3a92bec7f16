//! Store wrapper that counts calls by kind.

use std::sync::Arc;

use crate::metrics::Metrics;
use crate::store::{Store, StoreFuture, StoreRequest};

/// Forwards calls to a store and counts them.
pub struct CountedStore {
    store: Arc<dyn Store>,
    metrics: Metrics,
}

impl CountedStore {
    /// Wraps `store`.
    pub fn new(store: Arc<dyn Store>, metrics: Metrics) -> CountedStore {
        CountedStore { store, metrics }
    }
}

impl Store for CountedStore {
    fn call(&self, req: StoreRequest) -> StoreFuture<'_> {
        self.metrics
            .count(&format!("store_calls.{}", req.name()), 1);
        self.store.call(req)
    }
}
