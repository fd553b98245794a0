//! Encoded form of shares of team quotas, in stored records and in messages between entry instances.

use std::collections::BTreeMap;

use guavacart_scheduler::batch::journal::Share;
use guavacart_types::{CellId, Resources, TeamName};
use serde::{Deserialize, Serialize};

/// Encoded form of [`Share`].
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ShareWire {
    sequence: u64,
    amount: Resources,
}

impl From<Share> for ShareWire {
    fn from(share: Share) -> Self {
        let Share { sequence, amount } = share;
        Self { sequence, amount }
    }
}

impl From<ShareWire> for Share {
    fn from(wire: ShareWire) -> Self {
        let ShareWire { sequence, amount } = wire;
        Self { sequence, amount }
    }
}

/// The shares that one cell has granted to others, by team and by receiving cell.
type Granted = BTreeMap<TeamName, BTreeMap<CellId, Share>>;

pub(super) fn granted_to_wire(granted: Granted) -> Vec<(TeamName, CellId, ShareWire)> {
    let teams = granted.into_iter();
    let cells = teams.flat_map(|(team, cells)| {
        let cells = cells.into_iter();
        cells.map(move |(cell, share)| (team.clone(), cell, share.into()))
    });
    cells.collect()
}

pub(super) fn granted_from_wire(wire: Vec<(TeamName, CellId, ShareWire)>) -> Granted {
    let mut granted = Granted::new();
    for (team, cell, share) in wire {
        let cells = granted.entry(team).or_default();
        cells.insert(cell, share.into());
    }
    granted
}
