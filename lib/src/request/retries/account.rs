//! The retry tokens that one daemon holds for one request or call.

/// Retry tokens lent to one child call.
///
/// A grant can't be copied, so lent tokens are returned at most once. If a grant is
/// dropped, for example after a lost response, its tokens are lost.
#[derive(Debug)]
#[must_use = "the tokens of a dropped grant are lost"]
pub struct Grant(u32);

impl Grant {
    /// Creates a grant of zero tokens.
    pub fn none() -> Self {
        Self(0)
    }

    /// Returns the number of lent tokens, which is sent with the call.
    pub fn tokens(&self) -> u32 {
        self.0
    }

    fn into_tokens(self) -> u32 {
        self.0
    }
}

/// Retry tokens that one daemon may spend on a request or lend to its calls.
///
/// Invariant: the tokens left, lent and spent together never exceed the initial
/// number.
#[derive(Debug)]
pub struct RetryAccount {
    left: u32,
}

impl RetryAccount {
    /// Creates the account at the root of a call chain, with the number of retries
    /// that the rule allows.
    ///
    /// Called once for each request, by the daemon where the chain begins; all other
    /// daemons use [`Self::receive`].
    pub fn mint(retries: u32) -> Self {
        Self { left: retries }
    }

    /// Creates the account of a call with the tokens that its sender lent.
    ///
    /// If the context of the call is missing or can't be parsed (`None`), there are
    /// no tokens: creating some could exceed the limit set at the root of the chain.
    pub fn receive(tokens: Option<u32>) -> Self {
        Self { left: tokens.unwrap_or(0) }
    }

    /// Returns the number of tokens left, which is returned with the response.
    pub fn left(&self) -> u32 {
        self.left
    }

    /// Spends one token on a retry; returns false if none is left.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let Some(left) = self.left.checked_sub(1) else { return false };
        self.left = left;
        true
    }

    /// Lends tokens to a child call: half of those left, rounded up so that a single
    /// token still reaches the deepest call.
    pub fn split_for_child(&mut self) -> Grant {
        let lent = self.left.div_ceil(2);
        self.left -= lent;
        Grant(lent)
    }

    /// Adds the tokens that a child call left unused back to the account.
    ///
    /// Never adds more tokens than were lent. `unused` is the count in the response, or
    /// `None` if it has none; then no tokens are added. The called daemon's count is
    /// trusted, but an upstream can't set it, because response headers of an upstream
    /// with the project's prefix are removed.
    pub fn reclaim(&mut self, grant: Grant, unused: Option<u32>) {
        self.left += unused.unwrap_or(0).min(grant.into_tokens());
    }
}
