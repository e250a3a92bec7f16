//! Error type of the library.
//!
//! Covers failures of a process, such as invalid settings, an unreachable store or a port
//! that cannot be bound. Results of submissions are [`crate::code::ResultCode`]s.

use quick_error::quick_error;

/// Result type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

quick_error! {
    /// Error of a call.
    #[derive(Debug)]
    pub enum Error {
        /// A file or socket operation failed.
        Io(err: std::io::Error) {
            from()
            source(err)
            display("{}", err)
        }
        /// The address under a key of the settings cannot be bound.
        Listen(key: &'static str, addr: std::net::SocketAddr, err: std::io::Error) {
            source(err)
            display("{}: cannot listen on {}: {}", key, addr, err)
        }
        /// Settings or a configuration are invalid; one line per error.
        Invalid(errors: Vec<String>) {
            display("{}", errors.join("\n"))
        }
        /// An id is not a UUIDv7.
        BadId(text: String) {
            display("id: `{}` is no UUIDv7", text)
        }
        /// A call to the store failed.
        Store(err: crate::store::StoreError) {
            from()
            display("store: {}", err)
        }
        /// A peer, entry or target is unreachable.
        Unreachable(what: String) {
            display("unreachable: {}", what)
        }
        /// Another change of the configuration was applied first.
        Conflict(current: u64) {
            display("conflict: the configuration is at revision {} now", current)
        }
        /// A query cannot be parsed; columns start at 1.
        Query(column: usize, message: String) {
            display("query: column {}: {}", column, message)
        }
        /// A submission was refused or failed.
        Refused(code: crate::code::ResultCode, message: String) {
            display("{} {}: {}", code.number(), code.name(), message)
        }
        /// Any other error.
        Other(message: String) {
            display("{}", message)
        }
    }
}

impl Error {
    /// Exit code of the process, as listed in docs/RESULT-CODES.md.
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
