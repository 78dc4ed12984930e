//! How the program ends.

use std::process::ExitCode;

/// The end of a subcommand; its number is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Failed.
    Failed = 1,
    /// Another change came first.
    Conflict = 3,
    /// Not found.
    Missing = 4,
    /// Done, but not every entry VM has confirmed.
    Unconfirmed = 5,
    /// The input is not valid.
    Invalid = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}
