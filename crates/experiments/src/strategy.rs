//! The ways of sharing engines between online and batch work that are compared.

use linnethitch_routing::{batch::yielding::YieldSettings, grants::GrantSettings};

/// How online requests find their engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OnlineDispatch {
    /// The router of linnethitch.
    Router,
    /// One after the other.
    RoundRobin,
    /// The engine with the fewest own requests of the gateway.
    LeastInFlight,
    /// A central queue, first come, first served; engines take from it when they have a free slot.
    SharedQueue,
}

/// How batch items find their engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum BatchDispatch {
    /// They do not run.
    None,
    /// By grants of control, as in linnethitch.
    Granted,
    /// Each gateway keeps an equal share of all slots full, chosen as online requests are.
    Fixed,
    /// Through the central queue, behind and before online requests.
    SharedQueue,
    /// On this share of the engines alone, in percent; online runs on the others.
    Split(u32),
    /// By a scheduler that sees every engine as it is and acts without delay.
    Oracle(OracleLimits),
}

/// What the oracle allows batch on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OracleLimits {
    /// Sequences, online and batch, that it fills an engine with.
    pub(crate) full_sequences: u32,
    /// Batch sequences while an online prompt is prefilled.
    pub(crate) pressed_sequences: u32,
    /// Online prompt tokens left to prefill from which on an engine is pressed.
    pub(crate) pressed_prefill_tokens: u32,
}

/// One way with its parameters.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Strategy {
    /// What reports call it.
    pub(crate) name: &'static str,
    /// How online requests find their engine.
    pub(crate) online: OnlineDispatch,
    /// How batch items find theirs.
    pub(crate) batch: BatchDispatch,
    /// Whether the router looks for engines that hold a prompt's prefix.
    pub(crate) prefix_affinity: bool,
    /// Whether engines know that batch is less urgent.
    pub(crate) engine_priority: bool,
    /// Whether batch steps aside on the gateways' word.
    pub(crate) yields: bool,
    /// Rules of yielding.
    pub(crate) yielding: YieldSettings,
    /// Rules of granting.
    pub(crate) grants: GrantSettings,
}

impl Strategy {
    /// What linnethitch does.
    pub(crate) fn linnethitch() -> Strategy {
        Strategy {
            name: "linnethitch",
            online: OnlineDispatch::Router,
            batch: BatchDispatch::Granted,
            prefix_affinity: true,
            engine_priority: true,
            yields: true,
            yielding: YieldSettings::default(),
            grants: GrantSettings::default(),
        }
    }

    /// The same without batch work: what its harm is measured against.
    pub(crate) fn without_batch() -> Strategy {
        Strategy {
            name: "online alone",
            batch: BatchDispatch::None,
            ..Strategy::linnethitch()
        }
    }

    /// Grants, but batch stays where it is until the grant ends.
    pub(crate) fn without_yielding() -> Strategy {
        Strategy {
            name: "no yielding",
            yields: false,
            ..Strategy::linnethitch()
        }
    }

    /// An oracle with the given limits.
    pub(crate) fn oracle(limits: OracleLimits) -> Strategy {
        Strategy {
            name: "oracle",
            batch: BatchDispatch::Oracle(limits),
            ..Strategy::linnethitch()
        }
    }

    /// linnethitch with one mechanism switched off at a time.
    pub(crate) fn ablations() -> Vec<Strategy> {
        let base = Strategy::linnethitch();
        let no_watch = YieldSettings {
            use_step_times: false,
            ..base.yielding
        };
        let no_pressure = YieldSettings {
            use_step_times: false,
            pressure_prefill_tokens: f64::INFINITY,
            ..base.yielding
        };
        vec![
            Strategy {
                name: "without watching steps",
                yielding: no_watch,
                ..base
            },
            Strategy {
                name: "without pressure",
                yielding: no_pressure,
                ..base
            },
            Strategy::without_yielding(),
            Strategy {
                name: "without engine priority",
                engine_priority: false,
                ..base
            },
            Strategy {
                name: "without grants",
                batch: BatchDispatch::Fixed,
                ..base
            },
        ]
    }

    /// The baselines without linnethitch's decisions.
    pub(crate) fn baselines() -> Vec<Strategy> {
        vec![
            Strategy {
                name: "round robin",
                online: OnlineDispatch::RoundRobin,
                batch: BatchDispatch::Fixed,
                ..Strategy::linnethitch()
            },
            Strategy {
                name: "least in flight",
                online: OnlineDispatch::LeastInFlight,
                batch: BatchDispatch::Fixed,
                ..Strategy::linnethitch()
            },
            Strategy {
                name: "shared queue",
                online: OnlineDispatch::SharedQueue,
                batch: BatchDispatch::SharedQueue,
                engine_priority: false,
                ..Strategy::linnethitch()
            },
            Strategy {
                name: "static split",
                batch: BatchDispatch::Split(50),
                ..Strategy::linnethitch()
            },
        ]
    }
}
