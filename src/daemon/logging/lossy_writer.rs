//! Writer of log lines that drops them instead of blocking on a slow or absent reader.

use std::{
    fmt::{self, Write as _},
    io,
    os::fd::AsFd,
    sync::{Mutex, PoisonError},
};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// Longest line, in bytes. A writable pipe accepts up to `PIPE_BUF` bytes at once (pipe(7)).
const MAX_LINE_LEN: usize = 4_096;

/// Writes lines while the output is writable; drops and counts them otherwise.
#[derive(Debug)]
pub(super) struct LossyWriter<W> {
    state: Mutex<State<W>>,
}

#[derive(Debug)]
struct State<W> {
    out: W,
    line: String,
    lost: u64,
}

impl<W: io::Write + AsFd> LossyWriter<W> {
    pub(super) fn new(out: W) -> LossyWriter<W> {
        LossyWriter { state: Mutex::new(State { out, line: String::new(), lost: 0 }) }
    }

    /// Writes one line, or drops and counts it when the output is not writable. The count of
    /// dropped lines is written before the next line.
    pub(super) fn write(&self, line: &fmt::Arguments<'_>) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let lost = state.lost;
        if lost > 0 && state.try_write(&format_args!("event=lines_lost count={lost}")) {
            state.lost = 0;
        }
        if state.lost > 0 || !state.try_write(line) {
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

    /// Writes the line if the output is writable; returns whether it was written.
    fn try_write(&mut self, line: &fmt::Arguments<'_>) -> bool {
        if !self.is_writable() {
            return false;
        }
        self.line.clear();
        // Writing to a string cannot fail.
        _ = self.line.write_fmt(*line);
        self.line.truncate(self.line.floor_char_boundary(MAX_LINE_LEN - 1));
        self.line.push('\n');
        self.out.write_all(self.line.as_bytes()).and_then(|()| self.out.flush()).is_ok()
    }
}
