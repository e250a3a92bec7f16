//! winghold, a dispatcher for sub-second tasks.
//!
//! Decisions are state machines without I/O or clocks of their own
//! ([`owner`], [`gate`], [`ownership`], [`placement`], [`router`]); the tokio
//! side around them ([`agent`], [`entry`], [`link`]) feeds them messages and
//! moments and carries out what they ask for. docs/ARCHITECTURE.md is the map.

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
