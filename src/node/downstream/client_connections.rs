//! The downstream server as the life cycle drives it.

use super::DownstreamServer;
use crate::lifecycle::ClientConnections;

impl ClientConnections for DownstreamServer {
    fn share_descriptors(&self, shared: bool) {
        self.share_descriptors(shared);
    }

    fn exceeds_limit(&self) -> bool {
        self.exceeds_limit()
    }

    async fn drain(&self) {
        self.drain().await;
    }
}
