//! Labels, pools and subsets: which endpoints a tenant's requests go to, and which of these this node
//! prefers.
//!
//! Tenants are hashed to a few labels, each with its own pool, which isolates the tenants of one label from
//! problems that those of another cause. If there are many nodes, each prefers a subset of a pool
//! (deterministic subsetting). It sends requests to these endpoints often enough for its own counts to
//! reflect their state, and for connections to be reused.

use std::cmp::Reverse;

use super::endpoints::EndpointTable;
use super::hash::hash;
use super::interface::{Settings, Tenant};

/// Number of labels that tenants are hashed to. It is small so that each pool has enough capacity.
pub(super) const LABEL_COUNT: usize = 2;
/// Number of salts that are tried for the hash of tenants to labels.
const LABEL_SALT_COUNT: u64 = 64;
/// Minimum number of endpoints in a label's pool if there are enough endpoints.
const MIN_POOL_SIZE: usize = 4;
/// Mean number of nodes whose subsets contain a given point of a pool's ring of endpoints.
const NODES_PER_ENDPOINT: f64 = 6.0;
/// Fractional part of the golden ratio. Its multiples are evenly spread over the ring, whatever their number.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Length of a spillover step, in subset lengths. Requests that a subset has no capacity for spill over to
/// the endpoints of the first step after the subset on the ring, then to those of the next step, and so on.
const SUBSETS_PER_SPILLOVER_STEP: f64 = 4.0;
/// Factor that is applied to the selection weight for each spillover step.
const SPILLOVER_WEIGHT_FACTOR: f64 = 1e-3;
/// Maximum number of spillover steps that reduce a weight. The order of the endpoints beyond them does not
/// matter, but a weight must not become 0.
const MAX_SPILLOVER_STEPS: f64 = 60.0;

/// The endpoints of one label, or those without a label.
pub(super) struct Pool {
    /// Indices in the endpoint table.
    pub(super) members: Vec<usize>,
    /// Number of endpoints in this node's subset if all members had the same size, rounded up.
    pub(super) subset_size: f64,
}

/// Returns the label of a tenant.
fn tenant_label(tenant: u64, salt: u64) -> usize {
    (hash(tenant, salt) % LABEL_COUNT as u64) as usize
}

/// Returns the share of the service that the tenants of a label are entitled to.
fn service_share(tenants: &[Tenant], label: usize, salt: u64) -> f64 {
    let of_label = tenants.iter().enumerate().filter(|(i, _)| tenant_label(*i as u64, salt) == label);
    of_label.map(|(_, tenant)| tenant.service_share).sum()
}

/// Chooses the salt that spreads the tenants' shares of the service most evenly over the labels: the one with
/// the smallest share of the largest label.
pub(super) fn choose_label_salt(tenants: &[Tenant]) -> u64 {
    let largest = |salt: &u64| (0..LABEL_COUNT).map(|l| service_share(tenants, l, *salt)).fold(0.0, f64::max);
    (0..LABEL_SALT_COUNT).min_by(|a, b| largest(a).total_cmp(&largest(b))).unwrap_or(0)
}

/// Returns the index of the pool for a tenant's requests; without a tenant, that of the unlabelled endpoints.
pub(super) fn pool_of(tenant: Option<u32>, salt: u64) -> usize {
    tenant.map_or(LABEL_COUNT, |tenant| tenant_label(tenant.into(), salt))
}

/// Builds the pools of all labels and, as the last one, that of the unlabelled endpoints.
///
/// Each label in turn gets the remaining ready endpoints that rank highest for it by rendezvous hashing, so
/// that a change of the endpoint list moves few endpoints. The size of its pool follows its tenants' share of
/// the service:
///
/// ```text
/// target size = round(ready endpoints * min(total share, 1)) - assigned endpoints
///
/// total share          share of the service of this label's and all earlier labels' tenants
/// assigned endpoints   endpoints in the pools of earlier labels
/// ```
///
/// A pool has at least [`MIN_POOL_SIZE`] endpoints while enough are left. Endpoints beyond the shares of all
/// tenants stay unlabelled.
pub(super) fn build_pools(table: &mut EndpointTable, settings: &Settings, salt: u64) -> Vec<Pool> {
    table.refresh_ready(settings);
    let ready = table.ready.len();
    let (mut unassigned, mut total_share, mut pools) = (table.ready.clone(), 0.0, Vec::new());
    for label in 0..LABEL_COUNT {
        total_share += service_share(&settings.tenants, label, salt);
        let assigned = ready - unassigned.len();
        let target_size = ((ready as f64 * total_share.min(1.0)).round() as usize).saturating_sub(assigned);
        let reserved_for_later = MIN_POOL_SIZE * (LABEL_COUNT - 1 - label);
        let available =
            unassigned.len().saturating_sub(reserved_for_later).max(MIN_POOL_SIZE).min(unassigned.len());
        unassigned.sort_by_key(|i| Reverse(hash(label as u64, table.endpoints[*i].info.id)));
        let rest = unassigned.split_off(target_size.max(MIN_POOL_SIZE).min(available));
        pools.push(std::mem::replace(&mut unassigned, rest));
    }
    unassigned.sort();
    pools.push(unassigned);
    pools.into_iter().map(|members| assign_subset(members, table, settings)).collect()
}

/// Assigns this node's subset of a pool by setting the selection weights of the pool's members.
///
/// Each member occupies an arc of a ring, as long as its relative size. The nodes' subsets are arcs of equal
/// length that start at evenly spread positions, whichever nodes are up, so that each endpoint gets its share
/// of the work from the subsets that overlap it. Requests beyond the subset spill over to the same few
/// endpoints each time, on connections that are already open.
///
/// ```text
/// subset fraction  = min(NODES_PER_ENDPOINT / node count, 1)
/// subset           = from start to start + subset fraction * ring length
/// start            = fractional part of (node index * GOLDEN_RATIO_FRACTION) * ring length
/// spillover steps  = floor(distance / (subset fraction * ring length * SUBSETS_PER_SPILLOVER_STEP))
/// spillover        = relative size
///                    * SPILLOVER_WEIGHT_FACTOR ^ (1 + min(spillover steps, MAX_SPILLOVER_STEPS))
/// selection weight = max(overlap, spillover)
///
/// node count    number of nodes, from the settings
/// node index    index of this node among them, from 0
/// ring length   sum of the members' relative sizes
/// distance      distance along the ring from the end of the subset to the start of the member's arc
/// overlap       length of the member's arc that lies in the subset
/// ```
fn assign_subset(members: Vec<usize>, table: &mut EndpointTable, settings: &Settings) -> Pool {
    let ring_length: f64 = members.iter().map(|i| table.endpoints[*i].relative_size).sum();
    let subset_fraction = (NODES_PER_ENDPOINT / f64::from(settings.node_count)).min(1.0);
    let start = (f64::from(settings.node_index) * GOLDEN_RATIO_FRACTION).fract() * ring_length;
    let end = start + ring_length * subset_fraction;
    let mut position = 0.0;
    for i in &members {
        let size = table.endpoints[*i].relative_size;
        let overlap = |from: f64| ((from + size).min(end) - from.max(start)).max(0.0);
        let spillover_steps = ((position - end).rem_euclid(ring_length)
            / (ring_length * subset_fraction * SUBSETS_PER_SPILLOVER_STEP))
            .floor();
        let spillover = size * SPILLOVER_WEIGHT_FACTOR.powf(1.0 + spillover_steps.min(MAX_SPILLOVER_STEPS));
        table.endpoints[*i].selection_weight =
            (overlap(position) + overlap(position + ring_length)).max(spillover);
        position += size;
    }
    Pool { subset_size: (members.len() as f64 * subset_fraction).ceil(), members }
}
