//! Numbers of calls that wait for a reply of another control VM.

/// Numbers the calls of one start of the process.
///
/// The first number is drawn at random: a reply to a call of an earlier start may still be under way,
/// and must not pass for the reply to another call.
#[derive(Debug)]
pub(super) struct Tickets(u64);

impl Tickets {
    /// Creates the numbers of a start of the process.
    pub(super) fn new() -> Tickets {
        Tickets(rand::random())
    }

    /// Returns a number that was not used before.
    pub(super) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(1);
        self.0
    }
}
