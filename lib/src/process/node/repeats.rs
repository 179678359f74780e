//! The account of repeats at the local upstream, as requests use it.

use super::Node;
use crate::process::admission::Level;
use crate::process::log;
use crate::process::log::StateChange;
use crate::process::metrics::Counter;
use crate::process::repeats::Arrival;
use crate::request::Context;
use crate::version::PlanKey;

impl Node {
    /// Counts a request that is about to be sent to the local upstream. Returns false if it
    /// is a repeat that exceeds the limit on repeats and must not be sent.
    pub(crate) fn count_arrival(&self, cx: &Context, arrival: Arrival) -> bool {
        let Some(repeats) = &self.repeats else { return true };
        let now = self.clock.now();
        let is_granted = match arrival {
            Arrival::First => {
                repeats.lock().record_first(now);
                true
            }
            Arrival::Resent | Arrival::SentElsewhere | Arrival::Inherited => {
                repeats.lock().try_repeat(now, arrival, cx.criticality, cx.hash)
            }
        };
        self.metrics.count(match is_granted {
            true => arrival.counter(),
            false => Counter::RepeatsDenied,
        });
        is_granted
    }

    /// Whether a request may still be sent to the local upstream, as far as repeats are limited.
    pub(crate) fn has_room_for(&self, cx: &Context) -> bool {
        let (Some(repeats), Some(_)) = (&self.repeats, cx.repeat) else { return true };
        let (now, arrival) = (self.clock.now(), Arrival::of(cx.repeat));
        let has_room = repeats.lock().check_room(now, arrival, cx.criticality, cx.hash);
        if !has_room {
            self.metrics.count(Counter::RepeatsDenied);
        }
        has_room
    }

    /// Returns the level up to which a repeat of a request of this kind would be granted here
    /// and at all services that such requests usually call.
    pub(crate) fn repeat_level(&self, kind: &PlanKey) -> Level {
        let Some(repeats) = &self.repeats else { return Level::OPEN };
        let own = repeats.lock().level(self.clock.now());
        own.min(self.repeat_level_below(kind))
    }

    /// Returns the level up to which all services that requests of this kind usually call would
    /// grant the calls of a repeat.
    pub(crate) fn repeat_level_below(&self, kind: &PlanKey) -> Level {
        let called = self.called_paths.lock();
        self.path_room.lock().strictest(self.clock.now(), called.usual(kind))
    }

    /// Logs what the account of repeats has counted since the last call, if that were not
    /// first arrivals alone.
    pub(crate) fn log_repeats(&self) {
        let Some(repeats) = &self.repeats else { return };
        let usage = repeats.lock().take_usage(self.clock.now());
        if let Some(usage) = usage {
            log::write(&StateChange::RepeatsUsed { usage });
        }
    }
}
