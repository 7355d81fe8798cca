//! Applies what operators have ordered to this process, whichever process of the node got the command.

use std::rc::Rc;

use mothspool::Timestamp;

use crate::clock::WallClock;
use crate::engine::EngineHandle;
use crate::lifecycle::Lifecycle;
use crate::protocol::endpoint_list::endpoint_id;
use crate::state_store::{AdminState, StateObserver};

/// Applies the state of the node to the lifecycle and the engine of this process.
pub struct StateApplier {
    lifecycle: Rc<Lifecycle>,
    engine: EngineHandle,
    wall_clock: Rc<WallClock>,
}

impl StateApplier {
    /// Creates an applier for a process to which nothing was applied yet.
    pub fn new(lifecycle: Rc<Lifecycle>, engine: EngineHandle, wall_clock: Rc<WallClock>) -> StateApplier {
        StateApplier { lifecycle, engine, wall_clock }
    }
}

impl StateObserver for StateApplier {
    fn on_state_change(&self, previous: &AdminState, current: &AdminState) {
        tracing::info!(
            standby = current.standby,
            in_maintenance = current.maintenance.len(),
            "operators' state applied"
        );
        self.lifecycle.set_standby(current.standby);
        for (uid, exited_at) in &current.exited_at {
            if previous.exited_at.get(uid) != Some(exited_at) {
                let exited_at = self.wall_clock.local_time(Timestamp::from_micros(*exited_at));
                self.engine.exit_maintenance(endpoint_id(uid), exited_at);
            }
        }
        for uid in &current.maintenance {
            self.engine.enter_maintenance(endpoint_id(uid));
        }
    }
}
