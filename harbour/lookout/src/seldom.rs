//! Lines of a log that may repeat without end.

/// Lets one line of a kind through in a span of time, and counts the others.
#[derive(Debug)]
pub struct Seldom {
    span: u64,
    next: u64,
    left_out: u64,
}

impl Seldom {
    /// One line in so many ms.
    pub const fn new(span: u64) -> Self {
        Self { span, next: 0, left_out: 0 }
    }

    /// Whether a line may be written now, on the host's steady clock: how many were left out since the one before.
    pub fn pass(&mut self, now: u64) -> Option<u64> {
        if now < self.next {
            self.left_out += 1;
            return None;
        }
        self.next = now + self.span;
        Some(std::mem::take(&mut self.left_out))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn repeats_are_counted_until_one_passes() {
        let mut seldom = Seldom::new(1000);
        let passed: Vec<_> = [0, 1, 999, 1000, 5000].map(|now| seldom.pass(now)).into();
        assert_eq!(passed, [Some(0), None, None, Some(2), Some(0)]);
    }
}
