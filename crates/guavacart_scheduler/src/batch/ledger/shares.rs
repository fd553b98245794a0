//! Changes of team quota shares: granted by the cell that divides a quota, held by the others.

use guavacart_types::{CellId, Resources, TeamName};
use smol_str::{SmolStr, format_smolstr};

use super::Ledger;
use crate::batch::journal::Share;

impl Ledger {
    /// Returns the most that another cell may hold of the team's quota.
    pub(in crate::batch) fn granted(&self, team: &TeamName, cell: &CellId) -> Share {
        let granted = self.granted.get(team).and_then(|cells| cells.get(cell));
        granted.copied().unwrap_or_default()
    }

    /// Returns the most that all other cells together may hold of the team's quota.
    pub(in crate::batch) fn granted_sum(&self, team: &TeamName) -> Resources {
        let cells = self.granted.get(team).into_iter().flatten();
        cells.fold(Resources::default(), |sum, (_, share)| {
            sum.plus(&share.amount)
        })
    }

    /// Sets the share of another cell; it may grow only under the next sequence number.
    pub(super) fn apply_granted(
        &mut self,
        team: &TeamName,
        cell: &CellId,
        share: Share,
    ) -> Result<(), SmolStr> {
        let before = self.granted(team, cell);
        let next = before.sequence + 1;
        if !before.shrinks_to(&share) && share.sequence != next {
            return Err(format_smolstr!(
                "the share of team {team} in cell {cell} grows without the next sequence number"
            ));
        }
        let cells = self.granted.entry(team.clone()).or_default();
        cells.insert(cell.clone(), share);
        Ok(())
    }

    /// Sets this cell's own share; it may grow only under a greater sequence number.
    pub(super) fn apply_allowed(&mut self, team: &TeamName, share: Share) -> Result<(), SmolStr> {
        let before = self.allowed.get(team).copied().unwrap_or_default();
        if !before.shrinks_to(&share) && share.sequence <= before.sequence {
            return Err(format_smolstr!(
                "the share of team {team} grows without a greater sequence number"
            ));
        }
        self.allowed.insert(team.clone(), share);
        Ok(())
    }
}

impl Share {
    /// True if `next` has the same sequence number and no larger amount.
    fn shrinks_to(&self, next: &Self) -> bool {
        self.sequence == next.sequence && next.amount.fits_in(&self.amount)
    }
}
