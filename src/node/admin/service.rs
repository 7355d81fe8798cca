//! Executes commands of operators.

use std::rc::Rc;
use std::time::Duration;

use hyper::StatusCode;
use tokio::time::sleep;

use super::commands::{Command, CommandError};
use super::responses::{AdminResponse, NodeStatus, status_response};
use crate::clock::WallClock;
use crate::engine::EngineHandle;
use crate::lifecycle::Lifecycle;
use crate::log::ErrorChain;
use crate::protocol::endpoint_list::endpoint_id;
use crate::state_store::{AdminState, StateStore};

/// How long a response is delayed to let the other process of the node apply the new state: two times
/// [`crate::state_store::POLL_INTERVAL`], and 20 ms for processing.
const PROPAGATION_DELAY: Duration = Duration::from_millis(120);

/// Executes the commands of operators.
pub struct AdminService {
    store: Rc<StateStore>,
    lifecycle: Rc<Lifecycle>,
    engine: EngineHandle,
    wall_clock: Rc<WallClock>,
}

impl AdminService {
    /// Creates a service that changes the state in `store`, which applies it.
    pub fn new(
        store: Rc<StateStore>,
        lifecycle: Rc<Lifecycle>,
        engine: EngineHandle,
        wall_clock: Rc<WallClock>,
    ) -> AdminService {
        AdminService { store, lifecycle, engine, wall_clock }
    }

    /// Executes a command. If it changes the state, returns once all processes have had time to apply it.
    pub async fn execute(&self, command: Command) -> Result<AdminResponse, CommandError> {
        match command {
            Command::Status => return Ok(self.report_status()),
            Command::EnterStandby => self.update(|state| state.standby = true).await?,
            Command::ExitStandby => self.update(|state| state.standby = false).await?,
            Command::EnterMaintenance { uid } => {
                self.check_known(&uid)?;
                self.update(|state| state.enter_maintenance(uid)).await?;
            }
            Command::ExitMaintenance { uid } => {
                self.check_known(&uid)?;
                let now = self.wall_clock.unix_time();
                self.update(|state| state.exit_maintenance(&uid, now)).await?;
            }
        }
        Ok(status_response(StatusCode::OK, &self.node_status()))
    }

    /// Changes the state, and returns once all processes have had time to apply it.
    async fn update(&self, change: impl FnOnce(&mut AdminState)) -> Result<(), CommandError> {
        if let Err(error) = self.store.update(change).await {
            tracing::warn!(
                "admin command not executed, standby and maintenance are unchanged: {}",
                ErrorChain(&error)
            );
            return Err(CommandError::StateNotWritten(error));
        }
        sleep(PROPAGATION_DELAY).await;
        Ok(())
    }

    /// Checks that the endpoint is known. An endpoint in maintenance is accepted even if discovery has named
    /// it only to an earlier process.
    fn check_known(&self, uid: &str) -> Result<(), CommandError> {
        if self.store.state().maintenance.contains(uid) || self.engine.is_known(endpoint_id(uid)) {
            Ok(())
        } else {
            Err(CommandError::UnknownEndpoint)
        }
    }

    fn report_status(&self) -> AdminResponse {
        let status = if self.lifecycle.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        status_response(status, &self.node_status())
    }

    fn node_status(&self) -> NodeStatus {
        NodeStatus {
            phase: self.lifecycle.phase_name(),
            ready: self.lifecycle.is_ready(),
            maintenance: self.store.state().maintenance,
        }
    }
}
