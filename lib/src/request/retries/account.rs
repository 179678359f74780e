//! The retry tokens that one daemon holds for one request.

/// Retry tokens lent to one child call.
///
/// It can't be copied, so what is lent once comes back at most once; dropped
/// unsettled, as after a lost answer, its tokens are lost.
#[derive(Debug)]
#[must_use = "tokens that aren't given back are lost"]
pub struct Grant(u32);

impl Grant {
    /// Lends nothing.
    pub fn none() -> Self {
        Self(0)
    }

    /// Returns the number to send with the call.
    pub fn tokens(&self) -> u32 {
        self.0
    }

    fn into_lent(self) -> u32 {
        self.0
    }
}

/// Retry tokens held at one hop.
///
/// Invariant: the tokens held here, lent to children and spent never exceed
/// what the account began with.
#[derive(Debug)]
pub struct RetryAccount {
    left: u32,
}

impl RetryAccount {
    /// Opens the account of a whole request, with the number of retries that
    /// its rule allows. Only the entry mints, once for each request.
    pub fn mint(retries: u32) -> Self {
        Self { left: retries }
    }

    /// Opens the account of a call from another daemon.
    ///
    /// A call whose context was lost or can't be read has no retries: tokens
    /// that can't be proved to come from the entry don't exist.
    pub fn receive(tokens: Option<u32>) -> Self {
        Self { left: tokens.unwrap_or(0) }
    }

    /// Returns the tokens held, which an answer hands back.
    pub fn left(&self) -> u32 {
        self.left
    }

    /// Takes one token for a retry; false if there is none.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(1) else { return false };
        self.left = left;
        true
    }

    /// Lends tokens to a child call: half of them, rounded up, so that a
    /// single token still reaches the deepest call.
    pub fn split_for_child(&mut self) -> Grant {
        let lent = self.left.div_ceil(2);
        self.left -= lent;
        Grant(lent)
    }

    /// Takes back what a child's answer says it left over.
    ///
    /// No more returns than was lent; an answer without the header returns
    /// nothing. How many of the lent ones the child spent is its daemon's word:
    /// an upstream can't set it, since its headers of ours are stripped.
    pub fn give_back(&mut self, grant: Grant, unused: Option<u32>) {
        self.left += unused.unwrap_or(0).min(grant.into_lent());
    }
}
