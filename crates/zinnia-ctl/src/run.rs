//! Parses the command line and runs the command.

use std::io::Write;
use std::net::SocketAddr;

use gumdrop::Options;

use crate::Failure;
use crate::args::Args;
use crate::args::Command;
use crate::args::ConfigCommand;
use crate::args::KeyCommand;
use crate::call;
use crate::client::Client;
use crate::config;
use crate::demo;
use crate::jobs;
use crate::keys;
use crate::output;
use crate::views;

/// Default address of the server.
const DEFAULT_SERVER: &str = "127.0.0.1:7070";

const EXIT_CODES: &str = "\
Exit codes:
  0  success
  1  a file cannot be read or the output cannot be written
  2  the command line or a file that it names is not valid
  3  the request was refused; the reason is on standard error
  4  the VM did not respond, and nothing was changed
  5  the outcome is unknown; repeat the request with the same request id or name
  6  a step of the demo failed";

/// State that every command uses.
pub(crate) struct Session<'a> {
    pub(crate) client: Client,
    pub(crate) json: bool,
    pub(crate) out: &'a mut dyn Write,
}

/// Runs `zinniactl` with `args` (without the program name) and returns its exit code.
///
/// `key` is the key from the environment; the option `--key` overrides it.
pub async fn run(
    args: &[String],
    key: Option<String>,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> u8 {
    let parsed = Args::parse_args_default(args);
    let json = parsed.as_ref().is_ok_and(|args| args.json);
    let result = match parsed {
        Ok(args) => dispatch(args, key, out).await,
        Err(e) => Err(Failure::Usage(e.to_string())),
    };
    let Err(failure) = result else {
        return 0;
    };
    // If standard error is closed, only the exit code reports the failure.
    let _ = output::write_failure(err, json, &failure);
    failure.exit_code()
}

async fn dispatch(args: Args, env_key: Option<String>, out: &mut dyn Write) -> Result<(), Failure> {
    if args.help_requested() {
        return write_help(&args, out);
    }
    let Some(command) = args.command else {
        return Err(Failure::Usage(
            "a command is required; see zinniactl --help".to_owned(),
        ));
    };
    let server = args.server.as_deref().unwrap_or(DEFAULT_SERVER);
    let server: SocketAddr = server.parse().map_err(|_| {
        Failure::Usage(format!(
            "--server takes an IP address and a port, not {server}"
        ))
    })?;
    let key = args.key.or(env_key).filter(|key| !key.is_empty());
    let mut session = Session {
        client: Client::new(server, key),
        json: args.json,
        out,
    };
    let session = &mut session;
    match command {
        Command::Config(group) => match group.command {
            Some(ConfigCommand::Check(options)) => config::check(session, &options),
            Some(ConfigCommand::Apply(options)) => config::apply(session, &options).await,
            Some(ConfigCommand::Show(options)) => config::show(session, &options).await,
            Some(ConfigCommand::History(_)) => config::history(session).await,
            None => missing_subcommand("config", "check, apply, show or history"),
        },
        Command::Key(group) => match group.command {
            Some(KeyCommand::Grant(options)) => keys::grant(session, &options).await,
            Some(KeyCommand::Withdraw(options)) => keys::withdraw(session, &options).await,
            Some(KeyCommand::List(_)) => keys::list(session).await,
            None => missing_subcommand("key", "grant, withdraw or list"),
        },
        Command::Submit(options) => jobs::submit(session, &options).await,
        Command::Status(options) => jobs::status(session, &options).await,
        Command::Cancel(options) => jobs::cancel(session, &options).await,
        Command::Call(options) => call::call(session, &options).await,
        Command::Workers(_) => views::workers(session).await,
        Command::Vms(_) => views::vms(session).await,
        Command::Dump(_) => views::dump(session).await,
        Command::Demo(options) => {
            let name = options.deployment.as_deref().unwrap_or("coaster");
            let deployment = demo::Deployment::named(name).ok_or_else(|| {
                Failure::Usage(format!(
                    "--deployment must be coaster or consortium, not {name}"
                ))
            })?;
            let result = demo::run(&deployment, session.out).await;
            result.map_err(|e| Failure::Demo(format!("{e:#}")))
        }
    }
}

fn missing_subcommand(group: &str, commands: &str) -> Result<(), Failure> {
    Err(Failure::Usage(format!("{group} takes {commands}")))
}

/// Prints the usage of the innermost command on the command line.
fn write_help(args: &Args, out: &mut dyn Write) -> Result<(), Failure> {
    let mut names = vec!["zinniactl"];
    let mut innermost: &dyn Options = args;
    while let Some(command) = innermost.command() {
        names.extend(command.command_name());
        innermost = command;
    }
    let commands = innermost.self_command_list();
    let placeholder = if commands.is_some() { " COMMAND" } else { "" };
    writeln!(out, "Usage: {} [OPTIONS]{placeholder}\n", names.join(" "))?;
    writeln!(out, "{}", innermost.self_usage())?;
    if let Some(list) = commands {
        writeln!(out, "\nCommands:\n{list}")?;
    }
    if names.len() == 1 {
        writeln!(out, "\n{EXIT_CODES}")?;
    }
    Ok(())
}
