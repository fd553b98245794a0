//! Metrics in the statsd format, sent over UDP by `cadence`.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};
use guavacart_types::{InstanceId, Outcome, ServiceName, Span};

/// Prefix of each metric's name.
const PREFIX: &str = "guavacart";

/// Sends metrics, or drops them if no receiver is set; clones share the sender.
#[derive(Clone, Debug)]
pub(crate) struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Creates a sender that tags its metrics with `instance` and sends them to `receiver`.
    ///
    /// # Errors
    /// Returns the system's error if no UDP socket can be opened.
    pub(crate) fn open(
        instance: &InstanceId,
        receiver: Option<SocketAddr>,
    ) -> Result<Self, std::io::Error> {
        let builder = match receiver {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(receiver) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.set_nonblocking(true)?;
                let sink =
                    BufferedUdpMetricSink::from(receiver, socket).map_err(std::io::Error::other)?;
                StatsdClient::builder(PREFIX, QueuingMetricSink::from(sink))
            }
        };
        let client = builder.with_tag("instance", instance.as_str()).build();
        Ok(Self(Arc::new(client)))
    }

    /// Adds one to the counter `name`.
    pub(crate) fn count(&self, name: &str) {
        // A failure is ignored, since any datagram may be lost.
        let _ = self.0.count(name, 1_i64);
    }

    /// Sets the gauge `name`.
    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.0.gauge(name, value);
    }

    /// Records a request with its outcome and the time from its arrival to its answer.
    pub(crate) fn request(&self, service: &ServiceName, outcome: Outcome, elapsed: Span) {
        let _ = self
            .0
            .time_with_tags("requests.ms", elapsed.0)
            .with_tag("service", service.as_str())
            .with_tag("outcome", outcome.header())
            .try_send();
    }
}
