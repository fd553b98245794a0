//! Process settings, the numbered configuration and its patches.

mod configuration;
mod settings;

pub use configuration::{
    BatchRule, Cell, Configuration, Objectives, Service, Sharing, SharingPolicy, Team, Weights,
};
pub use settings::{Access, Limits, Secret, Settings};
