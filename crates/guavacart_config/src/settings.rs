//! The validated settings that an entry instance reads at its start.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use guavacart_types::{ByteSize, DataCentre, InstanceId, Span, TeamName};
use smol_str::SmolStr;

/// The settings of an entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id of this instance; unique in the deployment.
    pub instance: InstanceId,
    /// Data centre in which this instance runs.
    pub data_centre: DataCentre,
    /// Address of the listener for callers and operators; port 0 selects a free port.
    pub callers: SocketAddr,
    /// Address of the listeners for peers, both UDP and TCP; port 0 selects a free port.
    pub peers: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's instance list.
    pub instance_list: SocketAddr,
    /// Limits of the listener for callers and operators.
    pub limits: Limits,
    /// Secrets that peers, callers and operators authenticate with.
    pub access: Access,
    /// How long a stopping instance continues to accept requests, so that the load balancer can
    /// detect that it is stopping.
    pub linger: Span,
    /// Address to which metrics are sent; `None` sends no metrics.
    pub metrics: Option<SocketAddr>,
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a request's head: the request line and headers.
    pub head: ByteSize,
    /// Maximum size of a request's body.
    pub body: ByteSize,
    /// Maximum number of concurrent connections.
    pub connections: u32,
    /// Maximum time in which the whole head must arrive.
    pub head_time: Span,
    /// Maximum time in which the whole body must arrive.
    pub body_time: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: ByteSize::kib(16),
            body: ByteSize::mib(1),
            connections: 2_000,
            head_time: Span::secs(5),
            body_time: Span::secs(10),
        }
    }
}

/// Secrets that peers, callers and operators authenticate with.
#[derive(Clone, Debug, Default)]
pub struct Access {
    /// Key that all entry instances share to authenticate each other.
    pub peer_key: Secret,
    /// Token of each team; empty if callers need no token.
    pub teams: BTreeMap<TeamName, Secret>,
    /// Token of operators who may only read.
    pub reader: Option<Secret>,
    /// Token of operators who may also submit patches.
    pub writer: Option<Secret>,
}

/// A secret string. `Debug` does not print its contents.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct Secret(SmolStr);

impl Secret {
    /// Creates a secret from a string.
    pub fn new(text: &str) -> Self {
        Self(SmolStr::new(text))
    }

    /// Returns the bytes of the secret. Compare them in constant time, or use them as the key of a
    /// MAC.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
