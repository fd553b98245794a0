//! What one process is told at its start, checked.

use std::{collections::BTreeMap, fmt, net::SocketAddr};

use guavacart_types::{ByteSize, DataCentre, InstanceId, Span, TeamName};
use smol_str::SmolStr;

/// The settings of an entry instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This instance's id.
    pub instance: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Where callers and operators connect; port 0 takes a free one.
    pub callers: SocketAddr,
    /// Where peers connect, both UDP and TCP; port 0 takes a free one.
    pub peers: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// The platform's instance list.
    pub instance_list: SocketAddr,
    /// Limits of the callers' listener.
    pub limits: Limits,
    /// Who may do what.
    pub access: Access,
    /// How long a stopping instance goes on taking requests while the balancer learns of it.
    pub linger: Span,
    /// Where metrics are sent; none sends nothing.
    pub metrics: Option<SocketAddr>,
}

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest head of a request.
    pub head: ByteSize,
    /// Largest body of a request.
    pub body: ByteSize,
    /// Most connections at once.
    pub connections: u32,
    /// Longest time for a head to arrive.
    pub head_time: Span,
    /// Longest time for a body to arrive.
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

/// Who may do what.
#[derive(Clone, Debug, Default)]
pub struct Access {
    /// Key that entry instances share.
    pub peer_key: Secret,
    /// Token of each team.
    pub teams: BTreeMap<TeamName, Secret>,
    /// Token of operators who may only read.
    pub reader: Option<Secret>,
    /// Token of operators who may also submit patches.
    pub writer: Option<Secret>,
}

/// A text that is never printed.
#[derive(Clone, Default, Eq, PartialEq)]
pub struct Secret(SmolStr);

impl Secret {
    /// Wraps a text.
    pub fn new(text: &str) -> Self {
        Self(SmolStr::new(text))
    }

    /// The bytes to compare in constant time or to key a MAC with.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
