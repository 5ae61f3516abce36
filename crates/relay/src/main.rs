//! The command line of the relay.

use std::process::ExitCode;

use argh::FromArgs;
use pewterseam_relay::config::Config;
use pewterseam_relay::serve;
use slog::{Drain, Logger, o};

/// Delivers outbound messages to other firms' systems.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Version(Version),
}

/// Run a relay as the environment configures it (NODE_CONFIG, NODE_STATE).
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {}

/// Print the version.
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
struct Version {}

fn main() -> ExitCode {
    let done = match argh::from_env::<Arguments>().command {
        Command::Serve(_) => serve(),
        Command::Version(_) => {
            println!("pewterseam {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pewterseam: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve() -> Result<(), Box<dyn std::error::Error>> {
    let config = Config::from_environment()?;
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().fuse();
    let log = Logger::root(slog_async::Async::new(drain).build().fuse(), o!());
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve::run(config, log))?;
    Ok(())
}
