//! Runs many balancers in one process, one for each node of the simulator.

use std::collections::BTreeMap;
use std::io::{Read, Write};

use crate::balancer::{Action, Balancer, Event, Settings, Timestamp};
use crate::simulator::decode::{Decoder, Record};
use crate::simulator::encode::Reply;
use crate::simulator::error::HostError;
use crate::simulator::frames::read_frame;

/// Reads batches until the input ends, and writes a reply to each.
pub fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut frame = Vec::new();
    while read_frame(&mut input, &mut frame)? {
        output.write_all(&host.handle_batch(&frame)?)?;
        output.flush()?;
    }
    Ok(())
}

/// A running node of the simulator.
struct Node {
    balancer: Balancer,
    /// Whether the settings have tenants. If they have none, the tenant of a request has no meaning.
    has_tenants: bool,
}

/// The nodes of the simulator that run in this process, by number.
#[derive(Default)]
pub struct Host {
    decoder: Decoder,
    nodes: BTreeMap<u16, Node>,
    reply: Reply,
    /// Actions of the event that is being handled. It is empty between events.
    actions: Vec<Action>,
}

impl Host {
    /// Handles the batch in a frame without its length, and returns the frame of the reply.
    pub fn handle_batch(&mut self, frame: &[u8]) -> Result<Vec<u8>, HostError> {
        let batch = self.decoder.decode_batch(frame)?;
        self.reply.clear();
        let mut current_node = 0;
        for record in batch.records {
            match record {
                Record::Node(number) => current_node = number,
                Record::Launch(seed, settings) => self.launch(current_node, seed, *settings)?,
                Record::Crash => drop(self.nodes.remove(&current_node)),
                Record::Event(event) => self.handle_event(current_node, batch.now, event),
            }
        }
        Ok(self.reply.to_frame(batch.number))
    }

    fn launch(&mut self, number: u16, seed: u64, settings: Settings) -> Result<(), HostError> {
        let has_tenants = !settings.tenants.is_empty();
        let balancer = Balancer::new(settings, seed)?;
        self.nodes.insert(number, Node { balancer, has_tenants });
        Ok(())
    }

    /// Passes an event to its node, if the node is running, and adds the resulting actions to the reply.
    fn handle_event(&mut self, number: u16, now: Timestamp, mut event: Event) {
        let Some(node) = self.nodes.get_mut(&number) else {
            return;
        };
        if let Event::RequestArrived(request) = &mut event {
            request.tenant = request.tenant.filter(|_| node.has_tenants);
        }
        node.balancer.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.reply.push(number, action);
        }
    }
}
