//! Stand-ins for the platform: a store and targets with injectable faults.
//!
//! `winghold local`, the bench and the tests run them.

pub mod store;
pub mod target;
