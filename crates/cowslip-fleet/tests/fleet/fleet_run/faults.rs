//! Faults of nodes, links and the store.

use rand::Rng;

use super::run_event::Event;
use super::{FleetRun, NodeWork};

impl<W: NodeWork> FleetRun<W> {
    pub(super) fn fault(&mut self) {
        let at = self.rng.random_range(0..self.nodes.len());
        let until = self.now + self.rng.random_range(300..9_000);
        match self.rng.random_range(0..8) {
            0 => self.nodes[at].paused_until = until,
            1 | 6 if self.nodes[at].alive => {
                self.nodes[at].alive = false;
                let down = self.rng.random_range(100..4_000);
                self.after(down, Event::Boot(at));
            }
            2 => self.store_down = (self.now, until),
            3 => self.nodes[at].store_cut_until = until,
            4 => {
                let without_store = self.rng.random_ratio(2, 3);
                self.partition(until, without_store);
            }
            5 => self.nodes[at].slow_until = until,
            _ => {}
        }
    }

    /// Partitions the nodes into two groups; the operators are in the first one.
    pub(super) fn partition(&mut self, until: u64, without_store: bool) {
        self.partitioned_until = until;
        for node in &mut self.nodes {
            node.in_second_group = self.rng.random();
            if node.in_second_group && without_store {
                node.store_cut_until = until;
            }
        }
    }
}
