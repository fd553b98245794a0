//! Answers to operators: an HTTP status and a JSON body.

use guavacart_config::{PatchError, Problem};
use guavacart_types::ConfigNumber;
use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr};

use crate::operators::{
    call::CallError,
    configuration::VersionError,
    patching::{Accepted, SubmitError},
};

/// The answer to an operator's call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The methods that the path supports; set for status 405 only.
    pub allow: Option<&'static str>,
    /// The JSON body.
    pub body: Vec<u8>,
}

/// The body of the answer to a refused call.
#[derive(Serialize)]
struct Refusal<'a> {
    key: &'a str,
    reason: SmolStr,
    #[serde(skip_serializing_if = "Option::is_none")]
    remedy: Option<SmolStr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    fate: Option<Fate>,
    #[serde(skip_serializing_if = "Option::is_none")]
    current: Option<ConfigNumber>,
    #[serde(skip_serializing_if = "Option::is_none")]
    changed: Option<&'a [SmolStr]>,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    problems: Vec<ProblemText<'a>>,
}

/// Whether a patch whose submission failed was applied.
#[derive(Clone, Copy, Serialize)]
#[serde(rename_all = "snake_case")]
enum Fate {
    NotApplied,
    Unknown,
}

#[derive(Serialize)]
struct ProblemText<'a> {
    key: &'a str,
    reason: SmolStr,
    remedy: SmolStr,
}

#[derive(Serialize)]
struct AcceptedText<'a> {
    number: ConfigNumber,
    #[serde(skip_serializing_if = "Option::is_none")]
    changes: Option<&'a [guavacart_config::Change]>,
}

impl Answer {
    /// Builds an answer with status 200.
    pub(crate) fn ok<T: Serialize>(body: &T) -> Self {
        Self::json(200, body)
    }

    fn json<T: Serialize>(status: u16, body: &T) -> Self {
        let body = serde_json::to_vec(body)
            .expect("an answer has only text keys and finite numbers, so it can be encoded");
        Self {
            status,
            allow: None,
            body,
        }
    }
}

impl<'a> Refusal<'a> {
    fn new(key: &'a str, reason: &dyn std::fmt::Display) -> Self {
        Self {
            key,
            reason: reason.to_smolstr(),
            remedy: None,
            fate: None,
            current: None,
            changed: None,
            problems: Vec::new(),
        }
    }
}

impl From<CallError> for Answer {
    fn from(err: CallError) -> Self {
        let refusal = Refusal::new(err.key(), &err);
        let mut answer = Self::json(err.status(), &refusal);
        answer.allow = err.allow();
        answer
    }
}

impl From<VersionError> for Answer {
    fn from(err: VersionError) -> Self {
        match &err {
            VersionError::NotKept { .. } => Self::json(404, &Refusal::new("number", &err)),
            VersionError::Read(_) => Self::json(503, &Refusal::new("store", &err)),
        }
    }
}

impl From<Accepted> for Answer {
    fn from(accepted: Accepted) -> Self {
        let changes = accepted.changes.as_deref();
        let number = accepted.number;
        Self::ok(&AcceptedText { number, changes })
    }
}

impl From<SubmitError> for Answer {
    fn from(err: SubmitError) -> Self {
        match &err {
            SubmitError::Rejected(rejected) => Self::rejected(rejected),
            SubmitError::Unavailable(_) | SubmitError::Record(_) | SubmitError::Contended => {
                Self::store_failure(&err, Fate::NotApplied)
            }
            SubmitError::Unknown { .. } => Self::store_failure(&err, Fate::Unknown),
        }
    }
}

impl Answer {
    fn store_failure(err: &SubmitError, fate: Fate) -> Self {
        let mut refusal = Refusal::new("store", err);
        refusal.fate = Some(fate);
        Self::json(503, &refusal)
    }

    fn rejected(err: &PatchError) -> Self {
        match err {
            PatchError::Conflict {
                current, changed, ..
            } => {
                let mut refusal = Refusal::new("base", err);
                refusal.current = Some(*current);
                refusal.changed = changed.as_deref();
                Self::json(409, &refusal)
            }
            PatchError::TooOld { current, .. } => {
                let mut refusal = Refusal::new("base", err);
                refusal.current = Some(*current);
                Self::json(409, &refusal)
            }
            PatchError::IdReused { .. } => Self::json(409, &Refusal::new("id", err)),
            PatchError::Invalid { problems } => Self::invalid(err, problems),
        }
    }

    fn invalid(err: &PatchError, problems: &[Problem]) -> Self {
        let mut refusal = Refusal::new("patch", err);
        if let Some(first) = problems.first() {
            refusal.key = &first.key;
            refusal.reason = first.fault.to_smolstr();
            refusal.remedy = Some(first.fault.remedy().to_smolstr());
        }
        refusal.problems = problems.iter().map(ProblemText::of).collect();
        Self::json(422, &refusal)
    }
}

impl<'a> ProblemText<'a> {
    fn of(problem: &'a Problem) -> Self {
        Self {
            key: &problem.key,
            reason: problem.fault.to_smolstr(),
            remedy: problem.fault.remedy().to_smolstr(),
        }
    }
}
