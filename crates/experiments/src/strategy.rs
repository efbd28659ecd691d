//! The compared strategies of sharing engines between online and batch work.

use linnethitch_routing::{batch::yielding::YieldSettings, grants::GrantSettings};

/// How an engine is chosen for an online request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OnlineDispatch {
    /// By the linnethitch router.
    Router,
    /// Each engine in turn.
    RoundRobin,
    /// The engine on which the gateway has the fewest requests in flight.
    LeastInFlight,
    /// By a central first-in, first-out queue; engines with a free slot take from the queue.
    SharedQueue,
}

/// How an engine is chosen for a batch item.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum BatchDispatch {
    /// Batch items do not run.
    None,
    /// By capacity grants from control, as in linnethitch.
    Granted,
    /// Each gateway fills an equal share of all slots with batch items and chooses
    /// their engines as for online requests.
    Fixed,
    /// Through the central queue, in arrival order with online requests.
    SharedQueue,
    /// On this share of the engines only, in percent; online requests run on the others.
    Split(u32),
    /// By a scheduler that knows the current state of every engine and acts without delay.
    Oracle(OracleLimits),
}

/// Limits that the oracle sets for batch work on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OracleLimits {
    /// Maximum sequences on an engine, online and batch together.
    pub(crate) max_sequences: u32,
    /// Maximum batch sequences on an engine under pressure.
    pub(crate) pressure_sequences: u32,
    /// Remaining online prompt tokens to prefill from which on an engine is under pressure.
    pub(crate) pressure_prefill_tokens: u32,
}

/// One strategy with its parameters.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Strategy {
    /// Name in reports.
    pub(crate) name: &'static str,
    /// How engines are chosen for online requests.
    pub(crate) online: OnlineDispatch,
    /// How engines are chosen for batch items.
    pub(crate) batch: BatchDispatch,
    /// Whether the router prefers engines that have a prompt's prefix cached.
    pub(crate) prefix_affinity: bool,
    /// Whether engines run batch items at a lower priority than online requests.
    pub(crate) engine_priority: bool,
    /// Whether gateways cancel batch items to yield to online requests.
    pub(crate) yields: bool,
    /// Settings of yielding.
    pub(crate) yielding: YieldSettings,
    /// Settings of capacity grants.
    pub(crate) grants: GrantSettings,
}

impl Strategy {
    /// The strategy of linnethitch, with all mechanisms on.
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

    /// Online requests only. The harm of batch work is measured relative to this run.
    pub(crate) fn without_batch() -> Strategy {
        Strategy {
            name: "online alone",
            batch: BatchDispatch::None,
            ..Strategy::linnethitch()
        }
    }

    /// Grants without yielding: running batch items keep their slots when the allowance shrinks.
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

    /// The linnethitch strategy with one mechanism switched off at a time.
    pub(crate) fn ablations() -> Vec<Strategy> {
        let base = Strategy::linnethitch();
        let no_step_times = YieldSettings {
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
                yielding: no_step_times,
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

    /// Baselines that replace linnethitch's decisions by simpler rules.
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
