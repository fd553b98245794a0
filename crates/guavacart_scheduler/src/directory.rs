//! The platform's instance list as last read. The list lags behind the actual state of instances.

use std::{collections::BTreeMap, net::SocketAddr};

use guavacart_types::{
    DataCentre, EndpointId, InstanceId, Rack, Resources, ServiceName, Timestamp, WorkerId,
};
use serde::{Deserialize, Serialize};

/// One entry of the platform's instance list.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedInstance {
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// The address for peers (UDP and TCP) of an entry instance; the HTTP address of the others.
    pub address: SocketAddr,
    /// True once the platform has announced that the instance is leaving.
    pub leaving: bool,
    /// The instance's role, with its id.
    pub role: Role,
}

/// The role of a listed instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// An entry instance of guavacart.
    Entry {
        /// The id in the list.
        id: InstanceId,
    },
    /// An endpoint of a service.
    Endpoint {
        /// The id in the list.
        id: EndpointId,
        /// The service whose requests it serves.
        service: ServiceName,
        /// The worker it runs on, if the platform reports one.
        worker: Option<WorkerId>,
    },
    /// A worker.
    Worker {
        /// The id in the list.
        id: WorkerId,
        /// The rack it is in.
        rack: Rack,
        /// The resources it offers to tasks.
        capacity: Resources,
    },
}

/// An entry instance in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEntry {
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// The address for peers, both UDP and TCP.
    pub address: SocketAddr,
    /// True once the platform has announced that it is leaving.
    pub leaving: bool,
}

/// A service endpoint in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// The service whose requests it serves.
    pub service: ServiceName,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// The worker it runs on, if the platform reports one.
    pub worker: Option<WorkerId>,
    /// True once the platform has announced that it is leaving.
    pub leaving: bool,
}

/// A worker in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// The rack it is in.
    pub rack: Rack,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// The resources it offers to tasks.
    pub capacity: Resources,
    /// True once the platform has announced that it is leaving.
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
    /// When the list was last read; `None` before the first read.
    pub read_at: Option<Timestamp>,
    /// Incremented each time the contents of the list change.
    pub generation: u64,
}

impl Directory {
    /// Replaces the contents by a list read at `now`.
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
