//! The platform's lagging list of live and leaving boxes.

use crate::StoreError;
use crate::client::PlatformClient;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// What the platform says a box is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// It is there.
    Live,
    /// It is about to be taken away.
    Leaving,
}

/// One box, entry box or upstream, of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedBox {
    /// Its name.
    pub id: String,
    /// What it is doing.
    pub state: ListedState,
}

/// Reads the list.
#[derive(Clone, Debug)]
pub struct BoxList {
    client: PlatformClient,
}

impl BoxList {
    /// Reads from `address`, calling from `local`, waiting at most `timeout`.
    pub fn new(address: SocketAddr, local: Option<IpAddr>, timeout: Duration) -> Self {
        Self {
            client: PlatformClient::new(address, local, timeout),
        }
    }

    /// The list as it is now; it lags behind the truth.
    pub async fn read(&self) -> Result<Vec<ListedBox>, StoreError> {
        self.client.get("/v1/boxes").await
    }
}
