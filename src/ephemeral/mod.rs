//! Jobs that nobody keeps: owned by the entry that took them, in its memory.
//!
//! A job of this kind is answered on the connection that brought it and is
//! forgotten afterwards; a caller that hears nothing sends it again, to any
//! entry. No write to the store is on its path. What keeps two runs of one task
//! apart is time: a run lives only while the session between its owner and the
//! gate beside the worker is fresh, and the worker's lease is shorter than what
//! is left of the caller's pause before it sends again ([`limits`]).
//!
//! - [`job`], [`routes`]: what is asked for, and what the configuration allows.
//! - [`dispatcher`]: the entry's decisions; [`placement`] chooses gates.
//! - [`gate`]: the decisions beside a worker; [`room`] counts its capacity.
//! - [`evacuations`]: failure domains in which nothing more is started.
//! - [`run_spread`]: how run times of one kind of jobs spread.
//! - [`scheduling`]: which decisions under load the configuration turns on.
//! - [`losses`]: which tasks workers were lost under, and when one is given up.
//! - [`subset`]: which gates an entry has sessions with.
//! - [`message`], [`session`]: what entries and gates say, and how it travels;
//!   [`suspension`]: what a process does that stood still.
//!   [`frame_counts`]: how many frames of which kind.
//! - [`directory`]: how processes find one another through the store;
//!   [`follower`]: keys of the store, followed; [`backoff`]: how often what is
//!   away is tried.
//! - [`entry`], [`agent`]: the loops around the decisions.

pub mod agent;
mod answer_times;
pub mod backoff;
pub mod directory;
pub mod dispatcher;
pub mod entry;
pub mod evacuations;
pub mod follower;
pub mod frame_counts;
pub mod gate;
pub mod job;
pub mod limits;
pub mod losses;
pub mod message;
pub mod placement;
pub mod room;
pub mod routes;
pub mod run_spread;
pub mod scheduling;
pub mod session;
pub mod subset;
pub mod suspension;
pub mod worker;
pub mod worker_id;
