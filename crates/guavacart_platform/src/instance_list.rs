//! The platform's instance list.

use std::{net::SocketAddr, time::Duration};

use guavacart_scheduler::directory::{ListedInstance, Role};
use guavacart_types::{IdError, Resources};
use minreq::Method;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::{
    plain_http::{CallError, NOT_MODIFIED, Outgoing, call, unexpected},
    traffic::Traffic,
};

/// Why the list could not be read.
#[derive(Clone, Debug, Error)]
pub enum InstanceListError {
    /// The list was not reached or no whole answer came.
    #[error("the instance list at {address} did not answer: {cause}; the last list stays in use")]
    NoAnswer {
        /// Where the list was asked for.
        address: SocketAddr,
        /// What became of the call.
        cause: SmolStr,
    },
    /// The answer is not a list of instances.
    #[error("the instance list at {address} is malformed: {cause}; the last list stays in use")]
    Malformed {
        /// Where the list was asked for.
        address: SocketAddr,
        /// What is wrong with it.
        cause: SmolStr,
    },
    /// A line holds an id that is not one.
    #[error("the instance list names {address}: {source}")]
    Id {
        /// The listed instance's address.
        address: SocketAddr,
        /// What is wrong with the id.
        source: IdError,
    },
}

/// Names the contents of a list, as the platform does.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListTag(SmolStr);

/// What a read of the list brought.
#[derive(Clone, Debug, PartialEq)]
pub enum Listing {
    /// The whole list, and its tag if the platform names one.
    Whole(Vec<ListedInstance>, Option<ListTag>),
    /// The list is still the known one.
    Unchanged,
}

/// The platform's instance list; calls block.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the list as the platform sees it, seconds late, unless it is still the `known` one.
    fn read(&self, known: Option<&ListTag>) -> Result<Listing, InstanceListError>;
}

/// Client of the instance list over HTTP/1.1.
#[derive(Clone, Debug)]
pub struct HttpInstanceList {
    address: SocketAddr,
    timeout: Duration,
    traffic: Traffic,
}

/// One line of the list as it travels.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedInstanceWire {
    /// Where it runs.
    pub data_centre: SmolStr,
    /// Where it is reached.
    pub address: SocketAddr,
    /// True once the platform has announced that it leaves.
    pub leaving: bool,
    /// What it is.
    pub role: RoleWire,
}

/// What a listed instance is, as it travels.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RoleWire {
    /// An entry instance.
    Entry {
        /// Its id.
        id: SmolStr,
    },
    /// An endpoint of a service.
    Endpoint {
        /// Its id.
        id: SmolStr,
        /// Its service.
        service: SmolStr,
        /// The worker that it runs on.
        worker: Option<SmolStr>,
    },
    /// A worker.
    Worker {
        /// Its id.
        id: SmolStr,
        /// Its rack.
        rack: SmolStr,
        /// What it holds for tasks.
        capacity: Resources,
    },
}

impl HttpInstanceList {
    /// Speaks to the list at `address`; a read ends within `timeout`, in whole seconds.
    pub fn open(address: SocketAddr, timeout: Duration) -> Self {
        let traffic = Traffic::default();
        Self {
            address,
            timeout,
            traffic,
        }
    }

    /// What its reads have carried, those of its clones included.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    fn no_answer(&self, err: CallError) -> InstanceListError {
        let (CallError::Unavailable(cause) | CallError::Unknown(cause)) = err;
        let address = self.address;
        InstanceListError::NoAnswer { address, cause }
    }
}

impl InstanceList for HttpInstanceList {
    fn read(&self, known: Option<&ListTag>) -> Result<Listing, InstanceListError> {
        let url = format!("http://{}/v1/instances", self.address);
        let mut req = Outgoing::bodiless(Method::Get, url);
        if let Some(ListTag(tag)) = known {
            req = req.with_header("If-None-Match", tag);
        }
        let res = call(req, self.timeout, &self.traffic).map_err(|err| self.no_answer(err))?;
        if res.status_code == NOT_MODIFIED && known.is_some() {
            return Ok(Listing::Unchanged);
        }
        if res.status_code != 200 {
            return Err(self.no_answer(unexpected(&res)));
        }
        let lines: Vec<ListedInstanceWire> =
            serde_json::from_slice(res.as_bytes()).map_err(|err| InstanceListError::Malformed {
                address: self.address,
                cause: format_smolstr!("{err}"),
            })?;
        let listed: Result<Vec<_>, _> = lines.into_iter().map(ListedInstance::try_from).collect();
        let tag = res.header("etag").map(|tag| ListTag(tag.into()));
        Ok(Listing::Whole(listed?, tag))
    }
}

impl TryFrom<ListedInstanceWire> for ListedInstance {
    type Error = InstanceListError;

    fn try_from(line: ListedInstanceWire) -> Result<Self, InstanceListError> {
        let address = line.address;
        let err = |source| InstanceListError::Id { address, source };
        Ok(Self {
            data_centre: line.data_centre.try_into().map_err(err)?,
            address,
            leaving: line.leaving,
            role: line.role.try_into().map_err(err)?,
        })
    }
}

impl TryFrom<RoleWire> for Role {
    type Error = IdError;

    fn try_from(role: RoleWire) -> Result<Self, IdError> {
        Ok(match role {
            RoleWire::Entry { id } => Self::Entry { id: id.try_into()? },
            RoleWire::Endpoint {
                id,
                service,
                worker,
            } => Self::Endpoint {
                id: id.try_into()?,
                service: service.try_into()?,
                worker: worker.map(TryInto::try_into).transpose()?,
            },
            RoleWire::Worker { id, rack, capacity } => Self::Worker {
                id: id.try_into()?,
                rack: rack.try_into()?,
                capacity,
            },
        })
    }
}
