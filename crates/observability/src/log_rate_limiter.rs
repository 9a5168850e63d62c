//! Rate limit for log lines whose cause may persist, such as a failing backend.

/// Allows a maximum number of lines per time window and counts the suppressed ones.
#[derive(Debug)]
pub struct LogRateLimiter {
    window_ms: u64,
    max_lines: u32,
    window_start: u64,
    lines_in_window: u32,
    left_out: u64,
}

impl LogRateLimiter {
    /// Allows `max_lines` lines in each window of `window_ms` milliseconds.
    pub const fn new(max_lines: u32, window_ms: u64) -> Self {
        Self { window_ms, max_lines, window_start: 0, lines_in_window: 0, left_out: 0 }
    }

    /// Whether a line may be written at `now`, in milliseconds of the host's monotonic clock. `Some` holds the number
    /// of lines suppressed since the last allowed one.
    pub fn try_acquire(&mut self, now: u64) -> Option<u64> {
        if now >= self.window_start.saturating_add(self.window_ms) {
            (self.window_start, self.lines_in_window) = (now, 0);
        }
        if self.lines_in_window >= self.max_lines {
            self.left_out += 1;
            return None;
        }
        self.lines_in_window += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn suppressed_lines_are_counted_until_the_next_allowed_line() {
        let mut limiter = LogRateLimiter::new(2, 1000);
        let results: Vec<_> = [0, 1, 2, 999, 1000, 5000].map(|now| limiter.try_acquire(now)).into();
        assert_eq!(results, [Some(0), Some(0), None, None, Some(2), Some(0)]);
    }
}
