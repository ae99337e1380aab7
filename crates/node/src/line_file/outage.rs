//! A time in which lines are lost.

/// Counts what is lost, so that an outage can be told twice: when it begins, and when it is over.
#[derive(Debug, Default)]
pub struct Outage {
    lost: Option<u64>,
}

impl Outage {
    /// Lines are lost. Tells whether the outage begins with them.
    pub fn lose(&mut self, lines: u64) -> bool {
        let begins = self.lost.is_none();
        self.lost = Some(self.lost.unwrap_or_default().saturating_add(lines));
        begins
    }

    /// Whether it goes on.
    pub fn is_on(&self) -> bool {
        self.lost.is_some()
    }

    /// How many lines it has taken so far.
    pub fn lost(&self) -> u64 {
        self.lost.unwrap_or_default()
    }

    /// It is over. Tells how many lines it took, if there was one.
    pub fn end(&mut self) -> Option<u64> {
        self.lost.take()
    }
}
