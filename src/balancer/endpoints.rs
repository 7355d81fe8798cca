//! The endpoint table: what discovery reports about endpoints, what was learned about them, and which are
//! ready.

use std::collections::BTreeMap;

use super::decay::{DECAY_TIME_US, DecayingCounter};
use super::interface::{EndpointId, EndpointInfo, EndpointState, Settings, Timestamp, whole_micros};
use super::latency::LatencyRatio;
use super::maintenance::Maintenance;
use super::outliers::{EndpointOutliers, FailureKind};

/// An endpoint and what this node knows about it.
pub(super) struct Endpoint {
    /// Entry of the endpoint in the last snapshot or delta that contained it.
    pub(super) info: EndpointInfo,
    /// Size relative to the mean size of the ready endpoints; 1 if its size is unknown.
    pub(super) relative_size: f64,
    /// The share of the relative size that lies in this node's subset. Outside of the subset, a small
    /// fraction of the relative size that decreases with the distance from the subset.
    pub(super) selection_weight: f64,
    /// Number of this node's attempts that the endpoint is executing.
    pub(super) executing: u32,
    /// When this node last sent an attempt to the endpoint; the start of the clock if it never did.
    pub(super) last_sent_at: Timestamp,
    pub(super) outliers: EndpointOutliers,
    pub(super) latency_ratio: LatencyRatio,
}

impl Endpoint {
    /// Returns an endpoint of which only the entry in the endpoint list is known.
    fn new(info: EndpointInfo, class_count: usize) -> Endpoint {
        Endpoint {
            info,
            relative_size: 0.0,
            selection_weight: 0.0,
            executing: 0,
            last_sent_at: Timestamp::default(),
            outliers: EndpointOutliers::new(class_count),
            latency_ratio: LatencyRatio(1.0),
        }
    }

    /// Returns the latency ratio; 1 after [`DECAY_TIME_US`] without attempts, so that a slow endpoint is
    /// tried again.
    pub(super) fn latency_ratio_at(&self, now: Timestamp) -> f64 {
        if now.micros_since(self.last_sent_at) < DECAY_TIME_US { self.latency_ratio.0 } else { 1.0 }
    }
}

/// All known endpoints.
#[derive(Default)]
pub(super) struct EndpointTable {
    /// Sorted by id.
    pub(super) endpoints: Vec<Endpoint>,
    /// Indices of the endpoints that get new requests: those listed as ready that are not in maintenance.
    pub(super) ready: Vec<usize>,
    pub(super) maintenance: Maintenance,
    /// Largest weight seen for each machine type, which is the weight of an idle machine.
    machine_type_sizes: BTreeMap<u8, f64>,
}

impl EndpointTable {
    /// Returns the index of an endpoint, or the index at which it would be inserted as the error.
    pub(super) fn find(&self, id: EndpointId) -> Result<usize, usize> {
        self.endpoints.binary_search_by_key(&id, |endpoint| endpoint.info.id)
    }

    /// Returns the endpoint with this id, if it is known.
    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.find(id).ok().map(|i| &mut self.endpoints[i])
    }

    /// Applies a snapshot (`complete`) or a delta of the endpoint list. Returns whether any endpoint was
    /// added, was removed or changed its state.
    pub(super) fn update(&mut self, list: Vec<EndpointInfo>, complete: bool, class_count: usize) -> bool {
        let states = |of: &[Endpoint]| of.iter().map(|e| (e.info.id, e.info.state)).collect::<Vec<_>>();
        let before = states(&self.endpoints);
        if complete {
            self.endpoints.iter_mut().for_each(|endpoint| endpoint.info.state = EndpointState::Gone);
        }
        for info in list {
            let largest = self.machine_type_sizes.entry(info.machine_type).or_insert(info.weight);
            *largest = largest.max(info.weight);
            match self.find(info.id) {
                Err(i) => self.endpoints.insert(i, Endpoint::new(info, class_count)),
                Ok(i) if self.endpoints[i].info.started_at == info.started_at => {
                    self.endpoints[i].info = info;
                }
                // A restarted endpoint keeps its id, but what was learned about it is no longer valid.
                Ok(i) => self.reset_learned_state(i, info, class_count),
            }
        }
        self.endpoints
            .retain(|endpoint| endpoint.info.state != EndpointState::Gone || endpoint.executing > 0);
        states(&self.endpoints) != before
    }

    /// Resets what was learned about an endpoint, and keeps only what is still valid after its restart.
    pub(super) fn reset_learned_state(&mut self, i: usize, info: EndpointInfo, class_count: usize) {
        let Endpoint { relative_size, selection_weight, executing, .. } = self.endpoints[i];
        let fresh = Endpoint::new(info, class_count);
        self.endpoints[i] = Endpoint { relative_size, selection_weight, executing, ..fresh };
    }

    /// Recomputes which endpoints are ready, and their relative sizes.
    pub(super) fn refresh_ready(&mut self, settings: &Settings) {
        let is_ready = |i: &usize| {
            let info = &self.endpoints[*i].info;
            info.state == EndpointState::Ready && !self.maintenance.in_maintenance.contains(&info.id)
        };
        self.ready = (0..self.endpoints.len()).filter(is_ready).collect();
        let sizes: Vec<f64> = self.ready.iter().map(|i| self.listed_size(*i, settings)).collect();
        let mean = sizes.iter().sum::<f64>() / sizes.len().max(1) as f64;
        for (i, size) in self.ready.iter().zip(sizes) {
            self.endpoints[*i].relative_size = if size > 0.0 { size / mean } else { 1.0 };
        }
    }

    /// Returns the size of an endpoint according to the endpoint list: its weight, or the largest weight seen
    /// for its machine type if weights depend on load. Load-dependent weights are outdated and the same at
    /// all nodes: if all nodes selected by them, they would overload the endpoints that had been idle before.
    fn listed_size(&self, i: usize, settings: &Settings) -> f64 {
        let info = &self.endpoints[i].info;
        match self.machine_type_sizes.get(&info.machine_type) {
            Some(size) if settings.load_dependent_weights => *size,
            _ => info.weight,
        }
    }

    /// Returns the fraction of its capacity that an endpoint has for certain. It grows linearly from
    /// `slow_start_from` at the endpoint's start to 1 at the end of `slow_start_window`.
    ///
    /// ```text
    /// slow start factor = slow_start_from + (1 - slow_start_from) * min(age / slow_start_window, 1)
    ///
    /// age                 time since the endpoint's start, in microseconds; infinite if that is unknown
    /// slow_start_window   maximum duration of the slow start, in microseconds
    /// ```
    pub(super) fn slow_start_factor(&self, i: usize, now: Timestamp, settings: &Settings) -> f64 {
        let started_at = self.maintenance.started_at(&self.endpoints[i].info);
        let long_ago = started_at == Timestamp::default();
        let age_us = if long_ago { u64::MAX as f64 } else { now.micros_since(started_at) };
        let progress = (age_us / whole_micros(settings.slow_start_window).max(1) as f64).min(1.0);
        settings.slow_start_from + (1.0 - settings.slow_start_from) * progress
    }

    /// Counts a failure at an endpoint, updates the number of failures that is normal among its peers, which
    /// are the ready endpoints by default, and ejects the endpoint.
    pub(super) fn record_failure(
        &mut self,
        i: usize,
        peers: Option<&[usize]>,
        kind: FailureKind,
        now: Timestamp,
    ) {
        let peers = peers.unwrap_or(&self.ready);
        let endpoints = &mut self.endpoints;
        endpoints[i].outliers.detector(kind).recent.add(now, 1.0);
        let recent = |peer: &usize| endpoints[*peer].outliers.detector(kind).recent.value_at(now);
        let normal_failures = kind.normal_failures(peers.iter().map(recent).collect());
        for peer in peers {
            let counter = DecayingCounter::starting_with(normal_failures, now);
            endpoints[*peer].outliers.detector(kind).normal_failures = counter;
        }
        endpoints[i].outliers.detector(kind).eject(now);
    }
}
