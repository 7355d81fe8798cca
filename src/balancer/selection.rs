//! Endpoint selection by the power of two choices: of two randomly sampled eligible endpoints, the one with
//! the lower load per capacity is selected.

use super::Balancer;
use super::hash::unit_hash;
use super::interface::RequestId;
use super::requests::ActiveRequest;
use super::retry::may_send;

impl Balancer {
    /// Selects an endpoint of a pool for a request; `None` if no endpoint is eligible.
    pub(super) fn select_endpoint(&mut self, id: RequestId, pool: usize) -> Option<usize> {
        let random = self.random.u64(..);
        let request = &self.requests[&id];
        let eligible = self.eligible_endpoints(request, pool);
        if let Some(probed) = eligible.iter().copied().find(|i| self.is_probe_pending(*i)) {
            return Some(probed);
        }
        // With key affinity, a request costs an endpoint less if it has recently served one with the same
        // key. The sampling is then seeded by the key instead of a random number, so that requests with the
        // same key get the same candidates.
        let seed = request.affinity_key.filter(|_| self.settings.key_affinity).unwrap_or(random);
        let candidates = self.sample_two(eligible, seed).into_iter();
        let loads = candidates.map(|i| (self.load(i, request.entry.class), i));
        loads.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, least_loaded)| least_loaded)
    }

    /// Returns the endpoints of a pool that a request may be sent to and that have capacity for it. If all
    /// members of the pool are ejected for the request's class, all ready endpoints are considered instead.
    /// If all of these are ejected for the class too, ejections for the class are ignored.
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
        // Ejections are ignored if more than half of the members are ejected: the few others would be
        // overloaded.
        let is_ejected = |i: &usize| self.table.endpoints[*i].outliers.is_ejected(self.now);
        let apply_ejections = members.iter().filter(|i| is_ejected(i)).count() * 2 <= members.len();
        let can_select = |i: &usize| self.is_eligible(*i, request) && !(apply_ejections && is_ejected(i));
        let mut eligible: Vec<usize> = members.iter().copied().filter(can_select).collect();
        // The idempotency scope may restrict a retry to endpoints that are all ejected for the class; the
        // retry may be sent to these.
        let ignore_class_ejections =
            all_class_ejected || !request.attempts.is_empty() && eligible.iter().all(is_class_ejected);
        eligible.retain(|i| ignore_class_ejections || !is_class_ejected(i));
        eligible
    }

    /// Returns whether a request may be sent to an endpoint and the endpoint has capacity for it.
    fn is_eligible(&self, i: usize, request: &ActiveRequest) -> bool {
        let endpoint = &self.table.endpoints[i];
        let id = endpoint.info.id;
        // During slow start, an endpoint is eligible for only a fraction of the requests of all nodes: half
        // of the load at which it fails, but at least its current capacity. One attempt from each node, or
        // all requests that spill over from its neighbours on the ring, would overload it.
        let slow_start = self.table.slow_start_factor(i, self.now, &self.settings);
        let eligible_fraction = slow_start * (self.settings.overload_multiple / 2.0).max(1.0);
        (endpoint.executing == 0 || f64::from(endpoint.executing) < self.capacity(i).ceil())
            && (eligible_fraction >= 1.0
                || self.is_probe_pending(i)
                || unit_hash(request.entry.id, id) <= eligible_fraction)
            && !request.in_flight().any(|attempt| attempt.endpoint.id == id && !attempt.stalled)
            && may_send(&self.settings, request, &endpoint.info, self.now)
    }

    /// Samples two endpoints, with a higher probability for endpoints with a larger selection weight and a
    /// lower latency ratio. If there are many nodes, most of them have no attempt executing at either
    /// endpoint, and the comparison of loads alone would send nearly all requests to the largest endpoint.
    ///
    /// The sample is taken by weighted rendezvous hashing: it consists of the two endpoints with the lowest
    /// scores.
    ///
    /// ```text
    /// score = -ln(unit_hash) * latency_ratio / selection_weight
    ///
    /// unit_hash          hash of the seed with the endpoint's id as the salt, from 0 to 1
    /// latency_ratio      median latency of the endpoint relative to that of all endpoints
    /// selection_weight   weight of the endpoint in this node's subset
    /// ```
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

    /// Returns whether an endpoint that has exited maintenance still has to be sent one request.
    fn is_probe_pending(&self, i: usize) -> bool {
        self.table.maintenance.is_probe_pending(self.table.endpoints[i].info.id)
    }

    /// Returns the members of a pool, or all ready endpoints if the pool is empty.
    pub(super) fn members(&self, pool: usize) -> &[usize] {
        let members = self.pools.get(pool).map(|pool| &pool.members[..]);
        members.filter(|members| !members.is_empty()).unwrap_or(&self.table.ready)
    }

    /// Returns the number of this node's attempts that an endpoint may execute at once: the node's share of
    /// the concurrency limit, scaled by the endpoint's size, slow start and speed.
    ///
    /// ```text
    /// capacity = limit / node_count * relative size * slow start / latency ratio
    ///
    /// limit           concurrency limit of an endpoint of mean size over all nodes, in attempts
    /// node_count      number of nodes, from the settings
    /// relative size   size of the endpoint relative to the mean of the ready endpoints
    /// slow start      fraction of its capacity that the endpoint has during slow start, else 1
    /// latency ratio   median latency of the endpoint relative to that of all endpoints
    /// ```
    fn capacity(&self, i: usize) -> f64 {
        let endpoint = &self.table.endpoints[i];
        let slow_start = self.table.slow_start_factor(i, self.now, &self.settings);
        let share = self.concurrency.per_node() * endpoint.relative_size;
        share * slow_start / endpoint.latency_ratio_at(self.now)
    }

    /// Returns whether less than this fraction of a pool's capacity is in use. Some attempts are always
    /// allowed:
    ///
    /// ```text
    /// always allowed = max(subset size * (1 - local load visibility), 1)
    ///
    /// subset size             number of endpoints in this node's subset of the pool
    /// local load visibility   how much of the load this node's own counts show, from 0 to 1
    /// ```
    ///
    /// A node whose own counts show little of the load may thus have one attempt executing for each endpoint
    /// of its subset. Its share of a concurrency limit that has not been learned yet would allow none.
    pub(super) fn has_capacity(&self, pool: usize, fraction: f64) -> bool {
        let members = self.members(pool);
        let executing = f64::from(members.iter().map(|i| self.table.endpoints[*i].executing).sum::<u32>());
        let hidden_load = 1.0 - self.concurrency.local_load_visibility();
        let always_allowed =
            self.pools.get(pool).map_or(1.0, |pool| (pool.subset_size * hidden_load).max(1.0));
        executing < always_allowed
            || executing < fraction * members.iter().map(|i| self.capacity(*i)).sum::<f64>()
    }

    /// Returns the load per capacity of an endpoint for a request of a class.
    ///
    /// ```text
    /// load = (executing + own + excess failures) / capacity
    ///
    /// executing         attempts of this node that the endpoint is executing
    /// own               1 for the request itself if this node's own counts show all of the load, else 0
    /// excess failures   recent failures of the endpoint beyond what is normal among its peers
    /// capacity          number of this node's attempts that the endpoint may execute at once
    /// ```
    ///
    /// Failures are included because an endpoint that fails quickly executes few attempts at once and would
    /// win every comparison. The request itself is included only where the node's own counts show all of the
    /// load: other nodes often have no attempt executing anywhere, and would send nearly all requests to the
    /// largest endpoint.
    fn load(&self, i: usize, class: usize) -> f64 {
        let endpoint = &self.table.endpoints[i];
        let own = f64::from(u8::from(self.concurrency.is_load_fully_visible()));
        let excess_failures = endpoint.outliers.excess_failures(class, self.now);
        (f64::from(endpoint.executing) + own + excess_failures) / self.capacity(i)
    }
}
