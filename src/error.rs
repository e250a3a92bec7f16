//! The library's one error type.
//!
//! These are failures of a process: settings it cannot use, a store it cannot
//! reach, a port it cannot bind. What a caller is told about a submission is a
//! [`crate::code::ResultCode`] instead.

use quick_error::quick_error;

/// Result of any fallible call of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Why a call failed.
    #[derive(Debug)]
    pub enum Error {
        /// A file could not be read or written, or a socket not used.
        Io(err: std::io::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// An address of the settings cannot be listened on; the key names it.
        Listen(key: &'static str, addr: std::net::SocketAddr, err: std::io::Error) {
            source(err)
            display("{}: cannot listen on {}: {}", key, addr, err)
        }
        /// Settings or a configuration are wrong; one line a fault.
        Invalid(faults: Vec<String>) {
            display("{}", faults.join("\n"))
        }
        /// An id is no UUIDv7.
        BadId(text: String) {
            display("id: `{}` is no UUIDv7", text)
        }
        /// The store refused or did not answer.
        Store(err: crate::store::StoreError) {
            from()
            display("store: {}", err)
        }
        /// A peer, an entry or a target could not be reached.
        Unreachable(what: String) {
            display("unreachable: {}", what)
        }
        /// Someone else changed the configuration first.
        Conflict(current: u64) {
            display("conflict: the configuration is at revision {} now", current)
        }
        /// A query does not parse; the column counts from 1.
        Query(column: usize, message: String) {
            display("query: column {}: {}", column, message)
        }
        /// A submission was refused or failed.
        Refused(code: crate::code::ResultCode, message: String) {
            display("{} {}: {}", code.number(), code.name(), message)
        }
        /// Anything else, in words.
        Other(message: String) {
            display("{}", message)
        }
    }
}

impl Error {
    /// The process exit code for this error, listed in docs/RESULT-CODES.md.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Other(_) => 1,
            Error::Invalid(_) | Error::BadId(_) | Error::Query(..) => 2,
            Error::Io(_) | Error::Listen(..) | Error::Store(_) | Error::Unreachable(_) => 3,
            Error::Conflict(_) => 4,
            Error::Refused(..) => 5,
        }
    }
}
