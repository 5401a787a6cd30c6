//! Entry point of `zinniactl`; `zinniactl --help` describes the commands.

use std::env;
use std::io;
use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let key = env::var("ZINNIA_KEY").ok();
    let code = zinnia_ctl::run(&args, key, &mut io::stdout(), &mut io::stderr()).await;
    ExitCode::from(code)
}
