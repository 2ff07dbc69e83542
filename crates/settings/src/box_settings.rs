//! The file that each daemon is started with.

use crate::{LimitSettings, LoanSettings, PeerSettings, PlatformSettings};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Settings of one entry box.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BoxSettings {
    /// Name of this box; a replaced box gets a new one.
    pub id: String,
    /// Availability zone it stands in; one of the deployment's.
    pub zone: String,
    /// Address for callers. Port 0 takes a free one.
    pub caller_address: SocketAddr,
    /// Address for other boxes. Port 0 takes a free one.
    pub peer_address: SocketAddr,
    /// Address for operators. Port 0 takes a free one.
    pub admin_address: SocketAddr,
    /// Address that callers are told, where it differs; empty tells the real one.
    pub advertised_caller_address: String,
    /// Address that peers are told, where it differs; empty tells the real one.
    pub advertised_peer_address: String,
    /// Address that metrics are sent to in StatsD form; empty sends none.
    pub metrics_address: String,
    /// Path of the deployment's file, relative to this file.
    pub deployment: String,
    /// Threads that carry traffic; 0 takes one for each core.
    pub traffic_threads: usize,
    /// The platform's store and list.
    pub platform: PlatformSettings,
    /// Links to other boxes.
    pub peers: PeerSettings,
    /// Lending between the boxes of a zone.
    pub loans: LoanSettings,
    /// Limits on callers.
    pub limits: LimitSettings,
}

impl Default for BoxSettings {
    fn default() -> Self {
        Self {
            id: String::new(),
            zone: String::new(),
            caller_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            admin_address: SocketAddr::from(([127, 0, 0, 1], 0)),
            advertised_caller_address: String::new(),
            advertised_peer_address: String::new(),
            metrics_address: String::new(),
            deployment: "deployment.yaml".into(),
            traffic_threads: 0,
            platform: PlatformSettings::default(),
            peers: PeerSettings::default(),
            loans: LoanSettings::default(),
            limits: LimitSettings::default(),
        }
    }
}
