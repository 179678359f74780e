//! Failures of the stand-ins.

use std::net::SocketAddr;

use snafu::Snafu;

/// Any failure of a stand-in, towards its programs and towards hyper.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
#[non_exhaustive]
pub enum StandInError {
    /// A listener could not be bound.
    #[snafu(display("cannot listen on {addr}"))]
    Bind {
        /// Address asked for.
        addr: SocketAddr,
        /// Cause given by the system.
        source: std::io::Error,
    },
    /// A connection could not be made.
    #[snafu(display("cannot connect to {addr}"))]
    Connect {
        /// Address of the other side.
        addr: SocketAddr,
        /// Cause given by the system.
        source: std::io::Error,
    },
    /// An exchange over HTTP failed.
    #[snafu(display("HTTP exchange failed"))]
    Exchange {
        /// Cause given by the library.
        source: hyper::Error,
    },
    /// A request could not be built from the given parts.
    #[snafu(display("request cannot be built"))]
    Build {
        /// Cause given by the library.
        source: http::Error,
    },
    /// A JSON text does not have the expected form.
    #[snafu(display("unexpected JSON"))]
    Json {
        /// Cause given by the library.
        source: serde_json::Error,
    },
    /// A signal could not be sent.
    #[snafu(display("cannot send a signal to {program}"))]
    Signal {
        /// Name of the program.
        program: String,
        /// Cause given by the system.
        source: std::io::Error,
    },
    /// A file could not be read or written.
    #[snafu(display("cannot use file {path}"))]
    File {
        /// Name of the file.
        path: String,
        /// Cause given by the system.
        source: std::io::Error,
    },
    /// The command line is wrong.
    #[snafu(display("{source}"))]
    CommandLine {
        /// Cause given by the library.
        source: getopts::Fail,
    },
    /// A value on the command line is wrong.
    #[snafu(display("bad value for --{option}: {value:?}"))]
    OptionValue {
        /// Name of the option.
        option: &'static str,
        /// Value given.
        value: String,
    },
    /// The stand-in was told to break the connection here.
    #[snafu(display("connection cut as told"))]
    Cut,
    /// An admin call was answered with an unexpected status.
    #[snafu(display("admin call {path} answered {status}"))]
    Admin {
        /// Path of the call.
        path: String,
        /// Status of the answer.
        status: http::StatusCode,
    },
    /// A process of a run could not be started.
    #[snafu(display("cannot start {program}"))]
    Start {
        /// Name of the program.
        program: String,
        /// Cause given by the system.
        source: std::io::Error,
    },
    /// A process of a run ended other than as planned.
    #[snafu(display("a process ended with {status}"))]
    Ended {
        /// How it ended.
        status: std::process::ExitStatus,
    },
    /// A process of a run did not become ready.
    #[snafu(display("{program} is not ready after {waited_s} s"))]
    NotReady {
        /// Name of the program.
        program: String,
        /// Time waited, in seconds.
        waited_s: u64,
    },
}
