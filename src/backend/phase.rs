//! Lifecycle of a backend server at its home, as a hierarchical state machine.

use serde::{Deserialize, Serialize};
use statig::prelude::*;

/// Lifecycle phase of a backend server; a server that is gone has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum ServerPhase {
    /// It announced itself and has shown no other sign of life.
    Announced,
    /// It has just started, or performs as if it had.
    Cold,
    /// It is between the first and the last ramp step.
    Warming,
    /// It takes its full share.
    Ready,
    /// Failed health probes or timed-out requests indicate that it does not work.
    Suspect,
    /// It accepts no new work.
    Draining,
}

/// An event in the lifecycle of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LifecycleEvent {
    /// It restarted.
    Boot,
    /// It accepts no new work from now on.
    Drain,
    /// It accepts new work again.
    Resume,
    /// It showed a first sign of life.
    FirstSign,
    /// Its ramp step is between the first and the last.
    Warm,
    /// Its ramp step is the last.
    RampComplete,
    /// Its ramp step is the first, or it performs as if it were cold.
    Reset,
    /// It appears not to work.
    Suspect,
    /// It works again.
    Recover,
    /// It has been silent for too long.
    TimedOut,
}

/// The state machine behind [`ServerPhase`].
///
/// The superstate `serving` covers the states that accept new work or may come to do so; `present`
/// adds `draining`. Only a new boot leads out of `gone`.
#[derive(Debug, Default)]
pub(crate) struct Lifecycle;

#[state_machine(
    initial = "State::announced()",
    state(derive(Debug, Clone, PartialEq, Eq)),
    superstate(derive(Debug)),
    visibility = "pub(crate)"
)]
impl Lifecycle {
    #[state(superstate = "serving")]
    fn announced(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::FirstSign | LifecycleEvent::Reset => Transition(State::cold()),
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn cold(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Reset => Handled,
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn warming(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Warm => Handled,
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn ready(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::RampComplete => Handled,
            _ => Super,
        }
    }

    #[state(superstate = "serving")]
    fn suspect(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Recover => Transition(State::cold()),
            LifecycleEvent::Reset
            | LifecycleEvent::Warm
            | LifecycleEvent::RampComplete
            | LifecycleEvent::Suspect => Handled,
            _ => Super,
        }
    }

    #[superstate(superstate = "present")]
    fn serving(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Drain => Transition(State::draining()),
            LifecycleEvent::Reset => Transition(State::cold()),
            LifecycleEvent::Warm => Transition(State::warming()),
            LifecycleEvent::RampComplete => Transition(State::ready()),
            LifecycleEvent::Suspect => Transition(State::suspect()),
            _ => Super,
        }
    }

    #[state(superstate = "present")]
    fn draining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Resume => Transition(State::cold()),
            _ => Super,
        }
    }

    #[superstate]
    fn present(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Boot => Transition(State::announced()),
            LifecycleEvent::TimedOut => Transition(State::gone()),
            _ => Handled,
        }
    }

    #[state]
    fn gone(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Boot => Transition(State::announced()),
            _ => Handled,
        }
    }
}

impl State {
    /// Returns the phase, or `None` for a server that is gone.
    pub(crate) fn phase(&self) -> Option<ServerPhase> {
        let phase = match self {
            State::Announced {} => ServerPhase::Announced,
            State::Cold {} => ServerPhase::Cold,
            State::Warming {} => ServerPhase::Warming,
            State::Ready {} => ServerPhase::Ready,
            State::Suspect {} => ServerPhase::Suspect,
            State::Draining {} => ServerPhase::Draining,
            State::Gone {} => return None,
        };
        Some(phase)
    }
}
