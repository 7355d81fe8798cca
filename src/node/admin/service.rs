//! Executes commands of operators, and applies those that another process of the node has received.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use hyper::StatusCode;
use mothspool::Timestamp;
use tokio::time::sleep;

use super::commands::{Command, CommandError};
use super::responses::{AdminResponse, NodeStatus, status_response};
use crate::engine::EngineHandle;
use crate::lifecycle::Lifecycle;
use crate::log::ErrorChain;
use crate::protocol::endpoint_list::endpoint_id;
use crate::state_store::{AdminState, StateStore};

/// How long a response is delayed to let the other process of the node apply the new state: two times
/// [`crate::state_store::POLL_INTERVAL`], and 20 ms for processing.
const PROPAGATION_DELAY: Duration = Duration::from_millis(120);

/// Executes the commands of operators, and applies the resulting state to this process.
pub struct AdminService {
    store: Rc<StateStore>,
    /// The state that was last applied to the lifecycle and the engine.
    applied: RefCell<AdminState>,
    lifecycle: Rc<Lifecycle>,
    engine: EngineHandle,
}

impl AdminService {
    /// Creates a service for the state in `store`, and applies this state.
    pub fn new(store: Rc<StateStore>, lifecycle: Rc<Lifecycle>, engine: EngineHandle) -> AdminService {
        let service = AdminService { store, applied: RefCell::default(), lifecycle, engine };
        service.reconcile();
        service
    }

    /// Applies the state that was last read or written to the lifecycle and the engine.
    pub fn reconcile(&self) {
        let state = self.store.state();
        let applied = self.applied.replace(state.clone());
        self.lifecycle.set_standby(state.standby);
        for (uid, exited_at) in &state.exited_at {
            if applied.exited_at.get(uid) != Some(exited_at) {
                self.engine.exit_maintenance(endpoint_id(uid), Timestamp::from_micros(*exited_at));
            }
        }
        for uid in &state.maintenance {
            self.engine.enter_maintenance(endpoint_id(uid));
        }
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
                self.update(|state| state.exit_maintenance(&uid, unix_time())).await?;
            }
        }
        Ok(status_response(StatusCode::OK, &self.node_status()))
    }

    /// Changes the state, and returns once all processes have had time to apply it.
    async fn update(&self, change: impl FnOnce(&mut AdminState)) -> Result<(), CommandError> {
        if let Err(error) = self.store.update(change).await {
            log!("admin command not executed, standby and maintenance are unchanged: {}", ErrorChain(&error));
            return Err(CommandError::StateNotWritten(error));
        }
        self.reconcile();
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

/// Returns the current Unix time.
fn unix_time() -> Timestamp {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Timestamp::from_micros(now.as_micros() as u64)
}
