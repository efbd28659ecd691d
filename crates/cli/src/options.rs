//! The command line.

mod batch;
mod control;
mod gateway;

use std::{net::SocketAddr, path::PathBuf};

use bpaf::Bpaf;

pub(crate) use batch::{BatchCommand, CallerOptions, SubmitOptions};
pub(crate) use control::ControlOptions;
pub(crate) use gateway::GatewayOptions;

/// linnethitch serves online and batch inference on one fleet.
///
///
/// The commands gateway and control run processes of the system. The others
/// are for operators (validate, diff, apply, status, explain) and for callers
/// with batch work (batch). Each command explains itself with --help.
///
///
/// Exit status: 0 done, 1 failed, 2 wrong command line, 3 refused, 4 conflict,
/// 5 unreachable or outcome unknown (safe to repeat), 6 accepted but not yet
/// in force everywhere, 7 nothing known of it.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version, generate(command))]
pub(crate) enum Command {
    /// Run a gateway
    ///
    ///
    /// A gateway takes requests of callers over the OpenAI-compatible interface,
    /// chooses engines for them and runs batch items. Its settings come from a
    /// file; a flag wins over the file. It stops without cutting off a request
    /// on SIGINT or SIGTERM; a second signal ends it at once.
    ///
    ///
    /// Example: linnethitch gateway --settings /etc/linnethitch/gateway.toml
    #[bpaf(command)]
    Gateway(#[bpaf(external(gateway::gateway_options))] GatewayOptions),

    /// Run a control member
    ///
    ///
    /// Control members keep the replicated state: configuration, batch jobs and
    /// claims. Gateways attach to them and operators ask them over HTTP. Run five
    /// on machines with disks. On SIGINT or SIGTERM a member hands leadership
    /// over and stops; a second signal ends it at once.
    ///
    ///
    /// Example: linnethitch control --settings /etc/linnethitch/control.toml
    #[bpaf(command)]
    Control(#[bpaf(external(control::control_options))] ControlOptions),

    /// Check a fleet file without applying it
    ///
    ///
    /// Every fault is told with line and field. Nothing is contacted.
    ///
    ///
    /// Example: linnethitch validate fleet.toml
    #[bpaf(command)]
    Validate(#[bpaf(external(validate_options))] ValidateOptions),

    /// Show what a fleet file would change
    ///
    ///
    /// Compares a fleet file with the configuration in force. Nothing is changed.
    ///
    ///
    /// Example: linnethitch diff fleet.toml --operator 127.0.0.1:8090 --key-file operator.key
    #[bpaf(command)]
    Diff(#[bpaf(external(diff_options))] DiffOptions),

    /// Apply a fleet file as a whole
    ///
    ///
    /// The change gets an id, which is kept in FILE.change until its outcome is
    /// known. When the answer is lost, run the same command again: the change
    /// takes effect once, and both runs get the same answer. When another
    /// operator was faster, nothing is changed and the status is 4.
    ///
    ///
    /// Example: linnethitch apply fleet.toml --operator 127.0.0.1:8090 --key-file operator.key --wait
    #[bpaf(command)]
    Apply(#[bpaf(external(apply_options))] ApplyOptions),

    /// Show the fleet at a glance
    ///
    ///
    /// Revisions in force, control members with their disks, gateways, replicas
    /// and batch work.
    ///
    ///
    /// Example: linnethitch status --operator 127.0.0.1:8090 --key-file operator.key
    #[bpaf(command)]
    Status(#[bpaf(external(status_options))] StatusOptions),

    /// Tell why a decision was made
    ///
    ///
    /// Asks the decision journals for everything about a request (req_...), a
    /// batch job (batch_...), an item (batch_.../17), a replica, a tenant or a
    /// revision, and shows it in the order of time. With --logs it reads log files
    /// of nodes instead, and places their lines by one clock.
    ///
    ///
    /// Example: linnethitch explain req_42 --operator 127.0.0.1:8090 --key-file operator.key
    ///
    ///
    /// Example: linnethitch explain 9c41d07be2a35f68 --logs /var/log/linnethitch
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),

    /// Work with batch jobs as a caller
    ///
    ///
    /// Example: linnethitch batch submit items.jsonl --gateway 127.0.0.1:8080 --key-file tenant.key
    #[bpaf(command)]
    Batch(#[bpaf(external(batch::batch_command))] BatchCommand),
}

/// Address and credentials of an operator's connection.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct OperatorOptions {
    /// Operator interface of a control member; give several to try them in turn
    #[bpaf(argument("IP:PORT"), some("at least one --operator IP:PORT is needed"))]
    pub(crate) operator: Vec<SocketAddr>,
    /// File with the operators' bearer key
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: PathBuf,
}

/// Options of `validate`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct ValidateOptions {
    /// The fleet file
    #[bpaf(positional("FILE"))]
    pub(crate) file: PathBuf,
}

/// Options of `diff`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct DiffOptions {
    #[bpaf(external)]
    pub(crate) operator_options: OperatorOptions,
    /// The fleet file
    #[bpaf(positional("FILE"))]
    pub(crate) file: PathBuf,
}

/// Options of `apply`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct ApplyOptions {
    #[bpaf(external)]
    pub(crate) operator_options: OperatorOptions,
    /// Id of the change; made and kept in FILE.change when not given
    #[bpaf(argument("ID"))]
    pub(crate) change_id: Option<String>,
    /// Revision that the change builds on; the one in force when not given
    #[bpaf(argument("N"))]
    pub(crate) expected_revision: Option<u64>,
    /// Return only once every live gateway has the change in force
    pub(crate) wait: bool,
    /// Give up after this many seconds (default 60)
    #[bpaf(argument("SECONDS"), fallback(60))]
    pub(crate) timeout: u64,
    /// The fleet file
    #[bpaf(positional("FILE"))]
    pub(crate) file: PathBuf,
}

/// Options of `status`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct StatusOptions {
    #[bpaf(external)]
    pub(crate) operator_options: OperatorOptions,
    /// Print JSON instead of tables
    pub(crate) json: bool,
}

/// Options of `explain`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub(crate) struct ExplainOptions {
    /// Operator interface of a control member; give several to ask them all
    #[bpaf(argument("IP:PORT"))]
    pub(crate) operator: Vec<SocketAddr>,
    /// Gateway whose journal is asked; may be given several times
    #[bpaf(argument("IP:PORT"))]
    pub(crate) gateway: Vec<SocketAddr>,
    /// File with the operators' bearer key; needed to ask processes
    #[bpaf(argument("FILE"))]
    pub(crate) key_file: Option<PathBuf>,
    /// Folder with log files of nodes, one a process; nobody is asked then
    #[bpaf(argument("DIR"))]
    pub(crate) logs: Option<PathBuf>,
    /// Print JSON lines instead of text
    pub(crate) json: bool,
    /// Request, job, item, replica, tenant or revision
    #[bpaf(positional("ID"))]
    pub(crate) id: String,
}
