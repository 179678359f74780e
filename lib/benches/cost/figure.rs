//! One line of the bench: a name, a value, its unit and its bound.

/// Collects figures and remembers whether one is over its bound.
#[derive(Default)]
pub(crate) struct Figures {
    over: bool,
}

impl Figures {
    /// Prints a figure that must not exceed its bound.
    pub(crate) fn at_most(&mut self, name: &str, value: f64, unit: &str, bound: f64) {
        self.print(name, value, unit, bound, value <= bound);
    }

    /// Prints a figure that must reach its bound.
    pub(crate) fn at_least(&mut self, name: &str, value: f64, unit: &str, bound: f64) {
        self.print(name, value, unit, bound, value >= bound);
    }

    fn print(&mut self, name: &str, value: f64, unit: &str, bound: f64, holds: bool) {
        self.over |= !holds;
        let verdict = if holds { "ok" } else { "over" };
        println!("{name} {value:.3} {unit} {bound:.3} {verdict}");
    }

    /// Returns the exit code of the bench.
    pub(crate) fn exit_code(&self) -> std::process::ExitCode {
        if self.over { std::process::ExitCode::FAILURE } else { std::process::ExitCode::SUCCESS }
    }
}
