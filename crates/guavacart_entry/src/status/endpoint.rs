//! The status of an endpoint, as shown to operators.

use guavacart_scheduler::request::EndpointStanding;
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

impl From<EndpointStanding> for EndpointStatus {
    fn from(standing: EndpointStanding) -> Self {
        Self {
            endpoint: standing.endpoint,
            service: standing.service,
            slots: standing.slots,
            free: standing.free,
            busy: standing.busy,
            residual: standing.residual,
            leaving: standing.leaving,
            probation: standing.probation,
        }
    }
}
