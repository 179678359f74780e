//! Command line client for operators, as a library so that the `endivescale`
//! program contains only its `main` function.

pub mod commands;
