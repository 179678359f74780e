/// Ways to break the protocol, each of which the search must find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Fault {
    /// The home marks a token used only when the owner has answered.
    MarkAfterSend,
    /// The home may run a token again after its `not-run`.
    FreeNotRun,
    /// An entry that can't reach the home answers `not-run`.
    EntryClaimsNotRun,
    /// A restarted daemon honours the tokens of its earlier run.
    IgnoreIncarnation,
    /// A token below the window is taken for unused.
    ForgetFloor,
    /// The home answers `not-run` when it gives up waiting.
    TimeoutIsNotRun,
    /// The home sends the request to another owner when it gives up waiting.
    RetryUnknown,
    /// The transport between home and owner repeats a request by itself.
    RepeatWork,
    /// An owner answers `not-run` after a write that failed half way.
    NotRunAfterWrite,
    /// A token refused for want of room stays usable.
    NoRoomNotVoided,
    /// A caller that lost an answer asks for a fresh token for the same key.
    DropToken,
}
