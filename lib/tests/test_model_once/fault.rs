/// Faults that can be injected into the protocol; the search must find a
/// property violation for each of them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// The home marks a token used only after the owner has answered.
    MarkAfterSend,
    /// The home may run a request under a token that it answered `not-run`.
    FreeNotRun,
    /// An entry that can't reach the home answers `not-run`.
    EntryClaimsNotRun,
    /// A restarted daemon accepts tokens that it issued before the restart.
    IgnoreIncarnation,
    /// The home treats a token below the window as unused.
    ForgetFloor,
    /// The home answers `not-run` when it gives up waiting.
    TimeoutIsNotRun,
    /// The home sends the request to another owner when it gives up waiting.
    RetryUnknown,
    /// The transport between home and owner retransmits a request on its own.
    RepeatWork,
    /// An owner answers `not-run` after a write to the upstream that failed part way.
    NotRunAfterWrite,
    /// A token that the home refused for lack of capacity stays usable.
    NoRoomNotVoided,
    /// A caller that lost an answer asks for a fresh token for the same key.
    DropToken,
}
