//! Why a command failed, and the exit status for each kind of failure.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use smol_str::SmolStr;
use thiserror::Error;

/// Explains the exit statuses in `--help`.
pub(crate) const EXIT_STATUSES: &str = "\
Exit status:
    0  success
    1  rejected: the input has faults or the call was refused; nothing was changed
    2  usage error: the command line is wrong
    3  unavailable: the entry instance cannot be reached or cannot serve; nothing was changed
    4  unknown outcome: the change may have taken effect; repeat the command with the same id
    5  timed out: the awaited state was not reached in time
";

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The input has faults, or the call was refused. Nothing was changed.
    #[error("{0}")]
    Rejected(SmolStr),
    /// The command line is wrong.
    #[error("{0}; see guavacart --help")]
    Usage(SmolStr),
    /// The entry instance cannot be reached or cannot serve the call. Nothing was changed.
    #[error("{0}")]
    Unavailable(SmolStr),
    /// The outcome is unknown, so the change may have taken effect.
    #[error("{0}")]
    Unknown(SmolStr),
    /// The awaited state was not reached in time.
    #[error("{0}")]
    TimedOut(SmolStr),
    /// The failure has already been logged.
    #[error("the failure has been logged")]
    Logged,
    /// Reading input or writing output failed, for example as the reader of stdout has closed it.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
}

impl Failure {
    /// Prints the reason to stderr, unless it was logged, and returns the exit status.
    pub(crate) fn report(&self) -> ExitCode {
        if !matches!(self, Self::Logged) {
            // A failure to write to stderr cannot be reported anywhere.
            let _ = writeln!(io::stderr(), "guavacart: {self}");
        }
        ExitCode::from(self.status())
    }

    fn status(&self) -> u8 {
        match self {
            Self::Rejected(_) | Self::Logged | Self::Io(_) => 1,
            Self::Usage(_) => 2,
            Self::Unavailable(_) => 3,
            Self::Unknown(_) => 4,
            Self::TimedOut(_) => 5,
        }
    }
}
