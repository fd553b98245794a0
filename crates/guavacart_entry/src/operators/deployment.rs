//! Answers about the whole deployment, combined from the answers of its instances.

use guavacart_config::Configuration;
use guavacart_report::{Report, Snapshot};
use guavacart_types::{ConfigNumber, InstanceId};
use serde::Serialize;

use crate::operators::answer::Answer;

/// The configuration in force at one instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InstanceNumber {
    /// The instance's id.
    pub id: InstanceId,
    /// The number of its configuration; none if the instance did not answer.
    pub number: Option<ConfigNumber>,
}

#[derive(Serialize)]
struct Instances {
    instances: Vec<InstanceNumber>,
}

/// Answers with the configuration number of each instance.
pub fn instances(instances: Vec<InstanceNumber>) -> Answer {
    Answer::ok(&Instances { instances })
}

/// Answers with the service-level record of the whole deployment.
///
/// `answers` holds the encoded snapshot of each instance, including this one. An instance without a
/// snapshot, or with one that cannot be decoded, is reported as missing.
pub fn burn(configuration: &Configuration, answers: Vec<(InstanceId, Option<Vec<u8>>)>) -> Answer {
    let mut snapshots = Vec::new();
    let mut missing = Vec::new();
    for (id, body) in answers {
        let snapshot = body.and_then(|body| serde_json::from_slice::<Snapshot>(&body).ok());
        match snapshot {
            Some(snapshot) => snapshots.push((id, snapshot)),
            None => missing.push(id),
        }
    }
    Answer::ok(&Report::from_snapshots(configuration, &snapshots, missing))
}
