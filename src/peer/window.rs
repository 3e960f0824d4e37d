//! Replay windows, which track the received datagrams of a sender.

/// Number of sequence numbers in the window, including the highest one.
const WIDTH: u64 = 128;

/// The sliding replay window of one sender (RFC 4303, section 3.4.3).
#[derive(Debug)]
pub(crate) struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Bit `n` represents the sequence number `highest - n`.
    seen: u128,
}

impl ReplayWindow {
    /// Creates a window from the first datagram received from a sender.
    pub(crate) fn new(incarnation: u64, sequence: u64) -> ReplayWindow {
        ReplayWindow { incarnation, highest: sequence, seen: 1 }
    }

    /// Marks a datagram as received; returns whether it is new and within the window.
    pub(crate) fn accept(&mut self, incarnation: u64, sequence: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = ReplayWindow::new(incarnation, sequence);
            return true;
        }
        if sequence > self.highest {
            let shift = sequence - self.highest;
            self.seen = if shift < WIDTH { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        let bit = 1u128.checked_shl(age.min(WIDTH) as u32).unwrap_or(0);
        let new = bit != 0 && self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
