//! Labels, pools and subsets: which endpoints a tenant's requests go to, and which of these this node
//! prefers.
//!
//! Tenants are hashed to a few labels, each with a pool of its own, so that one tenant's trouble leaves
//! others alone. Of many nodes each prefers a subset of a pool (deterministic subsetting): it meets those
//! endpoints often enough for its own counts to tell of them, and for connections to last.

use std::cmp::Reverse;

use super::endpoints::EndpointTable;
use super::hash::hash;
use super::interface::{Settings, Tenant};

/// Labels that tenants are hashed to; few, so that pools keep capacity.
pub(super) const LABEL_COUNT: usize = 2;
/// Salts that are tried for the hash of tenants to labels.
const LABEL_SALT_COUNT: u64 = 64;
/// The least endpoints in a label's pool while there are enough.
const MIN_POOL_SIZE: usize = 4;
/// How many nodes' subsets an endpoint of mean size is in.
const NODES_PER_ENDPOINT: f64 = 6.0;
/// The golden ratio's fraction: its multiples are spread evenly over the ring however many there are.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// What a subset can't take goes to so many subsets' lengths behind it on the ring, then to as many behind
/// those.
const SUBSETS_PER_SPILLOVER_STEP: f64 = 4.0;
/// The factor of the selection weight with each of these steps.
const SPILLOVER_WEIGHT_FACTOR: f64 = 1e-3;
/// The most steps that count: far out the order does not matter, but a weight must not vanish.
const MAX_SPILLOVER_STEPS: f64 = 60.0;

/// The endpoints of one label, or those without.
pub(super) struct Pool {
    /// Indices in the endpoint table.
    pub(super) members: Vec<usize>,
    /// Endpoints in this node's subset.
    pub(super) subset_size: f64,
}

/// The label of a tenant.
fn tenant_label(tenant: u64, salt: u64) -> usize {
    (hash(tenant, salt) % LABEL_COUNT as u64) as usize
}

/// The part of the service that the tenants of a label have a right to.
fn service_share(tenants: &[Tenant], label: usize, salt: u64) -> f64 {
    let of_label = tenants.iter().enumerate().filter(|(i, _)| tenant_label(*i as u64, salt) == label);
    of_label.map(|(_, tenant)| tenant.service_share).sum()
}

/// Of a few salts, the one that spreads the tenants' parts of the service most evenly over the labels.
pub(super) fn choose_label_salt(tenants: &[Tenant]) -> u64 {
    let largest = |salt: &u64| (0..LABEL_COUNT).map(|l| service_share(tenants, l, *salt)).fold(0.0, f64::max);
    (0..LABEL_SALT_COUNT).min_by(|a, b| largest(a).total_cmp(&largest(b))).unwrap_or(0)
}

/// The pool of a tenant's requests; without a tenant that of the unlabelled endpoints.
pub(super) fn pool_of(tenant: Option<u32>, salt: u64) -> usize {
    tenant.map_or(LABEL_COUNT, |tenant| tenant_label(tenant.into(), salt))
}

/// Builds the pools of all labels and, last, that of the unlabelled endpoints. Each label in turn takes the
/// ready endpoints that rank highest for it (rendezvous hashing: a change of the list moves few). Its pool's
/// size follows its tenants' part of the service, and what no tenant has a part of stays unlabelled.
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

/// Cuts this node's subset of a pool. The members lie on a ring by size, and the nodes' subsets, equal arcs
/// of it, start at even distances, whichever nodes are up: each endpoint gets its part of the work from the
/// subsets that overlap it. What goes elsewhere goes to the same few again, on connections that exist.
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
