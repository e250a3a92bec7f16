//! Numbered result codes: what a caller is told about a submission.
//!
//! Every code fixes an HTTP status. What it says about execution is an
//! [`Effect`], which travels beside the code since some codes can mean either.
//! docs/RESULT-CODES.md lists them with what the caller should do; a test keeps
//! that table and this file alike.

use serde::{Deserialize, Serialize};

/// What is known about the execution of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// No task of it has started or will start.
    NotRun,
    /// At least one task has run.
    Ran,
    /// Some task may have run, or may still run.
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
            /// Every code, in the order of their numbers.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$variant,)*];

            /// The stable number.
            pub fn number(self) -> u16 {
                match self { $(ResultCode::$variant => $number,)* }
            }

            /// The stable name.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$variant => $name,)* }
            }

            /// The HTTP status that carries it.
            pub fn status(self) -> u16 {
                match self { $(ResultCode::$variant => $status,)* }
            }
        }
    };
}

result_codes! {
    /// Every task ran and its whole answer is here.
    Complete = 0, "COMPLETE", 200;
    /// Accepted; ask for the answer with `GET /v1/jobs/{id}`.
    Accepted = 1, "ACCEPTED", 202;
    /// The request is not well formed; the message names the field.
    BadRequest = 1001, "BAD_REQUEST", 400;
    /// No such service, kind, job or path.
    NotFound = 1002, "NOT_FOUND", 404;
    /// The id is no UUIDv7.
    BadId = 1003, "BAD_ID", 400;
    /// The id was used before with another body.
    IdReused = 1004, "ID_REUSED", 409;
    /// The body, a header or the number of tasks is over its limit.
    TooLarge = 1005, "TOO_LARGE", 413;
    /// The caller sent its request too slowly.
    SlowCaller = 1006, "SLOW_CALLER", 408;
    /// The id's time is ahead of the fleet's clocks.
    ClockAhead = 1007, "CLOCK_AHEAD", 400;
    /// The id's time is older than kept answers.
    IdTooOld = 1008, "ID_TOO_OLD", 410;
    /// No target of the service could ever run it.
    CannotRun = 2001, "CANNOT_RUN", 422;
    /// No capacity is left for this priority.
    Overloaded = 2002, "OVERLOADED", 503;
    /// It cannot finish before its deadline.
    DeadlineTooShort = 2003, "DEADLINE_TOO_SHORT", 504;
    /// The team has used up its quota.
    QuotaExceeded = 2004, "QUOTA_EXCEEDED", 429;
    /// No owner serves this id at the moment.
    NoOwner = 2005, "NO_OWNER", 503;
    /// The fleet is stopping.
    Stopping = 2006, "STOPPING", 503;
    /// The deadline passed before the answer came.
    DeadlinePassed = 3001, "DEADLINE_PASSED", 504;
    /// What became of a task is lost.
    OutcomeUnknown = 3002, "OUTCOME_UNKNOWN", 502;
    /// The target answered with a failure.
    TaskFailed = 3003, "TASK_FAILED", 502;
    /// It was cancelled.
    Cancelled = 3004, "CANCELLED", 409;
    /// A fault inside winghold.
    Internal = 9001, "INTERNAL", 500;
}
