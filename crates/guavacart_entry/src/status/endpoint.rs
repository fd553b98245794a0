//! The status of an endpoint, as shown to operators.

use guavacart_scheduler::request::EndpointSummary;
use guavacart_types::{EndpointId, ServiceName};
use serde::Serialize;

#[derive(Clone, Debug, Serialize)]
pub(super) struct EndpointStatus {
    endpoint: EndpointId,
    service: ServiceName,
    slots: u32,
    free: u32,
    busy: u32,
    /// Slots that requests of an earlier owner, or requests with unknown outcome, may still occupy.
    residual: u32,
    leaving: bool,
    probation: bool,
}

impl From<EndpointSummary> for EndpointStatus {
    fn from(summary: EndpointSummary) -> Self {
        Self {
            endpoint: summary.endpoint,
            service: summary.service,
            slots: summary.slots,
            free: summary.free,
            busy: summary.busy,
            residual: summary.residual,
            leaving: summary.leaving,
            probation: summary.probation,
        }
    }
}
