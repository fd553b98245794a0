//! Team quotas over the cells: one cell divides each quota, the others hold what it granted.

use std::collections::BTreeMap;

use guavacart_types::{CellId, Resources, Span, TeamName, Timestamp};

use super::{Cell, Io};
use crate::{
    Cx,
    batch::{
        decision::Decision,
        handoff::{HandOff, Outgoing, ShareOrder, ShareReport},
        journal::{Change, Share},
        quota::{self, greatest, least, left},
    },
};

/// Time between two looks at how quotas are divided.
const REVIEW_INTERVAL: Span = Span::millis(200);
/// How long one of several cells that want more gets what becomes free.
const TURN: Span = Span::secs(5);

/// What a cell knows of shares beside its ledger.
#[derive(Debug, Default)]
pub(super) struct Shares {
    next_review: Timestamp,
    /// The record that makes the newest share durable.
    mark: u64,
    /// What the cell may hold at most while others want more.
    caps: BTreeMap<TeamName, Resources>,
}

/// How a cell stands with a team's quota.
#[derive(Clone, Copy)]
struct Holder<'a> {
    cell: &'a CellId,
    used: Resources,
    waits: bool,
}

impl Cell {
    /// What the team's tasks may hold here now; none means no limit.
    pub(super) fn team_slice(&self, cx: &Cx<'_>, team: &TeamName) -> Option<Resources> {
        let share = self.team_share(cx, team)?;
        let cap = self.shares.caps.get(team);
        Some(cap.map_or(share, |cap| least(&share, cap)))
    }

    fn team_share(&self, cx: &Cx<'_>, team: &TeamName) -> Option<Resources> {
        let quota = cx.configuration.teams.get(team)?.quota?;
        if quota::bank(cx.configuration, team) == Some(&self.id) {
            return Some(left(&quota, &self.ledger.granted_sum(team)));
        }
        let allowed = self.ledger.allowed.get(team);
        Some(allowed.map_or(Resources::default(), |share| share.amount))
    }

    fn waits_for_quota(&self, team: &TeamName) -> bool {
        let wanted = team;
        let waits =
            |d: &Decision| matches!(d, Decision::WaitsForQuota { team, .. } if team == wanted);
        self.waiting.values().any(waits)
    }

    /// True if a job waits for a share that another cell may give.
    pub(super) fn wants_share(&self) -> bool {
        let waits = |d: &Decision| matches!(d, Decision::WaitsForQuota { .. });
        self.waiting.values().any(waits)
    }

    /// What the cell that divides a quota is to know.
    pub(super) fn share_reports(&self, cx: &Cx<'_>) -> Vec<ShareReport> {
        if self.shares.mark > self.journal.durable {
            return Vec::new();
        }
        let teams = cx.configuration.teams.iter();
        let teams = teams.filter(|(_, team)| team.quota.is_some());
        let reports = teams.map(|(team, _)| ShareReport {
            team: team.clone(),
            share: self.ledger.allowed.get(team).copied().unwrap_or_default(),
            used: self.ledger.team_used(team),
            waits: self.waits_for_quota(team),
            capped: self.shares.caps.contains_key(team),
        });
        reports.collect()
    }

    /// Divides the quotas that this cell divides.
    pub(super) fn divide_quotas(&mut self, cx: &Cx<'_>, io: &mut Io<'_>) {
        if cx.now < self.shares.next_review || cx.configuration.cells.len() < 2 {
            return;
        }
        self.shares.next_review = cx.now + REVIEW_INTERVAL;
        for team in cx.configuration.teams.keys() {
            let bank = quota::bank(cx.configuration, team) == Some(&self.id);
            if bank && self.team_share(cx, team).is_some() {
                self.divide(cx, io, team);
            }
        }
    }

    fn divide(&mut self, cx: &Cx<'_>, io: &mut Io<'_>, team: &TeamName) {
        let mut reports: BTreeMap<&CellId, ShareReport> = BTreeMap::new();
        for cell in cx.configuration.cells.keys().filter(|c| **c != self.id) {
            let room = io.rooms.fresh(cx.now, cell);
            let report = room.and_then(|r| r.shares.iter().find(|s| s.team == *team).cloned());
            reports.extend(report.map(|report| (cell, report)));
        }
        for (cell, report) in &reports {
            self.take_back(team, cell, report.share);
        }
        let me = self.id.clone();
        let own = Holder {
            cell: &me,
            used: self.ledger.team_used(team),
            waits: self.waits_for_quota(team),
        };
        let others = reports.iter().map(|(cell, report)| Holder {
            cell,
            used: report.used,
            waits: report.waits,
        });
        let holders: Vec<Holder<'_>> = others.chain([own]).collect();
        let favoured = favoured(cx.now, &holders);
        let cap = |holder: &Holder<'_>| cap_of(cx, team, favoured.as_ref(), holder);
        self.cap(team, cap(&own));
        if let Some(favoured) = favoured.filter(|f| f.cell != own.cell) {
            let kept = cap(&own).map_or(own.used, |cap| greatest(&cap, &own.used));
            self.grant(cx, team, &favoured, reports[favoured.cell].share, &kept);
        }
        if self.shares.mark > self.journal.durable {
            return;
        }
        for holder in holders.iter().filter(|h| h.cell != own.cell) {
            let report = &reports[holder.cell];
            self.order_share(io, team, report, holder.cell, cap(holder));
        }
    }

    /// Notes that a cell holds less than it was granted.
    fn take_back(&mut self, team: &TeamName, cell: &CellId, held: Share) {
        let granted = self.ledger.granted(team, cell);
        if held.sequence == granted.sequence && held.amount != granted.amount {
            self.decide_grant(team, cell, held);
        }
    }

    /// Grants a cell what is free, unless it has not taken the last grant yet.
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
        let free = left(&share, kept);
        if held.sequence == granted.sequence && free != Resources::default() {
            let share = Share {
                sequence: granted.sequence + 1,
                amount: granted.amount.plus(&free),
            };
            self.decide_grant(team, to.cell, share);
        }
    }

    fn decide_grant(&mut self, team: &TeamName, cell: &CellId, share: Share) {
        let team = team.clone();
        let cell = cell.clone();
        self.decide(Change::Granted { team, cell, share });
        self.shares.mark = self.journal.decided;
        self.dirty = true;
    }

    fn order_share(
        &self,
        io: &mut Io<'_>,
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
        io.outbox.push(Outgoing::HandOff(to.clone(), message));
    }

    /// Does as the cell that divides the quota says.
    pub(super) fn share_ordered(&mut self, cx: &Cx<'_>, order: ShareOrder) {
        let ShareOrder {
            from,
            team,
            share,
            cap,
        } = order;
        if quota::bank(cx.configuration, &team) != Some(&from) {
            return;
        }
        let held = self.ledger.allowed.get(&team).copied().unwrap_or_default();
        if share.sequence > held.sequence {
            self.allow(&team, share);
        }
        self.cap(&team, cap);
        let held = self.ledger.allowed.get(&team).copied().unwrap_or_default();
        let capped = cap.map_or(held.amount, |cap| least(&held.amount, &cap));
        let used = least(&held.amount, &self.ledger.team_used(&team));
        let amount = greatest(&capped, &used);
        if amount != held.amount {
            let sequence = held.sequence;
            self.allow(&team, Share { sequence, amount });
        }
    }

    fn allow(&mut self, team: &TeamName, share: Share) {
        let team = team.clone();
        self.decide(Change::Allowed { team, share });
        self.shares.mark = self.journal.decided;
        self.dirty = true;
    }

    fn cap(&mut self, team: &TeamName, cap: Option<Resources>) {
        let before = match cap {
            Some(cap) => self.shares.caps.insert(team.clone(), cap),
            None => self.shares.caps.remove(team),
        };
        self.dirty |= before != cap;
    }
}

/// The one of the cells that want more whose turn it is.
fn favoured<'a>(now: Timestamp, holders: &[Holder<'a>]) -> Option<Holder<'a>> {
    let waiting: Vec<&Holder<'a>> = holders.iter().filter(|h| h.waits).collect();
    let turn = (now.0 / TURN.0) as usize;
    let favoured = waiting.get(turn % waiting.len().max(1))?;
    Some(**favoured)
}

/// What a cell may hold at most while another one gets what becomes free.
fn cap_of(
    cx: &Cx<'_>,
    team: &TeamName,
    favoured: Option<&Holder<'_>>,
    holder: &Holder<'_>,
) -> Option<Resources> {
    let favoured = favoured.filter(|f| f.cell != holder.cell)?;
    let idle = Resources::default();
    if holder.used == idle {
        return Some(idle);
    }
    match favoured.used == idle {
        true => Some(least(&holder.used, &even(cx, team, holder.cell))),
        false => Some(even(cx, team, holder.cell)),
    }
}

fn even(cx: &Cx<'_>, team: &TeamName, cell: &CellId) -> Resources {
    quota::slice(cx.configuration, cell, team).unwrap_or_default()
}
