//! The command line of the lab.

mod commands;

use std::process::ExitCode;

use argh::FromArgs;

/// Breaks a fleet of relays and tells what came of it.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(commands::run::Run),
    Sim(commands::sim::Sim),
    Judge(commands::judge::Judge),
    Hunt(commands::hunt::Hunt),
    Compare(commands::compare::Compare),
}

fn main() -> ExitCode {
    let done = match argh::from_env::<Arguments>().command {
        Command::Run(run) => run.run().map_err(|error| error.to_string()),
        Command::Sim(sim) => sim.run().map_err(|error| error.to_string()),
        Command::Judge(judge) => judge.run().map_err(|error| error.to_string()),
        Command::Hunt(hunt) => hunt.run().map_err(|error| error.to_string()),
        Command::Compare(compare) => compare.run().map_err(|error| error.to_string()),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pewterseam-lab: {error}");
            ExitCode::FAILURE
        }
    }
}
