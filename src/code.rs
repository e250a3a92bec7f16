//! Numbered result codes of submissions.
//!
//! Every code has an HTTP status. Whether tasks were executed is reported separately as an
//! [`Effect`], as some codes cover both cases. docs/RESULT-CODES.md lists the codes and how
//! a caller should react; a test checks that the table matches this file.

use serde::{Deserialize, Serialize};

/// Whether tasks of a submission were executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// No task has started or will start.
    NotRun,
    /// At least one task has run.
    Ran,
    /// A task may have run, or may still run.
    Unknown,
}

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])* $variant:ident = $number:literal, $name:literal, $status:literal;)*) => {
        /// Result of a submission; the number is stable.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "SCREAMING_SNAKE_CASE")]
        pub enum ResultCode {
            $($(#[doc = $doc])* $variant,)*
        }

        impl ResultCode {
            /// All codes, sorted by number.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$variant,)*];

            /// Stable number.
            pub fn number(self) -> u16 {
                match self { $(ResultCode::$variant => $number,)* }
            }

            /// Stable name.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$variant => $name,)* }
            }

            /// HTTP status of the response.
            pub fn status(self) -> u16 {
                match self { $(ResultCode::$variant => $status,)* }
            }
        }
    };
}

result_codes! {
    /// Every task ran, and the response holds all results.
    Complete = 0, "COMPLETE", 200;
    /// Accepted; `GET /v1/jobs/{id}` returns the answer.
    Accepted = 1, "ACCEPTED", 202;
    /// The request is malformed; the message names the field.
    BadRequest = 1001, "BAD_REQUEST", 400;
    /// No such service, kind, job or path.
    NotFound = 1002, "NOT_FOUND", 404;
    /// The id is not a UUIDv7.
    BadId = 1003, "BAD_ID", 400;
    /// The id was already used with a different body.
    IdReused = 1004, "ID_REUSED", 409;
    /// The body, a header or the number of tasks exceeds its limit.
    TooLarge = 1005, "TOO_LARGE", 413;
    /// The caller sent its request too slowly.
    SlowCaller = 1006, "SLOW_CALLER", 408;
    /// The id's timestamp is ahead of the fleet's clocks.
    ClockAhead = 1007, "CLOCK_AHEAD", 400;
    /// The id's timestamp is older than the retention time of answers.
    IdTooOld = 1008, "ID_TOO_OLD", 410;
    /// No target of the service can run it.
    CannotRun = 2001, "CANNOT_RUN", 422;
    /// No capacity is left for this priority.
    Overloaded = 2002, "OVERLOADED", 503;
    /// The submission cannot finish before its deadline.
    DeadlineTooShort = 2003, "DEADLINE_TOO_SHORT", 504;
    /// The team has reached its quota.
    QuotaExceeded = 2004, "QUOTA_EXCEEDED", 429;
    /// The id's key range has no reachable owner.
    NoOwner = 2005, "NO_OWNER", 503;
    /// The fleet is shutting down.
    Stopping = 2006, "STOPPING", 503;
    /// The deadline passed before an answer arrived.
    DeadlinePassed = 3001, "DEADLINE_PASSED", 504;
    /// The outcome of a task is unknown.
    OutcomeUnknown = 3002, "OUTCOME_UNKNOWN", 502;
    /// The target reported a failure.
    TaskFailed = 3003, "TASK_FAILED", 502;
    /// The submission was cancelled.
    Cancelled = 3004, "CANCELLED", 409;
    /// An internal error of winghold.
    Internal = 9001, "INTERNAL", 500;
}
