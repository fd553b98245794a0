//! The store's history of the configuration against what operators were told.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use guavacart_config::{ConfigRecord, Configuration};
use guavacart_types::TeamName;

use super::operator::Accepted;
use crate::store::Write;

/// One configuration as it was written.
#[derive(Debug)]
struct Version {
    at_us: u64,
    configuration: Configuration,
}

/// Every configuration that was written, in order of the writes.
#[derive(Debug)]
pub(super) struct History {
    versions: Vec<Version>,
}

impl History {
    /// Reads the writes; one that is no record counts as configuration 0.
    pub(super) fn of(writes: &[Write]) -> Self {
        let read = |write: &Write| Version {
            at_us: write.at_us,
            configuration: write
                .value
                .as_deref()
                .and_then(|value| ConfigRecord::decode(value).ok())
                .map(|record| record.current)
                .unwrap_or_default(),
        };
        Self {
            versions: writes.iter().map(read).collect(),
        }
    }

    /// When each number was written, in microseconds of the lab's clock.
    pub(super) fn written_at(&self) -> impl Iterator<Item = (u64, u64)> {
        let versions = self.versions.iter();
        versions.map(|v| (v.configuration.number.0, v.at_us))
    }

    /// Writes whose number does not follow the one before.
    pub(super) fn gaps(&self) -> u64 {
        let numbers: Vec<u64> = self.written_at().map(|(number, _)| number).collect();
        let first = u64::from(numbers.first() != Some(&1));
        let breaks = numbers.windows(2).filter(|pair| pair[1] != pair[0] + 1);
        first + breaks.count() as u64
    }

    /// Accepted patches that the configuration of their number does not hold.
    pub(super) fn missing(&self, accepted: &[Accepted]) -> u64 {
        let stands = |patch: &&Accepted| {
            let at = |v: &&Version| v.configuration.number.0 == patch.number;
            let mut versions = self.versions.iter().filter(at);
            versions.any(|v| weight(&v.configuration, &patch.team) == Some(patch.weight))
        };
        accepted.iter().filter(|patch| !stands(patch)).count() as u64
    }

    /// Written configurations, after the first, that are no accepted patch's.
    pub(super) fn unclaimed(&self, accepted: &[Accepted]) -> u64 {
        let claimed = |number: u64| accepted.iter().filter(|a| a.number == number).count() == 1;
        let written = self.written_at().map(|(number, _)| number);
        written
            .filter(|number| *number > 1 && !claimed(*number))
            .count() as u64
    }

    /// Written configurations in which an operator's last accepted weight does not stand.
    pub(super) fn reverted(&self, accepted: &[Accepted]) -> u64 {
        let mut by_number: BTreeMap<u64, &Accepted> = BTreeMap::new();
        for patch in accepted {
            by_number.insert(patch.number, patch);
        }
        let mut reverted = 0;
        for version in &self.versions {
            let until = by_number.range(..=version.configuration.number.0);
            let last: BTreeMap<&str, u64> =
                until.map(|(_, a)| (a.team.as_str(), a.weight)).collect();
            let stands =
                |(team, w): (&&str, &u64)| weight(&version.configuration, team) == Some(*w);
            reverted += u64::from(!last.iter().all(stands));
        }
        reverted
    }
}

fn weight(configuration: &Configuration, team: &str) -> Option<u64> {
    let team: TeamName = team.parse().ok()?;
    Some(u64::from(configuration.teams.get(&team)?.weight))
}
