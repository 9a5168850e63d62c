//! Lines of a log that may repeat without end.

/// Lets so many lines of a kind through in a span of time, and counts the others.
#[derive(Debug)]
pub struct Seldom {
    span: u64,
    most: u32,
    begun: u64,
    passed: u32,
    left_out: u64,
}

impl Seldom {
    /// So many lines in so many ms.
    pub const fn new(most: u32, span: u64) -> Self {
        Self { span, most, begun: 0, passed: 0, left_out: 0 }
    }

    /// Whether a line may be written now, on the host's steady clock: how many were left out since the one before.
    pub fn pass(&mut self, now: u64) -> Option<u64> {
        if now >= self.begun.saturating_add(self.span) {
            (self.begun, self.passed) = (now, 0);
        }
        if self.passed >= self.most {
            self.left_out += 1;
            return None;
        }
        self.passed += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn repeats_are_counted_until_one_passes() {
        let mut seldom = Seldom::new(2, 1000);
        let passed: Vec<_> = [0, 1, 2, 999, 1000, 5000].map(|now| seldom.pass(now)).into();
        assert_eq!(passed, [Some(0), Some(0), None, None, Some(2), Some(0)]);
    }
}
