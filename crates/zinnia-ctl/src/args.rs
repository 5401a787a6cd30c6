//! Options of the command line. The doc comments are the help texts.

use gumdrop::Options;

/// Submits work to a cell and administers it, through any of its VMs.
#[derive(Options)]
pub(crate) struct Args {
    /// print this help
    pub(crate) help: bool,
    /// address of any VM of the cell; default 127.0.0.1:7070
    #[options(meta = "IP:PORT", no_short)]
    pub(crate) server: Option<String>,
    /// team or operator key; ZINNIA_KEY is safer, since other users can see arguments
    #[options(meta = "KEY", no_short)]
    pub(crate) key: Option<String>,
    /// print responses as JSON
    #[options(no_short)]
    pub(crate) json: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Options)]
pub(crate) enum Command {
    /// check, apply or show the document
    Config(Config),
    /// grant, withdraw or list keys
    Key(Key),
    /// submit a job
    Submit(Submit),
    /// list jobs or show one
    Status(Status),
    /// cancel jobs
    Cancel(Cancel),
    /// call a service
    Call(Call),
    /// list workers
    Workers(NoOptions),
    /// list VMs
    Vms(NoOptions),
    /// print the state of one VM
    Dump(NoOptions),
    /// run a whole cell inside this process and show how it places jobs
    Demo(Demo),
}

#[derive(Options)]
pub(crate) struct Demo {
    /// print this help
    pub(crate) help: bool,
    /// coaster (the default) or consortium
    #[options(no_short, meta = "NAME")]
    pub(crate) deployment: Option<String>,
}

#[derive(Options)]
pub(crate) struct Config {
    /// print this help
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<ConfigCommand>,
}

#[derive(Options)]
pub(crate) enum ConfigCommand {
    /// check a document file without a server
    Check(Check),
    /// apply a document file
    Apply(Apply),
    /// print the document in force
    Show(Show),
    /// list the versions that the cell keeps
    History(NoOptions),
}

#[derive(Options)]
pub(crate) struct Check {
    /// print this help
    pub(crate) help: bool,
    /// document file, JSON with comments
    #[options(free, required)]
    pub(crate) file: String,
}

#[derive(Options)]
pub(crate) struct Apply {
    /// print this help
    pub(crate) help: bool,
    /// version that the file was edited from; default: the version in force
    #[options(no_short, meta = "VERSION")]
    pub(crate) from: Option<u64>,
    /// request id of an earlier attempt whose outcome is unknown
    #[options(no_short, meta = "ID")]
    pub(crate) request: Option<String>,
    /// document file, JSON with comments
    #[options(free, required)]
    pub(crate) file: String,
}

#[derive(Options)]
pub(crate) struct Show {
    /// print this help
    pub(crate) help: bool,
    /// number of an earlier version; default: the version in force
    #[options(no_short, meta = "VERSION")]
    pub(crate) version: Option<u64>,
}

#[derive(Options)]
pub(crate) struct Key {
    /// print this help
    pub(crate) help: bool,
    #[options(command)]
    pub(crate) command: Option<KeyCommand>,
}

#[derive(Options)]
pub(crate) enum KeyCommand {
    /// grant a key to a team or an operator and print it; it cannot be shown again
    Grant(Grant),
    /// withdraw keys by id
    Withdraw(Withdraw),
    /// list keys without secrets
    List(NoOptions),
}

#[derive(Options)]
pub(crate) struct Grant {
    /// print this help
    pub(crate) help: bool,
    /// team that the key belongs to
    #[options(no_short, meta = "TEAM")]
    pub(crate) team: Option<String>,
    /// grant an operator key
    #[options(no_short)]
    pub(crate) operator: bool,
    /// request id of an earlier attempt whose outcome is unknown
    #[options(no_short, meta = "ID")]
    pub(crate) request: Option<String>,
}

#[derive(Options)]
pub(crate) struct Withdraw {
    /// print this help
    pub(crate) help: bool,
    /// ids of the keys, as in `key list`
    #[options(free, required)]
    pub(crate) ids: Vec<String>,
}

#[derive(Options)]
pub(crate) struct Submit {
    /// print this help
    pub(crate) help: bool,
    /// file with the submission, JSON with comments; other options override its fields
    #[options(no_short, meta = "FILE")]
    pub(crate) file: Option<String>,
    /// job name within the team, which makes a repetition idempotent; default: generated
    #[options(no_short, meta = "NAME")]
    pub(crate) name: Option<String>,
    /// kind of the job, as named in the document
    #[options(no_short, meta = "KIND")]
    pub(crate) kind: Option<String>,
    /// number of tasks
    #[options(no_short, meta = "N")]
    pub(crate) tasks: Option<u32>,
    /// shift whose start is the deadline of the job
    #[options(no_short, meta = "SHIFT")]
    pub(crate) shift: Option<String>,
    /// pin the job to a failure domain
    #[options(no_short, meta = "DOMAIN")]
    pub(crate) domain: Option<String>,
    /// expected run time of a task in milliseconds
    #[options(no_short, meta = "MS")]
    pub(crate) runtime_ms: Option<u64>,
    /// never rerun a task that may have run
    #[options(no_short)]
    pub(crate) no_repeat: bool,
    /// JSON value that is passed to the worker
    #[options(no_short, meta = "JSON")]
    pub(crate) payload: Option<String>,
}

#[derive(Options)]
pub(crate) struct Status {
    /// print this help
    pub(crate) help: bool,
    /// only jobs of this team (operator keys only)
    #[options(no_short, meta = "TEAM")]
    pub(crate) team: Option<String>,
    /// only jobs in this state: queued, running or ended
    #[options(no_short, meta = "STATE")]
    pub(crate) state: Option<String>,
    /// only jobs of this kind
    #[options(no_short, meta = "KIND")]
    pub(crate) kind: Option<String>,
    /// maximum number of jobs to list; default 100
    #[options(no_short, meta = "N")]
    pub(crate) limit: Option<u32>,
    /// job id or name
    #[options(free)]
    pub(crate) job: Option<String>,
}

#[derive(Options)]
pub(crate) struct Cancel {
    /// print this help
    pub(crate) help: bool,
    /// team whose jobs are cancelled (operator keys only)
    #[options(no_short, meta = "TEAM")]
    pub(crate) team: Option<String>,
    /// cancel all jobs whose names start with this prefix
    #[options(no_short, meta = "PREFIX")]
    pub(crate) prefix: Option<String>,
    /// cancel all jobs of this kind
    #[options(no_short, meta = "KIND")]
    pub(crate) kind: Option<String>,
    /// names of the jobs to cancel
    #[options(free)]
    pub(crate) jobs: Vec<String>,
}

#[derive(Options)]
pub(crate) struct Call {
    /// print this help
    pub(crate) help: bool,
    /// request body; default: empty
    #[options(no_short, meta = "TEXT")]
    pub(crate) body: Option<String>,
    /// file with the request body
    #[options(no_short, meta = "FILE")]
    pub(crate) file: Option<String>,
    /// the request may be run again after a failure
    #[options(no_short)]
    pub(crate) repeat: bool,
    /// the request runs at most once, however often it is sent
    #[options(no_short)]
    pub(crate) no_repeat: bool,
    /// time limit of the call in milliseconds; default 10000
    #[options(no_short, meta = "MS")]
    pub(crate) deadline_ms: Option<u64>,
    /// request id of an earlier attempt whose outcome is unknown
    #[options(no_short, meta = "ID")]
    pub(crate) request: Option<String>,
    /// name of the service
    #[options(free, required)]
    pub(crate) service: String,
}

#[derive(Options)]
pub(crate) struct NoOptions {
    /// print this help
    pub(crate) help: bool,
}
