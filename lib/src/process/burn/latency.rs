//! Recent latencies of whole answers.

use std::time::Duration;

use hdrhistogram::Histogram;
use hdrhistogram::serialization::Serializer as _;
use hdrhistogram::serialization::V2Serializer;

/// Shortest latency that is told apart, in microseconds.
const LEAST_MICROS: u64 = 1;
/// Longest latency that is told apart, in microseconds: one hour.
const GREATEST_MICROS: u64 = 3_600_000_000;
/// Significant digits kept of each latency.
const DIGITS: u8 = 2;
/// The report covers this long at least and twice as long at most.
const PERIOD: Duration = Duration::from_secs(60);

/// Latencies of this period and the one before.
#[derive(Clone, Debug, Default)]
pub(super) struct Latencies {
    period: u64,
    current: Option<Box<Histogram<u32>>>,
    previous: Option<Box<Histogram<u32>>>,
}

impl Latencies {
    /// Records one latency.
    pub(super) fn record(&mut self, now: Duration, latency: Duration) {
        self.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(GREATEST_MICROS);
        let histogram = self.current.get_or_insert_with(|| Box::new(empty()));
        histogram.saturating_record(micros.clamp(LEAST_MICROS, GREATEST_MICROS));
    }

    /// Returns the recent latencies in V2 form, or `None` if there are none.
    pub(super) fn serialize(&self, now: Duration) -> Option<Vec<u8>> {
        let mut sum = empty();
        for (histogram, period) in
            [(&self.current, self.period), (&self.previous, self.period.wrapping_sub(1))]
        {
            let is_recent = period.wrapping_add(1) >= period_at(now);
            if let (Some(histogram), true) = (histogram, is_recent) {
                sum.add(&**histogram).ok()?;
            }
        }
        if sum.is_empty() { None } else { serialize(&sum) }
    }

    fn rotate(&mut self, now: Duration) {
        let period = period_at(now);
        if period == self.period {
            return;
        }
        let current = self.current.take();
        self.previous = if period == self.period + 1 { current } else { None };
        self.period = period;
    }
}

/// Returns a histogram in V2 form.
pub(super) fn serialize<T: hdrhistogram::Counter>(histogram: &Histogram<T>) -> Option<Vec<u8>> {
    let mut buf = Vec::new();
    V2Serializer::new().serialize(histogram, &mut buf).ok()?;
    Some(buf)
}

fn empty() -> Histogram<u32> {
    Histogram::new_with_bounds(LEAST_MICROS, GREATEST_MICROS, DIGITS)
        .expect("the bounds and digits are constants that the library accepts")
}

fn period_at(now: Duration) -> u64 {
    now.as_secs() / PERIOD.as_secs()
}
