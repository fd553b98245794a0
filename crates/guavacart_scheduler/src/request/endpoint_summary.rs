//! The state of the owned endpoints, for status reports to operators.

use guavacart_types::{EndpointId, ServiceName};

use super::{endpoint::Endpoint, reducer::Requests};

/// The state of an endpoint that this instance owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointSummary {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// The service that the endpoint serves.
    pub service: ServiceName,
    /// Usable slots: the service's slots, limited by its connections.
    pub slots: u32,
    /// Slots that a short request may use now; 0 while a probe is due or in flight.
    pub free: u32,
    /// Slots that requests of this instance use.
    pub busy: u32,
    /// Slots that requests of an earlier owner, or lost requests of this instance, may still use.
    pub residual: u32,
    /// True once the platform announced, or the endpoint reported, that the endpoint is leaving.
    pub leaving: bool,
    /// True while the endpoint is on probation and gets only trial requests.
    pub probation: bool,
}

impl Requests {
    /// Returns the state of the endpoints that this instance owns, in order of id.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointSummary> {
        self.pool
            .owned()
            .map(|(id, endpoint)| endpoint_summary(id, endpoint))
    }
}

fn endpoint_summary(id: &EndpointId, endpoint: &Endpoint) -> EndpointSummary {
    EndpointSummary {
        endpoint: id.clone(),
        service: endpoint.service.clone(),
        slots: endpoint.slots,
        free: endpoint.free_slots(false),
        busy: endpoint.running.len() as u32,
        residual: endpoint.residual,
        leaving: endpoint.leaving,
        probation: endpoint.probation.is_active(),
    }
}
