//! The daemon that runs beside each upstream VM.

fn main() {}
