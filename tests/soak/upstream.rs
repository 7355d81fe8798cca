//! The endpoints of the soak.

use std::sync::Arc;
use std::time::Duration;

use crate::judge::Judge;
use crate::plan::Plan;
use crate::support::*;

/// Starts the endpoint of this number, which answers as the plan of each request says.
pub fn start_endpoint(seed: u64, number: usize, judge: &Arc<Judge>) -> ScriptedEndpoint {
    let judge = judge.clone();
    ScriptedEndpoint::new(move |_, request| {
        let plan = plan_of(seed, request);
        let told = request.header("req-deadline").unwrap().parse().unwrap();
        judge.on_execution(&plan, number, Duration::from_secs_f64(told));
        plan.reply()
    })
}

/// Returns the plan that a request follows.
fn plan_of(seed: u64, request: &Message) -> Plan {
    let id = request.header("req-id").unwrap();
    // The first eight digits are the seed.
    Plan::new(seed, u64::from_str_radix(&id[8..], 16).unwrap())
}
