//! winghold, a dispatcher for sub-second tasks.
//!
//! Decisions are made by state machines without I/O or clocks ([`owner`], [`gate`],
//! [`ownership`], [`placement`], [`router`]). The tokio processes around them ([`agent`],
//! [`entry`], [`link`]) pass them messages and the current time, and perform the actions that
//! they return. docs/ARCHITECTURE.md has an overview.

#![warn(missing_docs)]

pub mod agent;
pub mod bench;
pub mod client;
pub mod clocks;
pub mod code;
pub mod config;
pub mod config_store;
pub mod counted_store;
pub mod daemon;
pub mod document;
pub mod entry;
pub mod ephemeral;
pub mod error;
pub mod fleet;
pub mod gate;
pub mod host;
pub mod id;
pub mod link;
pub mod load;
pub mod local;
pub mod logging;
pub mod member;
pub mod message;
pub mod metrics;
pub mod node;
pub mod operator;
pub mod owner;
pub mod ownership;
pub mod placement;
pub mod query;
pub mod retry;
pub mod router;
pub mod rpc;
pub mod run_times;
pub mod settings;
pub mod signal;
pub mod standin;
pub mod store;
pub mod store_client;
pub mod supervisor;
pub mod time;
pub mod worker;
