//! Asks the owner where the tasks of a job would start.

use guavacart_jobs::{Explanation, Job};
use thiserror::Error;

use super::{Connection, Links, PeerRequest, Reply, RequestError};
use crate::Platform;

/// Why there is no explanation.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub(crate) enum NoExplanation {
    /// No owner is known, or the known one cannot be reached or is not the owner any more.
    #[error("no owner is in reach of this node; ask again in some seconds, or ask another node")]
    NoOwner,
    /// The owner was asked and gave no answer.
    #[error(
        "the owner did not answer: it is busy or runs an earlier build; ask again, or ask a node of \
         the same build as the owner"
    )]
    NoAnswer,
}

impl<P: Platform> Links<P> {
    /// Asks the owner, which may be this node, where the tasks of a job would start.
    pub(crate) async fn explain(&self, job: Job) -> Result<Explanation, NoExplanation> {
        if let Some(owner) = self.shared.owner() {
            return Ok(owner.explain(&job));
        }
        let address = {
            let owner = self.shared.known_owner.borrow();
            owner.as_ref().map(|owner| owner.links)
        };
        let address = address.ok_or(NoExplanation::NoOwner)?;
        // A node of an earlier build closes the link on which a request comes that it does not know,
        // and the other requests on that link would stay without a reply.
        let connection = Connection::open(address).await;
        let connection = connection.ok_or(NoExplanation::NoOwner)?;
        match connection.ask(PeerRequest::Explain(Box::new(job))).await {
            Ok(Reply::Explained(explanation)) => Ok(*explanation),
            Ok(Reply::NotOwner) | Err(RequestError::NotSent) => Err(NoExplanation::NoOwner),
            Ok(_) | Err(RequestError::NoReply) => Err(NoExplanation::NoAnswer),
        }
    }
}
