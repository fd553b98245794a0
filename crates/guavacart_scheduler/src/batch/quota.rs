//! Division of team quotas over the cells, so that the shares never add up to more than the quota.

use guavacart_config::Configuration;
use guavacart_types::{
    Accelerators, ByteSize, CellId, Processors, Resources, TeamName, rendezvous_weight,
};

/// A cell's even part of a team's quota, which the cell keeps even if others ask for more. `None`
/// means that the team has no quota, hence no limit.
pub fn even_share(
    configuration: &Configuration,
    cell: &CellId,
    team: &TeamName,
) -> Option<Resources> {
    let quota = configuration.teams.get(team)?.quota?;
    let cells = configuration.cells.len().max(1) as u64;
    let gets_remainder = remainder_cell(configuration, team) == Some(cell);
    let part = |whole: u64| whole / cells + if gets_remainder { whole % cells } else { 0 };
    let accelerators = part(u64::from(quota.accelerators.0));
    Some(Resources {
        processors: Processors(part(quota.processors.0)),
        memory: ByteSize(part(quota.memory.0)),
        accelerators: Accelerators(u32::try_from(accelerators).unwrap_or(u32::MAX)),
    })
}

/// The cell that gets the remainder of the division.
fn remainder_cell<'a>(configuration: &'a Configuration, team: &TeamName) -> Option<&'a CellId> {
    let cells = configuration.cells.keys();
    cells.max_by_key(|cell| rendezvous_weight(cell.as_str(), team.as_str()))
}

/// The cell that divides a team's quota. It is always the same cell, because cells that joined
/// later are left out.
pub fn dividing_cell<'a>(configuration: &'a Configuration, team: &TeamName) -> Option<&'a CellId> {
    let cells = configuration.cells.iter();
    let original_cells = cells
        .filter(|(_, cell)| !cell.joined_later)
        .map(|(id, _)| id);
    original_cells.max_by_key(|cell| rendezvous_weight(cell.as_str(), team.as_str()))
}

/// The smaller amount of each resource.
pub(super) fn componentwise_min(one: &Resources, other: &Resources) -> Resources {
    Resources {
        processors: one.processors.min(other.processors),
        memory: one.memory.min(other.memory),
        accelerators: one.accelerators.min(other.accelerators),
    }
}

/// The greater amount of each resource.
pub(super) fn componentwise_max(one: &Resources, other: &Resources) -> Resources {
    Resources {
        processors: one.processors.max(other.processors),
        memory: one.memory.max(other.memory),
        accelerators: one.accelerators.max(other.accelerators),
    }
}

/// The remaining amount of each resource; zero where `taken` exceeds `whole`.
pub(super) fn saturating_minus(whole: &Resources, taken: &Resources) -> Resources {
    let taken = componentwise_min(whole, taken);
    whole.minus(&taken).unwrap_or_default()
}
