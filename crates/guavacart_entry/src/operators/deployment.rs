//! Answers about all instances, from what each of them says.

use guavacart_config::Configuration;
use guavacart_report::{Report, Snapshot};
use guavacart_types::{ConfigNumber, InstanceId};
use serde::Serialize;

use crate::operators::answer::Answer;

/// The configuration in force at one instance.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct InstanceNumber {
    /// The instance.
    pub id: InstanceId,
    /// Its configuration; none if it did not say.
    pub number: Option<ConfigNumber>,
}

#[derive(Serialize)]
struct Instances {
    instances: Vec<InstanceNumber>,
}

/// Answers with the configuration number of each live instance.
pub fn instances(instances: Vec<InstanceNumber>) -> Answer {
    Answer::ok(&Instances { instances })
}

/// Answers with the burn of the whole deployment.
///
/// `answers` holds the encoded snapshot of each instance asked, this one included; none, or one that
/// cannot be read, makes the instance a missing one.
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
    Answer::ok(&Report::of(configuration, &snapshots, missing))
}
