//! Why a command failed, and the exit status that says so.

use std::{
    io::{self, Write},
    process::ExitCode,
};

use smol_str::SmolStr;
use thiserror::Error;

/// What the exit statuses mean, for `--help`.
pub(crate) const EXIT_STATUSES: &str = "\
Exit status:
    0  done
    1  rejected: the input has faults or the call was refused; nothing changed
    2  the command line is wrong
    3  the entry instance was not reached or cannot serve the call now; nothing changed
    4  the fate is unknown: the change may have taken effect; repeat with the same id
    5  the wait ended first
";

/// Why a command failed.
#[derive(Debug, Error)]
pub(crate) enum Failure {
    /// The input has faults, or the call was refused; nothing changed.
    #[error("{0}")]
    Rejected(SmolStr),
    /// The command line is wrong.
    #[error("{0}; see guavacart --help")]
    Usage(SmolStr),
    /// The entry instance was not reached or cannot serve the call; nothing changed.
    #[error("{0}")]
    Unavailable(SmolStr),
    /// The change may have taken effect.
    #[error("{0}")]
    Unknown(SmolStr),
    /// What was waited for did not happen in time.
    #[error("{0}")]
    TimedOut(SmolStr),
    /// The failure stands in the log already.
    #[error("see the log")]
    Logged,
    /// The reader of the output is gone.
    #[error("cannot write: {0}")]
    Output(#[from] io::Error),
}

impl Failure {
    /// Says why on stderr, and gives the exit status.
    pub(crate) fn report(&self) -> ExitCode {
        if !matches!(self, Self::Logged) {
            // Nobody is left to tell when stderr itself is closed.
            let _ = writeln!(io::stderr(), "guavacart: {self}");
        }
        ExitCode::from(self.status())
    }

    fn status(&self) -> u8 {
        match self {
            Self::Rejected(_) | Self::Logged | Self::Output(_) => 1,
            Self::Usage(_) => 2,
            Self::Unavailable(_) => 3,
            Self::Unknown(_) => 4,
            Self::TimedOut(_) => 5,
        }
    }
}
