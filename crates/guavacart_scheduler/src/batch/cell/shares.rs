//! Team quotas across cells.
//!
//! One cell divides each team's quota (`quota::dividing_cell`); the others hold the shares that it
//! granted. While several cells want more of a quota, what becomes free goes to one of them at a
//! time.

use std::collections::BTreeMap;

use guavacart_types::{CellId, Resources, Span, TeamName, Timestamp};

use super::{Cell, Outputs};
use crate::{
    Cx,
    batch::{
        decision::Decision,
        handoff::{HandOff, Outgoing, ShareOrder, ShareReport},
        journal::{Change, Share},
        quota::{self, componentwise_max, componentwise_min, saturating_minus},
    },
};

/// Time between two reviews of the division of quotas.
const REVIEW_INTERVAL: Span = Span::millis(200);
/// How long one of several cells that want more of a quota gets what becomes free.
const TURN_LENGTH: Span = Span::secs(5);

/// The state of quota shares that is not in the ledger.
#[derive(Debug, Default)]
pub(super) struct Shares {
    next_review: Timestamp,
    /// The number of changes that must be durable before shares are reported or ordered.
    newest_change: u64,
    /// The most that each team may hold in this cell while other cells want more.
    caps: BTreeMap<TeamName, Resources>,
}

/// A cell's use of a team's quota.
#[derive(Clone, Copy)]
struct Holder<'a> {
    cell: &'a CellId,
    used: Resources,
    /// True if a job of the team waits for a larger share there.
    wants_more: bool,
}

impl Cell {
    /// Returns the most that the team's tasks may hold here now; `None` means no limit.
    pub(super) fn team_limit(&self, cx: &Cx<'_>, team: &TeamName) -> Option<Resources> {
        let share = self.team_share(cx, team)?;
        let cap = self.shares.caps.get(team);
        Some(cap.map_or(share, |cap| componentwise_min(&share, cap)))
    }

    /// Returns this cell's share of the team's quota, before any cap; `None` means no quota.
    fn team_share(&self, cx: &Cx<'_>, team: &TeamName) -> Option<Resources> {
        let quota = cx.configuration.teams.get(team)?.quota?;
        if quota::dividing_cell(cx.configuration, team) == Some(&self.id) {
            return Some(saturating_minus(&quota, &self.ledger.granted_sum(team)));
        }
        let allowed = self.ledger.allowed.get(team);
        Some(allowed.map_or(Resources::default(), |share| share.amount))
    }

    fn waits_for_quota(&self, team: &TeamName) -> bool {
        let wanted = team;
        let waits =
            |d: &Decision| matches!(d, Decision::WaitsForQuota { team, .. } if team == wanted);
        self.wait_reasons.values().any(waits)
    }

    /// True if a job waits for a larger quota share.
    pub(super) fn wants_share(&self) -> bool {
        let waits = |d: &Decision| matches!(d, Decision::WaitsForQuota { .. });
        self.wait_reasons.values().any(waits)
    }

    /// Returns this cell's shares and their use, for the cells that divide the quotas.
    ///
    /// Empty while a change of a share is not durable.
    pub(super) fn share_reports(&self, cx: &Cx<'_>) -> Vec<ShareReport> {
        if self.shares.newest_change > self.journal.durable_count {
            return Vec::new();
        }
        let teams = cx.configuration.teams.iter();
        let teams = teams.filter(|(_, team)| team.quota.is_some());
        let reports = teams.map(|(team, _)| ShareReport {
            team: team.clone(),
            share: self.ledger.allowed.get(team).copied().unwrap_or_default(),
            used: self.ledger.team_used(team),
            wants_more: self.waits_for_quota(team),
            capped: self.shares.caps.contains_key(team),
        });
        reports.collect()
    }

    /// Reviews the quotas that this cell divides.
    pub(super) fn divide_quotas(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>) {
        if cx.now < self.shares.next_review || cx.configuration.cells.len() < 2 {
            return;
        }
        self.shares.next_review = cx.now + REVIEW_INTERVAL;
        for team in cx.configuration.teams.keys() {
            let divides = quota::dividing_cell(cx.configuration, team) == Some(&self.id);
            if divides && self.team_share(cx, team).is_some() {
                self.divide(cx, outputs, team);
            }
        }
    }

    /// Reclaims and grants shares of one team's quota and orders other cells to keep to them.
    fn divide(&mut self, cx: &Cx<'_>, outputs: &mut Outputs<'_>, team: &TeamName) {
        let mut reports: BTreeMap<&CellId, ShareReport> = BTreeMap::new();
        for cell in cx.configuration.cells.keys().filter(|c| **c != self.id) {
            let free_capacity = outputs.capacity_reports.recent(cx.now, cell);
            let report =
                free_capacity.and_then(|r| r.shares.iter().find(|s| s.team == *team).cloned());
            reports.extend(report.map(|report| (cell, report)));
        }
        for (cell, report) in &reports {
            self.reclaim(team, cell, report.share);
        }
        let me = self.id.clone();
        let own = Holder {
            cell: &me,
            used: self.ledger.team_used(team),
            wants_more: self.waits_for_quota(team),
        };
        let others = reports.iter().map(|(cell, report)| Holder {
            cell,
            used: report.used,
            wants_more: report.wants_more,
        });
        let holders: Vec<Holder<'_>> = others.chain([own]).collect();
        let favoured = favoured(cx.now, &holders);
        let cap = |holder: &Holder<'_>| cap_for(cx, team, favoured.as_ref(), holder);
        self.set_cap(team, cap(&own));
        if let Some(favoured) = favoured.filter(|f| f.cell != own.cell) {
            let kept = cap(&own).map_or(own.used, |cap| componentwise_max(&cap, &own.used));
            self.grant(cx, team, &favoured, reports[favoured.cell].share, &kept);
        }
        if self.shares.newest_change > self.journal.durable_count {
            return;
        }
        for holder in holders.iter().filter(|h| h.cell != own.cell) {
            let report = &reports[holder.cell];
            self.send_share_order(outputs, team, report, holder.cell, cap(holder));
        }
    }

    /// Reduces a grant to the smaller share that the cell reports it holds.
    fn reclaim(&mut self, team: &TeamName, cell: &CellId, held: Share) {
        let granted = self.ledger.granted(team, cell);
        if held.sequence == granted.sequence && held.amount != granted.amount {
            self.journal_grant(team, cell, held);
        }
    }

    /// Grants a cell what this cell can spare, unless the cell has yet to report the last grant.
    fn grant(
        &mut self,
        cx: &Cx<'_>,
        team: &TeamName,
        to: &Holder<'_>,
        held: Share,
        kept: &Resources,
    ) {
        let granted = self.ledger.granted(team, to.cell);
        let share = self.team_share(cx, team).unwrap_or_default();
        let free = saturating_minus(&share, kept);
        if held.sequence == granted.sequence && free != Resources::default() {
            let share = Share {
                sequence: granted.sequence + 1,
                amount: granted.amount.plus(&free),
            };
            self.journal_grant(team, to.cell, share);
        }
    }

    /// Journals the share that another cell may hold.
    fn journal_grant(&mut self, team: &TeamName, cell: &CellId, share: Share) {
        let team = team.clone();
        let cell = cell.clone();
        self.journal_change(Change::Granted { team, cell, share });
        self.shares.newest_change = self.journal.change_count;
        self.dirty = true;
    }

    /// Sends a cell its granted share and cap if it does not know them yet.
    fn send_share_order(
        &self,
        outputs: &mut Outputs<'_>,
        team: &TeamName,
        report: &ShareReport,
        to: &CellId,
        cap: Option<Resources>,
    ) {
        let share = self.ledger.granted(team, to);
        if share.sequence == report.share.sequence && cap.is_none() && !report.capped {
            return;
        }
        let order = ShareOrder {
            from: self.id.clone(),
            team: team.clone(),
            share,
            cap,
        };
        let message = HandOff::Share(Box::new(order));
        outputs.outbox.push(Outgoing::HandOff(to.clone(), message));
    }

    /// Handles an order from the cell that divides the quota.
    pub(super) fn handle_share_order(&mut self, cx: &Cx<'_>, order: ShareOrder) {
        let ShareOrder {
            from,
            team,
            share,
            cap,
        } = order;
        if quota::dividing_cell(cx.configuration, &team) != Some(&from) {
            return;
        }
        let held = self.ledger.allowed.get(&team).copied().unwrap_or_default();
        if share.sequence > held.sequence {
            self.journal_share(&team, share);
        }
        self.set_cap(&team, cap);
        let held = self.ledger.allowed.get(&team).copied().unwrap_or_default();
        let capped = cap.map_or(held.amount, |cap| componentwise_min(&held.amount, &cap));
        let used = componentwise_min(&held.amount, &self.ledger.team_used(&team));
        let amount = componentwise_max(&capped, &used);
        if amount != held.amount {
            let sequence = held.sequence;
            self.journal_share(&team, Share { sequence, amount });
        }
    }

    /// Journals the share that this cell may hold.
    fn journal_share(&mut self, team: &TeamName, share: Share) {
        let team = team.clone();
        self.journal_change(Change::Allowed { team, share });
        self.shares.newest_change = self.journal.change_count;
        self.dirty = true;
    }

    /// Sets or removes the cap on what a team may hold here.
    fn set_cap(&mut self, team: &TeamName, cap: Option<Resources>) {
        let before = match cap {
            Some(cap) => self.shares.caps.insert(team.clone(), cap),
            None => self.shares.caps.remove(team),
        };
        self.dirty |= before != cap;
    }
}

/// Returns the cell whose turn it is among those that want more, if any.
fn favoured<'a>(now: Timestamp, holders: &[Holder<'a>]) -> Option<Holder<'a>> {
    let waiting: Vec<&Holder<'a>> = holders.iter().filter(|h| h.wants_more).collect();
    let turn = (now.0 / TURN_LENGTH.0) as usize;
    let favoured = waiting.get(turn % waiting.len().max(1))?;
    Some(**favoured)
}

/// Returns the most that a cell may hold while another one gets what becomes free.
///
/// The cap is the cell's even part of the quota. A cell that uses nothing is capped at nothing, and
/// while the favoured cell uses nothing, no other cell may grow.
fn cap_for(
    cx: &Cx<'_>,
    team: &TeamName,
    favoured: Option<&Holder<'_>>,
    holder: &Holder<'_>,
) -> Option<Resources> {
    let favoured = favoured.filter(|f| f.cell != holder.cell)?;
    let nothing = Resources::default();
    if holder.used == nothing {
        return Some(nothing);
    }
    match favoured.used == nothing {
        true => Some(componentwise_min(
            &holder.used,
            &even_share(cx, team, holder.cell),
        )),
        false => Some(even_share(cx, team, holder.cell)),
    }
}

/// Returns a cell's even part of the team's quota.
fn even_share(cx: &Cx<'_>, team: &TeamName, cell: &CellId) -> Resources {
    quota::even_share(cx.configuration, cell, team).unwrap_or_default()
}
