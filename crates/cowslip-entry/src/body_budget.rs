//! Memory that a process uses for the bodies of requests.
//!
//! All bodies share one budget, from their first byte until their request has ended. A body may hold at most as much as it
//! leaves to the others, so that something is always left for the next one. When a body does not fit, others
//! that are still being read and are slow are abandoned for it, the slowest first; without such ones it is refused. It
//! responds to the load of bodies alone: with memory left, a body may be as slow as its request's time allows.

use cowslip_units::ClockTime;

/// Time in ms for which a body is read before it can count as slow.
const MIN_READ_MS: u64 = 1_000;

/// A body of which nothing arrived for this many ms is slow.
const STALL_MS: u64 = 500;

/// Bytes a second below which a body is slow.
const MIN_BYTES_PER_S: u64 = 64 << 10;

/// Identifies a body in the budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyTicket(u64);

/// Whether a body may grow.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct BodyGrant {
    /// False when there is no memory for it, or it has been abandoned.
    pub is_granted: bool,
    /// Bodies that are abandoned for it.
    pub abandoned: Vec<BodyTicket>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct BodyRecord {
    ticket: BodyTicket,
    bytes: usize,
    begun_at: ClockTime,
    grown_at: ClockTime,
    is_complete: bool,
}

impl BodyRecord {
    fn bytes_per_s(&self, now: ClockTime) -> u64 {
        let bytes = u64::try_from(self.bytes).unwrap_or(u64::MAX);
        bytes.saturating_mul(1_000) / now.since_ms(self.begun_at).max(1)
    }

    fn is_slow(&self, now: ClockTime) -> bool {
        let is_stalled = now.since_ms(self.grown_at) >= STALL_MS;
        !self.is_complete
            && now.since_ms(self.begun_at) >= MIN_READ_MS
            && (is_stalled || self.bytes_per_s(now) < MIN_BYTES_PER_S)
    }
}

/// Bodies in memory and what they hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BodyBudget {
    max_bytes: usize,
    used_bytes: usize,
    next_ticket: u64,
    /// Sorted by ticket.
    bodies: Vec<BodyRecord>,
}

impl BodyBudget {
    /// An unused budget.
    pub const fn new(max_bytes: usize) -> Self {
        Self { max_bytes, used_bytes: 0, next_ticket: 0, bodies: Vec::new() }
    }

    /// Registers a body of which nothing is read yet.
    pub fn begin(&mut self, now: ClockTime) -> BodyTicket {
        let ticket = BodyTicket(self.next_ticket);
        self.next_ticket += 1;
        self.bodies.push(BodyRecord { ticket, bytes: 0, begun_at: now, grown_at: now, is_complete: false });
        ticket
    }

    /// Changes the size of a body that is being read.
    pub fn resize(&mut self, ticket: BodyTicket, bytes: usize, now: ClockTime) -> BodyGrant {
        let Ok(at) = self.position(ticket) else { return BodyGrant::default() };
        let held = self.bodies.get(at).map_or(0, |body| body.bytes);
        let mut abandoned = Vec::new();
        while !self.fits(held, bytes) {
            let Some(slowest) = self.slowest(Some(ticket), now) else {
                return BodyGrant { is_granted: false, abandoned };
            };
            self.end(slowest);
            abandoned.push(slowest);
        }
        if let Ok(at) = self.position(ticket)
            && let Some(body) = self.bodies.get_mut(at)
        {
            self.used_bytes = self.used_bytes - held + bytes;
            body.bytes = bytes;
        }
        BodyGrant { is_granted: true, abandoned }
    }

    /// Records that bytes of a body have arrived.
    pub fn record_progress(&mut self, ticket: BodyTicket, now: ClockTime) {
        if let Ok(at) = self.position(ticket)
            && let Some(body) = self.bodies.get_mut(at)
        {
            body.grown_at = now;
        }
    }

    /// Records that a body is whole; it is no longer abandoned.
    pub fn complete(&mut self, ticket: BodyTicket) {
        if let Ok(at) = self.position(ticket)
            && let Some(body) = self.bodies.get_mut(at)
        {
            body.is_complete = true;
        }
    }

    /// Removes a body; does nothing for one that has been abandoned.
    pub fn end(&mut self, ticket: BodyTicket) {
        if let Ok(at) = self.position(ticket) {
            let body = self.bodies.remove(at);
            self.used_bytes -= body.bytes;
        }
    }

    /// Abandons the slowest of the slow bodies, to free its connection.
    pub fn abandon_slowest(&mut self, now: ClockTime) -> Option<BodyTicket> {
        let slowest = self.slowest(None, now)?;
        self.end(slowest);
        Some(slowest)
    }

    /// Bytes in use.
    pub const fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn position(&self, ticket: BodyTicket) -> Result<usize, usize> {
        self.bodies.binary_search_by_key(&ticket, |body| body.ticket)
    }

    fn fits(&self, held: usize, bytes: usize) -> bool {
        let others = self.used_bytes.saturating_sub(held);
        bytes <= held || bytes <= self.max_bytes.saturating_sub(others) / 2
    }

    fn slowest(&self, except: Option<BodyTicket>, now: ClockTime) -> Option<BodyTicket> {
        let others = self.bodies.iter().filter(|body| Some(body.ticket) != except);
        let slow = others.filter(|body| body.is_slow(now));
        slow.min_by_key(|body| (body.bytes_per_s(now), body.begun_at, body.ticket)).map(|body| body.ticket)
    }
}
