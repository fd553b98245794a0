//! The platform's instance list as last read; it lags behind the truth.

use std::{collections::BTreeMap, net::SocketAddr};

use guavacart_types::{
    DataCentre, EndpointId, InstanceId, Rack, Resources, ServiceName, Timestamp, WorkerId,
};
use serde::{Deserialize, Serialize};

/// One line of the instance list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedInstance {
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Where it is reached: peers' port of an entry instance, HTTP port of the others.
    pub address: SocketAddr,
    /// True once the platform has announced that it leaves.
    pub leaving: bool,
    /// What it is.
    pub role: Role,
}

/// What a listed instance is.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance of guavacart.
    Entry {
        /// Its id.
        id: InstanceId,
    },
    /// An endpoint of a service.
    Endpoint {
        /// Its id.
        id: EndpointId,
        /// The service that it serves.
        service: ServiceName,
        /// The worker that it runs on, if the platform says.
        worker: Option<WorkerId>,
    },
    /// A worker.
    Worker {
        /// Its id.
        id: WorkerId,
        /// Its rack.
        rack: Rack,
        /// What it holds for tasks.
        capacity: Resources,
    },
}

/// An entry instance as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEntry {
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Its peers' port, both UDP and TCP.
    pub address: SocketAddr,
    /// True once it has been announced to leave.
    pub leaving: bool,
}

/// An endpoint as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The service that it serves.
    pub service: ServiceName,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Its HTTP port.
    pub address: SocketAddr,
    /// The worker that it runs on, if the platform says.
    pub worker: Option<WorkerId>,
    /// True once it has been announced to leave.
    pub leaving: bool,
}

/// A worker as listed.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Its rack.
    pub rack: Rack,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Its HTTP port.
    pub address: SocketAddr,
    /// What it holds for tasks.
    pub capacity: Resources,
    /// True once it has been announced to leave.
    pub leaving: bool,
}

/// The instance list as last read.
#[derive(Debug, Default)]
pub struct Directory {
    /// Entry instances by id.
    pub entries: BTreeMap<InstanceId, ListedEntry>,
    /// Endpoints by id.
    pub endpoints: BTreeMap<EndpointId, ListedEndpoint>,
    /// Workers by id.
    pub workers: BTreeMap<WorkerId, ListedWorker>,
    /// When the list was last read; none before the first time.
    pub read_at: Option<Timestamp>,
    /// Grows each time that the list's contents change.
    pub generation: u64,
}

impl Directory {
    /// Takes a list read at `now` in place of the one before.
    pub fn replace(&mut self, now: Timestamp, instances: Vec<ListedInstance>) {
        let mut next = Self::default();
        for instance in instances {
            next.insert(instance);
        }
        let same = next.entries == self.entries
            && next.endpoints == self.endpoints
            && next.workers == self.workers;
        next.generation = self.generation + u64::from(!same);
        next.read_at = Some(now);
        *self = next;
    }

    fn insert(&mut self, instance: ListedInstance) {
        let ListedInstance {
            data_centre,
            address,
            leaving,
            role,
        } = instance;
        match role {
            Role::Entry { id } => {
                let entry = ListedEntry {
                    data_centre,
                    address,
                    leaving,
                };
                self.entries.insert(id, entry);
            }
            Role::Endpoint {
                id,
                service,
                worker,
            } => {
                let endpoint = ListedEndpoint {
                    service,
                    data_centre,
                    address,
                    worker,
                    leaving,
                };
                self.endpoints.insert(id, endpoint);
            }
            Role::Worker { id, rack, capacity } => {
                let worker = ListedWorker {
                    rack,
                    data_centre,
                    address,
                    capacity,
                    leaving,
                };
                self.workers.insert(id, worker);
            }
        }
    }
}
