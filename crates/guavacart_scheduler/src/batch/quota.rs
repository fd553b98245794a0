//! Team quotas divided over the cells, so that their sum never passes the quota.

use guavacart_config::Configuration;
use guavacart_types::{Accelerators, ByteSize, CellId, Processors, Resources, TeamName, weight};

/// The part of a team's quota that its tasks in one cell may hold; none means no limit.
pub fn slice(configuration: &Configuration, cell: &CellId, team: &TeamName) -> Option<Resources> {
    let quota = configuration.teams.get(team)?.quota?;
    let cells = configuration.cells.len().max(1) as u64;
    let first = first_cell(configuration, team) == Some(cell);
    let part = |whole: u64| whole / cells + if first { whole % cells } else { 0 };
    let accelerators = part(u64::from(quota.accelerators.0));
    Some(Resources {
        processors: Processors(part(quota.processors.0)),
        memory: ByteSize(part(quota.memory.0)),
        accelerators: Accelerators(u32::try_from(accelerators).unwrap_or(u32::MAX)),
    })
}

/// The cell that holds what does not divide evenly.
fn first_cell<'a>(configuration: &'a Configuration, team: &TeamName) -> Option<&'a CellId> {
    let cells = configuration.cells.keys();
    cells.max_by_key(|cell| weight(cell.as_str(), team.as_str()))
}
