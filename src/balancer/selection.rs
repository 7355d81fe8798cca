//! Selection of an endpoint: of two random ones that fit, the one with less load per capacity.

use super::Balancer;
use super::hash::unit_hash;
use super::interface::RequestId;
use super::requests::ActiveRequest;
use super::retry::may_send;

impl Balancer {
    /// Selects an endpoint of a pool for a request.
    pub(super) fn select_endpoint(&mut self, id: RequestId, pool: usize) -> Option<usize> {
        let random = self.random.u64(..);
        let request = &self.requests[&id];
        let eligible = self.eligible_endpoints(request, pool);
        if let Some(probed) = eligible.iter().copied().find(|i| self.probe_pending(*i)) {
            return Some(probed);
        }
        // Where endpoints serve keys better that they met lately, the key draws in place of chance.
        let seed = request.affinity_key.filter(|_| self.settings.key_affinity).unwrap_or(random);
        let candidates = self.sample_two(eligible, seed).into_iter();
        let loads = candidates.map(|i| (self.load(i, request.entry.class), i));
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, least_loaded)| least_loaded)
    }

    /// The endpoints of a pool that may be sent a request and have capacity. A pool whose members all err on
    /// the request's class counts as empty for it.
    fn eligible_endpoints(&self, request: &ActiveRequest, pool: usize) -> Vec<usize> {
        let is_class_ejected =
            |i: &usize| self.table.endpoints[*i].outliers.is_ejected_for_class(request.entry.class, self.now);
        let all_class_ejected = self.table.ready.iter().all(is_class_ejected);
        let pool_members = self.members(pool);
        let members = if all_class_ejected || !pool_members.iter().all(is_class_ejected) {
            pool_members
        } else {
            &self.table.ready
        };
        // Where most are ejected, the few others would be crowded: then none counts as ejected.
        let is_ejected = |i: &usize| self.table.endpoints[*i].outliers.is_ejected(self.now);
        let apply_ejections = members.iter().filter(|i| is_ejected(i)).count() * 2 <= members.len();
        let can_select = |i: &usize| self.is_eligible(*i, request) && !(apply_ejections && is_ejected(i));
        let mut eligible: Vec<usize> = members.iter().copied().filter(can_select).collect();
        // A retry may be tied to endpoints that all err.
        let ignore_class_ejections =
            all_class_ejected || !request.attempts.is_empty() && eligible.iter().all(is_class_ejected);
        eligible.retain(|i| ignore_class_ejections || !is_class_ejected(i));
        eligible
    }

    /// Whether an endpoint may be sent a request and has capacity for it.
    fn is_eligible(&self, i: usize, request: &ActiveRequest) -> bool {
        let endpoint = &self.table.endpoints[i];
        let id = endpoint.info.id;
        // One that is warming up is in reach of few of all nodes' requests, half of what it bears: one
        // attempt from each node, or all that its neighbours can't take, would overload it.
        let slow_start = self.table.slow_start_factor(i, self.now, &self.settings);
        let eligible_fraction = slow_start * (self.settings.overload_multiple / 2.0).max(1.0);
        (endpoint.in_flight == 0 || f64::from(endpoint.in_flight) < self.capacity(i).ceil())
            && (eligible_fraction >= 1.0
                || self.probe_pending(i)
                || unit_hash(request.entry.id, id) <= eligible_fraction)
            && !request.in_flight().any(|attempt| attempt.endpoint.id == id)
            && may_send(&self.settings, request, &endpoint.info, self.now)
    }

    /// Draws two endpoints, each as likely as it has capacity: most nodes have nothing in flight at either,
    /// and the comparison of loads alone would send nearly all to the largest. Weighted rendezvous hashing:
    /// the two least of `-ln(unit_hash) * latency_ratio / selection_weight`.
    fn sample_two(&self, eligible: Vec<usize>, seed: u64) -> Vec<usize> {
        let score = |i: usize| {
            let endpoint = &self.table.endpoints[i];
            let ratio = endpoint.latency_ratio_at(self.now);
            -unit_hash(seed, endpoint.info.id).ln() * ratio / endpoint.selection_weight
        };
        let mut ranked: Vec<(f64, usize)> = eligible.into_iter().map(|i| (score(i), i)).collect();
        if let Some(last) = ranked.len().checked_sub(1) {
            ranked.select_nth_unstable_by(last.min(1), |a, b| a.0.total_cmp(&b.0));
        }
        ranked.into_iter().take(2).map(|(_, i)| i).collect()
    }

    /// Whether an endpoint is owed one request after its return from maintenance.
    fn probe_pending(&self, i: usize) -> bool {
        self.table.maintenance.probe_pending(self.table.endpoints[i].info.id)
    }

    /// A pool's members; for an empty pool all ready endpoints.
    pub(super) fn members(&self, pool: usize) -> &[usize] {
        let members = self.pools.get(pool).map(|pool| &pool.members[..]);
        members.filter(|members| !members.is_empty()).unwrap_or(&self.table.ready)
    }

    /// Attempts that this node may have in flight at an endpoint: its part of the limit, by the endpoint's
    /// size, slow start and speed. `limit / node_count * relative size * slow start / latency ratio`.
    fn capacity(&self, i: usize) -> f64 {
        let endpoint = &self.table.endpoints[i];
        let slow_start = self.table.slow_start_factor(i, self.now, &self.settings);
        let share = self.concurrency.per_node() * endpoint.relative_size;
        share * slow_start / endpoint.latency_ratio_at(self.now)
    }

    /// Whether less than this part of a pool's capacity is filled. One attempt always fits, and at a node
    /// that sees little of the load one for each endpoint of its subset: its part of a limit that is not
    /// learned yet would be none.
    pub(super) fn has_capacity(&self, pool: usize, fraction: f64) -> bool {
        let members = self.members(pool);
        let in_flight = f64::from(members.iter().map(|i| self.table.endpoints[*i].in_flight).sum::<u32>());
        let hidden_load = 1.0 - self.concurrency.local_load_visibility();
        let always_allowed =
            self.pools.get(pool).map_or(1.0, |pool| (pool.subset_size * hidden_load).max(1.0));
        in_flight < always_allowed
            || in_flight < fraction * members.iter().map(|i| self.capacity(*i)).sum::<f64>()
    }

    /// Load per capacity: `(in flight + own + excess failures) / capacity`. Failures count, as an endpoint
    /// that errs quickly has little in flight and would win every comparison. The request itself counts
    /// (`own`) where a node sees the load; elsewhere, with nothing in flight anywhere, it would send nearly
    /// all to the largest.
    fn load(&self, i: usize, class: usize) -> f64 {
        let endpoint = &self.table.endpoints[i];
        let own = f64::from(u8::from(self.concurrency.is_load_fully_visible()));
        let excess_failures = endpoint.outliers.excess_failures(class, self.now);
        (f64::from(endpoint.in_flight) + own + excess_failures) / self.capacity(i)
    }
}
