//! Log lines on a standard output whose reader may be slow or gone.

use std::{
    fmt::{self, Write as _},
    io,
    os::fd::AsFd,
    sync::{Mutex, PoisonError},
};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// Longest line, in bytes: what a pipe takes at once when it takes anything (pipe(7), `PIPE_BUF`).
const LINE_LEN: usize = 4_096;

/// Writes lines as long as their reader takes them, and counts the others.
#[derive(Debug)]
pub(super) struct Lines<W> {
    state: Mutex<State<W>>,
}

#[derive(Debug)]
struct State<W> {
    out: W,
    line: String,
    lost: u64,
}

impl<W: io::Write + AsFd> Lines<W> {
    /// Returns a sink that writes to `out`.
    pub(super) fn new(out: W) -> Lines<W> {
        Lines { state: Mutex::new(State { out, line: String::new(), lost: 0 }) }
    }

    /// Writes one line, or counts it as lost where the reader is behind; the next line that is
    /// written comes after one with the count.
    pub(super) fn write(&self, line: &fmt::Arguments<'_>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let lost = state.lost;
        if lost > 0 && state.put(&format_args!("event=lines_lost count={lost}")) {
            state.lost = 0;
        }
        if state.lost > 0 || !state.put(line) {
            state.lost += 1;
        }
    }
}

impl<W: io::Write + AsFd> State<W> {
    fn is_writable(&self) -> bool {
        let mut fds = [PollFd::new(self.out.as_fd(), PollFlags::POLLOUT)];
        let ready = poll(&mut fds, PollTimeout::ZERO).is_ok_and(|count| count > 0);
        ready && fds[0].revents().is_some_and(|seen| seen.contains(PollFlags::POLLOUT))
    }

    /// Returns whether the line was written.
    fn put(&mut self, line: &fmt::Arguments<'_>) -> bool {
        if !self.is_writable() {
            return false;
        }
        self.line.clear();
        // A string takes whatever is written to it.
        _ = self.line.write_fmt(*line);
        self.line.truncate(self.line.floor_char_boundary(LINE_LEN - 1));
        self.line.push('\n');
        self.out.write_all(self.line.as_bytes()).and_then(|()| self.out.flush()).is_ok()
    }
}
