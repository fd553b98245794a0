//! The configurations written to the store, compared with the patches that were reported to
//! operators as accepted.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use guavacart_config::{ConfigRecord, Configuration};
use guavacart_types::TeamName;

use super::operator::Accepted;
use crate::store::RecordedWrite;

/// One configuration as written to the store.
#[derive(Debug)]
struct Version {
    at_us: u64,
    configuration: Configuration,
}

/// Every configuration written to the store, in the order of the writes.
#[derive(Debug)]
pub(super) struct History {
    versions: Vec<Version>,
}

impl History {
    /// Decodes the writes; a write that is not a configuration record counts as configuration 0.
    pub(super) fn of(writes: &[RecordedWrite]) -> Self {
        let to_version = |write: &RecordedWrite| Version {
            at_us: write.at_us,
            configuration: write
                .value
                .as_deref()
                .and_then(|value| ConfigRecord::decode(value).ok())
                .map(|record| record.current)
                .unwrap_or_default(),
        };
        Self {
            versions: writes.iter().map(to_version).collect(),
        }
    }

    /// Returns each configuration number with the time of its write, in microseconds of the lab's
    /// clock.
    pub(super) fn written_at(&self) -> impl Iterator<Item = (u64, u64)> {
        let versions = self.versions.iter();
        versions.map(|v| (v.configuration.number.0, v.at_us))
    }

    /// Returns how many writes have a number other than the next one; the first number has to be 1.
    pub(super) fn gaps(&self) -> u64 {
        let numbers: Vec<u64> = self.written_at().map(|(number, _)| number).collect();
        let first = u64::from(numbers.first() != Some(&1));
        let gaps = numbers.windows(2).filter(|pair| pair[1] != pair[0] + 1);
        first + gaps.count() as u64
    }

    /// Returns how many accepted patches are missing from the configuration with their number.
    pub(super) fn missing(&self, accepted: &[Accepted]) -> u64 {
        let is_stored = |patch: &&Accepted| {
            let has_number = |v: &&Version| v.configuration.number.0 == patch.number;
            let mut versions = self.versions.iter().filter(has_number);
            versions.any(|v| weight(&v.configuration, &patch.team) == Some(patch.weight))
        };
        accepted.iter().filter(|patch| !is_stored(patch)).count() as u64
    }

    /// Returns how many configurations after the first one do not belong to exactly one accepted
    /// patch.
    pub(super) fn unclaimed(&self, accepted: &[Accepted]) -> u64 {
        let is_accepted_once =
            |number: u64| accepted.iter().filter(|a| a.number == number).count() == 1;
        let written = self.written_at().map(|(number, _)| number);
        written
            .filter(|number| *number > 1 && !is_accepted_once(*number))
            .count() as u64
    }

    /// Returns how many configurations lack the last accepted weight of an operator's team.
    pub(super) fn reverted(&self, accepted: &[Accepted]) -> u64 {
        let mut by_number: BTreeMap<u64, &Accepted> = BTreeMap::new();
        for patch in accepted {
            by_number.insert(patch.number, patch);
        }
        let mut reverted = 0;
        for version in &self.versions {
            let patches = by_number.range(..=version.configuration.number.0);
            let expected: BTreeMap<&str, u64> =
                patches.map(|(_, a)| (a.team.as_str(), a.weight)).collect();
            let is_stored = |(team, weight_set): (&&str, &u64)| {
                weight(&version.configuration, team) == Some(*weight_set)
            };
            reverted += u64::from(!expected.iter().all(is_stored));
        }
        reverted
    }
}

fn weight(configuration: &Configuration, team: &str) -> Option<u64> {
    let team: TeamName = team.parse().ok()?;
    Some(u64::from(configuration.teams.get(&team)?.weight))
}
