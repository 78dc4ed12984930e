//! Exit codes of `shallotctl`.

use std::process::ExitCode;

/// The result of a subcommand; its value is the exit code of the program. Code 2 is missing here:
/// `clap` exits with it if the command line is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Failed.
    Failed = 1,
    /// Another change took effect first; nothing was changed.
    Conflict = 3,
    /// Not found.
    NotFound = 4,
    /// Done, but some entry VMs have not confirmed it.
    Unconfirmed = 5,
    /// The input is invalid.
    Invalid = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
