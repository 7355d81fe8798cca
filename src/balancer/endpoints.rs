//! The endpoint table: what lists say of endpoints, what was learned of them, and which are ready.

use std::collections::BTreeMap;

use super::decay::{DECAY_TIME_US, DecayingCounter};
use super::interface::{EndpointId, EndpointInfo, EndpointState, Settings, Timestamp, whole_micros};
use super::latency::LatencyRatio;
use super::maintenance::Maintenance;
use super::outliers::{EndpointOutliers, FailureKind};

/// One endpoint and what this node knows of it.
pub(super) struct Endpoint {
    /// Its entry in the last list that named it.
    pub(super) info: EndpointInfo,
    /// Size against the mean of the ready endpoints.
    pub(super) relative_size: f64,
    /// The part of that size which falls to this node's subset; where none does, a little of it by the
    /// distance to the subset.
    pub(super) selection_weight: f64,
    /// Attempts of this node that it is executing.
    pub(super) in_flight: u32,
    /// When this node last sent it an attempt; the clock's start for never.
    pub(super) last_sent: Timestamp,
    pub(super) outliers: EndpointOutliers,
    pub(super) latency_ratio: LatencyRatio,
}

impl Endpoint {
    /// One of which nothing is known but its entry in the list.
    fn new(info: EndpointInfo, class_count: usize) -> Endpoint {
        Endpoint {
            info,
            relative_size: 0.0,
            selection_weight: 0.0,
            in_flight: 0,
            last_sent: Timestamp::default(),
            outliers: EndpointOutliers::new(class_count),
            latency_ratio: LatencyRatio(1.0),
        }
    }

    /// The latency ratio; 1 after a time without attempts, so that a slow endpoint is tried again.
    pub(super) fn latency_ratio_at(&self, now: Timestamp) -> f64 {
        if now.micros_since(self.last_sent) < DECAY_TIME_US { self.latency_ratio.0 } else { 1.0 }
    }
}

/// All endpoints, in the order of their ids.
#[derive(Default)]
pub(super) struct EndpointTable {
    pub(super) endpoints: Vec<Endpoint>,
    /// Indices of those that take new requests.
    pub(super) ready: Vec<usize>,
    pub(super) maintenance: Maintenance,
    /// The largest weight seen of each machine type: that of an idle machine.
    machine_type_sizes: BTreeMap<u8, f64>,
}

impl EndpointTable {
    /// The index of an endpoint, or where it would be inserted.
    pub(super) fn find(&self, id: EndpointId) -> Result<usize, usize> {
        self.endpoints.binary_search_by_key(&id, |endpoint| endpoint.info.id)
    }

    /// The endpoint of this id, if it is known.
    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.find(id).ok().map(|i| &mut self.endpoints[i])
    }

    /// Takes in a list, complete or of changes; returns whether any endpoint came, went or changed its state.
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
                // A restarted endpoint keeps its id, but nothing learned of it holds any more.
                Ok(i) => self.reset_learned_state(i, info, class_count),
            }
        }
        self.endpoints
            .retain(|endpoint| endpoint.info.state != EndpointState::Gone || endpoint.in_flight > 0);
        states(&self.endpoints) != before
    }

    /// Keeps of an endpoint only what holds after its restart too.
    pub(super) fn reset_learned_state(&mut self, i: usize, info: EndpointInfo, class_count: usize) {
        let Endpoint { relative_size, selection_weight, in_flight, .. } = self.endpoints[i];
        let fresh = Endpoint::new(info, class_count);
        self.endpoints[i] = Endpoint { relative_size, selection_weight, in_flight, ..fresh };
    }

    /// Finds out anew which endpoints are ready, and their sizes.
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

    /// The size that lists state. A weight that falls with load is old, and the same at all nodes: by it all
    /// of them would crowd what was idle a while ago. There the largest weight seen of the machine type is
    /// the size.
    fn listed_size(&self, i: usize, settings: &Settings) -> f64 {
        let info = &self.endpoints[i].info;
        match self.machine_type_sizes.get(&info.machine_type) {
            Some(size) if settings.load_dependent_weights => *size,
            _ => info.weight,
        }
    }

    /// The part of its capacity that an endpoint surely has: it grows evenly from `slow_start_from` at its
    /// start to 1 at the end of `slow_start_window`.
    pub(super) fn slow_start_factor(&self, i: usize, now: Timestamp, settings: &Settings) -> f64 {
        let started_at = self.maintenance.started_at(&self.endpoints[i].info);
        let long_ago = started_at == Timestamp::default();
        let age_us = if long_ago { u64::MAX as f64 } else { now.micros_since(started_at) };
        let warmed_up = (age_us / whole_micros(settings.slow_start_window).max(1) as f64).min(1.0);
        settings.slow_start_from + (1.0 - settings.slow_start_from) * warmed_up
    }

    /// Counts a failure at an endpoint, and what is normal among these peers, by default the ready endpoints.
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
        let baseline = kind.baseline(peers.iter().map(recent).collect());
        for peer in peers {
            let counter = DecayingCounter::starting_with(baseline, now);
            endpoints[*peer].outliers.detector(kind).baseline = counter;
        }
        endpoints[i].outliers.detector(kind).eject(now);
    }
}
