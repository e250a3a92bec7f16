//! Ephemeral jobs: held in the memory of the entry that accepted them, never persisted.
//!
//! A job is answered on the connection that submitted it and then forgotten. A caller without
//! an answer resends the job, to any entry. Submitting a job writes nothing to the store. Time
//! limits prevent two runs of one task from overlapping: a run lasts only while the session
//! between its owner (the entry that accepted the job) and the worker's gate is alive, and the
//! worker's lease ends before the caller resends the job ([`limits`]).
//!
//! - [`job`], [`routes`]: job specifications, and what the configuration allows.
//! - [`dispatcher`]: state machine of an entry; [`placement`] chooses gates.
//! - [`gate`]: state machine of an agent, which starts and stops runs on one worker; [`room`]
//!   counts the worker's capacity.
//! - [`evacuations`]: failure domains in which no runs are started.
//! - [`run_spread`]: distribution of run times of one kind of job.
//! - [`scheduling`]: scheduling features that the configuration enables.
//! - [`losses`]: worker losses by task, and when a task is abandoned.
//! - [`subset`]: the gates that an entry has sessions with.
//! - [`registrars`]: the gates that keep two entries from running the same job.
//! - [`callers`]: callers that wait for an answer, and whether they are still connected.
//! - [`instance_resources`], [`caller_connections`], [`request_memory`]: how many connections and
//!   how much memory callers may hold in an entry.
//! - [`cancellations`]: cancellations of jobs, published to all entries.
//! - [`message`], [`session`]: messages between entries and gates, and their transport;
//!   [`frame_clock`] estimates the age of frames, [`frame_counts`] counts them by kind,
//!   [`suspension`] detects a suspended process.
//! - [`directory`]: discovery through the store; [`follower`] follows keys of the store,
//!   [`backoff`] sets the pauses between retries.
//! - [`entry`], [`agent`]: the event loops that run these state machines.

pub mod agent;
mod answer_times;
pub mod backoff;
pub mod caller_connections;
pub mod callers;
pub mod cancellations;
pub mod directory;
pub mod dispatcher;
pub mod entry;
pub mod evacuations;
pub mod follower;
pub mod frame_clock;
pub mod frame_counts;
pub mod gate;
pub mod instance_resources;
pub mod job;
pub mod limits;
pub mod losses;
pub mod message;
pub mod placement;
pub mod registrars;
pub mod request_memory;
pub mod room;
pub mod routes;
pub mod run_spread;
pub mod scheduling;
pub mod session;
pub mod subset;
pub mod suspension;
pub mod worker;
pub mod worker_id;
