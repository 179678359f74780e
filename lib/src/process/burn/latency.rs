//! Histograms of the latencies of recent complete responses.

use std::time::Duration;

use hdrhistogram::Histogram;
use hdrhistogram::serialization::Serializer as _;
use hdrhistogram::serialization::V2Serializer;

/// Lower bound of the histogram; shorter latencies are recorded as this value.
const MIN_LATENCY_MICROS: u64 = 1;
/// Upper bound of the histogram, one hour; longer latencies are recorded as this
/// value.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
/// Significant decimal digits that the histogram preserves.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Time after which a new histogram is started. Reports contain the current
/// period and the one before it.
const PERIOD: Duration = Duration::from_secs(60);

/// Latencies of the latest period that had a response and of the period before it.
#[derive(Clone, Debug, Default)]
pub(super) struct Latencies {
    /// Index of the period that `current` covers.
    period: u64,
    current: Option<Box<Histogram<u32>>>,
    previous: Option<Box<Histogram<u32>>>,
}

impl Latencies {
    /// Records the latency of a response that was complete at `now`.
    pub(super) fn record(&mut self, now: Duration, latency: Duration) {
        self.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        let histogram = self.current.get_or_insert_with(|| Box::new(empty_histogram()));
        histogram.saturating_record(micros.clamp(MIN_LATENCY_MICROS, MAX_LATENCY_MICROS));
    }

    /// Returns the recent latencies as a serialized V2 HDR histogram, or `None`
    /// if there are none.
    pub(super) fn serialize(&self, now: Duration) -> Option<Vec<u8>> {
        let mut sum = empty_histogram();
        for (histogram, period) in
            [(&self.current, self.period), (&self.previous, self.period.wrapping_sub(1))]
        {
            let is_recent = period.wrapping_add(1) >= period_index(now);
            if let (Some(histogram), true) = (histogram, is_recent) {
                sum.add(&**histogram).ok()?;
            }
        }
        if sum.is_empty() { None } else { serialize(&sum) }
    }

    /// Starts a new histogram if `now` is in another period than `current`.
    fn rotate(&mut self, now: Duration) {
        let period = period_index(now);
        if period == self.period {
            return;
        }
        let current = self.current.take();
        self.previous = if period == self.period + 1 { current } else { None };
        self.period = period;
    }
}

/// Serializes a histogram in the V2 format of HDR histograms.
pub(super) fn serialize<T: hdrhistogram::Counter>(histogram: &Histogram<T>) -> Option<Vec<u8>> {
    let mut buf = Vec::new();
    V2Serializer::new().serialize(histogram, &mut buf).ok()?;
    Some(buf)
}

fn empty_histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(MIN_LATENCY_MICROS, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("the constant bounds and precision are valid")
}

fn period_index(now: Duration) -> u64 {
    now.as_secs() / PERIOD.as_secs()
}
