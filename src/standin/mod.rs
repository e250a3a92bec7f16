//! Small stand-ins for what the platform gives: a store and targets.
//!
//! They serve `winghold local`, the bench and the tests. Each has switches for
//! the faults that the real thing is known for.

pub mod store;
pub mod target;
