//! `pewterseam-hollow --members N [--threads N] [--routes N] [--services N] [--limited N] [--instances N]
//! [--zone N]`: runs the experiments and
//! prints their tables.

use std::process::ExitCode;
use std::time::Instant;

use lexopt::prelude::*;
use pewterseam_hollow::experiments;
use pewterseam_hollow::network::Network;
use pewterseam_hollow::site::SiteSize;

struct Options {
    members: usize,
    threads: usize,
    size: SiteSize,
    /// Members that are cut off at the end; none with 0.
    zone: usize,
}

/// Fewer members than this leave nothing to cut off.
const FEWEST_MEMBERS: usize = 60;
const MOST_ZONE_MEMBERS: usize = 200;

fn options() -> Result<Options, lexopt::Error> {
    let size = SiteSize { routes: 500, services: 50, limited: 10, instances: 400 };
    let mut options = Options { members: 300, threads: 3, size, zone: MOST_ZONE_MEMBERS };
    let mut arguments = lexopt::Parser::from_env();
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("members") => options.members = arguments.value()?.parse()?,
            Long("threads") => options.threads = arguments.value()?.parse()?,
            Long("routes") => options.size.routes = arguments.value()?.parse()?,
            Long("services") => options.size.services = arguments.value()?.parse()?,
            Long("limited") => options.size.limited = arguments.value()?.parse()?,
            Long("zone") => options.zone = arguments.value()?.parse()?,
            Long("instances") => options.size.instances = arguments.value()?.parse()?,
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(options)
}

fn main() -> ExitCode {
    let options = match options() {
        Ok(options) if options.members >= FEWEST_MEMBERS => options,
        Ok(_) => {
            eprintln!("at least {FEWEST_MEMBERS} members are needed");
            return ExitCode::FAILURE;
        }
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let start = Instant::now();
    println!("{} members, {:?}", options.members, options.size);
    let mut network = Network::new(options.members, options.threads, options.size);
    if let Err(error) = experiments::run(&mut network, options.zone) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    println!("the run took {:.0} s", start.elapsed().as_secs_f64());
    ExitCode::SUCCESS
}
