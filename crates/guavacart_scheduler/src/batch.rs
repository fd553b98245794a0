//! Batch work: cells, journals, placement and leases.

use guavacart_types::InstanceId;
use serde::{Deserialize, Serialize};

use crate::{Cx, Effect};

/// What happened to batch work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum BatchEvent {}

/// What is to be done about batch work.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum BatchEffect {}

/// The cells that this instance owns.
#[derive(Debug)]
pub struct Batch {
    me: InstanceId,
}

impl Batch {
    pub(crate) fn new(me: InstanceId) -> Self {
        Self { me }
    }

    /// True if nothing is under way that a stop should wait for.
    pub fn is_idle(&self) -> bool {
        !self.me.as_str().is_empty()
    }

    pub(crate) fn tick(&mut self, _cx: &Cx<'_>, _effects: &mut Vec<Effect>) {}

    pub(crate) fn apply(&mut self, _cx: &Cx<'_>, event: BatchEvent, _effects: &mut Vec<Effect>) {
        match event {}
    }
}
