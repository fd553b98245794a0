//! The settings of one process, read from a file at its start, and the configuration of a whole
//! deployment, which has a number and is changed by patches.

mod configuration;
mod diagnostic;
mod diff;
mod options;
mod patch;
mod record;
mod section;
mod settings;
mod validate;

pub use configuration::{
    BatchRule, Cell, Configuration, JournalWrites, Objectives, Placement, Queueing, Service,
    Sharing, SharingPolicy, Team, Weights,
};
pub use diagnostic::{Diagnostic, Place, SettingsFault};
pub use diff::{Change, diff};
pub use options::{SettingsError, SettingsOptions};
pub use patch::{Patch, PatchError};
pub use record::{Accepted, CONFIG_KEY, ConfigRecord, RecordError};
pub use section::Environment;
pub use settings::{Access, Limits, Secret, Settings};
pub use validate::{Fault, MAX_CONFIGURATION_BYTES, Problem, validate};
