//! Metrics by `cadence` over UDP, in the statsd form.

use std::{
    net::{SocketAddr, UdpSocket},
    sync::Arc,
};

use cadence::{
    BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed,
};
use guavacart_types::{InstanceId, Outcome, ServiceName, Span};

/// First part of each metric's name.
const PREFIX: &str = "guavacart";

/// Sends metrics, or drops them where no receiver is set.
#[derive(Clone, Debug)]
pub(crate) struct Metrics(Arc<StatsdClient>);

impl Metrics {
    /// Metrics of `instance`, sent to `receiver`.
    ///
    /// # Errors
    /// Returns the system's error if no UDP socket can be had.
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

    pub(crate) fn count(&self, name: &str) {
        // A metric that is not sent is lost, as any datagram may be.
        let _ = self.0.count(name, 1_i64);
    }

    pub(crate) fn gauge(&self, name: &str, value: u64) {
        let _ = self.0.gauge(name, value);
    }

    pub(crate) fn request(&self, service: &ServiceName, outcome: Outcome, took: Span) {
        let _ = self
            .0
            .time_with_tags("requests.ms", took.0)
            .with_tag("service", service.as_str())
            .with_tag("outcome", outcome.header())
            .try_send();
    }
}
