//! How the endpoints stand, for operators.

use guavacart_types::{EndpointId, ServiceName};

use super::{endpoint::Endpoint, reducer::Requests};

/// An endpoint that this instance owns.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointStanding {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its service.
    pub service: ServiceName,
    /// Slots that may be used.
    pub slots: u32,
    /// Slots that a short request may take now; while the endpoint is probed, none.
    pub free: u32,
    /// Slots that this instance's requests take.
    pub busy: u32,
    /// Slots that an earlier owner's or lost requests may still take.
    pub residual: u32,
    /// True once it was announced to leave or said so.
    pub leaving: bool,
    /// True while it takes trial requests at most.
    pub probation: bool,
}

impl Requests {
    /// The endpoints that this instance owns, in order of id.
    pub fn endpoints(&self) -> impl Iterator<Item = EndpointStanding> {
        self.pool
            .owned()
            .map(|(id, endpoint)| standing(id, endpoint))
    }
}

fn standing(id: &EndpointId, endpoint: &Endpoint) -> EndpointStanding {
    EndpointStanding {
        endpoint: id.clone(),
        service: endpoint.service.clone(),
        slots: endpoint.slots,
        free: endpoint.free(false),
        busy: endpoint.running.len() as u32,
        residual: endpoint.residual,
        leaving: endpoint.leaving,
        probation: endpoint.probation.is_on(),
    }
}
