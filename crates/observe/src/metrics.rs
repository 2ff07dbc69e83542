//! Counters, gauges and timings in StatsD form.

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Prefix of every metric.
const PREFIX: &str = "brasswinch";

/// Metrics that wait to be sent; more are dropped.
const QUEUE: usize = 4_096;

/// Sends metrics, or drops them where no address is set.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Drops every metric.
    pub fn disabled() -> Self {
        Self {
            client: StatsdClient::from_sink(PREFIX, NopMetricSink),
        }
    }

    /// Sends to `address` over UDP.
    pub fn to_address(address: SocketAddr) -> std::io::Result<Self> {
        let any: SocketAddr = if address.is_ipv4() {
            ([0, 0, 0, 0], 0).into()
        } else {
            (std::net::Ipv6Addr::UNSPECIFIED, 0).into()
        };
        let socket = UdpSocket::bind(any)?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, QUEUE);
        Ok(Self {
            client: StatsdClient::from_sink(PREFIX, sink),
        })
    }

    /// Counts one request by its outcome.
    pub fn count_request(&self, workspace: &str, service: &str, outcome: &str) {
        self.client
            .count_with_tags("requests", 1)
            .with_tag("workspace", workspace)
            .with_tag("service", service)
            .with_tag("outcome", outcome)
            .send();
    }

    /// Notes how long a request took.
    pub fn time_request(&self, workspace: &str, class: &str, took: Duration) {
        self.client
            .time_with_tags("request_time", took)
            .with_tag("workspace", workspace)
            .with_tag("class", class)
            .send();
    }

    /// Notes slots of a service by state.
    pub fn gauge_slots(&self, service: &str, state: &str, count: u32) {
        self.client
            .gauge_with_tags("slots", u64::from(count))
            .with_tag("service", service)
            .with_tag("state", state)
            .send();
    }
}
